#include <fulmarjunction/core/placement.hpp>
#include <fulmarjunction/replica/poll_schedule.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Intervals vary by this fraction, so that nodes do not poll in lockstep.
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
    const auto own_rank = std::pair(reader_rank(self), self);
    const auto ahead = std::count_if(
        live.begin(), live.end(), [&](const instance_name& other) {
            return std::pair(reader_rank(other), other) < own_rank;
        });
    return static_cast<std::size_t>(ahead) < readers_per_zone;
}

poll_schedule::poll_schedule(
    poll_settings settings, time_point start,
    std::function<std::uint64_t()> random)
    : settings_(settings), random_(std::move(random)),
      reader_interval_(settings.interval), next_reader_poll_(start),
      next_fallback_poll_(start), start_(start)
{
    // Spreads the first polls of a restarted fleet over one interval.
    next_reader_poll_ += random_fraction(settings_.interval);
}

duration poll_schedule::random_fraction(duration span)
{
    constexpr std::uint64_t steps = 1024;
    return span * static_cast<std::int64_t>(random_() % steps) /
           static_cast<std::int64_t>(steps);
}

duration poll_schedule::jittered(duration span)
{
    const auto deviation = from_seconds(to_seconds(span) * jitter);
    return span - deviation + random_fraction(2 * deviation);
}

bool poll_schedule::should_poll(
    time_point now, bool reader, std::optional<time_point> newest_evidence)
{
    if (in_flight_)
        return false;
    if (reader)
        return now >= next_reader_poll_;
    const auto last_evidence =
        std::max(newest_evidence.value_or(start_), start_);
    if (now - last_evidence < settings_.fallback_after) {
        in_fallback_ = false;
        return false;
    }
    // Nodes that lose their evidence at the same time each wait for a random
    // fraction of a second. The first one that polls supplies the others.
    if (!in_fallback_) {
        in_fallback_ = true;
        next_fallback_poll_ =
            std::max(next_fallback_poll_, now + random_fraction(seconds(1)));
    }
    return now >= next_fallback_poll_;
}

void poll_schedule::sent(time_point now)
{
    in_flight_ = true;
    next_reader_poll_ = now + jittered(reader_interval_);
    next_fallback_poll_ = now + jittered(settings_.fallback_interval);
}

void poll_schedule::succeeded(time_point)
{
    in_flight_ = false;
    // Restores the normal interval without a ramp: the readers are too few to
    // overload the store.
    reader_interval_ = settings_.interval;
}

void poll_schedule::failed(time_point now)
{
    in_flight_ = false;
    next_reader_poll_ =
        std::max(next_reader_poll_, now + random_fraction(settings_.interval));
    reader_interval_ = std::min(2 * reader_interval_, settings_.max_interval);
}

void poll_schedule::poll_again(time_point now)
{
    in_flight_ = false;
    next_reader_poll_ = now;
    next_fallback_poll_ = now;
}

} // namespace fulmarjunction
