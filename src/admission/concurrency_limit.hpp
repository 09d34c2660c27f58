/// @file
/// Adaptive concurrency limit of one backend server.
#pragma once

#include <fulmarjunction/admission/admission.hpp>

namespace fulmarjunction::detail {

/// Raises the limit while it is saturated, and lowers it for high latency only
/// when a trial at half the limit shows that fewer requests in flight are
/// answered faster. Without the trial, a server slowed by a downstream service
/// would be taken for one with too many requests, and its limit would be
/// lowered without benefit.
class concurrency_limit
{
public:
    concurrency_limit(const admission_settings& settings, time_point start);

    /// Records the end of a request that started at `started`.
    /// @param own_latency time since then without waits for other services
    void finished(completion result, time_point started, duration own_latency);

    /// Closes the measurement window once it is complete.
    /// @param saturated whether the limit delays requests
    void tick(bool saturated, time_point now);

    /// Restarts the ramp-up.
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
    /// Latency in seconds while the limit did not delay requests; 0 if unknown.
    double baseline_latency_ = 0;
    /// Whether the limit was lowered since the last restart; growth is slower
    /// then.
    bool lowered_ = false;
    bool in_trial_ = false;
    double latency_before_trial_ = 0;
    /// Requests that started before this do not count for the trial.
    time_point trial_samples_from_;
    time_point next_trial_;
};

} // namespace fulmarjunction::detail
