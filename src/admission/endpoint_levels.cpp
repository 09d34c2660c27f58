#include <fulmarjunction/admission/endpoint_levels.hpp>

#include <algorithm>
#include <cmath>

namespace fulmarjunction {

namespace {

/// Part of a new answer in the running means: the instances below have
/// levels of their own, and an answer tells of one path through them.
constexpr double smoothing = 0.4;
/// An endpoint of which only some requests call the refusing service is left
/// to be refused there; refusing all of them would refuse work that can
/// finish.
constexpr double least_concerned = 0.5;
/// Some roots always pass, so that answers keep telling the level.
constexpr double greatest_refused_share = 0.98;
/// One in this many roots below the level is let through.
constexpr std::uint64_t probe_one_in = 256;
constexpr duration expiry = seconds(1);
/// Bound of memory; past it new endpoints are not learned until others have
/// expired.
constexpr std::size_t most_states = 100'000;

} // namespace

endpoint_levels::endpoint_levels(std::function<std::uint64_t()> random)
    : random_(std::move(random))
{
}

double endpoint_levels::share_at(const learned& state, time_point now)
{
    if (now - state.updated >= expiry || state.concerned < least_concerned)
        return 0;
    return state.refused_share;
}

bool endpoint_levels::admit(
    const entry_root& root, time_point now, double margin)
{
    const auto found = learned_.find({root.endpoint, root.account});
    if (found == learned_.end())
        return true;
    const double position = root.priority - std::floor(root.priority);
    const double share = share_at(found->second, now);
    if (share == 0 || position >= share + margin)
        return true;
    return random_() % probe_one_in == 0;
}

void endpoint_levels::ended(
    const entry_root& root, const downstream_observation& seen, time_point now)
{
    auto level = seen.level.level;
    // A refusal without a level still tells that this root is below one.
    if (seen.refused)
        level = std::max(level, root.priority);
    const key name{root.endpoint, root.account};
    auto found = learned_.find(name);
    if (found == learned_.end()) {
        // Endpoints without refusals need no state.
        if (level <= 0)
            return;
        if (learned_.size() >= most_states)
            std::erase_if(learned_, [now](const auto& item) {
                return now - item.second.updated >= expiry;
            });
        if (learned_.size() >= most_states)
            return;
        found = learned_.try_emplace(name).first;
    }
    auto& state = found->second;
    if (now - state.updated >= expiry)
        state = learned{};
    state.rank = std::floor(root.priority);
    const double share =
        std::clamp(level - state.rank, 0.0, greatest_refused_share);
    const double met = share > 0 ? 1 : 0;
    const bool first = state.updated == time_point{};
    const double part = first ? 1 : smoothing;
    state.refused_share += part * (share - state.refused_share);
    state.concerned += part * (met - state.concerned);
    state.updated = now;
    if (!seen.level.service.empty())
        state.service = seen.level.service;
}

service_level endpoint_levels::level(
    const endpoint_name& endpoint, const client_account& account,
    time_point now) const
{
    const auto found = learned_.find({endpoint, account});
    if (found == learned_.end())
        return {};
    const auto& state = found->second;
    const double share = share_at(state, now);
    if (share <= 0)
        return {};
    return {state.service, state.rank + share};
}

} // namespace fulmarjunction
