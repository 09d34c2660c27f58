#pragma once

#include <fulmarjunction/rates/rate_limiter.hpp>

#include <map>

namespace fulmarjunction::detail {

/// Measures, on this node's clock, how long the rows of other instances have
/// been unchanged.
class lapse_tracker
{
public:
    /// Records a row's present state. The measurement restarts when the
    /// renewal count or the incarnation changes, or the row is created or
    /// deleted.
    void observe(const observed_instance& seen, time_point now);

    /// Starts the measurement for an instance whose row has not been seen.
    void expect(const instance_name& name, time_point now);

    /// Returns whether the lease of the holder of `entry` has certainly ended,
    /// provided that its instance row is still as observed.
    bool has_lapsed(const share_entry& entry, time_point now) const;

    /// Returns the condition that the row is still as observed. A takeover
    /// includes it, because the holder may have renewed its lease since then.
    row_condition condition(const instance_name& name) const;

private:
    struct state
    {
        observed_instance seen;
        time_point unchanged_since;
    };
    std::map<instance_name, state> states_;
};

} // namespace fulmarjunction::detail
