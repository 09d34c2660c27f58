#include <fulmarjunction/core/timer_service.hpp>

#include <fulmarjunction/core/log.hpp>

#include <algorithm>
#include <exception>

namespace fulmarjunction {

void timer_service::subscription::cancel()
{
    if (service_ != nullptr)
        std::exchange(service_, nullptr)->remove(id_);
}

timer_service::subscription
timer_service::every(duration period, callback action)
{
    return add(period, period, std::move(action));
}

timer_service::subscription
timer_service::after(duration delay, callback action)
{
    return add(delay, duration::zero(), std::move(action));
}

timer_service::subscription
timer_service::add(duration delay, duration period, callback action)
{
    const auto id = next_id_++;
    const auto due = now_ + delay;
    const bool is_earliest = next_due().value_or(time_point::max()) > due;
    entries_.emplace(due_key{due, id}, entry{period, std::move(action)});
    due_by_id_.emplace(id, due);
    if (is_earliest && on_earlier_due)
        on_earlier_due();
    return subscription(*this, id);
}

void timer_service::remove(std::uint64_t id)
{
    const auto found = due_by_id_.find(id);
    if (found == due_by_id_.end())
        return;
    entries_.erase({found->second, id});
    due_by_id_.erase(found);
}

std::optional<time_point> timer_service::next_due() const
{
    if (entries_.empty())
        return std::nullopt;
    return entries_.begin()->first.first;
}

void timer_service::advance(time_point now)
{
    now_ = std::max(now_, now);
    while (!entries_.empty() && entries_.begin()->first.first <= now_) {
        const auto id = entries_.begin()->first.second;
        entry current = std::move(entries_.begin()->second);
        entries_.erase(entries_.begin());
        due_by_id_.erase(id);
        // Rescheduled before the call, so that the action may cancel it.
        auto action = current.action;
        if (current.period > duration::zero()) {
            const auto due = now_ + current.period;
            due_by_id_.emplace(id, due);
            entries_.emplace(due_key{due, id}, std::move(current));
        }
        // One callback that fails must not end the timers of all others.
        try {
            action(now_);
        } catch (const std::exception& failure) {
            log(log_level::error, "timer_callback_failed",
                {{"what", failure.what()}});
        }
    }
}

} // namespace fulmarjunction
