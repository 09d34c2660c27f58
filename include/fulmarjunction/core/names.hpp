/// @file
/// Names and enumerations that every slice uses.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarjunction {

using instance_name = std::string;
using availability_zone = std::string;
using client_account = std::string;
using service_name = std::string;
using endpoint_name = std::string;

/// Orders the incarnations of one instance: a restart has a higher number.
using incarnation_number = std::uint64_t;

/// Version of the platform's table; each transaction raises it.
using table_version = std::uint64_t;

/// Importance of an endpoint; a higher value is shed later.
enum class importance
{
    low,
    normal,
    high,
    critical
};
std::string_view to_string(importance value);
std::optional<importance> parse_importance(std::string_view name);

/// Whether running a request twice does harm.
enum class execution
{
    idempotent,
    unique
};
std::string_view to_string(execution value);
std::optional<execution> parse_execution(std::string_view name);

/// What is known of a request's fate.
enum class outcome
{
    answered,
    not_run,
    unknown
};
std::string_view to_string(outcome value);
std::optional<outcome> parse_outcome(std::string_view name);

/// Why a request was not answered by a backend server.
enum class refusal_reason
{
    malformed,
    key_misplaced,
    bad_idempotency_key,
    key_missing,
    key_unknown,
    endpoint_not_in_plan,
    endpoint_unknown,
    idempotency_key_required,
    idempotency_key_reused,
    rate_exceeded,
    header_too_large,
    body_too_large,
    overloaded,
    no_instance,
    stale_configuration,
    suspect_request,
    draining,
    deadline_too_short,
    unknown_parent,
    retry_budget_spent,
    deadline_expired,
    backend_failed,
    issuer_gone,
    answer_not_kept
};
std::string_view to_string(refusal_reason value);
std::optional<refusal_reason> parse_refusal_reason(std::string_view name);

/// Returns the HTTP status that a caller gets for a refusal.
int http_status(refusal_reason value);

/// Random 128-bit name of a request tree, equal at every hop.
struct root_id
{
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(const root_id&) const = default;
};

/// Returns 32 lower-case hexadecimal digits.
std::string to_string(const root_id& id);
std::optional<root_id> parse_root_id(std::string_view digits);

/// Returns a number in [0, 1) that is the same for this root at every hop.
double shedding_hash(const root_id& id);

/// Why and by how much a request was refused.
struct refusal
{
    fulmarjunction::outcome outcome = fulmarjunction::outcome::not_run;
    refusal_reason reason = refusal_reason::overloaded;
    /// When a new try makes sense, in milliseconds; 0 where unknown.
    std::int64_t retry_after_ms = 0;
};

} // namespace fulmarjunction
