/// @file
/// Virtual clock for tests of code that sleeps.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

namespace fulmarjunction::detail {

/// Runs coroutines in virtual time: when none of them can run, the clock
/// advances to the end of the earliest sleep.
class virtual_time
{
public:
    time_point now() const { return now_; }

    awaitable<void> sleep(duration span)
    {
        boost::asio::steady_timer timer(
            io_, boost::asio::steady_timer::time_point::max());
        const sleeper self{now_ + span, &timer};
        sleepers_.push_back(self);
        boost::system::error_code ignored;
        co_await timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        std::erase_if(sleepers_, [&](const sleeper& other) {
            return other.timer == &timer;
        });
    }

    /// Runs a coroutine to completion and returns its value.
    template <class T>
    T run(awaitable<T> work)
    {
        // co_spawn requires a default constructor, which `result` does not
        // have.
        std::optional<T> value;
        boost::asio::co_spawn(
            io_, store(std::move(work), value),
            [](const std::exception_ptr& failure) {
                if (failure)
                    std::rethrow_exception(failure);
            });
        while (!value) {
            io_.restart();
            io_.poll();
            if (!value)
                wake_earliest();
        }
        return std::move(*value);
    }

private:
    template <class T>
    static awaitable<void> store(awaitable<T> work, std::optional<T>& value)
    {
        value.emplace(co_await std::move(work));
    }

    struct sleeper
    {
        time_point until;
        boost::asio::steady_timer* timer = nullptr;
    };

    void wake_earliest()
    {
        const auto earliest = std::min_element(
            sleepers_.begin(), sleepers_.end(),
            [](const sleeper& a, const sleeper& b) {
                return a.until < b.until;
            });
        if (earliest == sleepers_.end())
            throw std::logic_error(
                "deadlock: the coroutine is suspended and no sleep is pending");
        now_ = std::max(now_, earliest->until);
        earliest->timer->cancel();
    }

    boost::asio::io_context io_;
    time_point now_{};
    std::vector<sleeper> sleepers_;
};

} // namespace fulmarjunction::detail
