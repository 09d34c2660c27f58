/// @file
/// Elects the nodes that poll the table and schedules their polls.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace fulmarjunction {

/// Elects the readers of an availability zone: the first few of its live
/// instances in order of a hash of their names.
struct reader_election
{
    /// Readers in each availability zone. With two, polling continues without a
    /// gap when one is lost.
    std::size_t readers_per_zone = 2;

    /// @param live names of the live instances of one availability zone
    /// @return whether `self` is among the readers; `self` counts as live
    bool is_reader(
        const instance_name& self,
        const std::vector<instance_name>& live) const;

    /// @param live names of the live instances of one availability zone
    /// @return the readers in order of their hash
    std::vector<instance_name> readers(std::vector<instance_name> live) const;
};

/// Intervals of polling.
struct poll_settings
{
    /// Interval of an elected reader.
    duration interval = seconds(1);
    /// Maximum interval of a reader while the store fails. Must stay below
    /// half the freshness limit, because evidence of a failure expires.
    duration max_interval = seconds(2);
    /// Time without evidence after which a node that is not a reader polls the
    /// table itself: half the freshness limit.
    duration fallback_after = seconds(2);
    /// Interval of such a fallback poll. It limits a fleet of 2,600 nodes that
    /// has lost all its links to 1,040 reads/s.
    duration fallback_interval = milliseconds(2500);
};

/// Schedules the polls of this node.
class poll_schedule
{
public:
    /// @param random returns uniformly distributed 64-bit numbers; seeded in
    ///        tests
    poll_schedule(
        poll_settings settings, time_point start,
        std::function<std::uint64_t()> random);

    /// Returns whether to send a poll now. Never while a poll is in flight.
    /// @param reader whether this node is an elected reader
    /// @param newest_evidence time of the newest evidence received, if any
    bool should_poll(
        time_point now, bool reader, std::optional<time_point> newest_evidence);

    void sent(time_point now);
    void succeeded(time_point now);
    /// @param now when the failure was detected
    void failed(time_point now);

    /// Schedules the next poll immediately, because the table has more rows
    /// than one list returned.
    void poll_again(time_point now);

private:
    duration random_fraction(duration span);
    duration jittered(duration span);

    poll_settings settings_;
    std::function<std::uint64_t()> random_;
    bool in_flight_ = false;
    duration reader_interval_;
    time_point next_reader_poll_;
    time_point next_fallback_poll_;
    bool in_fallback_ = false;
    time_point start_;
};

} // namespace fulmarjunction
