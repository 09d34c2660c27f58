/// @file
/// Nodes, backend servers and clients of one benchmark run.
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
    /// The project's own decisions.
    fulmar,
    /// Every request goes to a backend server at random.
    no_control,
    /// A limit equal to the slots, and a short first-in first-out queue.
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
    /// Why the last attempt failed.
    std::string_view failure = "none";
};

/// Result of a run.
struct run_record
{
    std::vector<client_request> requests;
    /// Backend time in seconds from `measured_from` to `measured_to`.
    double work = 0;
    double wasted_work = 0;
    std::uint64_t extra_attempts = 0;
};

/// Runs one scenario under one policy.
run_record run(const scenario& plan, policy how, std::uint64_t seed);

} // namespace fulmarjunction::bench
