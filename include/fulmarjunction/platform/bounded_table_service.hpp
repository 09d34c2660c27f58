/// @file
/// Deadlines, bounded retries and a call budget around a table service.
#pragma once

#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/platform/table_core.hpp>
#include <fulmarjunction/platform/table_service.hpp>

#include <cstdint>
#include <functional>

namespace fulmarjunction {

/// Bounds of a node's calls to the platform.
struct platform_policy
{
    /// Longest time for one attempt.
    milliseconds attempt_timeout{2000};
    /// Attempts for one read, the first included. Writes have one.
    std::uint32_t read_attempts = 3;
    /// Wait before the second attempt at most; doubled for each further one.
    milliseconds first_backoff{100};
    milliseconds max_backoff{2000};
    /// Attempts of all kinds; the whole fleet shares 1,500 reads/s and 300
    /// writes/s.
    double calls_per_s = 10;
    /// Attempts that may be made at once after a quiet time.
    double call_burst = 20;
};

/// Time and chance, so that tests need neither.
struct platform_hooks
{
    std::function<time_point()> now;
    sleep_hook sleep;
    /// Returns a number in [0, 1).
    std::function<double()> random;
};

/// Returns hooks on the steady clock and a randomly seeded generator.
platform_hooks make_platform_hooks();

/// Wraps a service. Reads are attempted again with full jitter after
/// `timeout`, `connection_failed`, `connection_broken` and `unavailable`.
/// Writes are never repeated here: after an unclear answer the error goes to
/// the writer. A call for which the budget has no token fails at once with
/// `errc::budget_exhausted`, and nothing was sent. Attempts past their
/// deadline are canceled, so `inner` must honour cancellation.
table_service make_bounded_table_service(
    table_service inner, platform_policy policy, platform_hooks hooks);

/// Returns whether a failed commit may have taken effect.
bool is_indeterminate(const error& failure);

/// Commits, and after an unclear answer reads the written rows back. When
/// they hold the written values, the commit took effect. When a conditioned
/// row among them is unchanged, the transaction is sent again, which is safe
/// because its conditions let it take effect once.
/// @param change its conditions cover at least one written row; otherwise it
///        is never sent again
/// @return the version, `errc::conflict` when it did not take effect, or the
///         unclear error when the rows cannot tell
awaitable<result<table_version>>
commit_idempotent(table_service& service, table_transaction change);

} // namespace fulmarjunction
