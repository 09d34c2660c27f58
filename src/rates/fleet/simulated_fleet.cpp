#include "simulated_fleet.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>

namespace fulmarjunction::detail {

namespace {

/// All clocks start at this time, so that times before the start are valid.
constexpr duration clock_start = std::chrono::hours(1000);

constexpr sim_time change_period = 200'000;

constexpr sim_time commit_timeout = sim_second;

const std::string instance_prefix = "instance/";
const std::string shares_prefix = "shares/";
const std::string plans_key = "catalog/plans";

bool begins_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

simulated_fleet::simulated_fleet(const fleet_settings& settings)
    : settings_(settings), random_(settings.seed)
{
    nodes_.resize(settings.nodes);
    for (std::size_t i = 0; i != nodes_.size(); ++i) {
        auto& node = nodes_[i];
        node.name = "node-" + std::to_string(i);
        node.zone = "zone-" + std::to_string(i % settings.zones);
        const auto offset =
            static_cast<double>(random_between(-1000, 1000)) / 1000;
        node.clock_rate = 1 + settings.clock_error * offset;
        index_by_name_[node.name] = i;
    }
    for (std::size_t i = 0; i != nodes_.size(); ++i)
        start_node(i);
    refresh_members();
}

bool simulated_fleet::occurs(double probability)
{
    return probability > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

sim_time simulated_fleet::random_between(sim_time min, sim_time max)
{
    return std::uniform_int_distribution<sim_time>(min, max)(random_);
}

time_point simulated_fleet::clock_of(std::size_t index) const
{
    const auto elapsed = static_cast<double>(now_) * nodes_[index].clock_rate;
    return time_point(clock_start) +
           std::chrono::microseconds(static_cast<std::int64_t>(elapsed));
}

void simulated_fleet::schedule(sim_time when, std::function<void()> action)
{
    events_.push({std::max(when, now_), ++last_sequence_, std::move(action)});
}

void simulated_fleet::run_until(sim_time until)
{
    while (!events_.empty() && events_.top().time <= until) {
        auto next = std::move(const_cast<event&>(events_.top()));
        events_.pop();
        now_ = next.time;
        next.run();
    }
    now_ = until;
}

/// Runs an event of a process: never if the process has ended, and later if it
/// is paused.
void simulated_fleet::run_on_node(
    std::size_t index, incarnation_number incarnation,
    std::function<void()> run)
{
    auto& node = nodes_[index];
    if (!node.alive || node.incarnation != incarnation)
        return;
    if (node.paused_until <= now_) {
        run();
        return;
    }
    schedule(
        node.paused_until,
        [this, index, incarnation, run = std::move(run)]() mutable {
            run_on_node(index, incarnation, std::move(run));
        });
}

void simulated_fleet::start_node(std::size_t index)
{
    auto& node = nodes_[index];
    node.limiter = std::make_unique<rate_limiter>(
        settings_.rates, rate_member{node.name, node.zone, node.incarnation},
        settings_.seed * 1000 + index + node.incarnation * 77);
    node.replica_version = 0;
    node.renewals = 0;
    node.renewing = false;
    node.next_poll = 0;
    node.plans.clear();
    const auto incarnation = node.incarnation;
    renew(index);
    const auto poll_offset = random_between(0, settings_.replica_period);
    schedule(now_ + poll_offset / 10, [this, index, incarnation] {
        run_on_node(index, incarnation, [this, index] { poll_replica(index); });
    });
    schedule(
        now_ + random_between(0, change_period), [this, index, incarnation] {
            run_on_node(
                index, incarnation, [this, index] { plan_changes(index); });
        });
}

void simulated_fleet::refresh_members()
{
    auto members = std::make_shared<std::vector<rate_member>>();
    for (const auto& node : nodes_) {
        const bool excluded =
            node.stopping ||
            (!node.alive && now_ - node.down_since >= settings_.detection_time);
        if (!excluded)
            members->push_back({node.name, node.zone, node.incarnation});
    }
    for (std::size_t i = 0; i != nodes_.size(); ++i) {
        if (nodes_[i].alive)
            nodes_[i].limiter->set_members(members, clock_of(i));
    }
}

void simulated_fleet::set_plan(
    const client_account& account, double rate, double burst)
{
    recorded_.plans.push_back({now_, account, rate, burst, settle_time});
    plans_[account] = {rate, burst};
    boost::json::object catalog;
    for (const auto& [name, plan] : plans_)
        catalog[name] = {plan.first, plan.second};
    static_cast<void>(apply({{}, {{plans_key, std::move(catalog)}}}));
}

void simulated_fleet::remove_plan(const client_account& account)
{
    recorded_.plans.push_back({now_, account, 0, 0, settle_time});
    plans_.erase(account);
    boost::json::object catalog;
    for (const auto& [name, plan] : plans_)
        catalog[name] = {plan.first, plan.second};
    static_cast<void>(apply({{}, {{plans_key, std::move(catalog)}}}));
}

bool simulated_fleet::is_partitioned(std::size_t a, std::size_t b) const
{
    return !partition_groups_.empty() &&
           partition_groups_[a] != partition_groups_[b];
}

bool simulated_fleet::can_reach_table(std::size_t index) const
{
    return table_up_ &&
           (partition_groups_.empty() || partition_groups_[index] == 0);
}

void simulated_fleet::poll_replica(std::size_t index)
{
    auto& node = nodes_[index];
    if (can_reach_table(index)) {
        auto from = std::upper_bound(
            change_log_.begin(), change_log_.end(), node.replica_version,
            [](table_version known, const auto& entry) {
                return known < entry.second;
            });
        for (; from != change_log_.end(); ++from) {
            const auto& row = rows_.at(from->first);
            if (row.version == from->second)
                apply_row(index, from->first, row);
        }
        node.replica_version = version_;
    }
    const auto incarnation = node.incarnation;
    schedule(now_ + settings_.replica_period, [this, index, incarnation] {
        run_on_node(index, incarnation, [this, index] { poll_replica(index); });
    });
}

void simulated_fleet::apply_row(
    std::size_t index, const std::string& key, const stored_row& row)
{
    auto& node = nodes_[index];
    const auto now = clock_of(index);
    if (key == plans_key) {
        apply_plans(index);
    } else if (begins_with(key, shares_prefix)) {
        static_cast<void>(node.limiter->apply_ledger_row(
            key.substr(shares_prefix.size()), row.value, row.version, now));
    } else if (begins_with(key, instance_prefix)) {
        observed_instance observed;
        observed.name = key.substr(instance_prefix.size());
        observed.present = true;
        observed.incarnation = row.value.at("life").to_number<std::uint64_t>();
        observed.renewals = row.value.at("renewals").to_number<std::uint64_t>();
        observed.version = row.version;
        node.limiter->observe_instance(observed, now);
    }
}

void simulated_fleet::apply_plans(std::size_t index)
{
    auto& node = nodes_[index];
    const auto now = clock_of(index);
    const auto& row = rows_.at(plans_key);
    std::map<client_account, account_plan> plans;
    for (const auto& entry : row.value.as_object()) {
        const auto& pair = entry.value().as_array();
        plans[entry.key()] = {
            pair[0].to_number<double>(), pair[1].to_number<double>(), 0,
            row.version};
    }
    for (const auto& [account, plan] : node.plans) {
        if (plans.count(account) == 0)
            node.limiter->remove_plan(account, now);
    }
    for (const auto& [account, plan] : plans)
        node.limiter->set_plan(account, plan, now);
    node.plans = std::move(plans);
}

void simulated_fleet::renew(std::size_t index)
{
    auto& node = nodes_[index];
    if (!node.renewing)
        write_instance_row(index);
    const auto incarnation = node.incarnation;
    const sim_time lease = settings_.rates.lease.count() * 1000;
    schedule(now_ + lease / 3, [this, index, incarnation] {
        run_on_node(index, incarnation, [this, index] { renew(index); });
    });
}

void simulated_fleet::write_instance_row(std::size_t index)
{
    auto& node = nodes_[index];
    node.renewing = true;
    const auto key = instance_prefix + node.name;
    const auto row = rows_.find(key);
    const table_version known = row == rows_.end() ? 0 : row->second.version;
    table_transaction change;
    change.conditions.push_back({key, known});
    change.writes.push_back(
        {key,
         boost::json::value{
             {"life", node.incarnation}, {"renewals", node.renewals + 1}}});
    const auto until = clock_of(index) + settings_.rates.lease;
    const auto on_done = [this, index,
                          until](const result<table_version>& committed) {
        auto& renewed = nodes_[index];
        renewed.renewing = false;
        const auto incarnation = renewed.incarnation;
        if (committed) {
            ++renewed.renewals;
            renewed.limiter->renew_lease(until, clock_of(index));
            return;
        }
        schedule(now_ + sim_second / 2, [this, index, incarnation] {
            run_on_node(index, incarnation, [this, index] {
                if (!nodes_[index].renewing)
                    write_instance_row(index);
            });
        });
    };
    commit(index, std::move(change), on_done);
}

result<table_version> simulated_fleet::apply(const table_transaction& change)
{
    for (const auto& condition : change.conditions) {
        const auto row = rows_.find(condition.key);
        const table_version version =
            row == rows_.end() ? 0 : row->second.version;
        if (version != condition.expected)
            return fail(errc::conflict, "table.commit");
    }
    ++version_;
    ++table_writes_;
    for (const auto& write : change.writes) {
        rows_[write.key] = {*write.value, version_};
        change_log_.emplace_back(write.key, version_);
    }
    return version_;
}

void simulated_fleet::commit(
    std::size_t index, table_transaction change, const commit_callback& on_done)
{
    const auto incarnation = nodes_[index].incarnation;
    const auto& faults = settings_.faults;
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, index, incarnation, answered,
                         on_done](const result<table_version>& outcome) {
        run_on_node(index, incarnation, [answered, on_done, outcome] {
            if (!std::exchange(*answered, true))
                on_done(outcome);
        });
    };
    auto arrival = now_ + settings_.table_delay;
    if (occurs(faults.late_write))
        arrival += random_between(0, faults.max_delay);
    const bool answer_lost = occurs(faults.lost_answer);
    if (can_reach_table(index) && !occurs(faults.lost)) {
        schedule(
            arrival, [this, change = std::move(change), answer_lost, answer] {
                if (!table_up_)
                    return;
                const auto outcome = apply(change);
                if (answer_lost)
                    return;
                schedule(now_ + settings_.table_delay, [answer, outcome] {
                    answer(outcome);
                });
            });
    }
    schedule(now_ + commit_timeout, [answer] {
        answer(fail(errc::timeout, "table.commit"));
    });
}

void simulated_fleet::read_ledger(
    std::size_t index, const client_account& account,
    std::function<void()> on_read)
{
    const auto incarnation = nodes_[index].incarnation;
    if (!can_reach_table(index)) {
        on_read();
        return;
    }
    schedule(
        now_ + settings_.table_delay,
        [this, index, incarnation, account, on_read = std::move(on_read)] {
            const auto row = rows_.find(share_row_key(account));
            stored_row read;
            if (row != rows_.end())
                read = row->second;
            schedule(
                now_ + settings_.table_delay,
                [this, index, incarnation, account, on_read, read] {
                    run_on_node(
                        index, incarnation,
                        [this, index, account, on_read, read] {
                            if (read.version != 0)
                                apply_row(index, share_row_key(account), read);
                            on_read();
                        });
                });
        });
}

void simulated_fleet::plan_changes(std::size_t index)
{
    auto& node = nodes_[index];
    const auto incarnation = node.incarnation;
    for (auto& change : node.limiter->plan_changes(clock_of(index))) {
        commit(
            index, std::move(change.transaction),
            [this, index, id = change.id,
             account = change.account](const result<table_version>& outcome) {
                const auto report_result = [this, index, id, outcome] {
                    nodes_[index].limiter->change_done(
                        id, outcome, clock_of(index));
                };
                if (outcome)
                    report_result();
                else
                    read_ledger(index, account, report_result);
            });
    }
    schedule(now_ + change_period, [this, index, incarnation] {
        run_on_node(index, incarnation, [this, index] { plan_changes(index); });
    });
}

void simulated_fleet::request(std::size_t index, const client_account& account)
{
    while (!nodes_[index].alive)
        index = (index + 1) % nodes_.size();
    const auto id = requests_.size();
    requests_.push_back({now_, now_, false, false});
    request_accounts_.push_back(account);
    run_on_node(index, nodes_[index].incarnation, [this, index, account, id] {
        auto& node = nodes_[index];
        auto decision = node.limiter->take(account, clock_of(index));
        if (decision.verdict == rate_verdict::waiting) {
            node.tickets[decision.ticket] = id;
            requests_[id].waited = true;
        } else {
            end_request(id, decision.verdict == rate_verdict::admitted);
        }
        apply_effects(index, decision.effects);
    });
}

void simulated_fleet::end_request(std::size_t id, bool admitted)
{
    auto& ended = requests_[id];
    ended.ended = now_;
    ended.admitted = admitted;
    if (admitted)
        recorded_.admitted.push_back({now_, request_accounts_[id]});
}

void simulated_fleet::apply_effects(
    std::size_t index, const rate_effects& effects)
{
    auto& node = nodes_[index];
    for (const auto& ended : effects.resolved) {
        const auto found = node.tickets.find(ended.ticket);
        if (found == node.tickets.end())
            continue;
        end_request(found->second, ended.verdict == rate_verdict::admitted);
        node.tickets.erase(found);
    }
    for (const auto& message : effects.send)
        send_borrow(index, message);
    schedule_poll(index);
}

void simulated_fleet::schedule_poll(std::size_t index)
{
    auto& node = nodes_[index];
    const auto next = node.limiter->next_poll();
    if (next == time_point::max())
        return;
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
        next - time_point(clock_start));
    const auto poll_at = std::max(
        now_ + 100,
        static_cast<sim_time>(
            static_cast<double>(elapsed.count()) / node.clock_rate) +
            1);
    if (node.next_poll > now_ && node.next_poll <= poll_at)
        return;
    node.next_poll = poll_at;
    const auto incarnation = node.incarnation;
    schedule(poll_at, [this, index, incarnation] {
        run_on_node(index, incarnation, [this, index] {
            apply_effects(index, nodes_[index].limiter->poll(clock_of(index)));
        });
    });
}

void simulated_fleet::deliver(
    std::size_t from, std::size_t to, const std::function<void()>& on_arrival)
{
    ++messages_;
    const auto& faults = settings_.faults;
    if (is_partitioned(from, to) || occurs(faults.lost))
        return;
    const auto incarnation = nodes_[to].incarnation;
    const int copies = occurs(faults.duplicated) ? 2 : 1;
    for (int copy = 0; copy != copies; ++copy) {
        auto delay = random_between(settings_.delay, settings_.delay * 5 / 4);
        if (occurs(faults.late))
            delay += random_between(0, faults.max_delay);
        schedule(now_ + delay, [this, to, incarnation, on_arrival] {
            run_on_node(to, incarnation, on_arrival);
        });
    }
}

void simulated_fleet::send_borrow(
    std::size_t from, const outgoing_borrow& message)
{
    const auto to = index_by_name_.at(message.to);
    if (count_bytes)
        message_bytes_ += to_text(message.message).size();
    const auto name = nodes_[from].name;
    deliver(from, to, [this, from, to, name, request = message.message] {
        const auto answer =
            nodes_[to].limiter->lend(name, request, clock_of(to));
        if (request.needed == 0 && request.ahead == 0)
            return;
        if (count_bytes)
            message_bytes_ += to_text(answer).size();
        const auto lender = nodes_[to].name;
        deliver(to, from, [this, from, lender, answer] {
            apply_effects(
                from,
                nodes_[from].limiter->receive(lender, answer, clock_of(from)));
        });
    });
}

void simulated_fleet::crash(std::size_t index)
{
    auto& node = nodes_[index];
    if (!node.alive)
        return;
    node.alive = false;
    node.down_since = now_;
    node.tickets.clear();
    schedule(now_ + settings_.detection_time, [this] { refresh_members(); });
}

void simulated_fleet::restart(std::size_t index)
{
    auto& node = nodes_[index];
    if (node.alive)
        return;
    node.alive = true;
    node.stopping = false;
    node.paused_until = 0;
    ++node.incarnation;
    start_node(index);
    refresh_members();
}

void simulated_fleet::pause(std::size_t index, sim_time span)
{
    nodes_[index].paused_until = now_ + span;
}

void simulated_fleet::stop(std::size_t index)
{
    nodes_[index].stopping = true;
    nodes_[index].limiter->begin_stop(clock_of(index));
    refresh_members();
}

share_ledger simulated_fleet::ledger(const client_account& account) const
{
    const auto row = rows_.find(share_row_key(account));
    if (row == rows_.end())
        return {};
    return parse_share_ledger(row->second.value).value();
}

std::size_t simulated_fleet::find_holder(const client_account& account) const
{
    for (const auto& entry : ledger(account).shares) {
        const auto index = index_by_name_.at(entry.holder);
        if (nodes_[index].alive &&
            nodes_[index].incarnation == entry.incarnation)
            return index;
    }
    return nodes_.size();
}

} // namespace fulmarjunction::detail
