/// @file
/// Workloads of the benchmark, modelled on the deployments of the design
/// page.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace fulmarjunction::bench {

/// A service of the chain.
struct service_model
{
    service_name name;
    std::size_t instances = 3;
    std::size_t slots = 80;
    /// Mean processing time before and after the call to the next service.
    duration work_before_call{};
    duration work_after_call{};
};

/// An endpoint and its rate of requests.
struct endpoint_model
{
    endpoint_name name;
    importance rank = importance::normal;
    /// Number of services in the call chain of a request.
    std::size_t depth = 3;
    /// Requests per second at a demand of 1.
    double rate = 0;
};

/// A client account and its fraction of the demand.
struct account_model
{
    client_account name;
    double weight = 1;
    double fraction = 0;
};

/// What backend servers report as their load.
enum class load_report
{
    accurate,
    frozen,
    inverted
};

/// One run of the benchmark.
struct scenario
{
    std::string name;
    duration length = seconds(25);
    /// Only requests that arrive from `measured_from` to `measured_to` count
    /// for the ratios.
    duration measured_from = seconds(5);
    duration measured_to = seconds(25);
    /// End of the disturbance from which recovery is measured; zero if none.
    duration trigger_end{};
    /// Demand over time; 1 is the capacity of the last service of the chain.
    std::function<double(double second)> demand;
    /// Factor on an account's demand.
    std::function<double(const client_account&, double second)> account_demand;
    /// Factor on the service time of the last service.
    std::function<double(double second)> slowdown;
    /// How many times a client resends a failed request, without a delay.
    std::size_t resends = 0;
    /// When every second instance restarts cold; zero for never.
    duration restart_at{};
    load_report reports = load_report::accurate;
    /// Whether only critical requests are sent; such a run is the reference
    /// for the ratio that the deadline allows.
    bool only_critical = false;
    /// Whether instances announce their number of slots.
    bool slots_announced = true;
};

/// Services of the biogas league's notes chain. Long service times keep the
/// number of events of a run small; only their ratios matter.
const std::vector<service_model>& services();
const std::vector<endpoint_model>& endpoints();
const std::vector<account_model>& accounts();

/// Requests per second that the last service can answer at normal speed.
double chain_capacity();

/// All scenarios of the benchmark.
std::vector<scenario> scenarios();

/// How long a restarted instance is down, and how long it takes to warm up.
constexpr duration restart_downtime = seconds(1);
constexpr duration warmup_time = seconds(5);
/// Service time right after a restart, relative to the normal one.
constexpr double cold_slowdown = 4;

} // namespace fulmarjunction::bench
