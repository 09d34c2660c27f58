#include "service_times.hpp"

#include <algorithm>

namespace fulmarjunction::detail {

namespace {

/// Ratio of a step down to a step up; with 9 the estimate settles near the 10%
/// quantile.
constexpr double down_to_up_ratio = 9;
constexpr double step = 0.02;
constexpr std::size_t min_samples = 20;
/// An estimate without new samples expires: it might cause every request to be
/// refused, and then none would correct it.
constexpr duration estimate_expiry = seconds(1);

} // namespace

void service_times::add(
    const endpoint_name& endpoint, duration elapsed, time_point now)
{
    auto& entry = endpoints_[endpoint];
    const double value = to_seconds(elapsed);
    if (entry.samples == 0)
        entry.seconds = value;
    else if (value < entry.seconds)
        entry.seconds =
            std::max(value, entry.seconds * (1 - down_to_up_ratio * step));
    else
        entry.seconds = std::min(value, entry.seconds * (1 + step));
    ++entry.samples;
    entry.updated = now;
}

duration
service_times::low_quantile(const endpoint_name& endpoint, time_point now) const
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || found->second.samples < min_samples)
        return duration::zero();
    if (now - found->second.updated > estimate_expiry)
        return duration::zero();
    return from_seconds(found->second.seconds);
}

} // namespace fulmarjunction::detail
