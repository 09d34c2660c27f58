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

/// Learns for each endpoint and client account which part of its roots is
/// refused somewhere below, and refuses that part before any work. Every hop
/// sheds by the same hash, so a root below the learned level cannot finish.
class endpoint_levels
{
public:
    /// @param random returns uniform 64-bit numbers; seeded in tests
    explicit endpoint_levels(std::function<std::uint64_t()> random);

    /// Returns whether the root may be sent. A small share of the roots below
    /// the level is let through, to notice a level that has become too high.
    bool admit(const entry_root& root, time_point now);

    /// A root that was admitted has ended.
    /// @param refused_below whether a call below the entry's own was refused
    ///        as overloaded, so that the work done above it was wasted
    void ended(const entry_root& root, bool refused_below, time_point now);

    /// Returns the level of an endpoint for an account, 0 when nothing is
    /// refused.
    admission_level
    level(const endpoint_name& endpoint, const client_account& account) const;

private:
    struct learned
    {
        /// Share of the roots that is refused.
        double refused_share = 0;
        double growth = 0;
        std::size_t ended = 0;
        std::size_t refused = 0;
        time_point period_start;
        time_point last_use;
        double rank = 0;
    };
    using key = std::pair<endpoint_name, client_account>;

    static void adjust(learned& state, time_point now);
    learned& state_of(const entry_root& root, time_point now);

    std::function<std::uint64_t()> random_;
    std::map<key, learned> learned_;
};

} // namespace fulmarjunction
