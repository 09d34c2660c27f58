// Discrete-event simulation of a fleet with the production classes, an injected
// clock, a simulated store and links with seeded faults. Drives the classes as
// the daemon does. Used by the tests and by the measurement.
#pragma once

#include <fulmarjunction/membership/membership.hpp>
#include <fulmarjunction/membership/own_row.hpp>
#include <fulmarjunction/replica/freshness.hpp>
#include <fulmarjunction/replica/poll_schedule.hpp>
#include <fulmarjunction/replica/replica.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace fulmarjunction::simulation {

// Faults that apply to all links and to the store.
struct fault_state
{
    double loss = 0;
    double duplicate = 0;
    duration min_delay = milliseconds(1);
    duration max_delay = milliseconds(1);
    bool store_down = false;
    // Probability that a commit takes effect but its answer is lost.
    double answer_loss = 0;
    // Returns whether the link between two nodes is cut.
    std::function<bool(std::size_t from, std::size_t to)> is_cut;
    // Returns whether a node cannot reach the store.
    std::function<bool(std::size_t node)> is_store_cut;
};

// In-memory table service.
class store
{
public:
    row_list list(table_version after, std::size_t limit) const
    {
        row_list list{{}, head_, head_};
        auto next = changes_.upper_bound(after);
        for (; next != changes_.end(); ++next) {
            const bool new_version =
                list.rows.empty() || list.rows.back().version != next->first;
            if (new_version && list.rows.size() >= limit) {
                list.complete_to = next->first - 1;
                break;
            }
            list.rows.push_back(rows_.at(next->second));
        }
        return list;
    }

    std::optional<table_row> get(const std::string& key) const
    {
        const auto found = rows_.find(key);
        if (found == rows_.end() || found->second.deleted)
            return std::nullopt;
        return found->second;
    }

    result<table_version> commit(const table_transaction& change)
    {
        for (const auto& condition : change.conditions) {
            const auto row = get(condition.key);
            if ((row ? row->version : 0) != condition.expected)
                return fail(errc::conflict, "commit");
        }
        ++head_;
        for (const auto& write : change.writes)
            put(write);
        return head_;
    }

    table_version head() const { return head_; }

private:
    void put(const row_write& write)
    {
        auto& row = rows_[write.key];
        const auto range = changes_.equal_range(row.version);
        for (auto it = range.first; it != range.second; ++it) {
            if (it->second == write.key) {
                changes_.erase(it);
                break;
            }
        }
        row = {write.key, write.value.value_or(nullptr), head_, !write.value};
        changes_.emplace(head_, write.key);
    }

    std::map<std::string, table_row> rows_;
    std::multimap<table_version, std::string> changes_;
    table_version head_ = 0;
};

// Messages and bytes that a node has sent, and its polls of the store.
struct traffic
{
    std::uint64_t probe_bytes = 0;
    std::uint64_t rows_bytes = 0;
    std::uint64_t leave_bytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t polls = 0;
    std::uint64_t largest_probe = 0;

    std::uint64_t bytes() const
    {
        return probe_bytes + rows_bytes + leave_bytes;
    }
};

// A node: the production classes, and the state that the daemon keeps beside
// them.
struct simulated_node
{
    std::size_t index = 0;
    instance_record record;
    bool up = false;
    bool paused = false;
    std::uint64_t generation = 0;
    std::vector<std::function<void()>> backlog;
    std::unique_ptr<replica> row_replica;
    std::unique_ptr<freshness> freshness_state;
    std::unique_ptr<poll_schedule> polls;
    std::unique_ptr<membership> members;
    std::unique_ptr<own_row> own_table_row;
    lease_expiry_monitor lease_expiries;
    std::map<instance_name, table_version> peer_versions;
    bool pulling = false;
    bool is_reader = false;
    bool backend_up = true;
    bool backend_draining = false;
    time_point next_second;
    time_point next_announcement;
    traffic sent;
};

