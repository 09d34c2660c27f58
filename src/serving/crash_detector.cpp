#include <fulmarjunction/serving/crash_detector.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// A crash breaks many connections. Those that break within this time after a
/// check that found it belong to the same crash.
constexpr milliseconds crash_duration(200);
/// A process that accepts no connection in this time does not count as
/// crashed: its host may be cut off.
constexpr milliseconds connect_timeout(300);
/// A process that ends closes its sockets one after the other, the listening
/// one perhaps last. A connection that it closes within this time is probed
/// again.
constexpr milliseconds settle_time(20);
constexpr int max_probes = 5;

} // namespace

crash_detector::crash_detector(
    asio::any_io_executor executor, crash_hook on_crash)
    : executor_(std::move(executor)), on_crash_(std::move(on_crash))
{
}

void crash_detector::started(std::uint64_t id, fingerprint print)
{
    in_flight_.emplace(id, print);
}

void crash_detector::ended(std::uint64_t id)
{
    in_flight_.erase(id);
}

/// Connects to the backend server and watches the connection for a moment.
awaitable<crash_detector::probe_result>
crash_detector::probe(asio::ip::tcp::endpoint address) const
{
    const auto socket = std::make_shared<asio::ip::tcp::socket>(executor_);
    asio::steady_timer timer(executor_, connect_timeout);
    const auto close_on_expiry = [socket](boost::system::error_code canceled) {
        boost::system::error_code ignored;
        if (!canceled)
            socket->close(ignored);
    };
    timer.async_wait(close_on_expiry);
    boost::system::error_code problem;
    co_await socket->async_connect(
        address, asio::redirect_error(asio::use_awaitable, problem));
    if (problem == asio::error::connection_refused)
        co_return probe_result::refused;
    if (problem)
        co_return probe_result::open;
    timer.expires_after(settle_time);
    timer.async_wait(close_on_expiry);
    co_await socket->async_wait(
        asio::socket_base::wait_read,
        asio::redirect_error(asio::use_awaitable, problem));
    co_return problem ? probe_result::open : probe_result::closed;
}

awaitable<bool>
crash_detector::is_refused(asio::ip::tcp::endpoint address) const
{
    for (int probes = 0; probes < max_probes; ++probes) {
        const auto found = co_await probe(address);
        if (found != probe_result::closed)
            co_return found == probe_result::refused;
    }
    co_return false;
}

awaitable<bool> crash_detector::check(
    asio::ip::tcp::endpoint address, std::optional<std::uint64_t> alone)
{
    const auto now = clock::now();
    const auto self = shared_from_this();
    if (last_check_ && !last_check_->is_done) {
        const auto current = last_check_;
        co_await current->finished.wait();
        co_return current->has_crashed;
    }
    if (last_check_ && last_check_->has_crashed &&
        now - last_check_->started_at < crash_duration)
        co_return true;
    const auto current = std::make_shared<check_state>(
        check_state{now, cancel_event(executor_)});
    last_check_ = current;
    // The connections of a crashed process break at the same time, so these
    // requests were in flight at the crash.
    crash_report report;
    report.in_flight.reserve(in_flight_.size());
    for (const auto& [id, print] : in_flight_) {
        report.in_flight.push_back(print);
        if (id == alone)
            report.alone = print;
    }
    current->has_crashed = co_await is_refused(address);
    current->is_done = true;
    if (current->has_crashed)
        on_crash_(report);
    current->finished.cancel();
    co_return current->has_crashed;
}

} // namespace fulmarjunction
