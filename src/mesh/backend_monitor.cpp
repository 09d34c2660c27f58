#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/mesh/backend_monitor.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

constexpr auto verdict_names = make_enum_table<heartbeat_verdict>({
    {heartbeat_verdict::accepted, "accepted"},
    {heartbeat_verdict::outdated, "outdated"},
    {heartbeat_verdict::foreign, "foreign"},
});

/// Start of a process that is known only from a health check.
constexpr std::int64_t unknown_start = 0;

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

bool backend_monitor::is_other_process(const backend_heartbeat& beat) const
{
    if (beat.id != last_.id)
        return true;
    // Between a health check and the first heartbeat a process can only have
    // been replaced by one with the same id if its connections were refused.
    if (last_.start_time_ms == unknown_start)
        return is_unreachable_;
    return beat.start_time_ms != last_.start_time_ms;
}

/// Returns whether a heartbeat was sent before its process announced its end. A
/// later process may have the same id.
bool backend_monitor::has_departed(
    const backend_heartbeat& beat, time_point now) const
{
    const auto covers = [&](const backend_departure& gone) {
        if (gone.id != beat.id)
            return false;
        if (gone.start_time_ms && beat.start_time_ms != *gone.start_time_ms)
            return beat.start_time_ms < *gone.start_time_ms;
        if (!gone.start_time_ms &&
            now - gone.announced_at >= heartbeat_timeout_)
            return false;
        return !gone.sequence || beat.sequence < *gone.sequence;
    };
    const auto& departures = departed_.all();
    return std::any_of(departures.begin(), departures.end(), covers);
}

/// Records the first heartbeat of a process that says that it drains.
void backend_monitor::record_draining(
    const backend_heartbeat& beat, time_point now)
{
    backend_departure departure{beat.id, std::nullopt, beat.sequence, now};
    if (beat.start_time_ms != unknown_start)
        departure.start_time_ms = beat.start_time_ms;
    departed_.record(std::move(departure));
}

bool backend_monitor::is_restoring() const
{
    if (restoring_from_ == departure_source::nodes)
        return last_.id != healthy_id_;
    return restoring_from_ == departure_source::store;
}

void backend_monitor::set_restoring_from(departure_source source)
{
    restoring_from_ = source;
    if (received_at_ && on_change)
        on_change();
}

void backend_monitor::end_store_restore()
{
    set_restoring_from(departure_source::nodes);
}

void backend_monitor::end_restore()
{
    set_restoring_from(departure_source::none);
}

void backend_monitor::restore(
    const std::vector<backend_departure>& departures, time_point now)
{
    // Those of this run are newer.
    const auto of_this_run = std::exchange(departed_, {});
    for (const auto& departure : departures)
        departed_.record(departure);
    for (const auto& departure : of_this_run.all())
        departed_.record(departure);
    const bool had_left = has_left_;
    has_left_ = has_left_ || (received_at_ && has_departed(last_, now));
    if (has_left_ != had_left && on_change)
        on_change();
}

std::vector<backend_departure> backend_monitor::departures(time_point now) const
{
    return departed_.recent(now);
}

heartbeat_verdict
backend_monitor::receive(const backend_heartbeat& beat, time_point now)
{
    if (beat.service != service_ || beat.address != address_)
        return heartbeat_verdict::foreign;
    // A process may still send heartbeats after it has announced its leave, and
    // earlier ones may arrive after it.
    if (!is_newer(beat) || has_departed(beat, now))
        return heartbeat_verdict::outdated;
    const bool is_other = is_other_process(beat);
    if (beat.is_draining && (is_other || !last_.is_draining))
        record_draining(beat, now);
    const bool differs = is_other || state(now) == backend_state::absent ||
                         beat.is_draining != last_.is_draining ||
                         beat.slots != last_.slots;
    last_ = beat;
    received_at_ = now;
    has_left_ = false;
    says_leaving_ = says_leaving_ && !is_other;
    is_unreachable_ = false;
    if (differs && on_change)
        on_change();
    return heartbeat_verdict::accepted;
}

void backend_monitor::receive(const backend_leave& leave, time_point now)
{
    auto start_time_ms = leave.start_time_ms;
    if (!start_time_ms && leave.id == last_.id &&
        last_.start_time_ms != unknown_start)
        start_time_ms = last_.start_time_ms;
    departed_.record({leave.id, start_time_ms, std::nullopt, now});
    if (!received_at_ || leave.id != last_.id)
        return;
    if (last_.start_time_ms != unknown_start && leave.start_time_ms &&
        *leave.start_time_ms != last_.start_time_ms)
        return;
    if (std::exchange(has_left_, true))
        return;
    if (on_change)
        on_change();
}

void backend_monitor::receive(const backend_health& health, time_point now)
{
    healthy_id_ = health.id;
    if (received_at_ && restoring_from_ == departure_source::nodes && on_change)
        on_change();
    backend_heartbeat first;
    first.id = health.id;
    first.service = service_;
    first.address = address_;
    first.slots = health.slots;
    first.start_time_ms = unknown_start;
    if (received_at_ || has_departed(first, now))
        return;
    last_ = first;
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
    if (is_restoring() || !received_at_ || has_left_ || is_unreachable_ ||
        now - *received_at_ >= heartbeat_timeout_)
        return backend_state::absent;
    const bool is_draining = says_leaving_ || last_.is_draining;
    return is_draining ? backend_state::draining : backend_state::ready;
}

} // namespace fulmarjunction
