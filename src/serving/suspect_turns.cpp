#include <fulmarjunction/serving/suspect_turns.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace fulmarjunction {

namespace {

constexpr milliseconds poll_interval(5);

} // namespace

suspect_turns::suspect_turns(
    boost::asio::any_io_executor executor, suspect_settings settings,
    std::function<std::size_t()> in_flight)
    : executor_(std::move(executor)), in_flight_(std::move(in_flight)),
      gate_(settings)
{
}

void suspect_turns::ended(std::uint64_t id)
{
    gate_.ended(id, clock::now());
}

awaitable<bool> suspect_turns::wait(
    std::uint64_t id, bool alone, time_point deadline, cancel_event canceled)
{
    // A request that may crash the backend server runs alone: its crash must
    // not fail other requests, and they must not be suspected for it.
    if (alone && !gate_.offer(id, clock::now()))
        co_return false;
    for (;;) {
        const auto now = clock::now();
        if (!alone && !gate_.blocks_others(now))
            co_return true;
        for (const auto expired : gate_.take_expired(now))
            expired_.insert(expired);
        if (expired_.erase(id) != 0)
            co_return false;
        gate_.next(in_flight_(), now);
        if (alone && gate_.running() == id)
            co_return true;
        if (canceled.is_canceled() || now >= deadline) {
            if (alone)
                gate_.ended(id, now);
            co_return false;
        }
        boost::asio::steady_timer timer(executor_, poll_interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

} // namespace fulmarjunction
