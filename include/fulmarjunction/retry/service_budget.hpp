/// @file
/// Bounds the repeated requests that a service gets from the whole fleet.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <unordered_map>

namespace fulmarjunction {

/// What the operators allow.
struct service_budget_settings
{
    /// Repeats for each first request of a service.
    double ratio = 0.1;
    /// Repeats beyond the ratio, over all nodes, in one window.
    double slack = 20;
    duration window = seconds(10);
};

/// This node's part of the repeats that each service may get.
///
/// Repeats are earned by first requests, so that all nodes together stay
/// within the ratio without talking to each other. The slack is divided
/// among the nodes. A node begins with nothing: its earlier incarnation
/// may have spent what it had.
class service_budget
{
public:
    explicit service_budget(service_budget_settings settings);

    /// Sets the number of nodes that share the slack.
    void set_nodes(std::size_t count);

    /// Counts the first sending of a request.
    void count_first_attempt(const service_name& service, time_point now);

    /// Spends one repeat and those that it causes further down.
    /// @param cost arrivals at backend servers that one repeat leads to
    /// @return whether the budget allows it
    bool spend(const service_name& service, double cost, time_point now);

private:
    struct account
    {
        double tokens = 0;
        time_point updated_at{};
    };

    account& refill(const service_name& service, time_point now);
    double slack_part() const;

    service_budget_settings settings_;
    std::size_t nodes_ = 1;
    std::unordered_map<service_name, account> accounts_;
};

} // namespace fulmarjunction
