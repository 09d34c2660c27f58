/// @file
/// An event that any number of coroutines wait for.
#pragma once

#include <fulmarjunction/core/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <list>
#include <utility>

namespace fulmarjunction::detail {

/// Wakes coroutines of one thread. A waiter checks its condition again after
/// each wait. The event must live as long as a coroutine waits for it.
class event
{
public:
    explicit event(boost::asio::any_io_executor executor)
        : executor_(std::move(executor))
    {
    }

    /// Waits for the next `notify`, at most until `until`.
    boost::asio::awaitable<void> wait(time_point until = time_point::max())
    {
        waiter self{waiters_, boost::asio::steady_timer(executor_, until)};
        boost::system::error_code ignored;
        co_await self.timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    void notify()
    {
        for (auto* timer : waiters_)
            timer->cancel();
    }

private:
    using timers = std::list<boost::asio::steady_timer*>;

    struct waiter
    {
        timers& all;
        boost::asio::steady_timer timer;
        timers::iterator place = all.insert(all.end(), &timer);
        ~waiter() { all.erase(place); }
    };

    boost::asio::any_io_executor executor_;
    timers waiters_;
};

} // namespace fulmarjunction::detail
