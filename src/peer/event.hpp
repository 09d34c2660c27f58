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

/// Condition variable for coroutines of one thread. Wakeups may be spurious,
/// so a waiter checks its condition again after each wait. The event must
/// outlive every wait on it.
class event
{
public:
    explicit event(boost::asio::any_io_executor executor)
        : executor_(std::move(executor))
    {
    }

    /// Waits for the next `notify`, at most until `deadline`.
    boost::asio::awaitable<void> wait(time_point deadline = time_point::max())
    {
        waiter self{waiters_, boost::asio::steady_timer(executor_, deadline)};
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
        timers& waiters;
        boost::asio::steady_timer timer;
        timers::iterator position = waiters.insert(waiters.end(), &timer);
        ~waiter() { waiters.erase(position); }
    };

    boost::asio::any_io_executor executor_;
    timers waiters_;
};

} // namespace fulmarjunction::detail
