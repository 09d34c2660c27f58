/// @file
/// Refuses, at the entry, roots that the services below would refuse.
#pragma once

#include <fulmarjunction/admission/admission.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace fulmarjunction {

/// A root of an endpoint, as its entry sees it.
struct entry_root
{
    endpoint_name endpoint;
    client_account account;
    request_priority priority = 0;
};

/// Level of a service for one flow. The service is named so that it can tell
/// the roots refused for its own sake from others.
struct service_level
{
    service_name service;
    /// 0 when nothing is refused.
    admission_level level = 0;
};

/// What an answer tells of the services below.
struct downstream_observation
{
    /// Whether a call below was refused as overloaded, so that the work done
    /// above it was wasted.
    bool refused = false;
    /// Highest level that the calls of this root met.
    service_level level{};
};

/// Learns for each endpoint and client account below which level roots are
/// refused somewhere below, and refuses these before any work. Every hop
/// sheds by the same hash, so a root below the level cannot finish. Used by
/// the entry for roots, and by the node of a backend server for the calls
/// that it is to run.
class endpoint_levels
{
public:
    /// @param random returns uniform 64-bit numbers; seeded in tests
    explicit endpoint_levels(std::function<std::uint64_t()> random);

    /// Returns whether the root may be sent. A small share of the roots below
    /// the level is let through, to notice a level that has become too high.
    /// @param margin added to the refused share. An entry refuses a little
    ///        more than the nodes below it, whose levels are newer than its
    ///        own, so that they seldom refuse what it has let pass.
    bool admit(const entry_root& root, time_point now, double margin = 0);

    /// A root that was sent has ended: answered, or refused below.
    void ended(
        const entry_root& root, const downstream_observation& seen,
        time_point now);

    /// Returns the level of an endpoint for an account, and the service that
    /// it comes from. It expires after a second without an answer.
    service_level level(
        const endpoint_name& endpoint, const client_account& account,
        time_point now) const;

private:
    struct learned
    {
        /// Importance class of the endpoint.
        double rank = 0;
        /// Share of the roots of the class that is refused below.
        double refused_share = 0;
        /// Share of the answers that met a level.
        double concerned = 0;
        time_point updated;
        service_name service;
    };
    using key = std::pair<endpoint_name, client_account>;

    static double share_at(const learned& state, time_point now);

    std::function<std::uint64_t()> random_;
    std::map<key, learned> learned_;
};

} // namespace fulmarjunction
