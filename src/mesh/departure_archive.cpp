#include "departure_archive.hpp"

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/object_reader.hpp>
#include <fulmarjunction/serving/wait_until.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <utility>

namespace fulmarjunction {

namespace json = boost::json;

namespace {

/// Pause before departures that could not be stored are stored again.
constexpr milliseconds tick_period(500);
/// Backend servers take an acknowledgement only within this time.
constexpr milliseconds acknowledgement_limit(1000);
constexpr milliseconds max_store_wait(600);
static_assert(max_store_wait < acknowledgement_limit);
constexpr std::size_t max_departures_bytes = 64 * 1024;
constexpr std::size_t max_id_bytes = 200;
constexpr std::int64_t max_age_ms = 3'600'000;
constexpr std::string_view parse_step = "read departures";

/// Returns the departures without their ages, which always change.
std::string content_of(std::vector<backend_departure> departures)
{
    if (departures.empty())
        return {};
    for (auto& departure : departures)
        departure.announced_at = {};
    return format_departures(departures, {});
}

result<backend_departure>
parse_departure(const json::value& document, time_point stored_at)
{
    object_reader fields(document, std::string(parse_step));
    backend_departure departure;
    departure.id = fields.text("id", max_id_bytes);
    if (fields.has("start_ms"))
        departure.start_time_ms = fields.signed_number("start_ms");
    if (fields.has("sequence"))
        departure.sequence = fields.number("sequence");
    departure.announced_at =
        stored_at - milliseconds(fields.signed_number("age_ms", max_age_ms));
    BOOST_OUTCOME_TRY(fields.finish());
    return departure;
}

} // namespace

std::string format_departures(
    const std::vector<backend_departure>& departures, time_point now)
{
    json::array list;
    for (const auto& departure : departures) {
        json::object fields{
            {"id", departure.id},
            {"age_ms", to_milliseconds(now - departure.announced_at)}};
        if (departure.start_time_ms)
            fields["start_ms"] = *departure.start_time_ms;
        if (departure.sequence)
            fields["sequence"] = *departure.sequence;
        list.push_back(std::move(fields));
    }
    return json::serialize(list);
}

result<std::vector<backend_departure>>
parse_departures(std::string_view text, time_point stored_at)
{
    BOOST_OUTCOME_TRY(
        const auto document,
        parse_json(text, max_departures_bytes, std::string(parse_step)));
    const auto* list = document.if_array();
    if (list == nullptr)
        return fail(errc::malformed, std::string(parse_step), {}, "no list");
    std::vector<backend_departure> departures;
    for (const auto& item : *list) {
        BOOST_OUTCOME_TRY(auto departure, parse_departure(item, stored_at));
        departures.push_back(std::move(departure));
    }
    return departures;
}

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
    stored_content_ = content_of(loaded);
    is_loaded_ = true;
    deps_.monitor->restore(loaded, now);
}

void departure_archive::start()
{
    ticks_ = deps_.timers->every(tick_period, [this](time_point) { update(); });
}

bool departure_archive::is_stored() const
{
    const auto content = content_of(deps_.monitor->departures(clock::now()));
    return is_loaded_ ? content == stored_content_ : content.empty();
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
        executor_, store_departures(std::move(text), content_of(departures)),
        boost::asio::detached);
}

awaitable<void>
departure_archive::store_departures(std::string text, std::string content)
{
    const auto stored = co_await deps_.store->put_departures(deps_.self, text);
    is_busy_ = false;
    if (stored) {
        stored_content_ = std::move(content);
        // More may have been announced meanwhile.
        update();
        co_return;
    }
    log(log_level::info, "departures_not_stored",
        {{"error", to_string(stored.error())}});
}

} // namespace fulmarjunction
