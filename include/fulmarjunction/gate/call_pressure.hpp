/// @file
/// Measures how far calls to a backend server exceed its capacity.
#pragma once

#include <fulmarjunction/core/time.hpp>

#include <cstddef>

namespace fulmarjunction {

/// How a gate decided on a request.
enum class gate_outcome
{
    /// Started at once or after a short wait.
    in_time,
    /// Started after a wait that took much of the time left to its deadline.
    delayed,
    refused
};

/// Settings of `call_pressure`.
struct call_pressure_settings
{
    /// Time over which outcomes are counted.
    milliseconds window{500};
    /// Minimum time between two rises. The effect of a rise shows only after
    /// the entry nodes have received it and requests in flight have ended.
    milliseconds settle_time{1500};
    /// Weight of a delayed call; a refused call counts 1.
    double delay_weight = 0.3;
    /// Fraction of root requests that must be refused for them to count as
    /// starved by calls, and the rise of the level in that case.
    double starvation_threshold = 0.7;
    double starvation_rise = 0.1;
    double max_rise = 0.5;
    /// Decrease in each window without refused or delayed calls. The larger
    /// step applies while less than `idle_usage` of the slots is in use: the
    /// load that raised the level has then gone.
    double recovery_step = 0.015;
    double idle_recovery_step = 0.1;
    double idle_usage = 0.6;
    double max_level = 3;
};

/// Computes how much load the entry nodes should shed so that the resulting
/// calls find free slots here.
///
/// This protects a service deep in the call graph that receives more calls
/// than it has slots. A request whose call is refused there fails after it has
/// used slots upstream, so it is cheaper to refuse it at the entry. The level
/// rises with the fraction of calls that found no free slot and falls slowly
/// without such calls: 0 sheds nothing, 1 sheds all of the least important
/// requests that lead here, 2 sheds those of the next priority as well.
class call_pressure
{
public:
    explicit call_pressure(call_pressure_settings settings = {});

    /// Counts a request that the gate decided on.
    /// @param is_call whether a backend server sent it
    void count(bool is_call, gate_outcome result);

    /// Counts calls that their senders refused themselves, since this gate and
    /// others of the service refuse most of them.
    void count_throttled(double calls);

    /// Updates the level if the current window has ended.
    /// @param usage fraction of the slots in use now
    /// @return whether the level rose
    bool advance(time_point now, double usage);

    double level() const { return level_; }

private:
    double rise() const;

    call_pressure_settings settings_;
    time_point window_ends_{};
    time_point next_rise_at_{};
    double calls_ = 0;
    /// Refused calls, plus delayed calls times `delay_weight`.
    double congested_calls_ = 0;
    double root_requests_ = 0;
    double refused_root_requests_ = 0;
    double level_ = 0;
};

} // namespace fulmarjunction
