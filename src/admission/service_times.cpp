#include "service_times.hpp"

#include <algorithm>

namespace fulmarjunction::detail {

namespace {

/// A step down is this many times a step up, so the estimate settles near
/// the 10% quantile.
constexpr double down_over_up = 9;
constexpr double step = 0.02;
constexpr std::size_t least_samples = 20;
/// Without new samples the estimate is not relied on: every request might be
/// refused for it, and none would correct it.
constexpr duration expiry = seconds(1);

} // namespace

void service_times::add(
    const endpoint_name& endpoint, duration taken, time_point now)
{
    auto& known = endpoints_[endpoint];
    const double value = to_seconds(taken);
    if (known.samples == 0)
        known.seconds = value;
    else if (value < known.seconds)
        known.seconds =
            std::max(value, known.seconds * (1 - down_over_up * step));
    else
        known.seconds = std::min(value, known.seconds * (1 + step));
    ++known.samples;
    known.updated = now;
}

duration
service_times::least(const endpoint_name& endpoint, time_point now) const
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || found->second.samples < least_samples)
        return duration::zero();
    if (now - found->second.updated > expiry)
        return duration::zero();
    return from_seconds(found->second.seconds);
}

} // namespace fulmarjunction::detail
