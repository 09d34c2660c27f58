#include "concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace fulmarjunction::detail {

namespace {

/// Long enough to average several answers at common service times.
constexpr duration min_window = milliseconds(200);
/// A window with fewer answers is extended, up to `max_window`.
constexpr std::size_t min_window_samples = 8;
constexpr duration max_window = seconds(2);
/// Growth per window during ramp-up: 8 windows from 8 to 80.
constexpr double ramp_up_growth = 1.35;
/// Growth per window after the limit has been lowered once.
constexpr double growth_after_decrease = 1.03;
/// Ratio of latency to baseline above which a trial starts. With announced
/// slots the limit is seldom too high, and a lower ratio starts trials on the
/// noise of few answers. Without them, a lower ratio leaves fewer requests
/// queued inside the backend server.
constexpr double trial_threshold_slots_known = 2.0;
constexpr double trial_threshold_slots_unknown = 1.5;
/// A trial that lowers latency to less than this fraction shows that requests
/// queue inside the backend server.
constexpr double trial_success_ratio = 0.75;
constexpr duration trial_interval = seconds(2);
constexpr double trial_decrease_factor = 0.75;
constexpr double refusal_decrease_factor = 0.9;

} // namespace

concurrency_limit::concurrency_limit(
    const admission_settings& settings, time_point start)
    : settings_(settings), limit_(static_cast<double>(settings.start_limit)),
      ceiling_(static_cast<double>(settings.max_limit))
{
    window_.start = start;
    next_trial_ = start;
}

std::size_t concurrency_limit::value() const
{
    const double value = in_trial_ ? limit_ / 2 : limit_;
    return std::max(
        settings_.min_limit, static_cast<std::size_t>(std::lround(value)));
}

void concurrency_limit::restart(std::size_t slots, time_point now)
{
    const auto ceiling =
        slots == 0 ? settings_.max_limit : std::min(slots, settings_.max_limit);
    ceiling_ = static_cast<double>(std::max(ceiling, settings_.min_limit));
    limit_ = std::min(ceiling_, static_cast<double>(settings_.start_limit));
    slots_known_ = slots != 0;
    window_ = window{};
    window_.start = now;
    baseline_latency_ = 0;
    lowered_ = false;
    in_trial_ = false;
    next_trial_ = now;
}

void concurrency_limit::finished(
    completion result, time_point started, duration own_latency)
{
    if (result == completion::refused)
        ++window_.refused;
    if (result == completion::timed_out)
        ++window_.timed_out;
    if (result != completion::succeeded)
        return;
    if (in_trial_ && started < trial_samples_from_)
        return;
    ++window_.succeeded;
    window_.latency_sum += to_seconds(own_latency);
}

void concurrency_limit::tick(bool saturated, time_point now)
{
    window_.saturated = window_.saturated || saturated;
    const auto age = now - window_.start;
    if (age < min_window)
        return;
    if (window_.succeeded < min_window_samples && age < max_window)
        return;
    if (in_trial_)
        end_trial(now);
    else
        close_window(now);
    window_ = window{};
    window_.start = now;
}

void concurrency_limit::close_window(time_point now)
{
    const auto total = window_.succeeded + window_.refused + window_.timed_out;
    // A server that refuses has fewer slots than the limit; the threshold of 1
    // in 50 keeps single refusals from lowering it.
    if (window_.refused * 50 > total) {
        lower(refusal_decrease_factor);
        return;
    }
    if (window_.succeeded == 0)
        return;
    const double latency =
        window_.latency_sum / static_cast<double>(window_.succeeded);
    if (baseline_latency_ == 0 || latency < baseline_latency_)
        baseline_latency_ = latency;
    if (!window_.saturated) {
        // An unsaturated limit adds no wait, so this is the server's own
        // latency.
        baseline_latency_ += 0.2 * (latency - baseline_latency_);
        // The ramp-up to the announced slots continues without demand, or the
        // limit would be too low for a surge.
        if (slots_known_ && !lowered_)
            grow();
        return;
    }
    const double threshold = slots_known_ ? trial_threshold_slots_known
                                          : trial_threshold_slots_unknown;
    if (latency > threshold * baseline_latency_) {
        if (now >= next_trial_)
            begin_trial(latency, now);
        return;
    }
    grow();
}

void concurrency_limit::grow()
{
    const double factor = lowered_ ? growth_after_decrease : ramp_up_growth;
    limit_ = std::min(ceiling_, std::max(limit_ + 1, limit_ * factor));
}

void concurrency_limit::begin_trial(double latency, time_point now)
{
    in_trial_ = true;
    latency_before_trial_ = latency;
    trial_samples_from_ = now + from_seconds(latency);
    next_trial_ = now + trial_interval;
}

void concurrency_limit::end_trial(time_point now)
{
    in_trial_ = false;
    next_trial_ = now + trial_interval;
    if (window_.succeeded == 0)
        return;
    const double latency =
        window_.latency_sum / static_cast<double>(window_.succeeded);
    if (latency < trial_success_ratio * latency_before_trial_)
        lower(trial_decrease_factor);
    else
        baseline_latency_ = latency;
}

void concurrency_limit::lower(double factor)
{
    const auto floor = static_cast<double>(settings_.min_limit);
    limit_ = std::max(floor, limit_ * factor);
    lowered_ = true;
}

} // namespace fulmarjunction::detail
