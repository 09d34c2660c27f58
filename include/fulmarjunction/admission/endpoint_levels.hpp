/// @file
/// Refuses roots early that downstream services would refuse.
#pragma once

#include <fulmarjunction/admission/admission.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace fulmarjunction {

/// Root request as its entry node sees it.
struct entry_root
{
    endpoint_name endpoint;
    client_account account;
    request_priority priority = 0;
};

/// Admission level of a service for one flow. With the service name, a service
/// can distinguish the roots refused upstream on its behalf from those refused
/// on behalf of other services.
struct service_level
{
    service_name service;
    /// 0 when nothing is refused.
    admission_level level = 0;
};

/// What an answer reports about downstream services.
struct downstream_observation
{
    /// Whether a downstream call was refused as overloaded, which wastes the
    /// work done upstream of it.
    bool refused = false;
    /// Highest level that the calls of this root have met.
    service_level level{};
};

/// Learns, for each endpoint and client account, the level below which
/// downstream services refuse roots, and refuses those roots before any work is
/// done. Every hop sheds by the same hash, so a root below the level cannot
/// finish. Used by the entry node for roots, and by the node of a backend
/// server for the calls that it is to run.
class endpoint_levels
{
public:
    /// @param random returns uniform 64-bit numbers; seeded in tests
    explicit endpoint_levels(std::function<std::uint64_t()> random);

    /// Returns whether the root may be sent. A small share of the roots below
    /// the level is admitted, to detect a level that has become too high.
    /// @param margin added to the refused share. An entry node refuses slightly
    ///        more than downstream nodes, whose levels are more recent, so that
    ///        they seldom refuse a root that it has admitted.
    bool admit(const entry_root& root, time_point now, double margin = 0);

    /// Records the end of a root that was sent: answered, or refused
    /// downstream.
    void ended(
        const entry_root& root, const downstream_observation& observation,
        time_point now);

    /// Returns the level of an endpoint for an account, and the service that
    /// set it. The level expires after a second without an answer.
    service_level level(
        const endpoint_name& endpoint, const client_account& account,
        time_point now) const;

private:
    struct endpoint_state
    {
        /// Importance class of the endpoint.
        double rank = 0;
        /// Share of the roots of this class that is refused downstream.
        double refused_share = 0;
        /// Share of the answers that report a level.
        double affected_share = 0;
        time_point updated;
        service_name service;
    };
    using key = std::pair<endpoint_name, client_account>;

    static double refused_share_at(const endpoint_state& state, time_point now);

    std::function<std::uint64_t()> random_;
    std::map<key, endpoint_state> states_;
};

} // namespace fulmarjunction
