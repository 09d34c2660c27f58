#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/object_reader.hpp>
#include <fulmarjunction/mesh/fleet_link.hpp>
#include <fulmarjunction/peer/control.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view exchange_name = "exchange";
constexpr std::string_view tokens_name = "tokens";
constexpr std::string_view leave_name = "goodbye";

constexpr milliseconds tick_period(250);
constexpr milliseconds min_period(1000);
/// Keeps the exchanges of one node below fifty per second in a large fleet.
/// Nodes that serve calls of this one are also seen to be alive by their
/// answers.
constexpr milliseconds period_per_node(40);
/// A node that has answered no call for this time is probed at once.
constexpr milliseconds unresponsive_limit(400);
constexpr milliseconds exchange_timeout(500);
/// Periods without a report after which a node starts an exchange itself.
constexpr int overdue_periods = 3;
/// A node that misses this many exchanges in a row counts as unresponsive.
constexpr unsigned max_missed_exchanges = 2;

constexpr std::size_t max_message_bytes = 8192;
constexpr std::size_t max_name_bytes = 200;
constexpr std::size_t max_batch_tokens = 100;
constexpr milliseconds token_timeout(250);

json::value to_json(std::string_view text)
{
    return json::value(json::string_view(text.data(), text.size()));
}

awaitable<void>
send_leave(peer_client& peers, peer_address to, std::string text)
{
    const auto answer = co_await send_control(
        peers, to, std::string(leave_name), std::move(text),
        clock::now() + exchange_timeout);
    if (!answer) {
        log(log_level::info, "goodbye_not_delivered",
            {{"peer", to.name}, {"error", to_string(answer.error())}});
    }
}

} // namespace

fleet_link::fleet_link(asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), deps_(std::move(deps))
{
}

void fleet_link::start()
{
    ticks_ =
        deps_.timers->every(tick_period, [this](time_point now) { tick(now); });
    tick(clock::now());
}

duration fleet_link::period() const
{
    const auto nodes = static_cast<std::int64_t>(deps_.fleet->members().size());
    return std::max<duration>(min_period, nodes * period_per_node);
}

bool fleet_link::is_due(
    const fleet_member& member, const exchange_state& exchange,
    bool is_store_reader, time_point now) const
{
    if (exchange.is_busy || now < exchange.next_at)
        return false;
    // An unreachable node may return at any moment.
    if (!member.is_reachable)
        return true;
    const bool starts_exchange = deps_.fleet->self() < member.report.node;
    const bool is_overdue =
        now - member.received_at >= overdue_periods * period();
    return starts_exchange || is_store_reader || is_overdue;
}

void fleet_link::tick(time_point now)
{
    deps_.fleet->expire(now);
    deps_.ledger->expire(now);
    std::erase_if(exchanges_, [this](const auto& entry) {
        return !entry.second.is_busy &&
               deps_.fleet->find(entry.first) == nullptr;
    });
    const auto store_readers = deps_.fleet->own_store_readers();
    const auto is_store_reader = [&](const instance_name& name) {
        return std::find(store_readers.begin(), store_readers.end(), name) !=
               store_readers.end();
    };
    std::vector<fleet_member> due;
    for (const auto& [name, member] : deps_.fleet->members()) {
        if (is_due(member, exchanges_[name], is_store_reader(name), now))
            due.push_back(member);
    }
    for (const auto& member : due) {
        const auto& name = member.report.node;
        auto delay = is_store_reader(name) ? duration(min_period) : period();
        if (!member.is_reachable)
            delay = std::max<duration>(min_period, delay / 2);
        exchanges_[name].next_at = now + delay;
        start_exchange(member);
    }
    probe_unresponsive_nodes(now);
}

/// Starts an exchange with each node that answers no calls, to find out whether
/// it is alive.
void fleet_link::probe_unresponsive_nodes(time_point now)
{
    for (const auto& name : deps_.unresponsive_nodes(unresponsive_limit)) {
        const auto* member = deps_.fleet->find(name);
        if (member == nullptr || !member->is_reachable)
            continue;
        const auto& exchange = exchanges_[name];
        // Calls may take long, so an exchange that was answered recently is
        // proof enough.
        if (!exchange.is_busy && now - exchange.answered_at >= min_period)
            start_exchange(*member);
    }
}

