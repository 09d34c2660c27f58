#include <fulmarjunction/gate/slot_gate.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace fulmarjunction {

namespace {

/// Weight of the newest sample in the mean service time.
constexpr double sample_weight = 0.05;

} // namespace

slot_gate::slot_gate(slot_gate_settings settings)
    : settings_(settings),
      mean_service_s_(to_seconds(settings.initial_service_time))
{
}

void slot_gate::set_slots(std::size_t slots)
{
    const auto usable = static_cast<std::size_t>(
        static_cast<double>(slots) * settings_.slot_share);
    limit_ = slots == 0 ? 0 : std::max<std::size_t>(1, usable);
}

duration slot_gate::mean_service_time() const
{
    return from_seconds(mean_service_s_);
}

duration
slot_gate::expected_wait(bool is_call, unsigned priority, time_point now) const
{
    const auto first_behind =
        queue_.lower_bound(queue_position{group_of(is_call), priority + 1, 0});
    const auto place = static_cast<std::size_t>(
        std::distance(queue_.begin(), first_behind) + 1);
    const auto wait_for_rate = rate_.time_until(place, now);
    if (running_ < limit_ && queue_.empty())
        return wait_for_rate;
    const auto slots = static_cast<double>(std::max<std::size_t>(1, limit_));
    const auto wait_for_slot =
        from_seconds(static_cast<double>(place) * mean_service_s_ / slots);
    return std::max(wait_for_rate, wait_for_slot);
}

void slot_gate::set_rate(std::optional<double> per_second, time_point now)
{
    rate_.set(per_second, now);
}

std::size_t slot_gate::usable_slots() const
{
    if (!rate_.per_second() || limit_ == 0)
        return limit_;
    const auto busy = std::ceil(*rate_.per_second() * mean_service_s_);
    return std::clamp<std::size_t>(static_cast<std::size_t>(busy), 1, limit_);
}

duration
slot_gate::max_wait_for(const gate_offer& request, time_point now) const
{
    const auto time_left = to_seconds(request.deadline - now);
    if (request.is_call)
        return from_seconds(time_left * settings_.call_wait_share);
    const auto wait = to_seconds(request.objective) * settings_.wait_share -
                      to_seconds(request.waited);
    return from_seconds(std::min(wait, time_left - mean_service_s_));
}

gate_verdict slot_gate::offer(const gate_offer& request, time_point now)
{
    if (limit_ == 0 || request.deadline <= now)
        return gate_verdict::refuse;
    if (running_ < limit_ && queue_.empty() && rate_.take(now)) {
        ++running_;
        return gate_verdict::run;
    }
    const auto max_wait = max_wait_for(request, now);
    const auto wait = expected_wait(request.is_call, request.priority, now);
    if (wait > max_wait)
        return gate_verdict::refuse;
    const queue_position position{
        group_of(request.is_call), request.priority, ++arrivals_};
    queue_.emplace(position, waiter{request.id, now + max_wait});
    positions_.emplace(request.id, position);
    return gate_verdict::wait;
}

void slot_gate::finish(std::optional<duration> service_time)
{
    if (running_ > 0)
        --running_;
    if (service_time) {
        mean_service_s_ +=
            sample_weight * (to_seconds(*service_time) - mean_service_s_);
    }
}

bool slot_gate::cancel(std::uint64_t id)
{
    const auto found = positions_.find(id);
    if (found == positions_.end())
        return false;
    queue_.erase(found->second);
    positions_.erase(found);
    return true;
}

slot_gate::changes slot_gate::advance(time_point now)
{
    changes due;
    for (auto entry = queue_.begin(); entry != queue_.end();) {
        const bool is_late = entry->second.latest_start <= now;
        const bool can_start = !is_late && running_ < limit_ && rate_.take(now);
        if (!is_late && !can_start) {
            ++entry;
            continue;
        }
        auto& list = is_late ? due.refuse : due.start;
        list.push_back(entry->second.id);
        running_ += is_late ? 0 : 1;
        positions_.erase(entry->second.id);
        entry = queue_.erase(entry);
    }
    return due;
}

std::optional<time_point> slot_gate::next_due(time_point now) const
{
    std::optional<time_point> first;
    if (rate_.per_second() && running_ < limit_ && !queue_.empty())
        first = now + rate_.time_until(1, now);
    for (const auto& [position, request] : queue_) {
        if (!first || request.latest_start < *first)
            first = request.latest_start;
    }
    return first;
}

} // namespace fulmarjunction
