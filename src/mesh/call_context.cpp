#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/mesh/call_context.hpp>

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace fulmarjunction {

namespace {

// The fixed part of the context stands in a field of its own, so that header
// compression sends it once for each connection.
constexpr std::string_view fixed_field = "fj-c";
constexpr std::string_view time_field = "fj-t";
constexpr std::string_view backend_field = "fj-i";
constexpr std::string_view outcome_field = "fj-o";
constexpr std::string_view load_field = "fj-l";
constexpr std::string_view refused_below_field = "fj-b";
constexpr char separator = ';';

constexpr int hop_status = 503;

constexpr auto refusal_names = make_enum_table<node_refusal>({
    {node_refusal::no_configuration, "no_configuration"},
    {node_refusal::unconfirmed_configuration, "unconfirmed_configuration"},
    {node_refusal::key_missing, "key_missing"},
    {node_refusal::key_unknown, "key_unknown"},
    {node_refusal::no_route, "no_route"},
    {node_refusal::bad_request, "bad_request"},
    {node_refusal::head_too_large, "head_too_large"},
    {node_refusal::body_too_large, "body_too_large"},
    {node_refusal::over_rate, "over_rate"},
    {node_refusal::no_ledger, "no_ledger"},
    {node_refusal::no_backend, "no_backend"},
    {node_refusal::draining, "draining"},
    {node_refusal::other_backend, "other_backend"},
    {node_refusal::overloaded, "overloaded"},
    {node_refusal::overloaded_below, "overloaded_below"},
    {node_refusal::turned_away, "turned_away"},
    {node_refusal::too_late, "too_late"},
    {node_refusal::timeout, "timeout"},
    {node_refusal::broken, "broken"},
    {node_refusal::bad_answer, "bad_answer"},
    {node_refusal::canceled, "canceled"},
});

/// Takes parts off a text that separators divide.
class part_reader
{
public:
    explicit part_reader(std::string_view text) : rest_(text) {}

    std::string_view next()
    {
        const auto end = rest_.find(separator);
        const auto part = rest_.substr(0, end);
        is_short_ = is_short_ || at_end_;
        at_end_ = end == std::string_view::npos;
        rest_ = at_end_ ? std::string_view() : rest_.substr(end + 1);
        return part;
    }

    std::int64_t number()
    {
        const auto part = next();
        std::int64_t value = 0;
        const auto* const end = part.data() + part.size();
        const auto read = std::from_chars(part.data(), end, value);
        is_bad_ = is_bad_ || read.ec != std::errc() || read.ptr != end;
        return value;
    }

    bool is_good() const { return !is_bad_ && !is_short_ && at_end_; }

private:
    std::string_view rest_;
    bool at_end_ = false;
    bool is_short_ = false;
    bool is_bad_ = false;
};

std::optional<std::string>
take_field(header_fields& fields, std::string_view name)
{
    const auto found = find_header(fields, name);
    if (!found)
        return std::nullopt;
    std::string value(*found);
    remove_header(fields, name);
    return value;
}

} // namespace

std::string_view to_string(node_refusal value)
{
    return refusal_names.name(value);
}

std::optional<node_refusal> parse_node_refusal(std::string_view name)
{
    return refusal_names.value(name);
}

void write_context(
    header_fields& fields, const call_context& context, time_point now)
{
    fields.push_back(
        {std::string(fixed_field),
         fmt::format(
             "{};{};{};{};{};{};{}",
             context.kind == execution::idempotent ? 1 : 0,
             context.is_call ? 1 : 0, context.priority,
             context.objective.count(), context.route_name,
             context.caller_service, context.account)});
    fields.push_back(
        {std::string(time_field),
         fmt::format(
             "{};{}", to_milliseconds(context.deadline - now),
             context.waited.count())});
    fields.push_back({std::string(backend_field), context.backend_id});
}

result<call_context> take_call_context(header_fields& fields, time_point now)
{
    const auto fixed = take_field(fields, fixed_field);
    const auto time = take_field(fields, time_field);
    const auto backend = take_field(fields, backend_field);
    if (!fixed || !time || !backend)
        return fail(errc::malformed, "read context", {}, "missing field");
    part_reader parts(*fixed);
    call_context context;
    context.kind =
        parts.number() == 1 ? execution::idempotent : execution::unique;
    context.is_call = parts.number() == 1;
    context.priority = static_cast<unsigned>(parts.number());
    context.objective = milliseconds(parts.number());
    context.route_name = parts.next();
    context.caller_service = parts.next();
    context.account = parts.next();
    part_reader times(*time);
    context.deadline = now + milliseconds(times.number());
    context.waited = milliseconds(times.number());
    context.backend_id = *backend;
    if (!parts.is_good() || !times.is_good())
        return fail(errc::malformed, "read context", {}, *fixed);
    return context;
}

streamed_response hop_answer(const node_answer& why)
{
    streamed_response answer;
    answer.status = hop_status;
    answer.headers = {
        {std::string(outcome_field),
         fmt::format(
             "{};{};{};{}", to_string(why.reason), why.not_run ? 1 : 0,
             why.reached_backend ? 1 : 0,
             why.retry_after ? to_milliseconds(*why.retry_after) : -1)}};
    answer.content_length = 0;
    answer.body = empty_body();
    return answer;
}

std::optional<node_answer> take_node_answer(header_fields& fields)
{
    const auto text = take_field(fields, outcome_field);
    if (!text)
        return std::nullopt;
    part_reader parts(*text);
    node_answer answer;
    const auto reason = parse_node_refusal(parts.next());
    answer.not_run = parts.number() == 1;
    answer.reached_backend = parts.number() == 1;
    const auto retry_after_ms = parts.number();
    // What can't be read promises nothing.
    if (!reason || !parts.is_good())
        return node_answer{node_refusal::bad_answer, false, true, std::nullopt};
    answer.reason = *reason;
    if (retry_after_ms >= 0)
        answer.retry_after = milliseconds(retry_after_ms);
    return answer;
}

void write_refused_below(header_fields& fields, const service_name& service)
{
    remove_header(fields, refused_below_field);
    if (!service.empty())
        fields.push_back({std::string(refused_below_field), service});
}

service_name take_refused_below(header_fields& fields)
{
    return take_field(fields, refused_below_field).value_or("");
}

void write_load(header_fields& fields, const gate_load& load)
{
    fields.push_back(
        {std::string(load_field), fmt::format("{};{}", load.load, load.limit)});
}

std::optional<gate_load> take_load(header_fields& fields)
{
    const auto text = take_field(fields, load_field);
    if (!text)
        return std::nullopt;
    part_reader parts(*text);
    gate_load load;
    load.load = static_cast<std::size_t>(parts.number());
    load.limit = static_cast<std::size_t>(parts.number());
    if (!parts.is_good())
        return std::nullopt;
    return load;
}

} // namespace fulmarjunction