void fleet_link::announce()
{
    const auto members = deps_.fleet->members();
    for (const auto& [name, member] : members) {
        if (member.is_reachable)
            start_exchange(member);
    }
}

void fleet_link::start_exchange(const fleet_member& member)
{
    exchanges_[member.report.node].is_busy = true;
    asio::co_spawn(
        executor_, run_exchange(member.report.node, member.address),
        asio::detached);
}

awaitable<void>
fleet_link::run_exchange(instance_name node, asio::ip::tcp::endpoint address)
{
    const auto sent_at = suspended_clock_now();
    const peer_address to{node, address};
    auto answer = co_await send_control(
        *deps_.peers(), to, std::string(exchange_name), make_message(),
        clock::now() + exchange_timeout);
    auto& exchange = exchanges_[node];
    exchange.is_busy = false;
    if (!answer) {
        handle_exchange_failure(node, answer.error());
        co_return;
    }
    exchange.missed_exchanges = 0;
    exchange.answered_at = clock::now();
    const auto processed = process_message(answer.value(), sent_at);
    if (!processed) {
        log(log_level::warning, "exchange_malformed",
            {{"peer", node}, {"error", to_string(processed.error())}});
    }
}

void fleet_link::handle_exchange_failure(
    const instance_name& node, const error& problem)
{
    const auto* member = deps_.fleet->find(node);
    if (member == nullptr)
        return;
    const bool is_refused = problem.connecting == connect_problem::refused;
    // Another node has taken over the address and owns the connection.
    const bool is_replaced =
        problem.connecting == connect_problem::other_instance;
    const auto misses = ++exchanges_[node].missed_exchanges;
    if (!is_refused && misses < max_missed_exchanges) {
        // Retry at once, so that a single lost message marks no node as lost.
        start_exchange(*member);
        return;
    }
    if (member->is_reachable) {
        log(log_level::warning, "peer_lost",
            {{"peer", node},
             {"how", is_refused ? "refused" : "silent"},
             {"error", to_string(problem)}});
    }
    // The connection may be dead although a new one would work.
    if (!is_replaced)
        deps_.peers()->drop(member->address);
    deps_.fleet->mark_unreachable(
        node, is_refused ? peer_failure::refused : peer_failure::unresponsive,
        clock::now());
}

void fleet_link::handle_call_failure(
    const instance_name& node, const error& problem)
{
    const auto* member = deps_.fleet->find(node);
    if (member == nullptr || !member->is_reachable)
        return;
    if (problem.connecting == connect_problem::refused) {
        handle_exchange_failure(node, problem);
        return;
    }
    // An exchange shows whether the node or only the call has failed.
    if (!exchanges_[node].is_busy)
        start_exchange(*member);
}

std::string fleet_link::make_message() const
{
    json::object message{
        {"report", to_json(format_report(deps_.own_report()))},
        {"version", deps_.config->version()},
    };
    const auto age = deps_.config->age(suspended_clock_now());
    if (age)
        message["age_ms"] = to_milliseconds(*age);
    return json::serialize(message);
}

result<void> fleet_link::process_message(
    std::string_view text, std::optional<duration> sent_at)
{
    constexpr std::string_view step = "read exchange";
    BOOST_OUTCOME_TRY(
        auto document, parse_json(text, max_message_bytes, std::string(step)));
    object_reader fields(document, std::string(step));
    const auto report_text = fields.text("report", max_message_bytes, 1);
    const auto version = fields.number("version");
    std::optional<milliseconds> age;
    if (fields.has("age_ms"))
        age = milliseconds(fields.number("age_ms", 3'600'000));
    BOOST_OUTCOME_TRY(fields.finish());
    BOOST_OUTCOME_TRY(const auto report, parse_report(report_text));
    const auto* known = deps_.fleet->find(report.node);
    const bool was_lost = known == nullptr || !known->is_reachable;
    const bool differs = deps_.fleet->receive(report, clock::now());
    if (was_lost && differs) {
        log(log_level::info, "peer_found",
            {{"peer", report.node}, {"life", report.incarnation}});
    }
    exchanges_[report.node].missed_exchanges = 0;
    if (version > deps_.config->version()) {
        deps_.config->expect(version);
        if (deps_.newer_config_seen)
            deps_.newer_config_seen();
    }
    // The answer can't be older than the request, which bounds the time of the
    // confirmation from below.
    if (sent_at && age)
        deps_.config->confirm(version, *sent_at - *age);
    return boost::outcome_v2::success();
}

