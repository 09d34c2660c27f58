#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/mesh/call_context.hpp>

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace fulmarjunction {

namespace {

// The parts of the context that rarely change have a field of their own, so
// that header compression (HPACK) sends them once per connection.
constexpr std::string_view context_field = "fj-c";
constexpr std::string_view time_field = "fj-t";
constexpr std::string_view backend_field = "fj-i";
constexpr std::string_view fingerprint_field = "fj-p";
constexpr std::string_view outcome_field = "fj-o";
constexpr std::string_view load_field = "fj-l";
constexpr std::string_view downstream_refusal_field = "fj-b";
constexpr char separator = ';';

constexpr int node_answer_status = 503;

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
    {node_refusal::stopping, "stopping"},
    {node_refusal::other_backend, "other_backend"},
    {node_refusal::overloaded, "overloaded"},
    {node_refusal::throttled, "throttled"},
    {node_refusal::overloaded_below, "overloaded_below"},
    {node_refusal::turned_away, "turned_away"},
    {node_refusal::too_late, "too_late"},
    {node_refusal::timeout, "timeout"},
    {node_refusal::broken, "broken"},
    {node_refusal::backend_crashed, "backend_crashed"},
    {node_refusal::suspect_request, "suspect_request"},
    {node_refusal::bad_answer, "bad_answer"},
    {node_refusal::canceled, "canceled"},
});

/// Splits a text at separators and parses its parts in order.
class field_parser
{
public:
    explicit field_parser(std::string_view text) : rest_(text) {}

    std::string_view next()
    {
        const auto end = rest_.find(separator);
        const auto text = rest_.substr(0, end);
        is_truncated_ = is_truncated_ || at_end_;
        at_end_ = end == std::string_view::npos;
        rest_ = at_end_ ? std::string_view() : rest_.substr(end + 1);
        return text;
    }

    std::int64_t number() { return parse<std::int64_t>(decimal); }

    fingerprint print() { return parse<fingerprint>(hexadecimal); }

    bool is_complete() const
    {
        return !has_bad_number_ && !is_truncated_ && at_end_;
    }

private:
    static constexpr int decimal = 10;
    static constexpr int hexadecimal = 16;

    template <class Number>
    Number parse(int base)
    {
        const auto text = next();
        Number value = 0;
        const auto* const end = text.data() + text.size();
        const auto read = std::from_chars(text.data(), end, value, base);
        has_bad_number_ =
            has_bad_number_ || read.ec != std::errc() || read.ptr != end;
        return value;
    }

    std::string_view rest_;
    bool at_end_ = false;
    bool is_truncated_ = false;
    bool has_bad_number_ = false;
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
        {std::string(context_field),
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
    if (context.print != no_fingerprint) {
        fields.push_back(
            {std::string(fingerprint_field),
             fmt::format(
                 "{:x};{}", context.print, context.is_crash_retry ? 1 : 0)});
    }
}

result<call_context> take_call_context(header_fields& fields, time_point now)
{
    const auto fixed = take_field(fields, context_field);
    const auto time = take_field(fields, time_field);
    const auto backend = take_field(fields, backend_field);
    if (!fixed || !time || !backend)
        return fail(errc::malformed, "read context", {}, "missing field");
    field_parser values(*fixed);
    call_context context;
    context.kind =
        values.number() == 1 ? execution::idempotent : execution::unique;
    context.is_call = values.number() == 1;
    context.priority = static_cast<unsigned>(values.number());
    context.objective = milliseconds(values.number());
    context.route_name = values.next();
    context.caller_service = values.next();
    context.account = values.next();
    field_parser times(*time);
    context.deadline = now + milliseconds(times.number());
    context.waited = milliseconds(times.number());
    context.backend_id = *backend;
    // A node of an earlier version sends no fingerprint.
    if (const auto suspicion = take_field(fields, fingerprint_field)) {
        field_parser prints(*suspicion);
        context.print = prints.print();
        context.is_crash_retry = prints.number() == 1;
        if (!prints.is_complete())
            return fail(errc::malformed, "read context", {}, *suspicion);
    }
    if (!values.is_complete() || !times.is_complete())
        return fail(errc::malformed, "read context", {}, *fixed);
    return context;
}

streamed_response encode_node_answer(const node_answer& answer)
{
    streamed_response response;
    response.status = node_answer_status;
    response.headers = {
        {std::string(outcome_field),
         fmt::format(
             "{};{};{};{}", to_string(answer.reason), answer.not_run ? 1 : 0,
             answer.reached_backend ? 1 : 0,
             answer.retry_after ? to_milliseconds(*answer.retry_after) : -1)}};
    response.content_length = 0;
    response.body = empty_body();
    return response;
}

std::optional<node_answer> take_node_answer(header_fields& fields)
{
    const auto text = take_field(fields, outcome_field);
    if (!text)
        return std::nullopt;
    field_parser values(*text);
    node_answer answer;
    const auto reason = parse_node_refusal(values.next());
    answer.not_run = values.number() == 1;
    answer.reached_backend = values.number() == 1;
    const auto retry_after_ms = values.number();
    // An unreadable answer must not be taken as proof that nothing has run.
    if (!reason || !values.is_complete())
        return node_answer{node_refusal::bad_answer, false, true, std::nullopt};
    answer.reason = *reason;
    if (retry_after_ms >= 0)
        answer.retry_after = milliseconds(retry_after_ms);
    return answer;
}

void write_downstream_refusal(
    header_fields& fields, const service_name& service)
{
    remove_header(fields, downstream_refusal_field);
    if (!service.empty())
        fields.push_back({std::string(downstream_refusal_field), service});
}

service_name take_downstream_refusal(header_fields& fields)
{
    return take_field(fields, downstream_refusal_field).value_or("");
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
    field_parser values(*text);
    gate_load load;
    load.load = static_cast<std::size_t>(values.number());
    load.limit = static_cast<std::size_t>(values.number());
    if (!values.is_complete())
        return std::nullopt;
    return load;
}

} // namespace fulmarjunction
