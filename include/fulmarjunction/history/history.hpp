/// @file
/// Checks recorded histories against the guarantees of the system.
///
/// The checks share no code with the slices that they check.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarjunction {

/// A request of an account was admitted by any instance.
struct admitted_event
{
    std::int64_t at_us = 0;
    std::string account;
};

/// The plan of an account changed; it applies until the next event.
struct plan_event
{
    std::int64_t at_us = 0;
    std::string account;
    /// Rate in requests per second, and burst in requests.
    double rate = 0;
    double burst = 0;
    /// How long after this time the previous plan may still be in use: the
    /// settling time of a lowered plan.
    std::int64_t settles_us = 0;
};

/// A backend server started to run an attempt.
struct run_event
{
    std::int64_t at_us = 0;
    /// The idempotency key, or another identifier of the unique request.
    std::string request;
    /// Identifier of one attempt of the caller at the request; may be empty.
    std::string attempt;
};

/// A node reported to the caller that an attempt was not run.
struct not_run_event
{
    /// When the node decided to report it.
    std::int64_t at_us = 0;
    std::string request;
    std::string attempt;
};

/// Recorded events, in any order.
struct history
{
    std::vector<admitted_event> admitted;
    std::vector<plan_event> plans;
    std::vector<run_event> runs;
    std::vector<not_run_event> not_run;
};

/// A violated guarantee, with the details needed to locate it.
struct history_violation
{
    /// "runs", "rate" or "not_run".
    std::string check;
    /// The request, or the account for "rate".
    std::string subject;
    std::string detail;
};

/// Checks that every unique request ran at most once.
std::vector<history_violation> check_runs(const history& recorded);

/// Checks, for every interval, that admitted <= burst + the integral of the
/// rate, with the largest plan in effect at each time. Requests of an account
/// without a plan are violations.
/// @param tolerance excess in tokens allowed for rounding
std::vector<history_violation>
check_rates(const history& recorded, double tolerance = 1e-3);

/// Checks that an attempt reported as not run was never run, and that no
/// attempt of its request had started to run at the time of the report. When
/// the attempt is not recorded, only the request is checked.
std::vector<history_violation> check_not_run(const history& recorded);

/// Runs all checks.
std::vector<history_violation> check_history(const history& recorded);

} // namespace fulmarjunction
