#include <fulmarjunction/core/placement.hpp>
#include <fulmarjunction/replica/poll_schedule.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Waits vary by this fraction, so that nodes do not poll in step.
constexpr double jitter = 0.2;

std::uint64_t reader_rank(const instance_name& name)
{
    return placement_hash(name);
}

} // namespace

std::vector<instance_name>
reader_election::readers(std::vector<instance_name> live) const
{
    std::sort(
        live.begin(), live.end(),
        [](const instance_name& left, const instance_name& right) {
            return std::pair(reader_rank(left), left) <
                   std::pair(reader_rank(right), right);
        });
    live.resize(std::min(live.size(), readers_per_zone));
    return live;
}

bool reader_election::is_reader(
    const instance_name& self, const std::vector<instance_name>& live) const
{
    const auto own = std::pair(reader_rank(self), self);
    const auto before = std::count_if(
        live.begin(), live.end(), [&](const instance_name& other) {
            return std::pair(reader_rank(other), other) < own;
        });
    return static_cast<std::size_t>(before) < readers_per_zone;
}

poll_schedule::poll_schedule(
    poll_settings settings, time_point start,
    std::function<std::uint64_t()> random)
    : settings_(settings), random_(std::move(random)),
      reader_wait_(settings.interval), reader_due_(start), alone_due_(start),
      start_(start)
{
    // The first polls of a restarted fleet are spread over an interval.
    reader_due_ += random_part(settings_.interval);
}

duration poll_schedule::random_part(duration span)
{
    constexpr std::uint64_t steps = 1024;
    return span * static_cast<std::int64_t>(random_() % steps) /
           static_cast<std::int64_t>(steps);
}

duration poll_schedule::jittered(duration span)
{
    const auto part = from_seconds(to_seconds(span) * jitter);
    return span - part + random_part(2 * part);
}

bool poll_schedule::should_poll(
    time_point now, bool reader, std::optional<time_point> newest_evidence)
{
    if (in_flight_)
        return false;
    if (reader)
        return now >= reader_due_;
    const auto heard = std::max(newest_evidence.value_or(start_), start_);
    if (now - heard < settings_.fallback_after) {
        quiet_ = false;
        return false;
    }
    // Nodes that fall silent together wait for a random part of a second:
    // the first that polls feeds the others.
    if (!quiet_) {
        quiet_ = true;
        alone_due_ = std::max(alone_due_, now + random_part(seconds(1)));
    }
    return now >= alone_due_;
}

void poll_schedule::sent(time_point now)
{
    in_flight_ = true;
    reader_due_ = now + jittered(reader_wait_);
    alone_due_ = now + jittered(settings_.fallback_interval);
}

void poll_schedule::succeeded(time_point)
{
    in_flight_ = false;
    // Without a ramp: the readers are few, so they are no stampede.
    reader_wait_ = settings_.interval;
}

void poll_schedule::failed(time_point now)
{
    in_flight_ = false;
    reader_due_ = std::max(reader_due_, now + random_part(settings_.interval));
    reader_wait_ = std::min(2 * reader_wait_, settings_.max_interval);
}

void poll_schedule::poll_again(time_point now)
{
    in_flight_ = false;
    reader_due_ = now;
    alone_due_ = now;
}

} // namespace fulmarjunction
