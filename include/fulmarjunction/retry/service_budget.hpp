/// @file
/// Limits the retries that a service receives from the whole fleet.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <unordered_map>

namespace fulmarjunction {

/// Limits set by the operators.
struct service_budget_settings
{
    /// Retries per first attempt at a service.
    double ratio = 0.1;
    /// Retries beyond the ratio in one window, summed over all nodes.
    double slack = 20;
    duration window = seconds(10);
};

/// This node's share of the retries that each service may receive.
///
/// First attempts earn retries, so that all nodes together stay within the
/// ratio without communication. The slack is divided among the nodes. A node
/// starts with an empty budget, since its earlier incarnation may have spent
/// its share.
class service_budget
{
public:
    explicit service_budget(service_budget_settings settings);

    /// Sets the number of nodes that share the slack.
    void set_nodes(std::size_t count);

    /// Counts the first attempt of a request.
    void count_first_attempt(const service_name& service, time_point now);

    /// Spends one retry and the downstream requests that it causes.
    /// @param cost requests to backend servers that one retry causes
    /// @return whether the budget allows it
    bool spend(const service_name& service, double cost, time_point now);

private:
    struct bucket
    {
        double tokens = 0;
        time_point updated_at{};
    };

    bucket& refill(const service_name& service, time_point now);
    double slack_share() const;

    service_budget_settings settings_;
    std::size_t nodes_ = 1;
    std::unordered_map<service_name, bucket> buckets_;
};

} // namespace fulmarjunction
