/// @file
/// Event loop of the discrete-event simulation.
#pragma once

#include <fulmarjunction/core/time.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace fulmarjunction::bench {

/// Runs events in order of time; events with equal times run in the order in
/// which they were added.
class event_loop
{
public:
    using action = std::function<void()>;

    time_point now() const { return now_; }

    void schedule_at(time_point when, action callback)
    {
        events_.push({when, next_sequence_++, std::move(callback)});
    }

    void schedule_after(duration delay, action callback)
    {
        schedule_at(now_ + delay, std::move(callback));
    }

    /// Runs the events up to and including `end`.
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().when <= end) {
            // `top` returns a const reference; moving the callback out does not
            // change the keys that order the queue.
            auto next = std::move(const_cast<event&>(events_.top()));
            events_.pop();
            now_ = next.when;
            next.callback();
        }
        now_ = end;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t sequence = 0;
        action callback;

        bool operator<(const event& other) const
        {
            if (when != other.when)
                return when > other.when;
            return sequence > other.sequence;
        }
    };

    time_point now_{};
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<event> events_;
};

} // namespace fulmarjunction::bench
