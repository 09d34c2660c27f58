#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/mesh/backend_monitor.hpp>

#include <utility>

namespace fulmarjunction {

namespace {

constexpr auto verdict_names = make_enum_table<heartbeat_verdict>({
    {heartbeat_verdict::accepted, "accepted"},
    {heartbeat_verdict::outdated, "outdated"},
    {heartbeat_verdict::foreign, "foreign"},
});

} // namespace

std::string_view to_string(heartbeat_verdict value)
{
    return verdict_names.name(value);
}

backend_monitor::backend_monitor(
    service_name service, std::string address, duration silence_limit)
    : service_(std::move(service)), address_(std::move(address)),
      silence_limit_(silence_limit)
{
}

bool backend_monitor::is_newer(const backend_heartbeat& beat) const
{
    if (!heard_at_)
        return true;
    if (beat.start_time_ms != last_.start_time_ms)
        return beat.start_time_ms > last_.start_time_ms;
    // Runs without a known start are told apart by their id alone.
    if (beat.id != last_.id)
        return beat.start_time_ms == 0;
    return beat.sequence > last_.sequence;
}

heartbeat_verdict
backend_monitor::hear(const backend_heartbeat& beat, time_point now)
{
    if (beat.service != service_ || beat.address != address_)
        return heartbeat_verdict::foreign;
    if (!is_newer(beat))
        return heartbeat_verdict::outdated;
    const bool is_other_run =
        beat.id != last_.id || beat.start_time_ms != last_.start_time_ms;
    // A run that has said goodbye may still send heartbeats.
    if (!is_other_run && is_gone_)
        return heartbeat_verdict::outdated;
    const bool differs = is_other_run || state(now) == backend_state::absent ||
                         beat.is_draining != last_.is_draining ||
                         beat.slots != last_.slots;
    last_ = beat;
    heard_at_ = now;
    is_gone_ = false;
    is_unreachable_ = false;
    if (differs && on_change)
        on_change();
    return heartbeat_verdict::accepted;
}

void backend_monitor::hear(const backend_leave& leave)
{
    if (!heard_at_ || leave.id != last_.id)
        return;
    // An answer about health tells nothing of the start.
    const bool is_start_known = last_.start_time_ms != 0;
    if (is_start_known && leave.start_time_ms &&
        *leave.start_time_ms != last_.start_time_ms)
        return;
    if (std::exchange(is_gone_, true))
        return;
    if (on_change)
        on_change();
}

void backend_monitor::hear(const backend_health& health, time_point now)
{
    if (heard_at_)
        return;
    last_.id = health.id;
    last_.service = service_;
    last_.address = address_;
    last_.slots = health.slots;
    heard_at_ = now;
    if (on_change)
        on_change();
}

void backend_monitor::refused_connection()
{
    if (std::exchange(is_unreachable_, true))
        return;
    if (on_change)
        on_change();
}

backend_state backend_monitor::state(time_point now) const
{
    if (!heard_at_ || is_gone_ || is_unreachable_ ||
        now - *heard_at_ >= silence_limit_)
        return backend_state::absent;
    return last_.is_draining ? backend_state::draining : backend_state::ready;
}

} // namespace fulmarjunction
