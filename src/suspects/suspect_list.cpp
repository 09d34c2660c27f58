#include <fulmarjunction/suspects/suspects.hpp>

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace fulmarjunction {

namespace {

/// Crashes of this many instances are proof enough. The first may have been
/// caused by another request in flight at the time.
constexpr std::size_t instances_to_refuse = 2;
/// Crashes kept for one fingerprint. Two decide; the rest lets a clearing
/// that arrives late meet its crash.
constexpr std::size_t most_crashes = 8;
/// Requests blamed for one crash.
constexpr std::size_t most_blamed = 512;
/// A report adds the time of its transport to the remaining time. Smaller
/// differences are ignored, or reports sent to and fro would never expire.
constexpr duration expiry_slack = seconds(2);

std::uint64_t hash_text(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

fingerprint fingerprint_of(
    const client_account& account, const endpoint_name& endpoint,
    std::string_view target, std::string_view body)
{
    // Each part seeds the next, so parts cannot run into each other.
    auto hash = hash_text(account, 0);
    hash = hash_text(endpoint, hash);
    hash = hash_text(target, hash);
    return hash_text(body.substr(0, fingerprint_body_bytes), hash);
}

suspect_list::suspect_list(
    suspect_settings settings, instance_name self, std::uint64_t first_number)
    : settings_(settings), self_(std::move(self)),
      next_number_(std::max<std::uint64_t>(first_number, 1))
{
}

bool suspect_list::add(
    suspect& entry, const crash_id& id, const crash_state& state) const
{
    const auto [found, added] = entry.crashes.try_emplace(id, state);
    bool changed = added;
    auto& known = found->second;
    if (state.cleared && !known.cleared) {
        known.cleared = true;
        changed = true;
    }
    if (state.expires > known.expires + expiry_slack) {
        known.expires = state.expires;
        changed = true;
    }
    if (entry.crashes.size() <= most_crashes)
        return changed;
    const auto first_to_expire = std::min_element(
        entry.crashes.begin(), entry.crashes.end(),
        [](const auto& a, const auto& b) {
            return a.second.expires < b.second.expires;
        });
    // Removing what was just added is no news.
    if (first_to_expire->first == id)
        changed = false;
    entry.crashes.erase(first_to_expire);
    return changed;
}

void suspect_list::crashed(
    const std::vector<fingerprint>& in_flight, std::optional<fingerprint> alone,
    time_point now)
{
    const crash_id id{self_, next_number_++};
    const crash_state state{now + settings_.expiry, false};
    const auto blame = [&](fingerprint print) {
        auto& entry = suspects_[print];
        add(entry, id, state);
        touch(entry);
    };
    if (alone) {
        blame(*alone);
    } else {
        const auto count = std::min(in_flight.size(), most_blamed);
        std::for_each_n(in_flight.begin(), count, blame);
    }
    bound();
}

void suspect_list::attempt_failed(
    fingerprint print, const instance_name& instance, time_point now)
{
    auto& entry = suspects_[print];
    // A new failure counts even where an earlier one was cleared.
    entry.crashes.erase({instance, 0});
    add(entry, {instance, 0}, {now + settings_.expiry, false});
    bound();
}

void suspect_list::finished(fingerprint print, time_point now)
{
    const auto found = suspects_.find(print);
    if (found == suspects_.end())
        return;
    bool changed = false;
    for (auto& [id, state] : found->second.crashes) {
        if (state.cleared || state.expires <= now)
            continue;
        state.cleared = true;
        changed = true;
    }
    if (changed)
        touch(found->second);
}

bool suspect_list::merge(const suspect_report& report, time_point now)
{
    auto& entry = suspects_[report.print];
    bool changed = false;
    for (const auto& crash : report.crashes) {
        const auto remaining = std::min(crash.remaining, settings_.expiry);
        // What a sender saw is for its own next attempt only.
        if (remaining <= duration::zero() || crash.number == 0)
            continue;
        const crash_state state{now + remaining, crash.cleared};
        changed = add(entry, {crash.instance, crash.number}, state) || changed;
    }
    if (entry.crashes.empty())
        suspects_.erase(report.print);
    else if (changed)
        touch(entry);
    bound();
    return changed;
}

std::set<instance_name>
suspect_list::crashed_instances(fingerprint print, time_point now) const
{
    std::set<instance_name> instances;
    const auto found = suspects_.find(print);
    if (found == suspects_.end())
        return instances;
    for (const auto& [id, state] : found->second.crashes) {
        if (!state.cleared && now < state.expires)
            instances.insert(id.instance);
    }
    return instances;
}

suspect_decision suspect_list::decide(
    fingerprint print, const std::vector<instance_name>& instances,
    time_point now) const
{
    const auto crashed = crashed_instances(print, now);
    if (crashed.empty())
        return {};
    if (crashed.size() >= instances_to_refuse)
        return {suspect_action::refuse, std::nullopt};
    const instance_name* first = nullptr;
    std::uint64_t highest = 0;
    for (const auto& name : instances) {
        if (crashed.count(name) != 0)
            continue;
        const auto hash = hash_text(name, print);
        if (first == nullptr || hash > highest) {
            first = &name;
            highest = hash;
        }
    }
    if (first == nullptr)
        return {suspect_action::refuse, std::nullopt};
    return {suspect_action::run_alone, *first};
}

suspect_decision suspect_list::decide_local(
    fingerprint print, bool after_backend_failure, time_point now) const
{
    auto decision = decide(print, {self_}, now);
    if (after_backend_failure && decision.action == suspect_action::run_alone)
        return {};
    return decision;
}

std::vector<suspect_report> suspect_list::changes(
    std::uint64_t after, std::size_t limit, time_point now) const
{
    std::vector<std::pair<std::uint64_t, fingerprint>> changed;
    for (const auto& [print, entry] : suspects_) {
        if (entry.change > after)
            changed.emplace_back(entry.change, print);
    }
    std::sort(changed.rbegin(), changed.rend());
    changed.resize(std::min(changed.size(), limit));
    std::vector<suspect_report> reports;
    reports.reserve(changed.size());
    for (const auto& [change, print] : changed) {
        suspect_report report{print, {}};
        for (const auto& [id, state] : suspects_.at(print).crashes) {
            if (id.number != 0 && now < state.expires)
                report.crashes.push_back(
                    {id.instance, id.number, state.expires - now,
                     state.cleared});
        }
        if (!report.crashes.empty())
            reports.push_back(std::move(report));
    }
    return reports;
}

void suspect_list::expire(time_point now)
{
    for (auto& [print, entry] : suspects_) {
        std::erase_if(entry.crashes, [now](const auto& item) {
            return item.second.expires <= now;
        });
    }
    std::erase_if(suspects_, [](const auto& item) {
        return item.second.crashes.empty();
    });
}

void suspect_list::bound()
{
    if (suspects_.size() <= settings_.max_suspects)
        return;
    // A flood of requests in flight at one crash must not push out a
    // fingerprint that has crashed two instances.
    struct weight
    {
        std::size_t instances = 0;
        time_point expires;
        fingerprint print = 0;
    };
    std::vector<weight> weights;
    weights.reserve(suspects_.size());
    for (const auto& [print, entry] : suspects_) {
        std::set<instance_name> instances;
        weight found{0, {}, print};
        for (const auto& [id, state] : entry.crashes) {
            if (!state.cleared)
                instances.insert(id.instance);
            found.expires = std::max(found.expires, state.expires);
        }
        found.instances = instances.size();
        weights.push_back(found);
    }
    // A part goes at once, so that a flood does not sort for each arrival.
    const auto kept = settings_.max_suspects - settings_.max_suspects / 16;
    const auto gone = weights.size() - kept;
    std::nth_element(
        weights.begin(),
        weights.begin() + static_cast<std::ptrdiff_t>(gone - 1), weights.end(),
        [](const weight& a, const weight& b) {
            return std::tie(a.instances, a.expires, a.print) <
                   std::tie(b.instances, b.expires, b.print);
        });
    std::for_each_n(weights.begin(), gone, [this](const weight& item) {
        suspects_.erase(item.print);
    });
}

} // namespace fulmarjunction
