#include <fulmarjunction/suspects/suspects.hpp>

#include <xxhash.h>

#include <algorithm>
#include <new>
#include <tuple>

namespace fulmarjunction {

namespace {

/// A request is refused after this many crashes. A single crash may have been
/// caused by another request in flight at the time.
constexpr std::size_t crashes_to_refuse = 2;
/// Maximum number of crashes kept for one fingerprint. Two are enough to
/// refuse; the others allow a cleared flag that arrives late to match its
/// crash.
constexpr std::size_t max_crashes = 8;
/// Maximum number of requests blamed for one crash.
constexpr std::size_t max_blamed = 512;
/// The transport time of a report is added to the remaining time. Smaller
/// differences are ignored, or reports forwarded back and forth would never
/// expire.
constexpr duration expiry_slack = seconds(2);

std::uint64_t hash_text(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Hashes what precedes the body. The hash of each part is the seed of the
/// next, so that moving bytes from one part to another changes the fingerprint.
std::uint64_t hash_head(
    const client_account& account, const endpoint_name& endpoint,
    std::string_view target)
{
    auto hash = hash_text(account, 0);
    hash = hash_text(endpoint, hash);
    return hash_text(target, hash);
}

} // namespace

fingerprint_builder::fingerprint_builder(
    const client_account& account, const endpoint_name& endpoint,
    std::string_view target)
    : state_(XXH3_createState())
{
    if (!state_)
        throw std::bad_alloc();
    XXH3_64bits_reset_withSeed(
        state_.get(), hash_head(account, endpoint, target));
}

void fingerprint_builder::state_deleter::operator()(XXH3_state_s* state) const
{
    XXH3_freeState(state);
}

void fingerprint_builder::add_body(std::string_view bytes)
{
    XXH3_64bits_update(state_.get(), bytes.data(), bytes.size());
}

fingerprint fingerprint_builder::value() const
{
    return XXH3_64bits_digest(state_.get());
}

fingerprint fingerprint_of(
    const client_account& account, const endpoint_name& endpoint,
    std::string_view target, std::string_view body)
{
    return hash_text(body, hash_head(account, endpoint, target));
}

fingerprint partial_fingerprint_of(
    const client_account& account, const endpoint_name& endpoint,
    std::string_view target, std::string_view first_bytes)
{
    return hash_text(
        "...", fingerprint_of(account, endpoint, target, first_bytes));
}

request_prints prints_of(fingerprint content, const request_identity& identity)
{
    auto hash = hash_text(identity.account, content);
    hash = hash_text(identity.caller_service, hash);
    hash = hash_text(identity.service, hash);
    return {content, hash_text(identity.method, hash)};
}

suspect_list::suspect_list(
    suspect_settings settings, instance_name self,
    std::uint64_t first_crash_number)
    : settings_(settings), self_(std::move(self)),
      next_crash_number_(std::max<std::uint64_t>(first_crash_number, 1))
{
}

bool suspect_list::add_crash(
    suspect& entry, const crash_id& id, const crash_state& state) const
{
    const auto [found, added] = entry.crashes.try_emplace(id, state);
    bool changed = added;
    auto& stored = found->second;
    if (state.cleared && !stored.cleared) {
        stored.cleared = true;
        changed = true;
    }
    if (state.expires > stored.expires + expiry_slack) {
        stored.expires = state.expires;
        changed = true;
    }
    if (entry.crashes.size() <= max_crashes)
        return changed;
    const auto first_to_expire = std::min_element(
        entry.crashes.begin(), entry.crashes.end(),
        [](const auto& a, const auto& b) {
            return a.second.expires < b.second.expires;
        });
    // Removing the crash just added leaves the entry unchanged.
    if (first_to_expire->first == id)
        changed = false;
    entry.crashes.erase(first_to_expire);
    return changed;
}

void suspect_list::crashed(
    const std::vector<fingerprint>& in_flight, std::optional<fingerprint> alone,
    time_point now)
{
    const crash_id id{self_, next_crash_number_++};
    const crash_state state{now + settings_.expiry, false};
    const auto blame = [&](fingerprint print) {
        auto& entry = suspects_[print];
        add_crash(entry, id, state);
        mark_changed_here(entry);
    };
    if (alone) {
        blame(*alone);
    } else {
        const auto count = std::min(in_flight.size(), max_blamed);
        std::for_each_n(in_flight.begin(), count, blame);
    }
    enforce_max_suspects();
}

void suspect_list::attempt_failed(
    fingerprint content, const instance_name& instance, time_point now)
{
    auto& entry = suspects_[content];
    // A new failure counts even if an earlier one was cleared.
    entry.crashes.erase({instance, 0});
    add_crash(entry, {instance, 0}, {now + settings_.expiry, false});
    enforce_max_suspects();
}

std::size_t suspect_list::finished(const request_prints& prints, time_point now)
{
    const auto found = suspects_.find(prints.content);
    if (found == suspects_.end())
        return 0;
    // Copied, since the two fingerprints may share an entry.
    const auto crashes = found->second.crashes;
    std::size_t cleared = 0;
    for (const auto& [id, state] : crashes) {
        if (state.expires <= now || is_cleared(prints, id, state))
            continue;
        auto& entry = suspects_[prints.caller];
        entry.crashes.erase(id);
        add_crash(entry, id, {state.expires, true});
        ++cleared;
    }
    if (cleared == 0)
        return 0;
    mark_changed_here(suspects_[prints.caller]);
    enforce_max_suspects();
    return cleared;
}

bool suspect_list::merge(const suspect_report& report, time_point now)
{
    auto& entry = suspects_[report.print];
    bool changed = false;
    for (const auto& crash : report.crashes) {
        const auto remaining = std::min(crash.remaining, settings_.expiry);
        // A failure observed by a sender only affects its own next attempt.
        if (remaining <= duration::zero() || crash.number == 0)
            continue;
        const crash_state state{now + remaining, crash.cleared};
        changed =
            add_crash(entry, {crash.instance, crash.number}, state) || changed;
    }
    if (entry.crashes.empty())
        suspects_.erase(report.print);
    else if (changed)
        mark_changed(entry);
    enforce_max_suspects();
    return changed;
}

/// Returns whether an answer has cleared the crash for this caller.
bool suspect_list::is_cleared(
    const request_prints& prints, const crash_id& id,
    const crash_state& state) const
{
    if (state.cleared)
        return true;
    const auto answered = suspects_.find(prints.caller);
    if (answered == suspects_.end())
        return false;
    const auto found = answered->second.crashes.find(id);
    if (found == answered->second.crashes.end() || !found->second.cleared)
        return false;
    // Failures that a sender observed at an instance share the number 0.
    return id.number != 0 || state.expires <= found->second.expires;
}

/// Returns whether a failure that a sender observed at an instance is a crash
/// that the instance has reported itself.
bool suspect_list::is_reported(
    const suspect& entry, const instance_name& instance,
    const crash_state& observed)
{
    return std::any_of(
        entry.crashes.begin(), entry.crashes.end(), [&](const auto& crash) {
            const auto& [id, state] = crash;
            return id.instance == instance && id.number != 0 &&
                   state.expires + expiry_slack >= observed.expires;
        });
}

suspect_list::crash_summary
suspect_list::summarize(const request_prints& prints, time_point now) const
{
    crash_summary known;
    const auto found = suspects_.find(prints.content);
    if (found == suspects_.end())
        return known;
    for (const auto& [id, state] : found->second.crashes) {
        if (state.expires <= now || is_cleared(prints, id, state))
            continue;
        if (id.number == 0 && is_reported(found->second, id.instance, state))
            continue;
        known.instances.insert(id.instance);
        known.expires = std::max(known.expires, state.expires);
        ++known.crashes;
    }
    return known;
}

bool suspect_list::has_crashes(fingerprint content, time_point now) const
{
    const auto found = suspects_.find(content);
    return found != suspects_.end() &&
           std::any_of(
               found->second.crashes.begin(), found->second.crashes.end(),
               [now](const auto& crash) { return now < crash.second.expires; });
}

/// Chooses the instance that runs a suspect, the same one at every node.
std::optional<instance_name> suspect_list::choose_instance(
    fingerprint print, const std::vector<instance_name>& instances,
    const std::set<instance_name>& excluded)
{
    const instance_name* best = nullptr;
    std::uint64_t highest_hash = 0;
    for (const auto& name : instances) {
        if (excluded.contains(name))
            continue;
        const auto hash = hash_text(name, print);
        if (best == nullptr || hash > highest_hash) {
            best = &name;
            highest_hash = hash;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<instance_name>(*best);
}

suspect_decision suspect_list::decide(
    const request_prints& prints, const std::vector<instance_name>& instances,
    time_point now) const
{
    const auto known = summarize(prints, now);
    if (known.crashes == 0)
        return {};
    auto instance = choose_instance(prints.content, instances, known.instances);
    if (known.crashes < crashes_to_refuse && instance)
        return {suspect_action::run_alone, std::move(instance)};
    if (!settings_.trial_after || known.crashes > crashes_to_refuse)
        return {suspect_action::refuse};
    const auto trial_at =
        known.expires - settings_.expiry + *settings_.trial_after;
    if (now < trial_at)
        return {suspect_action::refuse, std::nullopt, trial_at - now};
    if (!instance)
        instance = choose_instance(prints.content, instances, {});
    if (!instance)
        return {suspect_action::refuse};
    return {suspect_action::run_alone, std::move(instance)};
}

suspect_decision suspect_list::decide_local(
    const request_prints& prints, bool after_backend_failure,
    time_point now) const
{
    if (after_backend_failure &&
        summarize(prints, now).crashes < crashes_to_refuse)
        return {};
    return decide(prints, {self_}, now);
}

std::vector<suspect_report> suspect_list::changes(
    std::uint64_t after, std::size_t limit, time_point now) const
{
    return collect(&suspect::change, after, limit, now);
}

std::vector<suspect_report> suspect_list::own_changes(
    std::uint64_t after, std::size_t limit, time_point now) const
{
    return collect(&suspect::own_change, after, limit, now);
}

std::vector<suspect_report> suspect_list::collect(
    std::uint64_t suspect::*change, std::uint64_t after, std::size_t limit,
    time_point now) const
{
    std::vector<std::pair<std::uint64_t, fingerprint>> changed;
    for (const auto& [print, entry] : suspects_) {
        if (entry.*change > after)
            changed.emplace_back(entry.*change, print);
    }
    std::sort(changed.rbegin(), changed.rend());
    changed.resize(std::min(changed.size(), limit));
    std::vector<suspect_report> reports;
    reports.reserve(changed.size());
    for (const auto& [number, print] : changed) {
        auto report = make_report(print, now);
        if (!report.crashes.empty())
            reports.push_back(std::move(report));
    }
    return reports;
}

suspect_report
suspect_list::make_report(fingerprint print, time_point now) const
{
    suspect_report report{print, {}};
    for (const auto& [id, state] : suspects_.at(print).crashes) {
        if (id.number != 0 && now < state.expires)
            report.crashes.push_back(
                {id.instance, id.number, state.expires - now, state.cleared});
    }
    return report;
}

std::vector<suspect_report>
suspect_list::refused_here(std::size_t limit, time_point now) const
{
    std::vector<suspect_report> reports;
    for (const auto& [print, entry] : suspects_) {
        const auto known = summarize(print, now);
        if (known.crashes < crashes_to_refuse ||
            !known.instances.contains(self_))
            continue;
        if (reports.size() == limit)
            break;
        reports.push_back(make_report(print, now));
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

void suspect_list::enforce_max_suspects()
{
    if (suspects_.size() <= settings_.max_suspects)
        return;
    // Many requests in flight at one crash must not evict a fingerprint that
    // has crashed two instances.
    struct eviction_candidate
    {
        std::size_t instances = 0;
        time_point expires;
        fingerprint print = 0;
    };
    std::vector<eviction_candidate> candidates;
    candidates.reserve(suspects_.size());
    for (const auto& [print, entry] : suspects_) {
        std::set<instance_name> instances;
        eviction_candidate found{0, {}, print};
        for (const auto& [id, state] : entry.crashes) {
            if (!state.cleared)
                instances.insert(id.instance);
            found.expires = std::max(found.expires, state.expires);
        }
        found.instances = instances.size();
        candidates.push_back(found);
    }
    // A sixteenth is evicted at once, so that a burst does not need a selection
    // for each arrival.
    const auto kept = settings_.max_suspects - settings_.max_suspects / 16;
    const auto evicted_count = candidates.size() - kept;
    std::nth_element(
        candidates.begin(),
        candidates.begin() + static_cast<std::ptrdiff_t>(evicted_count - 1),
        candidates.end(),
        [](const eviction_candidate& a, const eviction_candidate& b) {
            return std::tie(a.instances, a.expires, a.print) <
                   std::tie(b.instances, b.expires, b.print);
        });
    std::for_each_n(
        candidates.begin(), evicted_count,
        [this](const eviction_candidate& item) {
            suspects_.erase(item.print);
        });
}

} // namespace fulmarjunction
