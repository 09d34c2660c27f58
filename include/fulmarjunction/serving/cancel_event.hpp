/// @file
/// Cancellation of the work for one request.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fulmarjunction {

/// An event that fires at most once; copies share its state.
class cancel_event
{
public:
    explicit cancel_event(const boost::asio::any_io_executor& executor);

    /// Fires the event and runs the callbacks.
    void cancel() const;
    bool is_canceled() const;

    /// Calls `action` when the event fires, or at once if it has fired.
    void on_cancel(std::function<void()> action) const;

    /// Returns when the event has fired.
    awaitable<void> wait() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

namespace detail {

/// Wraps the result in an optional, because parallel operations need a default
/// constructor and `result` has none.
template <class T>
awaitable<std::optional<result<T>>>
capture(awaitable<result<T>> work, std::string step)
{
    try {
        co_return co_await std::move(work);
    } catch (const std::exception& thrown) {
        co_return result<T>(error{errc::canceled, step, {}, thrown.what()});
    }
}

} // namespace detail

/// Runs `work` and cancels it if `event` fires first.
/// @return the result of `work`, or `errc::canceled`
template <class T>
awaitable<result<T>>
run_cancelable(awaitable<result<T>> work, cancel_event event, std::string step)
{
    using namespace boost::asio::experimental::awaitable_operators;
    if (event.is_canceled())
        co_return fail(errc::canceled, step);
    auto first =
        co_await (detail::capture(std::move(work), step) || event.wait());
    if (first.index() == 0 && std::get<0>(first))
        co_return std::move(*std::get<0>(first));
    co_return fail(errc::canceled, step);
}

/// Runs `work` and cancels it at `deadline`.
/// @return the result of `work`, or `errc::timeout`
template <class T>
awaitable<result<T>> run_with_deadline(
    awaitable<result<T>> work, boost::asio::any_io_executor executor,
    time_point deadline, std::string step)
{
    const cancel_event expired(executor);
    boost::asio::steady_timer timer(executor, deadline);
    timer.async_wait([expired](const boost::system::error_code& failure) {
        if (!failure)
            expired.cancel();
    });
    auto done = co_await run_cancelable(std::move(work), expired, step);
    if (!done && expired.is_canceled())
        co_return fail(errc::timeout, step);
    co_return done;
}

} // namespace fulmarjunction
