/// @file
/// Tells how far the calls for a backend server exceed its room.
#pragma once

#include <fulmarjunction/core/time.hpp>

#include <cstddef>

namespace fulmarjunction {

/// How a gate decided on a request.
enum class gate_outcome
{
    /// It ran at once or soon.
    in_time,
    /// It ran after a wait that is long for the time it had.
    delayed,
    refused
};

/// Settings of `call_pressure`.
struct call_pressure_settings
{
    /// Time over which fates are summed up.
    milliseconds window{500};
    /// After a rise the nodes at the entry learn of it and what is under way
    /// ends; only then is its effect judged.
    milliseconds settle_time{1500};
    /// Weight of a delayed call, where a refused one counts 1.
    double delay_weight = 0.3;
    /// Part of the refused new work above which it counts as starved by the
    /// calls, and the rise that this is worth.
    double starvation_threshold = 0.7;
    double starvation_rise = 0.1;
    double max_rise = 0.5;
    /// Fall in each window without pressure, and while less than this part of
    /// the slots is used: then the load that asked for less has gone.
    double recovery_step = 0.015;
    double idle_recovery_step = 0.1;
    double idle_usage = 0.6;
    double max_level = 3;
};

/// Works out how much work should be kept from entering the system, so that
/// the calls that it leads to have room here.
///
/// Answers the load of calls beyond the slots of a service deep in the call
/// graph. A request whose call is refused there fails after it has used slots
/// further up, so it is better refused at the entry. The level rises with the
/// part of the calls that had no room and falls slowly without such calls: 0
/// asks for nothing, 1 to refuse all of the least important requests that
/// lead here, 2 those of the next importance as well.
class call_pressure
{
public:
    explicit call_pressure(call_pressure_settings settings = {});

    /// Takes note of a request that the gate decided on.
    /// @param is_call whether a backend server made it
    void count(bool is_call, gate_outcome fate);

    /// Adapts the level where a window has ended.
    /// @param usage part of the slots that is used now
    /// @return whether it rose
    bool advance(time_point now, double usage);

    double level() const { return level_; }

private:
    double rise() const;

    call_pressure_settings settings_;
    time_point window_ends_{};
    time_point judged_from_{};
    double calls_ = 0;
    double pressed_calls_ = 0;
    double new_requests_ = 0;
    double refused_requests_ = 0;
    double level_ = 0;
};

} // namespace fulmarjunction
