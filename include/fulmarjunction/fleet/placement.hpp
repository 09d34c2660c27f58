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
    /// Id of the run of the backend server that must answer.
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
    /// The backend server ran it and failed.
    failed,
    /// The node beside it refused it; it has not run.
    refused,
    /// No node or backend server could be reached.
    unreachable,
    /// The caller left or the time was up.
    abandoned
};

/// Settings of `placement`.
struct placement_settings
{
    /// Load, as a part of the limit, by which the own zone may be fuller
    /// than another before requests leave it: traffic between availability
    /// zones costs money and time.
    double zone_preference = 0.4;
    /// Load that one failed request in one counts as.
    double failure_weight = 2.0;
    /// Load that a service time of one whole objective counts as.
    double slowness_weight = 1.0;
    /// A target that could not be reached, or that refused, is left out for
    /// this long while there are others.
    milliseconds unreachable_pause{1000};
    milliseconds refused_pause{100};
};

/// Spreads requests over the backend servers of a service.
///
/// Answers the load of unequal, slow, failing and full backend servers: it
/// takes the best of a few by reported load, measured time and failures,
/// and prefers its own availability zone while that one has room.
class placement
{
public:
    placement(
        availability_zone own_zone, std::function<std::uint64_t()> random,
        placement_settings settings = {});

    /// Replaces the targets of all services; what was measured stays.
    void
    set_targets(const std::multimap<service_name, placement_target>& targets);

    /// Takes note of the load that a node reports.
    void set_load(const instance_name& node, std::size_t load);

    /// A choice that has been made; give it back to `record_result`.
    struct choice
    {
        instance_name node;
        std::string backend_id;
    };

    /// Returns where to send a request of a route.
    /// @param objective of the route, against which times are weighed
    /// @param tried nodes that have had the request
    std::optional<choice> choose(
        const service_name& service, const std::string& route_name,
        duration objective, const std::vector<instance_name>& tried,
        time_point now);

    /// Ends a choice.
    /// @param took time from sending to the answer, when served or failed
    /// @param load requests running and waiting there, if it said so
    void record_result(
        const choice& chosen, const std::string& route_name,
        placement_result how, duration took, std::optional<std::size_t> load,
        time_point now);

    /// Returns nodes that have requests and have answered none for `limit`:
    /// they may be gone without a word.
    std::vector<instance_name>
    unresponsive_nodes(duration limit, time_point now) const;

    /// Returns the number of targets of a service.
    std::size_t count(const service_name& service) const;

private:
    struct record
    {
        placement_target target;
        /// Requests of this node that are on their way or running there.
        std::size_t outstanding = 0;
        /// Requests sent since the load was reported.
        std::size_t sent_since = 0;
        double failure_rate = 0;
        /// Last answer, or when requests began to be outstanding.
        time_point quiet_since{};
        time_point paused_until{};
        std::unordered_map<std::string, double> seconds_by_route;
    };

    /// Targets of one service; the records are those of `records_`.
    struct service_targets
    {
        std::vector<record*> own_zone;
        std::vector<record*> other_zones;
    };

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
};

} // namespace fulmarjunction
