/// @file
/// Distinguishes a crash of the backend server from a lost connection.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fulmarjunction {

/// What a backend server was running when it crashed.
struct crash_report
{
    std::vector<fingerprint> in_flight;
    /// The suspect that ran alone, if any.
    std::optional<fingerprint> alone;
};

/// Knows the requests in flight at a backend server, and finds out whether it
/// has crashed when a connection to it breaks.
class crash_detector : public std::enable_shared_from_this<crash_detector>
{
public:
    using crash_hook = std::function<void(const crash_report&)>;

    crash_detector(boost::asio::any_io_executor executor, crash_hook on_crash);

    /// Records that a request has been sent to the backend server.
    void started(std::uint64_t id, fingerprint print);
    void ended(std::uint64_t id);
    std::size_t in_flight() const { return in_flight_.size(); }

    /// Checks, after a connection has broken, whether a process still listens.
    /// @param address address of the backend server
    /// @param alone the request that runs alone, if any
    /// @return whether the backend server has crashed
    awaitable<bool> check(
        boost::asio::ip::tcp::endpoint address,
        std::optional<std::uint64_t> alone);

private:
    /// One check, shared by all requests whose connections broke meanwhile.
    struct check_state
    {
        time_point started_at;
        cancel_event finished;
        bool is_done = false;
        bool has_crashed = false;
    };

    enum class probe_result
    {
        /// No process listens.
        refused,
        /// The connection was accepted and closed again.
        closed,
        open
    };

    awaitable<probe_result> probe(boost::asio::ip::tcp::endpoint address) const;
    awaitable<bool> is_refused(boost::asio::ip::tcp::endpoint address) const;

    boost::asio::any_io_executor executor_;
    crash_hook on_crash_;
    std::unordered_map<std::uint64_t, fingerprint> in_flight_;
    std::shared_ptr<check_state> last_check_;
};

} // namespace fulmarjunction
