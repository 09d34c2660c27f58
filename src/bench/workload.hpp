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
    /// Mean own work before and after the call to the next service.
    duration before{};
    duration after{};
};

/// An endpoint and its part of the demand.
struct endpoint_model
{
    endpoint_name name;
    importance rank = importance::normal;
    /// Number of services that a request passes.
    std::size_t depth = 3;
    /// Requests per second at a demand of 1.
    double rate = 0;
};

/// A client account and its part of the demand.
struct account_model
{
    client_account name;
    double weight = 1;
    double part = 0;
};

/// What backend servers report as their load.
enum class load_report
{
    honest,
    frozen,
    inverted
};

/// One run of the benchmark.
struct scenario
{
    std::string name;
    duration length = seconds(25);
    /// Requests that arrive from here on count for the ratios.
    duration measured_from = seconds(5);
    duration measured_to = seconds(25);
    /// End of the trigger; zero where there is none.
    duration trigger_end{};
    /// Demand over time; 1 fills the last service of the chain.
    std::function<double(double second)> demand;
    /// Factor on an account's demand.
    std::function<double(const client_account&, double second)> account_demand;
    /// Factor on the service time of the last service.
    std::function<double(double second)> slowness;
    /// How often a client resends a failed request at once.
    std::size_t resends = 0;
    /// When every second instance restarts cold; zero for never.
    duration restart_at{};
    load_report reports = load_report::honest;
    /// Whether critical requests are the only ones, as a reference for what
    /// the deadline allows.
    bool only_critical = false;
    /// Whether instances announce their number of slots.
    bool slots_announced = true;
};

/// Services of the biogas league's notes chain. Service times are long so
/// that a run has few events; only their ratios matter.
const std::vector<service_model>& services();
const std::vector<endpoint_model>& endpoints();
const std::vector<account_model>& accounts();

/// Requests per second that the last service can answer at normal speed.
double chain_capacity();

/// All scenarios of the benchmark.
std::vector<scenario> scenarios();

/// How long a restarted instance is down, and how long it is cold.
constexpr duration restart_down = seconds(1);
constexpr duration cold_time = seconds(5);
/// Service time right after a restart, relative to the normal one.
constexpr double cold_slowness = 4;

} // namespace fulmarjunction::bench
