#include <fulmarjunction/admission/endpoint_levels.hpp>

#include <algorithm>
#include <cmath>

namespace fulmarjunction {

namespace {

constexpr duration period = milliseconds(200);
/// With fewer answers a period is extended, up to `longest_period`.
constexpr std::size_t least_ended = 20;
constexpr duration longest_period = seconds(1);
/// Share of refused roots that is taken as noise or accepted as the price of
/// noticing free capacity.
constexpr double accepted_share = 0.01;
constexpr double first_growth = 0.02;
constexpr double greatest_growth = 0.32;
constexpr double greatest_refused_share = 0.98;
/// One in this many roots below the level is let through.
constexpr std::uint64_t probe_one_in = 128;
constexpr duration forget_after = seconds(60);
/// Bound of memory; past it new endpoints are not learned until others are
/// forgotten.
constexpr std::size_t most_states = 100'000;

double position(request_priority priority)
{
    return priority - std::floor(priority);
}

} // namespace

endpoint_levels::endpoint_levels(std::function<std::uint64_t()> random)
    : random_(std::move(random))
{
}

endpoint_levels::learned&
endpoint_levels::state_of(const entry_root& root, time_point now)
{
    if (learned_.size() >= most_states) {
        std::erase_if(learned_, [now](const auto& item) {
            return now - item.second.last_use > forget_after;
        });
    }
    const auto [found, added] =
        learned_.try_emplace({root.endpoint, root.account});
    auto& state = found->second;
    if (added)
        state.period_start = now;
    state.last_use = now;
    state.rank = std::floor(root.priority);
    return state;
}

bool endpoint_levels::admit(const entry_root& root, time_point now)
{
    const auto found = learned_.find({root.endpoint, root.account});
    if (found == learned_.end())
        return true;
    auto& state = found->second;
    state.last_use = now;
    adjust(state, now);
    if (position(root.priority) >= state.refused_share)
        return true;
    return random_() % probe_one_in == 0;
}

void endpoint_levels::ended(
    const entry_root& root, bool refused_below, time_point now)
{
    // Endpoints without refusals need no state.
    if (!refused_below && learned_.count({root.endpoint, root.account}) == 0)
        return;
    auto& state = state_of(root, now);
    adjust(state, now);
    // Roots that were sent before the level rose, and probes, say nothing of
    // the roots that are admitted now.
    if (position(root.priority) < state.refused_share)
        return;
    ++state.ended;
    if (refused_below)
        ++state.refused;
}

void endpoint_levels::adjust(learned& state, time_point now)
{
    const auto age = now - state.period_start;
    if (age < period)
        return;
    if (state.ended < least_ended && age < longest_period)
        return;
    const double refused = state.ended == 0
                               ? 0
                               : static_cast<double>(state.refused) /
                                     static_cast<double>(state.ended);
    double passed = 1 - state.refused_share;
    if (refused > accepted_share) {
        // The refused roots are the lowest ones of those that passed.
        passed *= 1 - refused;
        state.growth = 0;
    } else {
        state.growth =
            std::clamp(2 * state.growth, first_growth, greatest_growth);
        passed *= 1 + state.growth;
    }
    state.refused_share = std::clamp(1 - passed, 0.0, greatest_refused_share);
    state.ended = 0;
    state.refused = 0;
    state.period_start = now;
}

admission_level endpoint_levels::level(
    const endpoint_name& endpoint, const client_account& account) const
{
    const auto found = learned_.find({endpoint, account});
    if (found == learned_.end() || found->second.refused_share == 0)
        return 0;
    return found->second.rank + found->second.refused_share;
}

} // namespace fulmarjunction
