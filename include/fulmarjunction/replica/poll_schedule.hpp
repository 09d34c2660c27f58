/// @file
/// Which nodes poll the table, and when.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace fulmarjunction {

/// Decides whether a node polls: the first few live instances of its
/// availability zone by hash do.
struct reader_election
{
    /// Readers in each availability zone: one may be lost without a gap.
    std::size_t readers_per_zone = 2;

    /// @param live names of the live instances of one availability zone
    /// @return whether `self` is among the readers; `self` counts as live
    bool is_reader(
        const instance_name& self,
        const std::vector<instance_name>& live) const;

    /// @return the readers, in order
    std::vector<instance_name> readers(std::vector<instance_name> live) const;
};

/// Bounds of polling.
struct poll_settings
{
    /// Interval of an elected reader.
    duration interval = seconds(1);
    /// Longest interval of a reader while the store fails. Must stay below
    /// half the freshness limit, because evidence of a failure expires.
    duration max_interval = seconds(2);
    /// A node that has heard no evidence for this long polls by itself:
    /// half the freshness limit.
    duration fallback_after = seconds(2);
    /// Interval of a node that polls by itself. At 2,600 nodes it bounds a
    /// fleet that has lost all its links to 1,040 reads/s.
    duration fallback_interval = milliseconds(2500);
};

/// Tells when this node polls the table next.
class poll_schedule
{
public:
    /// @param random returns uniform 64-bit numbers; seeded in tests
    poll_schedule(
        poll_settings settings, time_point start,
        std::function<std::uint64_t()> random);

    /// Decides whether to send a poll now; never while one is in flight.
    /// @param reader whether this node is an elected reader
    /// @param newest_evidence time of the newest evidence heard, if any
    bool should_poll(
        time_point now, bool reader, std::optional<time_point> newest_evidence);

    void sent(time_point now);
    void succeeded(time_point now);
    /// @param now when the failure became known
    void failed(time_point now);

    /// The table had more rows than one list returns: poll again at once.
    void poll_again(time_point now);

private:
    duration random_part(duration span);
    duration jittered(duration span);

    poll_settings settings_;
    std::function<std::uint64_t()> random_;
    bool in_flight_ = false;
    duration reader_wait_;
    time_point reader_due_;
    time_point alone_due_;
    bool quiet_ = false;
    time_point start_;
};

} // namespace fulmarjunction
