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

/// Maximum time that the store may hold a call that waits for a change. It is
/// short for the store readers, whose answers confirm to all nodes that nothing
/// has changed. A connection that has gone silent shows only after this time
/// and the time limit of a call.
constexpr milliseconds min_reader_wait(700);
constexpr milliseconds max_reader_wait(1000);
constexpr milliseconds follow_wait(25'000);
/// Age of the last confirmation at which a node queries the store itself, and
/// the minimum time between two such queries.
constexpr milliseconds check_age_limit(2000);
constexpr milliseconds check_period(800);

constexpr milliseconds min_retry_delay(100);
constexpr milliseconds max_retry_delay(500);

} // namespace

milliseconds store_reader_wait(std::uint64_t random)
{
    const auto spread = max_reader_wait - min_reader_wait;
    const auto choices = static_cast<std::uint64_t>(spread.count()) + 1;
    return min_reader_wait +
           milliseconds(static_cast<std::int64_t>(random % choices));
}

awaitable<void>
wait_before_retry(unsigned failures, asio::any_io_executor executor)
{
    const auto delay =
        std::min(max_retry_delay, min_retry_delay * std::max(1U, failures));
    asio::steady_timer timer(executor, delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

config_follower::config_follower(
    asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), deps_(std::move(deps))
{
}

void config_follower::update_store_state(
    bool has_answered, const std::string& problem)
{
    if (std::exchange(is_store_lost_, !has_answered) == !has_answered)
        return;
    if (has_answered)
        log(log_level::info, "store_regained");
    else
        log(log_level::warning, "store_lost", {{"error", problem}});
}

void config_follower::apply(config_read found, duration sent_at)
{
    const auto answered_at =
        answers_.answered_at(sent_at, found.store_time, found.era);
    position_ = found.position;
    era_ = found.era;
    if (found.document) {
        const auto newest =
            std::make_shared<service_map>(std::move(*found.document));
        if (deps_.config->offer(newest)) {
            log(log_level::info, "config_applied",
                {{"version", newest->version()},
                 {"routes", newest->routes().size()},
                 {"accounts", newest->plans().size()}});
            deps_.on_config(*newest);
        }
    }
    deps_.config->confirm(deps_.config->version(), answered_at);
}

awaitable<bool> config_follower::read()
{
    const auto sent_at = suspended_clock_now();
    auto found = co_await deps_.store->read_config();
    deps_.metrics->count_store_call("read_config", found.has_value());
    update_store_state(
        found.has_value(), found ? std::string() : to_string(found.error()));
    if (!found)
        co_return false;
    apply(std::move(found.value()), sent_at);
    co_return true;
}

awaitable<void> config_follower::read_first()
{
    for (unsigned failures = 1;; ++failures) {
        const bool has_read = co_await read();
        if (has_read)
            co_return;
        co_await wait_before_retry(failures, executor_);
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
        if (needs_full_read_) {
            const bool has_read = co_await read();
            needs_full_read_ = !has_read;
            failures = has_read ? 0 : failures + 1;
            if (!has_read)
                co_await wait_before_retry(failures, executor_);
            continue;
        }
        const auto sent_at = suspended_clock_now();
        const auto era = era_;
        const auto wait = deps_.fleet->is_store_reader()
                              ? store_reader_wait(deps_.random())
                              : follow_wait;
        auto found = co_await deps_.store->follow_config(position_, wait);
        deps_.metrics->count_store_call("follow_config", found.has_value());
        update_store_state(
            found.has_value(),
            found ? std::string() : to_string(found.error()));
        if (!found) {
            // A read is answered as soon as the store is back, whereas the feed
            // answers only when something changes.
            needs_full_read_ = true;
            co_await wait_before_retry(++failures, executor_);
            continue;
        }
        failures = 0;
        // Changes before the same position of another era are other ones.
        if (found.value().is_history_lost || found.value().era != era) {
            log(log_level::info, "config_history_lost",
                {{"position", position_},
                 {"era", era},
                 {"newest_era", found.value().era}});
            needs_full_read_ = true;
            continue;
        }
        apply(std::move(found.value()), sent_at);
    }
}

void config_follower::check_age()
{
    // A read of the store is in progress already.
    if (needs_full_read_)
        return;
    const auto age = deps_.config->age(suspended_clock_now());
    if (!age || *age >= check_age_limit)
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
