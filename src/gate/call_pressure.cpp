#include <fulmarjunction/gate/call_pressure.hpp>

#include <algorithm>

namespace fulmarjunction {

call_pressure::call_pressure(call_pressure_settings settings)
    : settings_(settings)
{
}

void call_pressure::count(bool is_call, gate_outcome fate)
{
    if (!is_call) {
        new_requests_ += 1;
        refused_requests_ += fate == gate_outcome::refused ? 1 : 0;
        return;
    }
    calls_ += 1;
    if (fate == gate_outcome::refused)
        pressed_calls_ += 1;
    else if (fate == gate_outcome::delayed)
        pressed_calls_ += settings_.delay_weight;
}

/// Returns by how much the level should rise for what the window has seen.
double call_pressure::rise() const
{
    const auto pressed = calls_ > 0 ? pressed_calls_ / calls_ : 0;
    const bool is_starved =
        calls_ > 0 &&
        refused_requests_ > new_requests_ * settings_.starvation_threshold;
    const auto wanted =
        std::max(pressed, is_starved ? settings_.starvation_rise : 0.0);
    return std::min(wanted, settings_.max_rise);
}

bool call_pressure::advance(time_point now, double usage)
{
    if (now < window_ends_)
        return false;
    window_ends_ = now + settings_.window;
    const auto wanted = rise();
    calls_ = 0;
    pressed_calls_ = 0;
    new_requests_ = 0;
    refused_requests_ = 0;
    if (wanted <= 0) {
        const auto step = usage < settings_.idle_usage
                              ? settings_.idle_recovery_step
                              : settings_.recovery_step;
        level_ = std::max(0.0, level_ - step);
        return false;
    }
    if (now < judged_from_)
        return false;
    judged_from_ = now + settings_.settle_time;
    level_ = std::min(level_ + wanted, settings_.max_level);
    return true;
}

} // namespace fulmarjunction
