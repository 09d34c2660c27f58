#include "config_follower.hpp"

#include <fulmarjunction/core/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// How long the store may hold a call that waits for a change: short at the
/// witnesses, whose answers tell all nodes that nothing has changed.
constexpr milliseconds shortest_witness_wait(1000);
constexpr milliseconds longest_witness_wait(1500);
constexpr milliseconds follow_wait(25'000);
/// Age of the last confirmation at which a node asks the store itself, and
/// how often it does so.
constexpr milliseconds check_after(2400);
constexpr milliseconds check_period(800);

constexpr milliseconds shortest_pause(100);
constexpr milliseconds longest_pause(500);

} // namespace

milliseconds witness_wait(std::uint64_t random)
{
    const auto spread = longest_witness_wait - shortest_witness_wait;
    const auto choices = static_cast<std::uint64_t>(spread.count()) + 1;
    return shortest_witness_wait +
           milliseconds(static_cast<std::int64_t>(random % choices));
}

awaitable<void> pause_after(unsigned failures, asio::any_io_executor executor)
{
    const auto longest =
        std::min(longest_pause, shortest_pause * std::max(1U, failures));
    asio::steady_timer timer(executor, longest);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

config_follower::config_follower(asio::any_io_executor executor, parts wiring)
    : executor_(std::move(executor)), parts_(std::move(wiring))
{
}

void config_follower::store_answered(bool has_answered, const std::string& why)
{
    if (std::exchange(store_is_lost_, !has_answered) == !has_answered)
        return;
    if (has_answered)
        log(log_level::info, "store_regained");
    else
        log(log_level::warning, "store_lost", {{"error", why}});
}

void config_follower::take(config_read found, duration began)
{
    const auto answered_at = answers_.answered_at(began, found.store_time);
    position_ = found.position;
    if (found.document) {
        const auto newest =
            std::make_shared<service_map>(std::move(*found.document));
        if (parts_.config->offer(newest)) {
            log(log_level::info, "config_applied",
                {{"version", newest->version()},
                 {"routes", newest->routes().size()},
                 {"accounts", newest->plans().size()}});
            parts_.on_config(*newest);
        }
    }
    parts_.config->confirm(parts_.config->version(), answered_at);
}

awaitable<bool> config_follower::read()
{
    const auto began = suspended_clock_now();
    auto found = co_await parts_.store->read_config();
    parts_.metrics->called_store("read_config", found.has_value());
    store_answered(
        found.has_value(), found ? std::string() : to_string(found.error()));
    if (!found)
        co_return false;
    take(std::move(found.value()), began);
    co_return true;
}

awaitable<void> config_follower::read_first()
{
    for (unsigned failures = 1;; ++failures) {
        const bool has_read = co_await read();
        if (has_read)
            co_return;
        co_await pause_after(failures, executor_);
    }
}

void config_follower::start()
{
    asio::co_spawn(executor_, follow(), asio::detached);
}

awaitable<void> config_follower::follow()
{
    unsigned failures = 0;
    for (;;) {
        if (must_read_) {
            const bool has_read = co_await read();
            must_read_ = !has_read;
            failures = has_read ? 0 : failures + 1;
            if (!has_read)
                co_await pause_after(failures, executor_);
            continue;
        }
        const auto began = suspended_clock_now();
        const auto wait = parts_.fleet->is_store_reader()
                              ? witness_wait(parts_.random())
                              : follow_wait;
        auto found = co_await parts_.store->follow_config(position_, wait);
        parts_.metrics->called_store("follow_config", found.has_value());
        store_answered(
            found.has_value(),
            found ? std::string() : to_string(found.error()));
        if (!found) {
            // A read tells at once that the store is back; a feed is silent
            // until something changes.
            must_read_ = true;
            co_await pause_after(++failures, executor_);
            continue;
        }
        failures = 0;
        if (found.value().is_history_lost) {
            log(log_level::info, "config_history_lost",
                {{"position", position_}});
            must_read_ = true;
            continue;
        }
        take(std::move(found.value()), began);
    }
}

void config_follower::check_age()
{
    // The store is being asked already.
    if (must_read_)
        return;
    const auto age = parts_.config->age(suspended_clock_now());
    if (!age || *age >= check_after)
        check_now();
}

void config_follower::check_now()
{
    const auto now = clock::now();
    if (is_checking_ || now - checked_at_ < check_period)
        return;
    is_checking_ = true;
    checked_at_ = now;
    asio::co_spawn(executor_, run_check(), asio::detached);
}

awaitable<void> config_follower::run_check()
{
    co_await read();
    is_checking_ = false;
}

} // namespace fulmarjunction