class fleet
{
public:
    fault_state faults;
    store table;
    std::vector<std::unique_ptr<simulated_node>> nodes;
    membership_settings settings;
    freshness_settings fresh_settings;
    // Called once a second for each node that is up.
    std::function<void(simulated_node&)> on_second;
    // Called whenever a node's replica advances.
    std::function<void(simulated_node&)> on_advance;
    std::size_t list_limit = 1000;
    seconds lease{21'600};

    explicit fleet(std::uint64_t seed) : random_(seed) {}

    time_point now() const { return now_; }
    std::mt19937_64& random() { return random_; }

    // Adds a node; zones and services are assigned round-robin.
    simulated_node& add(std::size_t zones, std::size_t services)
    {
        const auto index = nodes.size();
        auto node = std::make_unique<simulated_node>();
        node->index = index;
        auto& record = node->record;
        record.name = fmt::format(
            "service{}-zone{}-{}", index % services, index % zones, index);
        record.peer_address = record.name;
        record.operator_address = "10.10.10.10:9000";
        record.zone = fmt::format("zone{}", index % zones);
        record.region = fmt::format("region{}", index % zones % 3);
        record.service = fmt::format("service{}", index % services);
        record.slots = 60;
        record.lease = lease;
        by_name_[record.name] = index;
        nodes.push_back(std::move(node));
        return *nodes.back();
    }

    // Starts a node, or restarts it after `stop`.
    void start(simulated_node& node)
    {
        ++node.generation;
        node.up = true;
        node.paused = false;
        node.pulling = false;
        node.backlog.clear();
        node.peer_versions.clear();
        auto record = node.record;
        record.incarnation =
            1'700'000'000'000'000ULL +
            static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::microseconds>(
                    now_.time_since_epoch())
                    .count());
        const auto service = std::exchange(record.service, {});
        node.row_replica = std::make_unique<replica>();
        node.freshness_state = std::make_unique<freshness>(fresh_settings);
        const auto random = [this] { return random_(); };
        node.polls =
            std::make_unique<poll_schedule>(poll_settings{}, now_, random);
        node.members = std::make_unique<membership>(settings, record, now_);
        node.own_table_row = std::make_unique<own_row>(record, now_, random);
        node.lease_expiries = {};
        node.next_second = now_;
        node.next_announcement = now_;
        auto* node_ptr = &node;
        node.row_replica->observe([this, node_ptr](const table_row& row) {
            node_ptr->members->apply_row(row, now_);
            node_ptr->lease_expiries.apply_row(row, now_);
        });
        constexpr std::size_t seeds = 12;
        const auto step = std::max<std::size_t>(1, nodes.size() / seeds);
        for (std::size_t i = 0; i < nodes.size(); i += step)
            node.members->add_seed(nodes[i]->record.peer_address);
        start_ticks(node);
    }

    // Stops a node without a `leave` message, as in a crash.
    void stop(simulated_node& node)
    {
        ++node.generation;
        node.up = false;
    }

    void pause(simulated_node& node) { node.paused = true; }

    void resume(simulated_node& node)
    {
        node.paused = false;
        for (auto& action : std::exchange(node.backlog, {}))
            action();
    }

    // Starts all nodes in the state of a converged fleet: every row is in the
    // store and in every replica.
    void start_converged()
    {
        for (auto& node : nodes) {
            start(*node);
            announce_backend(*node);
            for (int step = 0; step != 3; ++step)
                run_own_row_step(*node);
        }
        for (auto& node : nodes) {
            node->row_replica->apply_list(table.list(0, nodes.size() + 1), 0);
            node->freshness_state->replica_advanced(
                node->row_replica->version());
        }
    }

