#include <fulmarjunction/gate/start_rate.hpp>

#include <algorithm>

namespace fulmarjunction {

namespace {

/// A backend server that names no rate above 0 still gets this many requests
/// per second, since only its answers can tell that it has recovered.
constexpr double min_per_second = 0.5;

/// Time whose requests may start at once after a pause.
constexpr double burst_s = 0.25;

} // namespace

void start_rate::set(std::optional<double> per_second, time_point now)
{
    if (per_second)
        per_second = std::max(min_per_second, *per_second);
    if (per_second == per_second_)
        return;
    // A new limit starts without tokens: the backend server has just got more
    // than it wants.
    tokens_ = per_second_ ? tokens_at(now) : 0;
    updated_at_ = now;
    per_second_ = per_second;
}

double start_rate::max_tokens() const
{
    return std::max(1.0, *per_second_ * burst_s);
}

double start_rate::tokens_at(time_point now) const
{
    const auto earned = to_seconds(now - updated_at_) * *per_second_;
    return std::min(tokens_ + earned, max_tokens());
}

bool start_rate::take(time_point now)
{
    if (!per_second_)
        return true;
    tokens_ = tokens_at(now);
    updated_at_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

duration start_rate::time_until(std::size_t count, time_point now) const
{
    if (!per_second_)
        return {};
    const auto missing = static_cast<double>(count) - tokens_at(now);
    return from_seconds(std::max(0.0, missing) / *per_second_);
}

} // namespace fulmarjunction
