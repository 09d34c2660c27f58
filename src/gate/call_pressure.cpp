#include <fulmarjunction/gate/call_pressure.hpp>

#include <algorithm>

namespace fulmarjunction {

call_pressure::call_pressure(call_pressure_settings settings)
    : settings_(settings)
{
}

void call_pressure::count(bool is_call, gate_outcome result)
{
    if (!is_call) {
        root_requests_ += 1;
        refused_root_requests_ += result == gate_outcome::refused ? 1 : 0;
        return;
    }
    calls_ += 1;
    if (result == gate_outcome::refused)
        congested_calls_ += 1;
    else if (result == gate_outcome::delayed)
        congested_calls_ += settings_.delay_weight;
}

void call_pressure::count_throttled(double calls)
{
    calls_ += calls;
    congested_calls_ += calls;
}

/// Returns by how much the level should rise after the current window.
double call_pressure::rise() const
{
    const auto congested_fraction = calls_ > 0 ? congested_calls_ / calls_ : 0;
    const bool is_starved =
        calls_ > 0 && refused_root_requests_ >
                          root_requests_ * settings_.starvation_threshold;
    const auto increase = std::max(
        congested_fraction, is_starved ? settings_.starvation_rise : 0.0);
    return std::min(increase, settings_.max_rise);
}

bool call_pressure::advance(time_point now, double usage)
{
    if (now < window_ends_)
        return false;
    window_ends_ = now + settings_.window;
    const auto increase = rise();
    calls_ = 0;
    congested_calls_ = 0;
    root_requests_ = 0;
    refused_root_requests_ = 0;
    if (increase <= 0) {
        const auto step = usage < settings_.idle_usage
                              ? settings_.idle_recovery_step
                              : settings_.recovery_step;
        level_ = std::max(0.0, level_ - step);
        return false;
    }
    if (now < next_rise_at_)
        return false;
    next_rise_at_ = now + settings_.settle_time;
    level_ = std::min(level_ + increase, settings_.max_level);
    return true;
}

} // namespace fulmarjunction
