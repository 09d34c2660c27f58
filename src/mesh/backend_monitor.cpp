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
    service_name service, std::string address, duration heartbeat_timeout)
    : service_(std::move(service)), address_(std::move(address)),
      heartbeat_timeout_(heartbeat_timeout)
{
}

bool backend_monitor::is_newer(const backend_heartbeat& beat) const
{
    if (!received_at_)
        return true;
    if (beat.start_time_ms != last_.start_time_ms)
        return beat.start_time_ms > last_.start_time_ms;
    // Without a known start, processes differ only by id.
    if (beat.id != last_.id)
        return beat.start_time_ms == 0;
    return beat.sequence > last_.sequence;
}

heartbeat_verdict
backend_monitor::receive(const backend_heartbeat& beat, time_point now)
{
    if (beat.service != service_ || beat.address != address_)
        return heartbeat_verdict::foreign;
    if (!is_newer(beat))
        return heartbeat_verdict::outdated;
    const bool is_other_process =
        beat.id != last_.id || beat.start_time_ms != last_.start_time_ms;
    // A process may still send heartbeats after it has announced its leave.
    if (!is_other_process && has_left_)
        return heartbeat_verdict::outdated;
    const bool differs =
        is_other_process || state(now) == backend_state::absent ||
        beat.is_draining != last_.is_draining || beat.slots != last_.slots;
    last_ = beat;
    received_at_ = now;
    has_left_ = false;
    says_leaving_ = says_leaving_ && !is_other_process;
    is_unreachable_ = false;
    if (differs && on_change)
        on_change();
    return heartbeat_verdict::accepted;
}

void backend_monitor::receive(const backend_leave& leave)
{
    if (!received_at_ || leave.id != last_.id)
        return;
    // An answer to a health check does not contain the start of the process.
    const bool is_start_known = last_.start_time_ms != 0;
    if (is_start_known && leave.start_time_ms &&
        *leave.start_time_ms != last_.start_time_ms)
        return;
    if (std::exchange(has_left_, true))
        return;
    if (on_change)
        on_change();
}

void backend_monitor::receive(const backend_health& health, time_point now)
{
    if (received_at_)
        return;
    last_.id = health.id;
    last_.service = service_;
    last_.address = address_;
    last_.slots = health.slots;
    received_at_ = now;
    if (on_change)
        on_change();
}

void backend_monitor::record_leaving(const std::string& id)
{
    if (!received_at_ || id != last_.id || std::exchange(says_leaving_, true))
        return;
    if (on_change)
        on_change();
}

void backend_monitor::record_connection_refused()
{
    if (std::exchange(is_unreachable_, true))
        return;
    if (on_change)
        on_change();
}

backend_state backend_monitor::state(time_point now) const
{
    if (!received_at_ || has_left_ || is_unreachable_ ||
        now - *received_at_ >= heartbeat_timeout_)
        return backend_state::absent;
    const bool is_draining = says_leaving_ || last_.is_draining;
    return is_draining ? backend_state::draining : backend_state::ready;
}

} // namespace fulmarjunction
