#include <fulmarjunction/retry/refusal_throttle.hpp>

#include <algorithm>

namespace fulmarjunction {

refusal_throttle::refusal_throttle(refusal_throttle_settings settings)
    : settings_(settings)
{
}

refusal_throttle::history&
refusal_throttle::update(const service_name& service, time_point now)
{
    auto& known = services_[service];
    const auto age = now - known.window_start;
    if (age < settings_.window)
        return known;
    known.previous = age < 2 * settings_.window ? known.current : counts{};
    known.current = {};
    known.window_start = now;
    return known;
}

refusal_throttle::counts
refusal_throttle::sum(const service_name& service, time_point now)
{
    const auto& known = update(service, now);
    return {
        known.current.accepted + known.previous.accepted,
        known.current.refused + known.previous.refused,
        known.current.throttled + known.previous.throttled};
}

bool refusal_throttle::should_refuse(
    const service_name& service, bool is_call, time_point now)
{
    const auto recent = sum(service, now);
    const auto decided = recent.accepted + recent.refused + recent.throttled;
    if (decided < static_cast<double>(settings_.min_requests))
        return false;
    const auto ratio = is_call ? settings_.call_ratio : settings_.root_ratio;
    const auto excess = 1 - ratio * recent.accepted / decided;
    auto& known = services_[service];
    known.pending_refusals +=
        std::clamp(excess, 0.0, settings_.max_refused_fraction);
    if (known.pending_refusals < 1)
        return false;
    known.pending_refusals -= 1;
    known.current.throttled += 1;
    return true;
}

void refusal_throttle::record(
    const service_name& service, bool was_refused, time_point now)
{
    auto& known = update(service, now);
    (was_refused ? known.current.refused : known.current.accepted) += 1;
}

refusal_throttle::summary refusal_throttle::most_throttled(time_point now)
{
    const auto counted_s = to_seconds(settings_.window) * 2;
    summary most;
    for (const auto& [service, known] : services_) {
        if (now - known.window_start >= 2 * settings_.window)
            continue;
        const auto rate =
            (known.current.throttled + known.previous.throttled) / counted_s;
        if (rate > most.refused_per_s)
            most = {service, rate};
    }
    return most;
}

bool refusal_throttle::may_try_another(
    const service_name& service, time_point now)
{
    const auto recent = sum(service, now);
    const auto sent = recent.accepted + recent.refused;
    return sent < static_cast<double>(settings_.min_requests) ||
           recent.refused <= sent * settings_.max_retried_fraction;
}

} // namespace fulmarjunction
