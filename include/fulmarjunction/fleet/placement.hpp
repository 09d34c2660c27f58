/// @file
/// Chooses the backend server that runs a request.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fulmarjunction {

/// A backend server that may take requests of its service.
struct placement_target
{
    instance_name node;
    /// Id of the backend server process that must answer.
    std::string backend_id;
    availability_zone zone;
    std::size_t limit = 0;
    /// Requests running and waiting there, as last reported.
    std::size_t load = 0;

    bool operator==(const placement_target&) const = default;
};

/// How a request that was sent to a target ended.
enum class placement_result
{
    served,
    /// The backend server ran it and reported a failure.
    failed,
    /// The node refused it; it has not run.
    refused,
    /// The node or its backend server could not be reached.
    unreachable,
    /// The caller canceled it or its deadline passed.
    abandoned
};

/// Settings of `placement`.
struct placement_settings
{
    /// Load difference, as a fraction of the limit, above which requests are
    /// sent to another availability zone. Traffic between zones costs money
    /// and time.
    double zone_preference = 0.4;
    /// Load that a failure rate of 1 counts as.
    double failure_weight = 2.0;
    /// Load that a service time equal to the objective counts as.
    double slowness_weight = 1.0;
    /// Time for which a target that was unreachable, or that refused a
    /// request, is not chosen while there are others.
    milliseconds unreachable_pause{1000};
    milliseconds refused_pause{100};
    /// Time within which a process that says that it leaves has ended. Later,
    /// another process may have its id.
    seconds leaving_time{30};
};

/// Spreads requests over the backend servers of a service.
///
/// This copes with backend servers that are unequal, slow, failing or full. It
/// samples a few targets, takes the best by reported load, measured latency and
/// failure rate, and prefers its own availability zone while that has capacity.
class placement
{
public:
    placement(
        availability_zone own_zone, std::function<std::uint64_t()> random,
        placement_settings settings = {});

    /// Replaces the targets of all services. Measurements of backend server
    /// processes that remain are kept.
    void
    set_targets(const std::multimap<service_name, placement_target>& targets);

    /// Records the load that a node reports.
    void set_load(const instance_name& node, std::size_t load);

    /// A chosen target. Each choice must be passed to `record_result`.
    struct choice
    {
        instance_name node;
        std::string backend_id;
    };

    /// Chooses the target for a request of a route.
    /// @param objective latency objective of the route, which measured times
    ///        are divided by
    /// @param tried nodes that the request has already been sent to
    std::optional<choice> choose(
        const service_name& service, const std::string& route_name,
        duration objective, const std::vector<instance_name>& tried,
        time_point now);

    /// Chooses a given node, if it is a target of any service.
    std::optional<choice>
    choose_node(const instance_name& node, time_point now);

    /// Records the result of a request that was sent to a choice.
    /// @param latency time from sending to the answer, when served or failed
    /// @param load requests running and waiting there, if reported
    void record_result(
        const choice& chosen, const std::string& route_name,
        placement_result result, duration latency,
        std::optional<std::size_t> load, time_point now);

    /// Records that a backend server process says that it leaves. It is not
    /// chosen any more, whatever its node reports.
    void record_leaving(const choice& chosen, time_point now);

    /// Returns nodes with outstanding requests that have answered none for
    /// `limit`: they may have failed without closing their connections.
    std::vector<instance_name>
    unresponsive_nodes(duration limit, time_point now) const;

    /// Returns the number of targets of a service.
    std::size_t count(const service_name& service) const;

    /// Returns the nodes of the targets of a service.
    std::vector<instance_name> nodes(const service_name& service) const;

private:
    struct record
    {
        placement_target target;
        /// Requests sent by this node that have not ended.
        std::size_t outstanding = 0;
        /// Requests sent since the last load report.
        std::size_t sent_since = 0;
        double failure_rate = 0;
        /// Time of the last answer, or of the first outstanding request when
        /// that is later.
        time_point unanswered_since{};
        time_point paused_until{};
        std::unordered_map<std::string, double> seconds_by_route;
    };

    /// Targets of one service; the records are those of `records_`.
    struct service_targets
    {
        std::vector<record*> own_zone;
        std::vector<record*> other_zones;
    };

    static choice take(record& target, time_point now);
    double cost(
        const record& candidate, const std::string& route_name,
        duration objective, time_point now) const;
    std::vector<record*> sample(
        const std::vector<record*>& from,
        const std::vector<instance_name>& tried);

    availability_zone own_zone_;
    std::function<std::uint64_t()> random_;
    placement_settings settings_;
    std::map<instance_name, record> records_;
    std::unordered_map<service_name, service_targets> by_service_;
    /// Ids of processes that leave, with the time until which they are not
    /// chosen.
    std::unordered_map<std::string, time_point> leaving_;
};

} // namespace fulmarjunction
