/// @file
/// Requests that run on this node's backend server, by their tokens.
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

/// A request that runs on the backend server, as the parent of the calls
/// that the backend server makes for it.
struct running_request
{
    running_request(request_context about, cancel_event when_canceled)
        : context(std::move(about)), budget(context.retries),
          canceled(std::move(when_canceled))
    {
    }

    request_context context;
    /// Name of the request in the node's admission.
    std::uint64_t id = 0;
    /// Extra attempts left for the calls that it makes.
    retry_budget budget;
    /// What the calls that it made met.
    downstream_observation downstream;
    /// Happens when the request ends, so that its calls end too.
    cancel_event canceled;
};

/// Finds running requests by the token that the backend server was given.
class in_flight_table
{
public:
    /// Adds a request and returns its token: 128 random bits in hexadecimal
    /// digits, so that a backend server cannot guess another's.
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
