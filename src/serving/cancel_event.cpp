#include <fulmarjunction/serving/cancel_event.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fulmarjunction {

struct cancel_event::state
{
    explicit state(const boost::asio::any_io_executor& executor)
        : wake_up(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    boost::asio::steady_timer wake_up;
    bool canceled = false;
    std::vector<std::function<void()>> actions;
};

cancel_event::cancel_event(const boost::asio::any_io_executor& executor)
    : state_(std::make_shared<state>(executor))
{
}

void cancel_event::cancel() const
{
    if (state_->canceled)
        return;
    // Keeps the state alive while the actions run: one of them may destroy
    // the last copy of the event.
    const auto shared = state_;
    shared->canceled = true;
    shared->wake_up.cancel();
    for (const auto& action : std::exchange(shared->actions, {}))
        action();
}

bool cancel_event::is_canceled() const
{
    return state_->canceled;
}

void cancel_event::on_cancel(std::function<void()> action) const
{
    if (state_->canceled)
        action();
    else
        state_->actions.push_back(std::move(action));
}

awaitable<void> cancel_event::wait() const
{
    const auto shared = state_;
    boost::system::error_code ignored;
    if (!shared->canceled) {
        co_await shared->wake_up.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

} // namespace fulmarjunction
