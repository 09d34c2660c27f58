/// @file
/// Checks recorded histories against the promises of the system.
///
/// It shares no code with the slices that it checks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarjunction {

/// A request of an account was admitted, at some instance.
struct admitted_event
{
    std::int64_t at_us = 0;
    std::string account;
};

/// From this time on the account's plan is this, until the next event.
struct plan_event
{
    std::int64_t at_us = 0;
    std::string account;
    /// Requests per second, and requests at once.
    double rate = 0;
    double burst = 0;
    /// How long after this time the plan before it may still be in use: the
    /// settling time of a lowered plan.
    std::int64_t settles_us = 0;
};

/// A backend server began to run an attempt.
struct run_event
{
    std::int64_t at_us = 0;
    /// The idempotency key, or another name of the unique request.
    std::string request;
    /// One sending of the request by its caller; may be empty.
    std::string attempt;
};

/// A caller was told that an attempt has not been run.
struct not_run_event
{
    /// When the node decided to say so.
    std::int64_t at_us = 0;
    std::string request;
    std::string attempt;
};

/// What was recorded, in any order.
struct history
{
    std::vector<admitted_event> admitted;
    std::vector<plan_event> plans;
    std::vector<run_event> runs;
    std::vector<not_run_event> not_run;
};

/// A promise that was broken, in words, with what is needed to find it.
struct history_violation
{
    /// "runs", "rate" or "not_run".
    std::string check;
    std::string subject;
    std::string detail;
};

/// Checks that every unique request ran at most once.
std::vector<history_violation> check_runs(const history& recorded);

/// Checks, for every interval, that admitted <= burst + the integral of the
/// rate, with the largest plan in force at each time. Requests of an account
/// without a plan are violations.
/// @param tolerance tokens that rounding may add
std::vector<history_violation>
check_rates(const history& recorded, double tolerance = 1e-3);

/// Checks that an attempt reported as not run was never run, and that no
/// attempt of its request had begun to run when that was said. Where the
/// attempt is not recorded, it checks the request only.
std::vector<history_violation> check_not_run(const history& recorded);

/// All checks.
std::vector<history_violation> check_history(const history& recorded);

} // namespace fulmarjunction
