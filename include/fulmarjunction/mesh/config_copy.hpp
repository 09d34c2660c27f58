/// @file
/// A node's copy of the configuration and the age of its confirmation.
#pragma once

#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/routes/service_map.hpp>

#include <cstdint>
#include <optional>

namespace fulmarjunction {

/// Holds the version in force and decides whether keys may be trusted.
///
/// A withdrawn key must stop working on all nodes within a bound, even on nodes
/// that can't reach the store. So keys are only trusted while a read of the
/// store has confirmed, within the bound, that the copy is the newest. All
/// times come from a clock that also runs while the system is suspended.
class config_copy
{
public:
    /// @param max_confirmation_age age of the last confirmation from which keys
    ///        are not trusted
    explicit config_copy(duration max_confirmation_age)
        : max_confirmation_age_(max_confirmation_age)
    {
    }

    /// Applies a configuration if it is newer than the one in force.
    /// @return whether it was applied
    bool offer(service_map_ptr newest);

    /// Records that `version` was the newest at the given time. Has no effect
    /// unless it is the version in force and none newer is known.
    void confirm(config_version version, duration at);

    /// Records that another node has a newer version. The one in force is not
    /// confirmed until that has been read: the store may have come back from a
    /// copy that is older than both.
    void expect(config_version newer);

    /// Returns whether keys may be trusted.
    bool is_confirmed(duration now) const;

    /// Returns the time since the last confirmation of the version in force.
    std::optional<duration> age(duration now) const;

    /// Returns the configuration in force, or null before the first one.
    const service_map_ptr& current() const { return current_; }
    config_version version() const;

private:
    duration max_confirmation_age_;
    service_map_ptr current_;
    std::optional<duration> confirmed_at_;
    /// The newest version that any node is known to have.
    config_version newest_known_ = 0;
};

/// Estimates the time at which the store gave an answer, on the node's clock.
///
/// A call that waits in the store may have been sent long before it was
/// answered. The store's clock gives the time since an earlier, immediate
/// answer, and that one can't have been given before its call was sent.
class answer_clock
{
public:
    /// Returns the earliest time at which the store can have answered.
    /// @param sent_at time of the call on the node's clock
    /// @param store_time time on the store's clock in the answer
    /// @param era in each era the store's clock has another origin
    duration
    answered_at(duration sent_at, duration store_time, std::uint64_t era = 0);

private:
    std::optional<duration> offset_;
    std::uint64_t era_ = 0;
    duration last_store_time_{};
};

/// Returns the time of a clock that also runs while the system is suspended.
duration suspended_clock_now();

} // namespace fulmarjunction
