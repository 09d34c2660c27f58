#include "concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace fulmarjunction::detail {

namespace {

/// Long enough for a mean of several answers at common service times.
constexpr duration window_length = milliseconds(200);
/// A window with fewer answers is extended, up to `longest_window`.
constexpr std::size_t window_samples = 8;
constexpr duration longest_window = seconds(2);
/// Growth in a window during the ramp: 8 to 80 takes 8 windows.
constexpr double ramp_factor = 1.35;
/// Growth after the limit has been lowered once.
constexpr double probe_factor = 1.03;
/// Latency over the baseline at which a trial is made. With announced slots
/// the limit is seldom too high, and a lower value starts trials on the noise
/// of few answers; without them it leaves fewer requests waiting inside.
constexpr double trial_threshold_known = 2.0;
constexpr double trial_threshold_unknown = 1.5;
/// A trial that lowers latency to less than this shows that requests wait
/// inside the backend server.
constexpr double trial_effect = 0.75;
constexpr duration trial_interval = seconds(2);
constexpr double lower_factor = 0.75;
constexpr double refused_factor = 0.9;

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
    baseline_ = 0;
    lowered_ = false;
    in_trial_ = false;
    next_trial_ = now;
}

void concurrency_limit::finished(
    completion how, time_point started, duration own_time)
{
    if (how == completion::refused)
        ++window_.refused;
    if (how == completion::timed_out)
        ++window_.timed_out;
    if (how != completion::succeeded)
        return;
    if (in_trial_ && started < trial_counts_from_)
        return;
    ++window_.succeeded;
    window_.latency_sum += to_seconds(own_time);
}

void concurrency_limit::tick(bool saturated, time_point now)
{
    window_.saturated = window_.saturated || saturated;
    const auto age = now - window_.start;
    if (age < window_length)
        return;
    if (window_.succeeded < window_samples && age < longest_window)
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
    const auto all = window_.succeeded + window_.refused + window_.timed_out;
    // A server that refuses has fewer slots than the limit; 1 in 50 keeps
    // single refusals from lowering it.
    if (window_.refused * 50 > all) {
        lower(refused_factor);
        return;
    }
    if (window_.succeeded == 0)
        return;
    const double latency =
        window_.latency_sum / static_cast<double>(window_.succeeded);
    if (baseline_ == 0 || latency < baseline_)
        baseline_ = latency;
    if (!window_.saturated) {
        // An unused limit adds no wait, so this is the server's own latency.
        baseline_ += 0.2 * (latency - baseline_);
        // The ramp to the announced slots goes on without demand, or a surge
        // would meet a limit that is too low.
        if (slots_known_ && !lowered_)
            grow();
        return;
    }
    const double threshold =
        slots_known_ ? trial_threshold_known : trial_threshold_unknown;
    if (latency > threshold * baseline_) {
        if (now >= next_trial_)
            begin_trial(latency, now);
        return;
    }
    grow();
}

void concurrency_limit::grow()
{
    const double factor = lowered_ ? probe_factor : ramp_factor;
    limit_ = std::min(ceiling_, std::max(limit_ + 1, limit_ * factor));
}

void concurrency_limit::begin_trial(double latency, time_point now)
{
    in_trial_ = true;
    latency_before_trial_ = latency;
    trial_counts_from_ = now + from_seconds(latency);
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
    if (latency < trial_effect * latency_before_trial_)
        lower(lower_factor);
    else
        baseline_ = latency;
}

void concurrency_limit::lower(double factor)
{
    const auto floor = static_cast<double>(settings_.min_limit);
    limit_ = std::max(floor, limit_ * factor);
    lowered_ = true;
}

} // namespace fulmarjunction::detail
