/// @file
/// Errors with the operation that failed and the peer involved.
#pragma once

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

namespace fulmarjunction {

/// Error category, for control flow; the text is in `error::detail`.
enum class errc
{
    invalid_argument,
    invalid_settings,
    malformed,
    too_large,
    not_found,
    conflict,
    unauthorized,
    timeout,
    canceled,
    connection_failed,
    connection_broken,
    truncated,
    unavailable,
    budget_exhausted,
    internal
};

/// Returns the name of an error category as it appears in logs.
std::string_view to_string(errc code);

/// Why a peer could not be reached, where that shows more than the category.
enum class connect_problem
{
    unknown,
    /// No process listens at the address.
    refused,
    /// Another instance has the address.
    other_instance
};

/// A failure, with the step that failed and the peer involved.
struct error
{
    errc code = errc::internal;
    /// Operation that failed, for example "table.get".
    std::string step;
    /// Address or name of the peer; empty if there is none.
    std::string peer;
    /// Human-readable description.
    std::string detail;
    /// Set for `connection_failed` where it is known.
    connect_problem connecting = connect_problem::unknown;
};

/// Formats an error for one log field: `step [peer]: code: detail`.
std::string to_string(const error& failure);

/// A value or an error.
template <class T>
using result = boost::outcome_v2::checked<T, error>;

/// Builds a failure to return from a function whose type is `result`.
inline auto fail(
    errc code, std::string step, std::string peer = {}, std::string detail = {})
{
    return boost::outcome_v2::failure(
        error{code, std::move(step), std::move(peer), std::move(detail)});
}

} // namespace fulmarjunction
