#pragma once

#include <fulmarjunction/rates/rate_limiter.hpp>

#include <map>

namespace fulmarjunction::detail {

/// Counts, on this node's clock, how long the rows of other instances have
/// stayed the same.
class lapse_tracker
{
public:
    /// Notes a row's present state. The count starts anew when the renewal
    /// count or the incarnation changes, or the row comes or goes.
    void observe(const observed_instance& seen, time_point now);

    /// Starts to count for an instance without a row.
    void expect(const instance_name& name, time_point now);

    /// Returns whether the lease of the holder of `entry` has ended for
    /// certain, if its instance row is still as observed.
    bool has_lapsed(const share_entry& entry, time_point now) const;

    /// Returns the condition that the row is still as observed. A takeover
    /// carries it, because the holder may have renewed its lease unseen.
    row_condition condition(const instance_name& name) const;

private:
    struct state
    {
        observed_instance seen;
        time_point since;
    };
    std::map<instance_name, state> states_;
};

} // namespace fulmarjunction::detail
