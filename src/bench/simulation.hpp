/// @file
/// Simulates the nodes, backend servers and clients of one benchmark run.
#pragma once

#include "event_loop.hpp"
#include "workload.hpp"

#include <fulmarjunction/admission/admission.hpp>
#include <fulmarjunction/admission/endpoint_levels.hpp>
#include <fulmarjunction/retry/retry_budget.hpp>
#include <fulmarjunction/routing/balancer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fulmarjunction::bench {

/// How requests are handled in a run.
enum class policy
{
    /// Admission control, routing and retries of this project.
    fulmar,
    /// Every request goes to a random backend server.
    no_control,
    /// A concurrency limit equal to the slots, with a short FIFO queue.
    static_fifo,
    /// As `static_fifo`, with two more attempts at every hop.
    per_hop_retries
};
std::string_view to_string(policy value);

/// One request of a client, with its resends.
struct client_request
{
    std::size_t account = 0;
    std::size_t endpoint = 0;
    time_point arrival;
    std::size_t resends_left = 0;
    bool succeeded = false;
    bool ended = false;
    /// Refusal reason of the last attempt.
    std::string_view failure = "none";
};

/// Result of a run.
struct run_record
{
    std::vector<client_request> requests;
    /// Processing time of backend servers, in seconds, for requests that arrive
    /// from `measured_from` to `measured_to`.
    double work = 0;
    double wasted_work = 0;
    std::uint64_t extra_attempts = 0;
};

/// Simulates one scenario under one policy.
run_record run(const scenario& plan, policy applied_policy, std::uint64_t seed);

} // namespace fulmarjunction::bench
