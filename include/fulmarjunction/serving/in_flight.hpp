/// @file
/// Requests running on this node's backend server, by token.
#pragma once

#include <fulmarjunction/admission/endpoint_levels.hpp>
#include <fulmarjunction/core/request_context.hpp>
#include <fulmarjunction/retry/retry_budget.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace fulmarjunction {

/// A request running on the backend server: the parent of the calls that the
/// backend server makes for it.
struct running_request
{
    running_request(request_context about, cancel_event when_canceled)
        : context(std::move(about)), budget(context.retries),
          canceled(std::move(when_canceled))
    {
    }

    request_context context;
    /// Id of the request in the node's admission controller.
    std::uint64_t id = 0;
    /// Extra attempts left for its downstream calls.
    retry_budget budget;
    /// What its downstream calls observed.
    downstream_observation downstream;
    /// Fires when the request ends, to cancel its downstream calls.
    cancel_event canceled;
};

/// Running requests by the token that was given to the backend server.
class in_flight_table
{
public:
    /// Adds a request and returns its token: 128 random bits in hexadecimal
    /// digits, so that a backend server cannot guess another token.
    std::string add(std::shared_ptr<running_request> request);

    /// Returns the request, or null when the token is unknown or finished.
    std::shared_ptr<running_request> find(std::string_view token) const;

    void remove(const std::string& token);
    std::size_t size() const { return requests_.size(); }

private:
    std::unordered_map<std::string, std::shared_ptr<running_request>> requests_;
};

/// Returns `count` random bytes in hexadecimal digits.
std::string random_hex(std::size_t count);

/// Returns a random root id.
root_id random_root();

} // namespace fulmarjunction
