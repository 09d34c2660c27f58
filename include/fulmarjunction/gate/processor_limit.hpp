/// @file
/// Limits the requests of a node that is short of processor time.
#pragma once

#include <fulmarjunction/core/time.hpp>

namespace fulmarjunction {

/// Settings of `processor_limit`.
struct processor_limit_settings
{
    /// Mean delay of due timers above which the node counts as short of
    /// processor time. A request takes many turns of the event loop, each of
    /// which waits as long.
    milliseconds max_delay{10};
    /// Minimum time between two changes of the share.
    milliseconds period{200};
    /// Factor by which the share falls, and the amount by which it rises.
    double decrease = 0.7;
    double increase = 0.1;
    double min_share = 0.05;
};

/// Computes which share of the slots of its backend server a node can serve.
///
/// Each request in progress costs the node processor time again: for the calls
/// that it makes, its answer, its cancellation. When that time runs out, the
/// slots stay occupied for longer, until requests end after their deadlines.
/// The event loop then runs late. The share falls quickly while it does and
/// rises slowly otherwise, so that what is admitted is also finished.
class processor_limit
{
public:
    explicit processor_limit(processor_limit_settings settings = {});

    /// Records by how much a timer was late.
    /// @return whether the share has changed
    bool record_delay(duration delay, time_point now);

    /// Returns the share of the slots to use, above 0 and at most 1.
    double share() const { return share_; }

private:
    processor_limit_settings settings_;
    duration total_delay_{};
    int delays_ = 0;
    time_point next_change_at_{};
    double share_ = 1;
};

} // namespace fulmarjunction
