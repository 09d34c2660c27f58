#include <fulmarjunction/core/object_reader.hpp>
#include <fulmarjunction/mesh/departures.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace json = boost::json;

namespace {

/// Processes that leave follow each other by seconds, and a heartbeat is late
/// by seconds, so that few are of interest at a time.
constexpr std::size_t max_departures = 16;
constexpr std::size_t max_departures_bytes = 64 * 1024;
constexpr std::size_t max_id_bytes = 200;
constexpr std::int64_t max_age_ms = 3'600'000;
constexpr std::string_view parse_step = "read departures";

/// Returns whether a departure says all that another one of the same process
/// does. One that has left can't be draining any more.
bool covers(const backend_departure& known, const backend_departure& other)
{
    if (!known.sequence)
        return other.sequence.has_value();
    return other.sequence && *known.sequence > *other.sequence;
}

result<backend_departure>
parse_departure(const json::value& document, time_point written_at)
{
    object_reader fields(document, std::string(parse_step));
    backend_departure departure;
    departure.id = fields.text("id", max_id_bytes);
    if (fields.has("start_ms"))
        departure.start_time_ms = fields.signed_number("start_ms");
    if (fields.has("sequence"))
        departure.sequence = fields.number("sequence");
    departure.announced_at =
        written_at - milliseconds(fields.signed_number("age_ms", max_age_ms));
    BOOST_OUTCOME_TRY(fields.finish());
    return departure;
}

} // namespace

void departure_list::record(backend_departure departure)
{
    const auto known = std::find_if(
        departures_.begin(), departures_.end(), [&](const auto& other) {
            return other.id == departure.id &&
                   other.start_time_ms == departure.start_time_ms;
        });
    if (known != departures_.end()) {
        if (covers(*known, departure))
            return;
        departures_.erase(known);
    }
    departures_.push_back(std::move(departure));
    if (departures_.size() > max_departures)
        departures_.pop_front();
}

std::vector<backend_departure> departure_list::recent(time_point now) const
{
    std::vector<backend_departure> kept;
    for (const auto& departure : departures_) {
        if (now - departure.announced_at < departure_retention)
            kept.push_back(departure);
    }
    return kept;
}

void departure_copies::record(
    const instance_name& node, const std::vector<backend_departure>& departures)
{
    // The node may have restarted and not know its earlier departures yet.
    auto& known = nodes_[node];
    for (const auto& departure : departures)
        known.record(departure);
}

std::vector<backend_departure>
departure_copies::of(const instance_name& node, time_point now) const
{
    const auto found = nodes_.find(node);
    if (found == nodes_.end())
        return {};
    return found->second.recent(now);
}

void departure_copies::expire(time_point now)
{
    std::erase_if(nodes_, [now](const auto& entry) {
        return entry.second.recent(now).empty();
    });
}

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

std::string departures_digest(std::vector<backend_departure> departures)
{
    if (departures.empty())
        return {};
    for (auto& departure : departures)
        departure.announced_at = {};
    return format_departures(departures, {});
}

result<std::vector<backend_departure>>
parse_departures(std::string_view text, time_point written_at)
{
    BOOST_OUTCOME_TRY(
        const auto document,
        parse_json(text, max_departures_bytes, std::string(parse_step)));
    const auto* list = document.if_array();
    if (list == nullptr)
        return fail(errc::malformed, std::string(parse_step), {}, "no list");
    std::vector<backend_departure> departures;
    for (const auto& item : *list) {
        BOOST_OUTCOME_TRY(auto departure, parse_departure(item, written_at));
        departures.push_back(std::move(departure));
    }
    return departures;
}

} // namespace fulmarjunction