    void run(duration span)
    {
        const auto end = now_ + span;
        while (!events_.empty() && events_.top().at <= end) {
            auto next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
        now_ = end;
    }

    void schedule(duration delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++sequence_, std::move(action)});
    }

    // Commits an operator's change of a row, if the store is up.
    std::optional<table_version>
    change(const std::string& key, const std::string& value)
    {
        if (faults.store_down)
            return std::nullopt;
        return table.commit({{}, {{key, boost::json::value(value)}}}).value();
    }

    simulated_node* find(const std::string& name)
    {
        const auto found = by_name_.find(name);
        return found == by_name_.end() ? nullptr : nodes[found->second].get();
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::pair(at, sequence) >
                   std::pair(other.at, other.sequence);
        }
    };

    bool occurs(double probability)
    {
        return probability > 0 &&
               std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    duration link_delay()
    {
        const auto spread = (faults.max_delay - faults.min_delay).count();
        if (spread == 0)
            return faults.min_delay;
        return faults.min_delay +
               duration(static_cast<duration::rep>(
                   random_() % static_cast<std::uint64_t>(spread)));
    }

    // Schedules an action at a node. It is dropped if the node was stopped and
    // deferred while the node is paused.
    void run_at_node(
        simulated_node& node, duration delay, std::function<void()> action)
    {
        auto* node_ptr = &node;
        const auto generation = node.generation;
        schedule(
            delay, [this, node_ptr, generation, action = std::move(action)] {
                deliver(*node_ptr, generation, action);
            });
    }

    void deliver(
        simulated_node& node, std::uint64_t generation,
        const std::function<void()>& action)
    {
        if (!node.up || node.generation != generation)
            return;
        if (!node.paused) {
            action();
            return;
        }
        auto* node_ptr = &node;
        node.backlog.push_back([this, node_ptr, generation, action] {
            deliver(*node_ptr, generation, action);
        });
    }

    // Delivers a message subject to the link faults.
    void transmit(
        simulated_node& from, simulated_node& to, std::function<void()> action)
    {
        if (faults.is_cut && faults.is_cut(from.index, to.index))
            return;
        if (occurs(faults.loss))
            return;
        if (occurs(faults.duplicate))
            run_at_node(to, link_delay(), action);
        run_at_node(to, link_delay(), std::move(action));
    }

    void start_ticks(simulated_node& node)
    {
        const auto first = milliseconds(random_() % 100);
        run_at_node(node, first, [this, &node] { tick(node); });
    }

    void announce_backend(simulated_node& node)
    {
        node.next_announcement = now_ + seconds(1);
        node.members->backend_announced(
            {node.record.service, node.record.slots, node.backend_draining},
            now_);
        node.own_table_row->set_backend(node.record.service, node.record.slots);
    }

    // Performs one step of the own row without delay.
    void run_own_row_step(simulated_node& node)
    {
        const auto action = node.own_table_row->next(now_);
        if (action.step == own_row_step::read)
            node.own_table_row->read(table.get(action.key), now_);
        if (action.step == own_row_step::commit)
            node.own_table_row->committed(table.commit(action.change), now_);
    }

    void tick(simulated_node& node)
    {
        run_at_node(node, milliseconds(100), [this, &node] { tick(node); });
        if (node.backend_up && now_ >= node.next_announcement)
            announce_backend(node);
        if (now_ >= node.next_second) {
            node.next_second = now_ + seconds(1);
            every_second(node);
        }
        send_outgoing(node);
        poll(node);
        step_own_row(node);
    }

    void every_second(simulated_node& node)
    {
        node.freshness_state->set_zones(node.members->zones());
        node.is_reader = reader_election{}.is_reader(
            node.record.name, node.members->live_in(node.record.zone));
        if (on_second)
            on_second(node);
        const auto live = node.members->live();
        for (auto& deletion :
             node.lease_expiries.due_deletions(now_, node.record.name, live)) {
            if (can_reach_store(node))
                (void)table.commit(deletion);
        }
    }

    void send_outgoing(simulated_node& node)
    {
        const auto outgoing = node.members->tick(
            now_, node.row_replica->version(),
            node.freshness_state->evidence(now_));
        for (const auto& probe : outgoing.probes)
            send_probe(node, probe);
        for (const auto& leave : outgoing.leaves)
            send_leave(node, leave);
    }

    void send_probe(simulated_node& from, const outgoing_probe& probe)
    {
        const auto text = to_text(probe.message);
        count_message(from, from.sent.probe_bytes, text);
        from.sent.largest_probe =
            std::max<std::uint64_t>(from.sent.largest_probe, text.size());
        const auto sent = now_;
        auto is_completed = std::make_shared<bool>(false);
        run_at_node(
            from, settings.probe_interval, [this, &from, probe, is_completed] {
                if (!std::exchange(*is_completed, true))
                    from.members->probe_failed(probe.to, now_);
            });
        auto* to = find(probe.address);
        if (to == nullptr)
            return;
        transmit(from, *to, [this, &from, to, probe, text, sent, is_completed] {
            answer_probe(from, *to, probe.to, text, sent, is_completed);
        });
    }

    void answer_probe(
        simulated_node& from, simulated_node& to,
        const instance_name& requested, const std::string& text,
        time_point sent, const std::shared_ptr<bool>& is_completed)
    {
        const auto probe = parse_probe_message(text).value();
        auto reply = to.members->probe_received(
            probe, now_, to.row_replica->version(),
            to.freshness_state->evidence(now_));
        merge_probe_result(to, probe.from, reply.learned);
        const auto answer = to_text(reply.message);
        count_message(to, to.sent.probe_bytes, answer);
        transmit(
            to, from, [this, &from, requested, answer, sent, is_completed] {
                const auto message = parse_probe_message(answer).value();
                if (std::exchange(*is_completed, true))
                    return;
                merge_probe_result(
                    from, message.from,
                    from.members->probe_answered(
                        requested, message, sent, now_));
            });
    }

    void merge_probe_result(
        simulated_node& node, const instance_name& peer,
        const probe_result& learned)
    {
        node.peer_versions[peer] = learned.version;
        node.freshness_state->merge(
            learned.evidence, learned.counted_from, now_);
        if (const auto request =
                node.row_replica->pull_if_behind(learned.version))
            pull(node, peer, *request);
    }

    void send_leave(simulated_node& from, const outgoing_leave& leave)
    {
        const auto text = to_text(leave.message);
        count_message(from, from.sent.leave_bytes, text);
        auto* to = find(leave.address);
        if (to == nullptr)
            return;
        transmit(from, *to, [this, to, text] {
            to->members->leave_received(
                parse_leave_message(text).value(), now_);
            send_outgoing(*to);
        });
    }

    // At most one pull is in flight at a node.
    void pull(
        simulated_node& node, const instance_name& peer,
        const rows_request& request)
    {
        auto* to = find(peer);
        if (node.pulling || to == nullptr)
            return;
        node.pulling = true;
        auto is_completed = std::make_shared<bool>(false);
        run_at_node(node, seconds(1), [&node, is_completed] {
            if (!std::exchange(*is_completed, true))
                node.pulling = false;
        });
        const auto text = to_text(request);
        count_message(node, node.sent.rows_bytes, text);
        transmit(node, *to, [this, &node, to, text, is_completed] {
            const auto received =
                std::get<rows_request>(parse_rows_message(text).value());
            const auto reply_text = to_text(to->row_replica->answer(received));
            count_message(*to, to->sent.rows_bytes, reply_text);
            transmit(*to, node, [this, &node, to, reply_text, is_completed] {
                if (std::exchange(*is_completed, true))
                    return;
                node.pulling = false;
                apply_rows(node, to->record.name, reply_text);
            });
        });
    }

    void apply_rows(
        simulated_node& node, const instance_name& from,
        const std::string& text)
    {
        const auto message = parse_rows_message(text).value();
        const auto& delta = std::get<rows_delta>(message);
        auto& known = node.peer_versions[from];
        known = std::max(known, delta.end);
        apply_update(node, node.row_replica->apply_delta(delta), from);
    }

    void apply_update(
        simulated_node& node, const replica_update& update,
        const instance_name& from)
    {
        if (update.pull && !from.empty())
            pull(node, from, *update.pull);
        if (!update.advanced)
            return;
        node.freshness_state->replica_advanced(node.row_replica->version());
        if (on_advance)
            on_advance(node);
        for (const auto& name : node.members->neighbours()) {
            const auto known = node.peer_versions[name];
            if (known < node.row_replica->version())
                push(node, name, known);
        }
    }

    void
    push(simulated_node& node, const instance_name& name, table_version known)
    {
        auto* to = find(name);
        if (to == nullptr)
            return;
        const auto text = to_text(node.row_replica->push(known));
        count_message(node, node.sent.rows_bytes, text);
        transmit(node, *to, [this, to, &node, text] {
            apply_rows(*to, node.record.name, text);
        });
        node.peer_versions[name] = node.row_replica->version();
    }

    bool can_reach_store(const simulated_node& node) const
    {
        return !faults.store_down &&
               !(faults.is_store_cut && faults.is_store_cut(node.index));
    }

    void poll(simulated_node& node)
    {
        if (!node.polls->should_poll(
                now_, node.is_reader, node.freshness_state->newest_evidence()))
            return;
        node.polls->sent(now_);
        ++node.sent.polls;
        const auto sent = now_;
        const auto after = node.row_replica->poll_after();
        if (!can_reach_store(node)) {
            run_at_node(node, milliseconds(500), [this, &node, sent] {
                node.polls->failed(now_);
                node.freshness_state->poll_failed(node.record.zone, sent);
            });
            return;
        }
        auto list = std::make_shared<row_list>(table.list(after, list_limit));
        run_at_node(node, milliseconds(5), [this, &node, sent, after, list] {
            node.polls->succeeded(now_);
            if (list->complete_to < list->head)
                node.polls->poll_again(now_);
            node.freshness_state->poll_succeeded(
                node.record.zone, list->head, sent);
            apply_update(node, node.row_replica->apply_list(*list, after), {});
        });
    }

    void step_own_row(simulated_node& node)
    {
        const auto action = node.own_table_row->next(now_);
        if (action.step == own_row_step::none)
            return;
        const bool reachable = can_reach_store(node);
        if (action.step == own_row_step::read) {
            run_at_node(node, milliseconds(5), [this, &node, reachable] {
                const auto key = instance_row_key(node.record.name);
                node.own_table_row->read(
                    reachable ? result<std::optional<table_row>>(table.get(key))
                              : fail(errc::timeout, "get"),
                    now_);
                node.members->raise_incarnation(
                    node.own_table_row->incarnation());
            });
            return;
        }
        auto outcome = reachable ? table.commit(action.change)
                                 : fail(errc::timeout, "commit");
        if (occurs(faults.answer_loss))
            outcome = fail(errc::timeout, "commit");
        run_at_node(node, milliseconds(5), [this, &node, outcome] {
            node.own_table_row->committed(outcome, now_);
        });
    }

    static void count_message(
        simulated_node& node, std::uint64_t& bytes, const std::string& text)
    {
        bytes += text.size();
        ++node.sent.messages;
    }

    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, std::size_t> by_name_;
};

} // namespace fulmarjunction::simulation
