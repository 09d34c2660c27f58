// A fleet of nodes with the real decision objects on an injected clock: one
// event queue, a stand-in store, and links with seeded faults. Drives the
// classes as the daemon does. Used by the tests and by the measurement.
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

// Faults of all links and of the store.
struct fault_state
{
    double loss = 0;
    double duplicate = 0;
    duration min_delay = milliseconds(1);
    duration max_delay = milliseconds(1);
    bool store_down = false;
    // Chance that a commit takes effect but its answer is lost.
    double lost_answers = 0;
    // Two nodes whose link is cut return true.
    std::function<bool(std::size_t from, std::size_t to)> is_cut;
    // Nodes that cannot reach the store return true.
    std::function<bool(std::size_t node)> is_store_cut;
};

// The table service as a map.
class store
{
public:
    row_list list(table_version after, std::size_t limit) const
    {
        row_list list{{}, head_, head_};
        auto place = changes_.upper_bound(after);
        for (; place != changes_.end(); ++place) {
            const bool new_version =
                list.rows.empty() || list.rows.back().version != place->first;
            if (new_version && list.rows.size() >= limit) {
                list.complete_to = place->first - 1;
                break;
            }
            list.rows.push_back(rows_.at(place->second));
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
        for (auto place = range.first; place != range.second; ++place) {
            if (place->second == write.key) {
                changes_.erase(place);
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

// What a node has sent and read.
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

// One node: the decision objects and what the daemon keeps besides.
struct node
{
    std::size_t index = 0;
    instance_record record;
    bool up = false;
    bool paused = false;
    std::uint64_t generation = 0;
    std::vector<std::function<void()>> backlog;
    std::unique_ptr<replica> rows;
    std::unique_ptr<freshness> fresh;
    std::unique_ptr<poll_schedule> polls;
    std::unique_ptr<membership> members;
    std::unique_ptr<own_row> own;
    lapse_watch lapses;
    std::map<instance_name, table_version> peer_versions;
    bool pulling = false;
    bool reader = false;
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
    std::vector<std::unique_ptr<node>> nodes;
    membership_settings settings;
    freshness_settings fresh_settings;
    // Called once a second for each node that is up.
    std::function<void(node&)> each_second;
    // Called whenever a node's replica advances.
    std::function<void(node&)> on_advance;
    std::size_t list_limit = 1000;
    seconds lease{21'600};

    explicit fleet(std::uint64_t seed) : random_(seed) {}

    time_point now() const { return now_; }
    std::mt19937_64& random() { return random_; }

    // Adds a node; zones and services are given in turn.
    node& add(std::size_t zones, std::size_t services)
    {
        const auto index = nodes.size();
        auto one = std::make_unique<node>();
        one->index = index;
        auto& record = one->record;
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
        nodes.push_back(std::move(one));
        return *nodes.back();
    }

    // Starts a node, or starts it anew after `stop`.
    void start(node& one)
    {
        ++one.generation;
        one.up = true;
        one.paused = false;
        one.pulling = false;
        one.backlog.clear();
        one.peer_versions.clear();
        auto record = one.record;
        record.incarnation =
            1'700'000'000'000'000ULL +
            static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::microseconds>(
                    now_.time_since_epoch())
                    .count());
        const auto service = std::exchange(record.service, {});
        one.rows = std::make_unique<replica>();
        one.fresh = std::make_unique<freshness>(fresh_settings);
        const auto random = [this] { return random_(); };
        one.polls =
            std::make_unique<poll_schedule>(poll_settings{}, now_, random);
        one.members = std::make_unique<membership>(settings, record, now_);
        one.own = std::make_unique<own_row>(record, now_, random);
        one.lapses = {};
        one.next_second = now_;
        one.next_announcement = now_;
        auto* raw = &one;
        one.rows->observe([this, raw](const table_row& row) {
            raw->members->apply_row(row, now_);
            raw->lapses.apply_row(row, now_);
        });
        constexpr std::size_t seeds = 12;
        const auto step = std::max<std::size_t>(1, nodes.size() / seeds);
        for (std::size_t i = 0; i < nodes.size(); i += step)
            one.members->add_seed(nodes[i]->record.peer_address);
        run_ticks(one);
    }

    // Ends a node without a goodbye.
    void stop(node& one)
    {
        ++one.generation;
        one.up = false;
    }

    void pause(node& one) { one.paused = true; }

    void resume(node& one)
    {
        one.paused = false;
        for (auto& action : std::exchange(one.backlog, {}))
            action();
    }

    // Starts all nodes as in a fleet that has run for long: every row is in
    // the store and in every replica.
    void prime()
    {
        for (auto& one : nodes) {
            start(*one);
            announce_backend(*one);
            for (int step = 0; step != 3; ++step)
                settle_own_row(*one);
        }
        for (auto& one : nodes) {
            one->rows->apply_list(table.list(0, nodes.size() + 1), 0);
            one->fresh->replica_advanced(one->rows->version());
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

    // An operator's change of a row, if the store is up.
    std::optional<table_version>
    change(const std::string& key, const std::string& value)
    {
        if (faults.store_down)
            return std::nullopt;
        return table.commit({{}, {{key, boost::json::value(value)}}}).value();
    }

    node* find(const std::string& name)
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

    bool happens(double chance)
    {
        return chance > 0 &&
               std::uniform_real_distribution<>(0, 1)(random_) < chance;
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

    // Runs an action at a node unless it was stopped; later if it is paused.
    void at_node(node& one, duration delay, std::function<void()> action)
    {
        auto* raw = &one;
        const auto generation = one.generation;
        schedule(delay, [this, raw, generation, action = std::move(action)] {
            deliver(*raw, generation, action);
        });
    }

    void deliver(
        node& one, std::uint64_t generation,
        const std::function<void()>& action)
    {
        if (!one.up || one.generation != generation)
            return;
        if (!one.paused) {
            action();
            return;
        }
        auto* raw = &one;
        one.backlog.push_back([this, raw, generation, action] {
            deliver(*raw, generation, action);
        });
    }

    // Delivers a message unless a link fault prevents it.
    void transmit(node& from, node& to, std::function<void()> action)
    {
        if (faults.is_cut && faults.is_cut(from.index, to.index))
            return;
        if (happens(faults.loss))
            return;
        if (happens(faults.duplicate))
            at_node(to, link_delay(), action);
        at_node(to, link_delay(), std::move(action));
    }

    void run_ticks(node& one)
    {
        const auto first = milliseconds(random_() % 100);
        at_node(one, first, [this, &one] { tick(one); });
    }

    void announce_backend(node& one)
    {
        one.next_announcement = now_ + seconds(1);
        one.members->backend_announced(
            {one.record.service, one.record.slots, one.backend_draining}, now_);
        one.own->set_backend(one.record.service, one.record.slots);
    }

    // One step of the own row, without a delay.
    void settle_own_row(node& one)
    {
        const auto action = one.own->next(now_);
        if (action.step == own_row_step::read)
            one.own->read(table.get(action.key), now_);
        if (action.step == own_row_step::commit)
            one.own->committed(table.commit(action.change), now_);
    }

    void tick(node& one)
    {
        at_node(one, milliseconds(100), [this, &one] { tick(one); });
        if (one.backend_up && now_ >= one.next_announcement)
            announce_backend(one);
        if (now_ >= one.next_second) {
            one.next_second = now_ + seconds(1);
            every_second(one);
        }
        send_orders(one);
        poll(one);
        step_own_row(one);
    }

    void every_second(node& one)
    {
        one.fresh->set_zones(one.members->zones());
        one.reader = reader_election{}.is_reader(
            one.record.name, one.members->live_in(one.record.zone));
        if (each_second)
            each_second(one);
        const auto live = one.members->live();
        for (auto& deletion : one.lapses.due(now_, one.record.name, live)) {
            if (can_reach_store(one))
                (void)table.commit(deletion);
        }
    }

    void send_orders(node& one)
    {
        const auto orders = one.members->tick(
            now_, one.rows->version(), one.fresh->evidence(now_));
        for (const auto& order : orders.probes)
            send_probe(one, order);
        for (const auto& order : orders.leaves)
            send_leave(one, order);
    }

    void send_probe(node& from, const probe_order& order)
    {
        const auto text = to_text(order.message);
        count(from, from.sent.probe_bytes, text);
        from.sent.largest_probe =
            std::max<std::uint64_t>(from.sent.largest_probe, text.size());
        const auto sent = now_;
        auto ended = std::make_shared<bool>(false);
        at_node(from, settings.probe_interval, [this, &from, order, ended] {
            if (!std::exchange(*ended, true))
                from.members->probe_failed(order.to, now_);
        });
        auto* to = find(order.address);
        if (to == nullptr)
            return;
        transmit(from, *to, [this, &from, to, order, text, sent, ended] {
            answer_probe(from, *to, order.to, text, sent, ended);
        });
    }

    void answer_probe(
        node& from, node& to, const instance_name& asked,
        const std::string& text, time_point sent,
        const std::shared_ptr<bool>& ended)
    {
        const auto probe = parse_probe_message(text).value();
        auto reply = to.members->probe_received(
            probe, now_, to.rows->version(), to.fresh->evidence(now_));
        learn(to, probe.from, reply.learned);
        const auto answer = to_text(reply.message);
        count(to, to.sent.probe_bytes, answer);
        transmit(to, from, [this, &from, asked, answer, sent, ended] {
            const auto message = parse_probe_message(answer).value();
            if (std::exchange(*ended, true))
                return;
            learn(
                from, message.from,
                from.members->probe_answered(asked, message, sent, now_));
        });
    }

    void learn(node& one, const instance_name& peer, const probe_result& news)
    {
        one.peer_versions[peer] = news.version;
        one.fresh->merge(news.evidence, news.counted_from, now_);
        if (const auto request = one.rows->pull_if_behind(news.version))
            pull(one, peer, *request);
    }

    void send_leave(node& from, const leave_order& order)
    {
        const auto text = to_text(order.message);
        count(from, from.sent.leave_bytes, text);
        auto* to = find(order.address);
        if (to == nullptr)
            return;
        transmit(from, *to, [this, to, text] {
            to->members->leave_received(
                parse_leave_message(text).value(), now_);
            send_orders(*to);
        });
    }

    // Only one pull is in flight at a node.
    void pull(node& one, const instance_name& peer, const rows_request& request)
    {
        auto* to = find(peer);
        if (one.pulling || to == nullptr)
            return;
        one.pulling = true;
        auto ended = std::make_shared<bool>(false);
        at_node(one, seconds(1), [&one, ended] {
            if (!std::exchange(*ended, true))
                one.pulling = false;
        });
        const auto text = to_text(request);
        count(one, one.sent.rows_bytes, text);
        transmit(one, *to, [this, &one, to, text, ended] {
            const auto asked =
                std::get<rows_request>(parse_rows_message(text).value());
            const auto piece = to_text(to->rows->answer(asked));
            count(*to, to->sent.rows_bytes, piece);
            transmit(*to, one, [this, &one, to, piece, ended] {
                if (std::exchange(*ended, true))
                    return;
                one.pulling = false;
                take_rows(one, to->record.name, piece);
            });
        });
    }

    void
    take_rows(node& one, const instance_name& from, const std::string& text)
    {
        const auto message = parse_rows_message(text).value();
        const auto& delta = std::get<rows_delta>(message);
        auto& known = one.peer_versions[from];
        known = std::max(known, delta.end);
        take_update(one, one.rows->apply_delta(delta), from);
    }

    void take_update(
        node& one, const replica_update& update, const instance_name& from)
    {
        if (update.pull && !from.empty())
            pull(one, from, *update.pull);
        if (!update.advanced)
            return;
        one.fresh->replica_advanced(one.rows->version());
        if (on_advance)
            on_advance(one);
        for (const auto& name : one.members->neighbours()) {
            const auto known = one.peer_versions[name];
            if (known < one.rows->version())
                push(one, name, known);
        }
    }

    void push(node& one, const instance_name& name, table_version known)
    {
        auto* to = find(name);
        if (to == nullptr)
            return;
        const auto text = to_text(one.rows->push(known));
        count(one, one.sent.rows_bytes, text);
        transmit(one, *to, [this, to, &one, text] {
            take_rows(*to, one.record.name, text);
        });
        one.peer_versions[name] = one.rows->version();
    }

    bool can_reach_store(const node& one) const
    {
        return !faults.store_down &&
               !(faults.is_store_cut && faults.is_store_cut(one.index));
    }

    void poll(node& one)
    {
        if (!one.polls->should_poll(
                now_, one.reader, one.fresh->newest_evidence()))
            return;
        one.polls->sent(now_);
        ++one.sent.polls;
        const auto sent = now_;
        const auto after = one.rows->poll_after();
        if (!can_reach_store(one)) {
            at_node(one, milliseconds(500), [this, &one, sent] {
                one.polls->failed(now_);
                one.fresh->poll_failed(one.record.zone, sent);
            });
            return;
        }
        auto list = std::make_shared<row_list>(table.list(after, list_limit));
        at_node(one, milliseconds(5), [this, &one, sent, after, list] {
            one.polls->succeeded(now_);
            if (list->complete_to < list->head)
                one.polls->poll_again(now_);
            one.fresh->poll_succeeded(one.record.zone, list->head, sent);
            take_update(one, one.rows->apply_list(*list, after), {});
        });
    }

    void step_own_row(node& one)
    {
        const auto action = one.own->next(now_);
        if (action.step == own_row_step::none)
            return;
        const bool reachable = can_reach_store(one);
        if (action.step == own_row_step::read) {
            at_node(one, milliseconds(5), [this, &one, reachable] {
                const auto key = instance_row_key(one.record.name);
                one.own->read(
                    reachable ? result<std::optional<table_row>>(table.get(key))
                              : fail(errc::timeout, "get"),
                    now_);
                one.members->raise_incarnation(one.own->incarnation());
            });
            return;
        }
        auto outcome = reachable ? table.commit(action.change)
                                 : fail(errc::timeout, "commit");
        if (happens(faults.lost_answers))
            outcome = fail(errc::timeout, "commit");
        at_node(one, milliseconds(5), [this, &one, outcome] {
            one.own->committed(outcome, now_);
        });
    }

    static void count(node& one, std::uint64_t& bytes, const std::string& text)
    {
        bytes += text.size();
        ++one.sent.messages;
    }

    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, std::size_t> by_name_;
};

} // namespace fulmarjunction::simulation
