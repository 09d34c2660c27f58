#include "run_record.hpp"

#include <fulmarjunction/core/url.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <utility>

namespace fulmarjunction::detail {

namespace {

namespace json = boost::json;

// Limits the memory used during a long measurement.
constexpr std::size_t max_records = 100'000;

constexpr std::int64_t max_duration_ms = 3'600'000;
constexpr std::int64_t max_body_bytes = std::int64_t{1} << 40;

std::optional<std::int64_t>
parse_number(std::string_view text, std::int64_t min, std::int64_t max)
{
    std::int64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc() || stop != end || number < min || number > max)
        return std::nullopt;
    return number;
}

bool set_flag(bool& flag, std::string_view value)
{
    flag = value == "1";
    return value == "0" || value == "1";
}

bool set_duration(milliseconds& duration, std::string_view value)
{
    const auto number = parse_number(value, 0, max_duration_ms);
    duration = milliseconds(number.value_or(0));
    return number.has_value();
}

bool set_status(int& status, std::string_view value)
{
    const auto number = parse_number(value, 200, 599);
    status = static_cast<int>(number.value_or(0));
    return number.has_value();
}

bool set_bytes(std::uint64_t& bytes, std::string_view value)
{
    const auto number = parse_number(value, 0, max_body_bytes);
    bytes = static_cast<std::uint64_t>(number.value_or(0));
    return number.has_value();
}

// Returns whether the parameter is known and its value is valid.
bool set_parameter(run_plan& plan, const query_parameter& parameter)
{
    const auto& [name, value] = parameter;
    if (name == "id")
        plan.id = value;
    else if (name == "call")
        plan.calls.push_back(value);
    else if (name == "call_method")
        plan.call_method = value;
    else if (name == "work_ms")
        return set_duration(plan.work, value);
    else if (name == "chunk_ms")
        return set_duration(plan.chunk_interval, value);
    else if (name == "body_bytes")
        return set_bytes(plan.body_bytes, value);
    else if (name == "status")
        return set_status(plan.status, value);
    else if (name == "crash")
        return set_flag(plan.crash, value);
    else if (name == "refuse")
        return set_flag(plan.refuse, value);
    else if (name == "hang")
        return set_flag(plan.hang, value);
    else if (name == "truncate")
        return set_flag(plan.truncate, value);
    else if (name == "parallel")
        return set_flag(plan.parallel, value);
    else
        return false;
    return true;
}

} // namespace

result<run_plan> parse_run_plan(std::string_view target)
{
    const auto parsed = parse_target(target);
    if (!parsed)
        return fail(errc::malformed, "parse target", {}, "percent-encoding");
    run_plan plan;
    for (const auto& parameter : parsed->query) {
        if (!set_parameter(plan, parameter)) {
            return fail(
                errc::malformed, "parse target", {},
                fmt::format("{}={}", parameter.name, parameter.value));
        }
    }
    return plan;
}

json::value to_json(const run_record& record)
{
    json::array headers;
    for (const auto& field : record.headers) {
        headers.push_back(
            json::object{{"name", field.name}, {"value", field.value}});
    }
    return json::object{
        {"id", record.id},
        {"target", record.target},
        {"account", record.account},
        {"started_us", record.started_us},
        {"ended_us", record.ended_us},
        {"completed", record.completed},
        {"canceled", record.canceled},
        {"headers", std::move(headers)}};
}

std::int64_t record_time_us()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               clock::now().time_since_epoch())
        .count();
}

std::shared_ptr<run_record> run_history::add(run_record record)
{
    if (records_.size() == max_records)
        records_.pop_front();
    records_.push_back(std::make_shared<run_record>(std::move(record)));
    return records_.back();
}

json::value run_history::to_json() const
{
    json::array documents;
    for (const auto& record : records_)
        documents.push_back(detail::to_json(*record));
    return documents;
}

} // namespace fulmarjunction::detail
