#include <fulmarjunction/gate/processor_limit.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

processor_limit::processor_limit(processor_limit_settings settings)
    : settings_(settings)
{
}

bool processor_limit::record_delay(duration delay, time_point now)
{
    total_delay_ += delay;
    ++delays_;
    if (now < next_change_at_)
        return false;
    next_change_at_ = now + settings_.period;
    const auto mean = std::exchange(total_delay_, duration::zero()) /
                      std::exchange(delays_, 0);
    const auto previous = share_;
    if (mean > settings_.max_delay)
        share_ = std::max(share_ * settings_.decrease, settings_.min_share);
    else
        share_ = std::min(share_ + settings_.increase, 1.0);
    return share_ != previous;
}

} // namespace fulmarjunction
