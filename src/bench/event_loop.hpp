/// @file
/// Discrete events in order of time.
#pragma once

#include <fulmarjunction/core/time.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace fulmarjunction::bench {

/// Runs events in order of time, and events of one time in order of arrival.
class event_loop
{
public:
    using action = std::function<void()>;

    time_point now() const { return now_; }

    void at(time_point when, action what)
    {
        events_.push({when, next_number_++, std::move(what)});
    }

    void after(duration delay, action what)
    {
        at(now_ + delay, std::move(what));
    }

    /// Runs the events up to this time.
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().when <= end) {
            // The queue gives no access to move from; the order of its keys
            // is not touched by moving the action.
            auto next = std::move(const_cast<event&>(events_.top()));
            events_.pop();
            now_ = next.when;
            next.what();
        }
        now_ = end;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t number = 0;
        action what;

        bool operator<(const event& other) const
        {
            if (when != other.when)
                return when > other.when;
            return number > other.number;
        }
    };

    time_point now_{};
    std::uint64_t next_number_ = 0;
    std::priority_queue<event> events_;
};

} // namespace fulmarjunction::bench
