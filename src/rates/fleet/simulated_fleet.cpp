#include "simulated_fleet.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>

namespace fulmarjunction::detail {

namespace {

/// All clocks start here, so that times before the start can be computed.
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
        auto& made = nodes_[i];
        made.name = "node-" + std::to_string(i);
        made.zone = "zone-" + std::to_string(i % settings.zones);
        const auto part = static_cast<double>(spread(-1000, 1000)) / 1000;
        made.clock_rate = 1 + settings.clock_error * part;
        by_name_[made.name] = i;
    }
    for (std::size_t i = 0; i != nodes_.size(); ++i)
        start_node(i);
    refresh_members();
}

bool simulated_fleet::chance(double probability)
{
    return probability > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

sim_time simulated_fleet::spread(sim_time least, sim_time most)
{
    return std::uniform_int_distribution<sim_time>(least, most)(random_);
}

time_point simulated_fleet::clock_of(std::size_t index) const
{
    const auto passed = static_cast<double>(now_) * nodes_[index].clock_rate;
    return time_point(clock_start) +
           std::chrono::microseconds(static_cast<std::int64_t>(passed));
}

void simulated_fleet::at(sim_time when, std::function<void()> what)
{
    events_.push({std::max(when, now_), ++order_, std::move(what)});
}

void simulated_fleet::run_until(sim_time until)
{
    while (!events_.empty() && events_.top().at <= until) {
        auto next = std::move(const_cast<event&>(events_.top()));
        events_.pop();
        now_ = next.at;
        next.run();
    }
    now_ = until;
}

/// Runs an event of a process: not when it has ended, later when it pauses.
void simulated_fleet::on_node(
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
    at(node.paused_until,
       [this, index, incarnation, run = std::move(run)]() mutable {
           on_node(index, incarnation, std::move(run));
       });
}

void simulated_fleet::start_node(std::size_t index)
{
    auto& node = nodes_[index];
    node.limiter = std::make_unique<rate_limiter>(
        settings_.rates, rate_member{node.name, node.zone, node.incarnation},
        settings_.seed * 1000 + index + node.incarnation * 77);
    node.seen = 0;
    node.renewals = 0;
    node.renewing = false;
    node.wake = 0;
    node.plans.clear();
    const auto incarnation = node.incarnation;
    renew(index);
    const auto first = spread(0, settings_.replica_period);
    at(now_ + first / 10, [this, index, incarnation] {
        on_node(index, incarnation, [this, index] { poll_replica(index); });
    });
    at(now_ + spread(0, change_period), [this, index, incarnation] {
        on_node(index, incarnation, [this, index] { plan_changes(index); });
    });
}

void simulated_fleet::refresh_members()
{
    auto members = std::make_shared<std::vector<rate_member>>();
    for (const auto& node : nodes_) {
        const bool gone =
            node.stopping ||
            (!node.alive && now_ - node.down_since >= settings_.detection);
        if (!gone)
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
    recorded_.plans.push_back({now_, account, rate, burst, settles});
    plans_[account] = {rate, burst};
    boost::json::object list;
    for (const auto& [name, plan] : plans_)
        list[name] = {plan.first, plan.second};
    static_cast<void>(apply({{}, {{plans_key, std::move(list)}}}));
}

void simulated_fleet::remove_plan(const client_account& account)
{
    recorded_.plans.push_back({now_, account, 0, 0, settles});
    plans_.erase(account);
    boost::json::object list;
    for (const auto& [name, plan] : plans_)
        list[name] = {plan.first, plan.second};
    static_cast<void>(apply({{}, {{plans_key, std::move(list)}}}));
}

bool simulated_fleet::is_cut(std::size_t a, std::size_t b) const
{
    return !groups_.empty() && groups_[a] != groups_[b];
}

bool simulated_fleet::reaches_table(std::size_t index) const
{
    return table_up_ && (groups_.empty() || groups_[index] == 0);
}

void simulated_fleet::poll_replica(std::size_t index)
{
    auto& node = nodes_[index];
    if (reaches_table(index)) {
        auto from = std::upper_bound(
            log_.begin(), log_.end(), node.seen,
            [](table_version seen, const auto& entry) {
                return seen < entry.second;
            });
        for (; from != log_.end(); ++from) {
            const auto& row = rows_.at(from->first);
            if (row.version == from->second)
                give_row(index, from->first, row);
        }
        node.seen = version_;
    }
    const auto incarnation = node.incarnation;
    at(now_ + settings_.replica_period, [this, index, incarnation] {
        on_node(index, incarnation, [this, index] { poll_replica(index); });
    });
}

void simulated_fleet::give_row(
    std::size_t index, const std::string& key, const stored_row& row)
{
    auto& node = nodes_[index];
    const auto now = clock_of(index);
    if (key == plans_key) {
        give_plans(index);
    } else if (begins_with(key, shares_prefix)) {
        static_cast<void>(node.limiter->apply_ledger_row(
            key.substr(shares_prefix.size()), row.value, row.version, now));
    } else if (begins_with(key, instance_prefix)) {
        observed_instance seen;
        seen.name = key.substr(instance_prefix.size());
        seen.present = true;
        seen.incarnation = row.value.at("life").to_number<std::uint64_t>();
        seen.renewals = row.value.at("renewals").to_number<std::uint64_t>();
        seen.version = row.version;
        node.limiter->observe_instance(seen, now);
    }
}

void simulated_fleet::give_plans(std::size_t index)
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
    at(now_ + lease / 3, [this, index, incarnation] {
        on_node(index, incarnation, [this, index] { renew(index); });
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
    const auto done = [this, index,
                       until](const result<table_version>& committed) {
        auto& renewed = nodes_[index];
        renewed.renewing = false;
        const auto incarnation = renewed.incarnation;
        if (committed) {
            ++renewed.renewals;
            renewed.limiter->renew_lease(until, clock_of(index));
            return;
        }
        at(now_ + sim_second / 2, [this, index, incarnation] {
            on_node(index, incarnation, [this, index] {
                if (!nodes_[index].renewing)
                    write_instance_row(index);
            });
        });
    };
    commit(index, std::move(change), done);
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
        log_.emplace_back(write.key, version_);
    }
    return version_;
}

void simulated_fleet::commit(
    std::size_t index, table_transaction change, const commit_done& done)
{
    const auto incarnation = nodes_[index].incarnation;
    const auto& faults = settings_.faults;
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, index, incarnation, answered,
                         done](const result<table_version>& end) {
        on_node(index, incarnation, [answered, done, end] {
            if (!std::exchange(*answered, true))
                done(end);
        });
    };
    auto arrival = now_ + settings_.table_delay;
    if (chance(faults.late_write))
        arrival += spread(0, faults.late_by);
    const bool loses_answer = chance(faults.lost_answer);
    if (reaches_table(index) && !chance(faults.lost)) {
        at(arrival, [this, change = std::move(change), loses_answer, answer] {
            if (!table_up_)
                return;
            const auto end = apply(change);
            if (loses_answer)
                return;
            at(now_ + settings_.table_delay, [answer, end] { answer(end); });
        });
    }
    at(now_ + commit_timeout,
       [answer] { answer(fail(errc::timeout, "table.commit")); });
}

void simulated_fleet::read_ledger(
    std::size_t index, const client_account& account,
    std::function<void()> then)
{
    const auto incarnation = nodes_[index].incarnation;
    if (!reaches_table(index)) {
        then();
        return;
    }
    at(now_ + settings_.table_delay,
       [this, index, incarnation, account, then = std::move(then)] {
           const auto row = rows_.find(share_row_key(account));
           stored_row read;
           if (row != rows_.end())
               read = row->second;
           at(now_ + settings_.table_delay, [this, index, incarnation, account,
                                             then, read] {
               on_node(index, incarnation, [this, index, account, then, read] {
                   if (read.version != 0)
                       give_row(index, share_row_key(account), read);
                   then();
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
             account = change.account](const result<table_version>& end) {
                const auto tell = [this, index, id, end] {
                    nodes_[index].limiter->change_done(
                        id, end, clock_of(index));
                };
                if (end)
                    tell();
                else
                    read_ledger(index, account, tell);
            });
    }
    at(now_ + change_period, [this, index, incarnation] {
        on_node(index, incarnation, [this, index] { plan_changes(index); });
    });
}

void simulated_fleet::request(std::size_t index, const client_account& account)
{
    while (!nodes_[index].alive)
        index = (index + 1) % nodes_.size();
    const auto id = requests_.size();
    requests_.push_back({now_, now_, false, false});
    request_accounts_.push_back(account);
    on_node(index, nodes_[index].incarnation, [this, index, account, id] {
        auto& node = nodes_[index];
        auto decision = node.limiter->take(account, clock_of(index));
        if (decision.verdict == rate_verdict::waiting) {
            node.tickets[decision.ticket] = id;
            requests_[id].waited = true;
        } else {
            end_request(id, decision.verdict == rate_verdict::admitted);
        }
        carry_out(index, decision.effects);
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

void simulated_fleet::carry_out(std::size_t index, const rate_effects& effects)
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
    const auto passed = std::chrono::duration_cast<std::chrono::microseconds>(
        next - time_point(clock_start));
    const auto due = std::max(
        now_ + 100, static_cast<sim_time>(
                        static_cast<double>(passed.count()) / node.clock_rate) +
                        1);
    if (node.wake > now_ && node.wake <= due)
        return;
    node.wake = due;
    const auto incarnation = node.incarnation;
    at(due, [this, index, incarnation] {
        on_node(index, incarnation, [this, index] {
            carry_out(index, nodes_[index].limiter->poll(clock_of(index)));
        });
    });
}

void simulated_fleet::deliver(
    std::size_t from, std::size_t to, const std::function<void()>& arrive)
{
    ++messages_;
    const auto& faults = settings_.faults;
    if (is_cut(from, to) || chance(faults.lost))
        return;
    const auto incarnation = nodes_[to].incarnation;
    const int copies = chance(faults.duplicated) ? 2 : 1;
    for (int copy = 0; copy != copies; ++copy) {
        auto delay = spread(settings_.delay, settings_.delay * 5 / 4);
        if (chance(faults.late))
            delay += spread(0, faults.late_by);
        at(now_ + delay, [this, to, incarnation, arrive] {
            on_node(to, incarnation, arrive);
        });
    }
}

void simulated_fleet::send_borrow(
    std::size_t from, const outgoing_borrow& message)
{
    const auto to = by_name_.at(message.to);
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
            carry_out(
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
    at(now_ + settings_.detection, [this] { refresh_members(); });
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
        const auto index = by_name_.at(entry.holder);
        if (nodes_[index].alive &&
            nodes_[index].incarnation == entry.incarnation)
            return index;
    }
    return nodes_.size();
}

} // namespace fulmarjunction::detail