void fleet_link::announce_leave()
{
    const auto self = deps_.own_report();
    const auto text = json::serialize(
        json::object{{"node", self.node}, {"life", self.incarnation}});
    const auto members = deps_.fleet->members();
    for (const auto& [name, member] : members) {
        if (!member.is_reachable)
            continue;
        asio::co_spawn(
            executor_, send_leave(*deps_.peers(), {name, member.address}, text),
            asio::detached);
    }
}

result<std::string>
fleet_link::handle_message(std::string_view name, std::string_view text)
{
    if (name == exchange_name) {
        BOOST_OUTCOME_TRY(process_message(text, std::nullopt));
        return make_message();
    }
    if (name == tokens_name)
        return handle_token_request(text);
    if (name == leave_name) {
        BOOST_OUTCOME_TRY(
            auto document, parse_json(text, max_message_bytes, "read goodbye"));
        object_reader fields(document, "read goodbye");
        const auto node = fields.text("node", max_name_bytes, 1);
        const auto incarnation = fields.number("life");
        BOOST_OUTCOME_TRY(fields.finish());
        deps_.fleet->remove(node, incarnation, clock::now());
        return std::string("{}");
    }
    return fail(errc::not_found, "control", {}, std::string(name));
}

result<std::string> fleet_link::handle_token_request(std::string_view text)
{
    BOOST_OUTCOME_TRY(
        auto document, parse_json(text, max_message_bytes, "read tokens"));
    object_reader fields(document, "read tokens");
    account_plan plan;
    plan.name = fields.text("a", max_name_bytes, 1);
    const auto wanted = fields.number("n", max_batch_tokens);
    BOOST_OUTCOME_TRY(fields.finish());
    const auto& config = deps_.config->current();
    if (!config)
        return fail(errc::unavailable, "tokens", {}, "no configuration");
    const auto& plans = config->plans();
    const auto found = std::find_if(
        plans.begin(), plans.end(), [&](const account_plan& candidate) {
            return candidate.name == plan.name;
        });
    if (found == plans.end())
        return fail(errc::not_found, "tokens", {}, plan.name);
    const auto grant = deps_.ledger->take(
        *found, wanted, deps_.fleet->reachable_share(), clock::now());
    return json::serialize(json::object{
        {"n", grant.tokens}, {"ms", to_milliseconds(grant.next_token_in)}});
}

awaitable<token_answer> fleet_link::take_tokens(
    account_plan plan, std::size_t wanted, time_point deadline)
{
    // Which node keeps the ledger is not known before this one has joined.
    if (deps_.peers() == nullptr)
        co_return token_answer{};
    const auto ledger_node = deps_.fleet->ledger_node(plan.name);
    const auto* member = deps_.fleet->find(ledger_node);
    if (member == nullptr) {
        co_return token_answer{
            true,
            deps_.ledger->take(
                plan, wanted, deps_.fleet->reachable_share(), clock::now())};
    }
    const auto text =
        json::serialize(json::object{{"a", plan.name}, {"n", wanted}});
    const auto until = std::min(deadline, clock::now() + token_timeout);
    const peer_address to{ledger_node, member->address};
    auto answer = co_await send_control(
        *deps_.peers(), to, std::string(tokens_name), text, until);
    token_answer received;
    if (!answer) {
        log(log_level::warning, "ledger_unreachable",
            {{"peer", ledger_node},
             {"account", plan.name},
             {"error", to_string(answer.error())}});
        handle_call_failure(ledger_node, answer.error());
        // Until another node keeps the ledger, this node grants only its own
        // fraction of the rate: the unreachable one may still grant all of it
        // to the others.
        const auto nodes = deps_.fleet->members().size() + 1;
        received.has_grant = true;
        received.grant = deps_.ledger->take(
            plan, wanted, 1.0 / static_cast<double>(nodes), clock::now());
        co_return received;
    }
    auto document =
        parse_json(answer.value(), max_message_bytes, "read tokens");
    if (!document)
        co_return received;
    object_reader fields(document.value(), "read tokens");
    received.grant.tokens = fields.number("n", max_batch_tokens);
    received.grant.next_token_in = milliseconds(fields.number("ms", 3'600'000));
    received.has_grant = static_cast<bool>(fields.finish());
    co_return received;
}

} // namespace fulmarjunction
