#include "node_state.hpp"

#include <fulmarjunction/suspects/suspect_reports.hpp>

#include <fulmarjunction/core/log.hpp>

#include <boost/json.hpp>
#include <sodium.h>

#include <random>

namespace fulmarjunction {

namespace {

constexpr std::string_view share_prefix = "shares/";
constexpr std::string_view handover_prefix = "handover/";

freshness_settings to_freshness(const node_settings& settings)
{
    return {settings.freshness.limit, settings.freshness.serve_when};
}

membership_settings to_membership(const node_settings& settings)
{
    membership_settings converted;
    converted.probe_interval = settings.probe_interval;
    return converted;
}

rate_settings to_rates(const node_settings& settings)
{
    rate_settings converted;
    converted.lease = settings.rates.lease;
    converted.max_loan_lifetime = settings.rates.loan;
    return converted;
}

issuer_settings to_issuer(const node_settings& settings)
{
    issuer_settings converted;
    converted.key_lifetime = settings.unique.expiry;
    converted.max_open_keys_per_account = settings.unique.max_open_per_account;
    converted.max_kept_answer_bytes = settings.unique.kept_answer_bytes;
    return converted;
}

} // namespace

std::function<std::uint64_t()> make_random_generator()
{
    const auto seed =
        (std::uint64_t{randombytes_random()} << 32) | randombytes_random();
    return [engine = std::mt19937_64(seed)]() mutable { return engine(); };
}

node_state::node_state(
    const node_settings& given, const node_secrets& secrets,
    instance_record record, time_point now)
    : settings(given), self(std::move(record)), timers(now),
      freshness_monitor(to_freshness(given)),
      members(to_membership(given), self, now),
      own_instance_row(self, now, make_random_generator()),
      rates(
          to_rates(given), rate_member{self.name, self.zone, self.incarnation},
          make_random_generator()()),
      issuer(
          to_issuer(given), self.name, self.incarnation,
          derive_key_secret(secrets.peer), now),
      routes(self.zone, make_random_generator()),
      levels(make_random_generator()),
      suspects(suspect_settings{}, self.name, self.incarnation)
{
    table_replica.observe(
        [this](const table_row& changed) { apply(changed, clock::now()); });
    members.observe_services([this](const service_name& service) {
        changed_services_.insert(service);
        members_changed_ = true;
    });
    for (const auto& seed : given.peers.seeds)
        members.add_seed(format_address(seed));
    attach_suspects();
}

void node_state::apply(const table_row& changed, time_point now)
{
    const std::string_view key = changed.key;
    if (const auto applied = config.apply(key, changed.value, changed.deleted);
        !applied) {
        log(log_level::error, "row_refused",
            {{"row", key}, {"error", to_string(applied.error())}});
    }
    if (key.starts_with("catalog/"))
        plans_changed_ = true;
    if (key.starts_with(instance_row_prefix)) {
        members.apply_row(changed, now);
        lease_monitor.apply_row(changed, now);
        members_changed_ = true;
        observed_instance observed{
            std::string(key.substr(instance_row_prefix.size()))};
        observed.version = changed.version;
        if (!changed.deleted) {
            const auto record = parse_instance_record(key, changed.value);
            observed.present = record.has_value();
            observed.incarnation = record ? record.value().incarnation : 0;
            observed.renewals = record ? record.value().renewals : 0;
        }
        // Another process has taken this instance's name, so this one must
        // stop spending its shares.
        if (observed.name == self.name &&
            observed.incarnation > self.incarnation)
            rates.lose_lease(now);
        rates.observe_instance(observed, now);
    } else if (key.starts_with(share_prefix)) {
        const client_account account(key.substr(share_prefix.size()));
        const auto value =
            changed.deleted ? to_json(share_ledger{}) : changed.value;
        const auto applied =
            rates.apply_ledger_row(account, value, changed.version, now);
        if (!applied) {
            log(log_level::error, "row_refused",
                {{"row", key}, {"error", to_string(applied.error())}});
        }
    } else if (key.starts_with(handover_prefix) && !changed.deleted) {
        if (const auto parsed = parse_handover_row(changed.value)) {
            const auto& found = parsed.value();
            handovers_.insert_or_assign(
                {found.issuer, found.incarnation}, found);
            issuer.apply_handover_row(found, now);
        }
    }
}

void node_state::refresh(time_point now)
{
    freshness_monitor.replica_advanced(table_replica.version());
    if (std::exchange(plans_changed_, false))
        refresh_plans(now);
    if (std::exchange(members_changed_, false)) {
        refresh_members(now);
        refresh_routes(now);
    }
}

void node_state::refresh_plans(time_point now)
{
    const auto version_of = [this](std::string_view key) {
        const auto* held = table_replica.find(key);
        return held != nullptr ? held->version : 0;
    };
    const auto accounts_version = version_of("catalog/accounts");
    const auto plans_version = version_of("catalog/plans");
    std::set<client_account> with_plan;
    for (const auto& account : config.accounts().accounts) {
        const auto* plan = config.find_plan(account.name);
        if (plan == nullptr)
            continue;
        with_plan.insert(account.name);
        rates.set_plan(
            account.name,
            account_plan{
                plan->rate, plan->burst, accounts_version, plans_version},
            now);
    }
    for (const auto& account : accounts_with_plan_) {
        if (!with_plan.contains(account))
            rates.remove_plan(account, now);
    }
    accounts_with_plan_ = std::move(with_plan);
}

void node_state::refresh_members(time_point now)
{
    std::vector<rate_member> live;
    for (const auto& name : members.live()) {
        const auto found = members.find(name);
        if (found)
            live.push_back(
                {name, found->record.zone, found->record.incarnation});
    }
    rates.set_members(
        std::make_shared<const std::vector<rate_member>>(std::move(live)), now);
    freshness_monitor.set_zones(members.zones());
}

void node_state::refresh_routes(time_point now)
{
    for (const auto& service : std::exchange(changed_services_, {})) {
        std::vector<routing_candidate> candidates;
        for (const auto& candidate : members.candidates(service))
            candidates.push_back(
                {candidate.name, candidate.zone, candidate.slots,
                 candidate.incarnation});
        routes.set_instances(service, std::move(candidates), now);
    }
}

bool node_state::is_fresh(time_point now) const
{
    return freshness_monitor.decide(now) != freshness_decision::stale;
}

std::optional<peer_address> node_state::locate(const instance_name& name) const
{
    const auto address = parse_address(members.address_of(name));
    if (!address)
        return std::nullopt;
    return peer_address{name, *address};
}

suspect_decision node_state::classify(
    const service_name& service, fingerprint request_fingerprint,
    time_point now) const
{
    // The list of suspects is nearly always empty, which makes building the
    // list of instances unnecessary.
    if (suspects.size() == 0)
        return {};
    std::vector<instance_name> instances;
    for (const auto& candidate : members.candidates(service))
        instances.push_back(candidate.name);
    return suspects.decide(request_fingerprint, instances, now);
}

void node_state::attach_suspects()
{
    // Each neighbour gets the changes since the last message to it. Lost
    // messages are not sent again; the expiry of reports bounds their effect.
    const auto last_sent =
        std::make_shared<std::map<instance_name, std::uint64_t>>();
    members.attach_section(
        "suspects",
        [this, last_sent](
            const instance_name& to) -> std::optional<boost::json::value> {
            auto& last = (*last_sent)[to];
            if (last == suspects.last_change())
                return std::nullopt;
            const auto reports =
                suspects.changes(last, suspect_reports_per_probe, clock::now());
            last = suspects.last_change();
            return to_json(reports);
        },
        [this](const instance_name&, const boost::json::value& section) {
            const auto reports = parse_suspect_reports(section);
            if (!reports)
                return;
            for (const auto& report : reports.value())
                suspects.merge(report, clock::now());
        });
    suspect_expiry_ = timers.every(
        seconds(1), [this](time_point now) { suspects.expire(now); });
}

const handover_row* node_state::successor_of(
    const instance_name& issuer_name, incarnation_number incarnation) const
{
    const auto found = handovers_.find({issuer_name, incarnation});
    return found == handovers_.end() ? nullptr : &found->second;
}

} // namespace fulmarjunction
