#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/core/names.hpp>

#include <fmt/format.h>
#include <xxhash.h>

namespace fulmarjunction {

namespace {

constexpr auto importance_names = make_enum_table<importance>({
    {importance::low, "low"},
    {importance::normal, "normal"},
    {importance::high, "high"},
    {importance::critical, "critical"},
});

constexpr auto execution_names = make_enum_table<execution>({
    {execution::idempotent, "idempotent"},
    {execution::unique, "unique"},
});

constexpr auto outcome_names = make_enum_table<outcome>({
    {outcome::answered, "answered"},
    {outcome::not_run, "not_run"},
    {outcome::unknown, "unknown"},
});

using reason = refusal_reason;

constexpr auto reason_names = make_enum_table<reason>({
    {reason::malformed, "malformed"},
    {reason::key_misplaced, "key_misplaced"},
    {reason::bad_idempotency_key, "bad_idempotency_key"},
    {reason::key_missing, "key_missing"},
    {reason::key_unknown, "key_unknown"},
    {reason::endpoint_not_in_plan, "endpoint_not_in_plan"},
    {reason::endpoint_unknown, "endpoint_unknown"},
    {reason::idempotency_key_required, "idempotency_key_required"},
    {reason::idempotency_key_reused, "idempotency_key_reused"},
    {reason::rate_exceeded, "rate_exceeded"},
    {reason::header_too_large, "header_too_large"},
    {reason::body_too_large, "body_too_large"},
    {reason::overloaded, "overloaded"},
    {reason::no_instance, "no_instance"},
    {reason::stale_configuration, "stale_configuration"},
    {reason::suspect_request, "suspect_request"},
    {reason::draining, "draining"},
    {reason::deadline_too_short, "deadline_too_short"},
    {reason::unknown_parent, "unknown_parent"},
    {reason::retry_budget_spent, "retry_budget_spent"},
    {reason::deadline_expired, "deadline_expired"},
    {reason::backend_failed, "backend_failed"},
    {reason::issuer_gone, "issuer_gone"},
    {reason::answer_not_kept, "answer_not_kept"},
});

int hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    return -1;
}

} // namespace

std::string_view to_string(importance value)
{
    return importance_names.name(value);
}

std::optional<importance> parse_importance(std::string_view name)
{
    return importance_names.value(name);
}

std::string_view to_string(execution value)
{
    return execution_names.name(value);
}

std::optional<execution> parse_execution(std::string_view name)
{
    return execution_names.value(name);
}

std::string_view to_string(outcome value)
{
    return outcome_names.name(value);
}

std::optional<outcome> parse_outcome(std::string_view name)
{
    return outcome_names.value(name);
}

std::string_view to_string(refusal_reason value)
{
    return reason_names.name(value);
}

std::optional<refusal_reason> parse_refusal_reason(std::string_view name)
{
    return reason_names.value(name);
}

int http_status(refusal_reason value)
{
    switch (value) {
    case reason::malformed:
    case reason::key_misplaced:
    case reason::bad_idempotency_key:
        return 400;
    case reason::key_missing:
    case reason::key_unknown:
        return 401;
    case reason::endpoint_not_in_plan:
    case reason::unknown_parent:
        return 403;
    case reason::endpoint_unknown:
        return 404;
    case reason::answer_not_kept:
        return 409;
    case reason::body_too_large:
        return 413;
    case reason::idempotency_key_reused:
        return 422;
    case reason::idempotency_key_required:
        return 428;
    case reason::rate_exceeded:
        return 429;
    case reason::header_too_large:
        return 431;
    case reason::backend_failed:
    case reason::issuer_gone:
        return 502;
    case reason::deadline_expired:
        return 504;
    case reason::overloaded:
    case reason::no_instance:
    case reason::stale_configuration:
    case reason::suspect_request:
    case reason::draining:
    case reason::deadline_too_short:
    case reason::retry_budget_spent:
        return 503;
    }
    return 500;
}

std::string to_string(const root_id& id)
{
    std::string digits;
    digits.reserve(2 * id.bytes.size());
    for (const auto byte : id.bytes)
        digits += fmt::format("{:02x}", byte);
    return digits;
}

std::optional<root_id> parse_root_id(std::string_view digits)
{
    root_id id;
    if (digits.size() != 2 * id.bytes.size())
        return std::nullopt;
    for (std::size_t i = 0; i != id.bytes.size(); ++i) {
        const int high = hex_digit(digits[2 * i]);
        const int low = hex_digit(digits[2 * i + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        id.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return id;
}

double shedding_hash(const root_id& id)
{
    // The top 53 bits fit a double exactly.
    constexpr double scale = 1.0 / 9007199254740992.0;
    const auto hash = XXH3_64bits(id.bytes.data(), id.bytes.size());
    return static_cast<double>(hash >> 11) * scale;
}

} // namespace fulmarjunction
