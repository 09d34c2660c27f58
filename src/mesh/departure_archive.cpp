#include "departure_archive.hpp"

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/serving/wait_until.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Pause before departures that could not be stored are stored again.
constexpr milliseconds tick_period(500);
/// Backend servers take an acknowledgement only within this time.
constexpr milliseconds acknowledgement_limit(1000);
constexpr milliseconds max_store_wait(600);
static_assert(max_store_wait < acknowledgement_limit);
/// A copy that the store comes back from is some seconds old. Departures that
/// it may lack are stored again soon after, since the node may be lost next.
constexpr seconds max_copy_age(10);

} // namespace

departure_archive::departure_archive(
    boost::asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), deps_(std::move(deps))
{
}

void departure_archive::load(const std::vector<stored_departures>& rows)
{
    const auto now = clock::now();
    std::vector<backend_departure> loaded;
    for (const auto& row : rows) {
        if (row.node != deps_.self)
            continue;
        auto departures = parse_departures(row.departures, now - row.age);
        if (departures)
            loaded = std::move(departures.value());
        else
            log(log_level::warning, "stored_departures_unreadable",
                {{"error", to_string(departures.error())}});
    }
    for (const auto& departure : loaded) {
        log(log_level::info, "departure_loaded",
            {{"backend", departure.id},
             {"has_left", !departure.sequence},
             {"age_ms", to_milliseconds(now - departure.announced_at)}});
    }
    stored_content_ = departures_digest(loaded);
    stored_era_ = deps_.store->era();
    has_row_ = !loaded.empty();
    is_loaded_ = true;
    deps_.monitor->restore(loaded, now);
}

void departure_archive::start()
{
    ticks_ = deps_.timers->every(tick_period, [this](time_point now) {
        update();
        check_era(now);
    });
}

/// Asks for the store's era while a copy may lack a departure. Other calls show
/// it as well, but may be seconds away.
void departure_archive::check_era(time_point now)
{
    if (stored_content_.empty() || stored_era_ == unknown_era ||
        is_reading_era_ || now < next_era_check_)
        return;
    const auto departures = deps_.monitor->departures(now);
    const bool is_recent = std::any_of(
        departures.begin(), departures.end(),
        [now](const backend_departure& departure) {
            return now - departure.announced_at < max_copy_age;
        });
    if (!is_recent)
        return;
    next_era_check_ = now + deps_.era_check_period();
    is_reading_era_ = true;
    boost::asio::co_spawn(executor_, read_era(), boost::asio::detached);
}

awaitable<void> departure_archive::read_era()
{
    // A failed call is repeated at the next check.
    const auto read = co_await deps_.store->read_era();
    is_reading_era_ = false;
    if (read)
        update();
}

bool departure_archive::is_stored() const
{
    const auto content =
        departures_digest(deps_.monitor->departures(clock::now()));
    if (!is_loaded_)
        return content.empty();
    const bool may_be_lost = has_row_ && stored_era_ != deps_.store->era();
    return content == stored_content_ && !may_be_lost;
}

awaitable<void> departure_archive::wait_until_stored()
{
    update();
    if (is_stored())
        co_return;
    co_await wait_until(
        executor_, [this] { return is_stored(); },
        clock::now() + max_store_wait);
    if (!is_stored())
        log(log_level::warning, "departure_not_stored_in_time",
            {{"backend", deps_.monitor->id()}});
}

void departure_archive::update()
{
    if (is_busy_ || !is_loaded_ || is_stored())
        return;
    const auto now = clock::now();
    const auto departures = deps_.monitor->departures(now);
    auto text =
        departures.empty() ? std::string() : format_departures(departures, now);
    is_busy_ = true;
    boost::asio::co_spawn(
        executor_,
        store_departures(std::move(text), departures_digest(departures)),
        boost::asio::detached);
}

awaitable<void>
departure_archive::store_departures(std::string text, std::string content)
{
    const auto era = deps_.store->era();
    const auto stored = co_await deps_.store->put_departures(deps_.self, text);
    is_busy_ = false;
    if (stored) {
        stored_content_ = std::move(content);
        stored_era_ = era;
        has_row_ = true;
        // More may have been announced meanwhile.
        update();
        co_return;
    }
    log(log_level::info, "departures_not_stored",
        {{"error", to_string(stored.error())}});
}

} // namespace fulmarjunction
