#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/replica/freshness.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace fulmarjunction {

namespace {

constexpr auto mode_names = make_enum_table<serve_when>({
    {serve_when::all_zones_report_outage, "all_zones_report_outage"},
    {serve_when::majority_of_zones, "majority_of_zones"},
    {serve_when::always, "always"},
});

constexpr auto decision_names = make_enum_table<freshness_decision>({
    {freshness_decision::fresh, "fresh"},
    {freshness_decision::serve_during_outage, "serve_during_outage"},
    {freshness_decision::stale, "stale"},
});

/// Evidence older than this multiple of the freshness limit is not sent,
/// because no decision uses it.
constexpr int max_sent_age_limits = 10;
/// Maximum number of successful polls whose version the replica has not reached
/// yet. At most one per second comes from each reader of each zone, and they
/// expire.
constexpr std::size_t max_pending_polls = 64;

/// Rounds up, so that forwarding evidence never makes it look newer.
milliseconds age_of(time_point at, time_point now)
{
    return std::chrono::ceil<milliseconds>(
        std::max(now - at, duration::zero()));
}

std::optional<milliseconds>
age_within(std::optional<time_point> at, time_point now, duration limit)
{
    if (!at || now - *at > limit)
        return std::nullopt;
    return age_of(*at, now);
}

} // namespace

std::string_view to_string(serve_when value)
{
    return mode_names.name(value);
}

std::optional<serve_when> parse_serve_when(std::string_view name)
{
    return mode_names.value(name);
}

std::string_view to_string(freshness_decision value)
{
    return decision_names.name(value);
}

freshness::freshness(freshness_settings settings) : settings_(settings) {}

void freshness::set_zones(std::set<availability_zone> zones)
{
    zones_ = std::move(zones);
}

void freshness::poll_succeeded(
    const availability_zone& zone, table_version version, time_point sent)
{
    add_success(zone, version, sent);
}

void freshness::poll_failed(const availability_zone& zone, time_point sent)
{
    add_failure(zone, sent);
}

void freshness::merge(
    const evidence_list& evidence, time_point counted_from, time_point now)
{
    const auto base = std::min(counted_from, now);
    for (const auto& entry : evidence) {
        if (entry.success_age)
            add_success(entry.zone, entry.version, base - *entry.success_age);
        if (entry.failure_age)
            add_failure(entry.zone, base - *entry.failure_age);
    }
}

void freshness::add_success(
    const availability_zone& zone, table_version version, time_point at)
{
    known_version_ = std::max(known_version_, version);
    auto& state = states_[zone];
    if (!state.success ||
        std::tie(*state.success, state.version) < std::tie(at, version)) {
        state.success = at;
        state.version = version;
    }
    if (version <= replica_version_) {
        confirmed_ = std::max(confirmed_.value_or(at), at);
        return;
    }
    // When the limit is exceeded, drops the oldest poll: it would expire first.
    pending_polls_.push_back({at, version});
    if (pending_polls_.size() > max_pending_polls) {
        const auto oldest = std::min_element(
            pending_polls_.begin(), pending_polls_.end(),
            [](const pending_poll& left, const pending_poll& right) {
                return left.at < right.at;
            });
        pending_polls_.erase(oldest);
    }
}

void freshness::add_failure(const availability_zone& zone, time_point at)
{
    auto& state = states_[zone];
    state.failure = std::max(state.failure.value_or(at), at);
}

void freshness::replica_advanced(table_version version)
{
    replica_version_ = std::max(replica_version_, version);
    for (const auto& poll : pending_polls_) {
        if (poll.version <= replica_version_)
            confirmed_ = std::max(confirmed_.value_or(poll.at), poll.at);
    }
    std::erase_if(pending_polls_, [this](const pending_poll& poll) {
        return poll.version <= replica_version_;
    });
}

evidence_list freshness::evidence(time_point now) const
{
    const auto limit = max_sent_age_limits * settings_.limit;
    evidence_list list;
    for (const auto& [zone, state] : states_) {
        zone_evidence entry{zone, {}, 0, {}};
        entry.success_age = age_within(state.success, now, limit);
        entry.failure_age = age_within(state.failure, now, limit);
        if (entry.success_age)
            entry.version = state.version;
        if (entry.success_age || entry.failure_age)
            list.push_back(std::move(entry));
    }
    return list;
}

bool freshness::reports_outage(
    const availability_zone& zone, time_point now) const
{
    const auto found = states_.find(zone);
    if (found == states_.end())
        return false;
    const auto& state = found->second;
    if (!state.failure || now - *state.failure > settings_.limit)
        return false;
    return !state.success || now - *state.success > settings_.limit;
}

freshness_decision freshness::decide(time_point now) const
{
    if (confirmed_ && now - *confirmed_ <= settings_.limit)
        return freshness_decision::fresh;
    if (settings_.mode == serve_when::always)
        return freshness_decision::serve_during_outage;
    // Without a replica nothing can be served. A replica known to be behind
    // lacks a change that was accepted before the outage, so it is not served
    // either.
    if (!confirmed_ && replica_version_ == 0)
        return freshness_decision::stale;
    if (zones_.empty() || known_version_ > replica_version_)
        return freshness_decision::stale;
    const auto has_recent_success = [&](const auto& entry) {
        const auto& success = entry.second.success;
        return success && now - *success <= settings_.limit;
    };
    if (std::any_of(states_.begin(), states_.end(), has_recent_success))
        return freshness_decision::stale;

    const auto reporting = static_cast<std::size_t>(std::count_if(
        zones_.begin(), zones_.end(), [&](const availability_zone& zone) {
            return reports_outage(zone, now);
        }));
    const auto required = settings_.mode == serve_when::majority_of_zones
                              ? zones_.size() / 2 + 1
                              : zones_.size();
    return reporting >= required ? freshness_decision::serve_during_outage
                                 : freshness_decision::stale;
}

std::optional<time_point> freshness::newest_evidence() const
{
    std::optional<time_point> newest;
    for (const auto& [zone, state] : states_) {
        for (const auto& at : {state.success, state.failure}) {
            if (at && (!newest || *newest < *at))
                newest = at;
        }
    }
    return newest;
}

} // namespace fulmarjunction
