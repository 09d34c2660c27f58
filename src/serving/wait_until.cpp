#include <fulmarjunction/serving/wait_until.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fulmarjunction {

namespace {

constexpr milliseconds poll_interval(20);

} // namespace

awaitable<void> wait_until(
    boost::asio::any_io_executor executor, std::function<bool()> is_done,
    time_point deadline)
{
    boost::asio::steady_timer timer(executor);
    while (clock::now() < deadline && !(is_done && is_done())) {
        timer.expires_after(poll_interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

} // namespace fulmarjunction
