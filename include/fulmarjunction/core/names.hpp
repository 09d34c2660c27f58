/// @file
/// Names and enumerations that all modules use.
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

/// Orders the incarnations of one instance; it increases at each restart.
using incarnation_number = std::uint64_t;

/// Version of the platform's table; each transaction increases it.
using table_version = std::uint64_t;

/// Importance of an endpoint; endpoints with a higher value are shed later.
enum class importance
{
    low,
    normal,
    high,
    critical
};
std::string_view to_string(importance value);
std::optional<importance> parse_importance(std::string_view name);

/// Whether a request may be executed more than once.
enum class execution
{
    idempotent,
    unique
};
std::string_view to_string(execution value);
std::optional<execution> parse_execution(std::string_view name);

/// Outcome of a request as far as it is known.
enum class outcome
{
    answered,
    not_run,
    unknown
};
std::string_view to_string(outcome value);
std::optional<outcome> parse_outcome(std::string_view name);

/// Reason why no backend server answered a request.
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

/// Returns the HTTP status sent to the caller for a refusal.
int http_status(refusal_reason value);

/// Random 128-bit identifier of a request tree, the same at every hop.
struct root_id
{
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(const root_id&) const = default;
};

/// Returns 32 lower-case hexadecimal digits.
std::string to_string(const root_id& id);
std::optional<root_id> parse_root_id(std::string_view digits);

/// Returns a number in [0, 1) that depends only on the id, so that all hops
/// make the same shedding decision for a request tree.
double shedding_hash(const root_id& id);

/// Outcome and reason of a refused request, with advice on retries.
struct refusal
{
    fulmarjunction::outcome outcome = fulmarjunction::outcome::not_run;
    refusal_reason reason = refusal_reason::overloaded;
    /// Delay before a retry, in milliseconds; 0 if unknown.
    std::int64_t retry_after_ms = 0;
};

} // namespace fulmarjunction
