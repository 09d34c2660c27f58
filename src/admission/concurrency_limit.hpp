/// @file
/// Adaptive bound of the requests in flight at one backend server.
#pragma once

#include <fulmarjunction/admission/admission.hpp>

namespace fulmarjunction::detail {

/// Grows the limit while it is used up, and lowers it only when a trial at
/// half the limit shows that fewer requests in flight are answered faster.
/// Without the trial a server slowed by a service below it would be taken for
/// one with too many requests, and its limit would fall for nothing.
class concurrency_limit
{
public:
    concurrency_limit(const admission_settings& settings, time_point start);

    /// A request that started at `started` has ended.
    /// @param own_time time since then without waits for other services
    void finished(completion how, time_point started, duration own_time);

    /// Closes the measuring window when it is due.
    /// @param saturated whether the limit holds requests back
    void tick(bool saturated, time_point now);

    /// Starts the ramp again.
    /// @param slots announced slots; 0 where unknown
    void restart(std::size_t slots, time_point now);

    /// Returns the number of requests that may be in flight.
    std::size_t value() const;

private:
    struct window
    {
        time_point start;
        std::size_t succeeded = 0;
        std::size_t refused = 0;
        std::size_t timed_out = 0;
        double latency_sum = 0;
        bool saturated = false;
    };

    void close_window(time_point now);
    void grow();
    void begin_trial(double latency, time_point now);
    void end_trial(time_point now);
    void lower(double factor);

    admission_settings settings_;
    double limit_;
    double ceiling_;
    bool slots_known_ = false;
    window window_;
    /// Latency in seconds while the limit was not in the way; 0 if unknown.
    double baseline_ = 0;
    /// Whether the limit was lowered since the start; growth is slow then.
    bool lowered_ = false;
    bool in_trial_ = false;
    double latency_before_trial_ = 0;
    /// Requests that started before this do not count for the trial.
    time_point trial_counts_from_;
    time_point next_trial_;
};

} // namespace fulmarjunction::detail
