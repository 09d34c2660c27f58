/// @file
/// Deadlines, bounded retries and a call budget around a table service.
#pragma once

#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/platform/table_core.hpp>
#include <fulmarjunction/platform/table_service.hpp>

#include <cstdint>
#include <functional>

namespace fulmarjunction {

/// Limits of a node's calls to the platform.
struct platform_policy
{
    /// Maximum time for one attempt.
    milliseconds attempt_timeout{2000};
    /// Attempts for one read, including the first one. Writes have one.
    std::uint32_t read_attempts = 3;
    /// Maximum wait before the second attempt; doubled for each further one.
    milliseconds first_backoff{100};
    milliseconds max_backoff{2000};
    /// Rate limit for attempts of all kinds. The whole fleet shares 1,500
    /// reads/s and 300 writes/s.
    double calls_per_s = 10;
    /// Maximum burst of attempts after an idle period.
    double call_burst = 20;
};

/// Clock, sleep and random source; tests replace them.
struct platform_hooks
{
    std::function<time_point()> now;
    sleep_hook sleep;
    /// Returns a number in [0, 1).
    std::function<double()> random;
};

/// Returns hooks on the steady clock and a randomly seeded generator.
platform_hooks make_platform_hooks();

/// Wraps a service. Reads are retried with full jitter after `timeout`,
/// `connection_failed`, `connection_broken` and `unavailable`. Writes are never
/// retried here: an indeterminate error is returned to the writer. A call for
/// which the budget has no token fails at once with `errc::budget_exhausted`,
/// and nothing is sent. Attempts past their deadline are canceled, so `inner`
/// must support cancellation.
table_service make_bounded_table_service(
    table_service inner, platform_policy policy, platform_hooks hooks);

/// Returns whether a failed commit may have taken effect.
bool is_indeterminate(const error& failure);

/// Commits, and after an indeterminate answer reads the written rows back. If
/// they hold the written values, the commit took effect. If a written row with
/// a condition is unchanged, the transaction is sent again, which is safe
/// because its conditions let it take effect only once.
/// @param change its conditions cover at least one written row; otherwise it
///        is never sent again
/// @return the version, `errc::conflict` if it did not take effect, or the
///         indeterminate error if the rows do not decide it
awaitable<result<table_version>>
commit_idempotent(table_service& service, table_transaction change);

} // namespace fulmarjunction
