#include <fulmarjunction/admission/endpoint_levels.hpp>

#include <algorithm>
#include <cmath>

namespace fulmarjunction {

namespace {

/// Weight of a new answer in the running means. Downstream instances have
/// separate levels, and an answer reports only one path through them.
constexpr double answer_smoothing = 0.4;
/// Minimum affected share at which roots are refused early. If only some
/// requests of an endpoint call the refusing service, that service is left to
/// refuse them; refusing all of them here would reject requests that can
/// finish.
constexpr double min_affected_share = 0.5;
/// Some roots are always admitted, so that answers keep reporting the level.
constexpr double max_refused_share = 0.98;
/// One in this many roots below the level is admitted as a probe.
constexpr std::uint64_t probe_interval = 256;
constexpr duration state_expiry = seconds(1);
/// Bounds memory use: at this size, new endpoints are not tracked until others
/// have expired.
constexpr std::size_t max_states = 100'000;

} // namespace

endpoint_levels::endpoint_levels(std::function<std::uint64_t()> random)
    : random_(std::move(random))
{
}

double
endpoint_levels::refused_share_at(const endpoint_state& state, time_point now)
{
    if (now - state.updated >= state_expiry ||
        state.affected_share < min_affected_share)
        return 0;
    return state.refused_share;
}

bool endpoint_levels::admit(
    const entry_root& root, time_point now, double margin)
{
    const auto found = states_.find({root.endpoint, root.account});
    if (found == states_.end())
        return true;
    const double position = root.priority - std::floor(root.priority);
    const double share = refused_share_at(found->second, now);
    if (share == 0 || position >= share + margin)
        return true;
    return random_() % probe_interval == 0;
}

void endpoint_levels::ended(
    const entry_root& root, const downstream_observation& observation,
    time_point now)
{
    auto level = observation.level.level;
    // A refusal without a level still shows that this root is below one.
    if (observation.refused)
        level = std::max(level, root.priority);
    const key name{root.endpoint, root.account};
    auto found = states_.find(name);
    if (found == states_.end()) {
        // Endpoints without refusals need no state.
        if (level <= 0)
            return;
        if (states_.size() >= max_states)
            std::erase_if(states_, [now](const auto& item) {
                return now - item.second.updated >= state_expiry;
            });
        if (states_.size() >= max_states)
            return;
        found = states_.try_emplace(name).first;
    }
    auto& state = found->second;
    if (now - state.updated >= state_expiry)
        state = endpoint_state{};
    state.rank = std::floor(root.priority);
    const double share = std::clamp(level - state.rank, 0.0, max_refused_share);
    const double affected = share > 0 ? 1 : 0;
    const bool first = state.updated == time_point{};
    const double weight = first ? 1 : answer_smoothing;
    state.refused_share += weight * (share - state.refused_share);
    state.affected_share += weight * (affected - state.affected_share);
    state.updated = now;
    if (!observation.level.service.empty())
        state.service = observation.level.service;
}

service_level endpoint_levels::level(
    const endpoint_name& endpoint, const client_account& account,
    time_point now) const
{
    const auto found = states_.find({endpoint, account});
    if (found == states_.end())
        return {};
    const auto& state = found->second;
    const double share = refused_share_at(state, now);
    if (share <= 0)
        return {};
    return {state.service, state.rank + share};
}

} // namespace fulmarjunction
