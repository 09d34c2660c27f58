/// @file
/// Waiting for a turn at a backend server that may have to run a suspect alone.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace fulmarjunction {

/// Lets requests wait for a `suspect_gate`.
class suspect_turns
{
public:
    /// @param in_flight returns the number of requests that the backend server
    ///        runs now
    suspect_turns(
        boost::asio::any_io_executor executor, suspect_settings settings,
        std::function<std::size_t()> in_flight);

    /// Waits until a request may start.
    /// @param id unique among the requests that wait or run
    /// @param alone whether it runs alone; then `ended` must follow
    /// @return false when its turn has not come in time, or when it was
    ///         canceled
    awaitable<bool> wait(
        std::uint64_t id, bool alone, time_point deadline,
        cancel_event canceled);

    /// Records that a request that ran alone has ended.
    void ended(std::uint64_t id);

    /// Returns the request that runs alone now, if any.
    std::optional<std::uint64_t> running() const { return gate_.running(); }

private:
    boost::asio::any_io_executor executor_;
    std::function<std::size_t()> in_flight_;
    suspect_gate gate_;
    std::set<std::uint64_t> expired_;
};

} // namespace fulmarjunction
