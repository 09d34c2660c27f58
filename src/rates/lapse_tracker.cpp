#include "lapse_tracker.hpp"

#include "share_bucket.hpp"

namespace fulmarjunction::detail {

void lapse_tracker::observe(const observed_instance& seen, time_point now)
{
    const auto found = states_.find(seen.name);
    if (found == states_.end()) {
        states_[seen.name] = {seen, now};
        return;
    }
    auto& known = found->second;
    if (seen.version < known.seen.version)
        return;
    const bool same = seen.present == known.seen.present &&
                      seen.incarnation == known.seen.incarnation &&
                      seen.renewals == known.seen.renewals;
    if (!same)
        known.unchanged_since = now;
    known.seen = seen;
}

void lapse_tracker::expect(const instance_name& name, time_point now)
{
    observed_instance absent;
    absent.name = name;
    states_.try_emplace(name, state{absent, now});
}

bool lapse_tracker::has_lapsed(const share_entry& entry, time_point now) const
{
    const auto found = states_.find(entry.holder);
    if (found == states_.end())
        return false;
    const auto lapse_s = clock_margin * to_seconds(entry.lease);
    return now - found->second.unchanged_since >= from_seconds(lapse_s);
}

row_condition lapse_tracker::condition(const instance_name& name) const
{
    row_condition unchanged{"instance/" + name, 0};
    const auto found = states_.find(name);
    if (found != states_.end() && found->second.seen.present)
        unchanged.expected = found->second.seen.version;
    return unchanged;
}

} // namespace fulmarjunction::detail
