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
constexpr std::string_view goodbye_name = "goodbye";

constexpr milliseconds tick_period(250);
constexpr milliseconds shortest_period(1000);
/// Exchanges of one node stay below fifty a second in a large fleet. Nodes
/// that have calls of this one show by their answers that they are there.
constexpr milliseconds period_for_each_node(40);
/// A node that answers no call for so long is asked at once.
constexpr milliseconds quiet_limit(400);
constexpr milliseconds exchange_timeout(500);
/// Periods without a report after which a node asks by itself.
constexpr int patient_periods = 3;
/// A node that misses this many exchanges in a row is taken for silent.
constexpr unsigned max_silent_exchanges = 2;

constexpr std::size_t max_message_bytes = 8192;
constexpr std::size_t max_name_bytes = 200;
constexpr std::size_t max_lot = 100;
constexpr milliseconds token_timeout(250);

json::value to_json(std::string_view text)
{
    return json::value(json::string_view(text.data(), text.size()));
}

awaitable<void>
send_goodbye(peer_client& peers, peer_address to, std::string text)
{
    const auto answer = co_await send_control(
        peers, to, std::string(goodbye_name), std::move(text),
        clock::now() + exchange_timeout);
    if (!answer) {
        log(log_level::info, "goodbye_not_delivered",
            {{"peer", to.name}, {"error", to_string(answer.error())}});
    }
}

} // namespace

fleet_link::fleet_link(asio::any_io_executor executor, parts wiring)
    : executor_(std::move(executor)), parts_(std::move(wiring))
{
}

void fleet_link::start()
{
    ticks_ = parts_.timers->every(
        tick_period, [this](time_point now) { tick(now); });
    tick(clock::now());
}

duration fleet_link::period() const
{
    const auto nodes =
        static_cast<std::int64_t>(parts_.fleet->members().size());
    return std::max<duration>(shortest_period, nodes * period_for_each_node);
}

bool fleet_link::is_due(
    const fleet_member& member, const partner& with, bool is_witness,
    time_point now) const
{
    if (with.is_busy || now < with.next_at)
        return false;
    // One that is lost may come back at any moment.
    if (!member.is_reachable)
        return true;
    const bool is_ours = parts_.fleet->self() < member.report.node;
    const bool is_overdue =
        now - member.received_at >= patient_periods * period();
    return is_ours || is_witness || is_overdue;
}

void fleet_link::tick(time_point now)
{
    parts_.fleet->expire(now);
    parts_.ledger->expire(now);
    std::erase_if(partners_, [this](const auto& entry) {
        return !entry.second.is_busy &&
               parts_.fleet->find(entry.first) == nullptr;
    });
    const auto witnesses = parts_.fleet->own_store_readers();
    const auto is_witness = [&](const instance_name& name) {
        return std::find(witnesses.begin(), witnesses.end(), name) !=
               witnesses.end();
    };
    std::vector<fleet_member> due;
    for (const auto& [name, member] : parts_.fleet->members()) {
        if (is_due(member, partners_[name], is_witness(name), now))
            due.push_back(member);
    }
    for (const auto& member : due) {
        const auto& name = member.report.node;
        auto pause = is_witness(name) ? duration(shortest_period) : period();
        if (!member.is_reachable)
            pause = std::max<duration>(shortest_period, pause / 2);
        partners_[name].next_at = now + pause;
        begin_exchange(member);
    }
    ask_quiet_nodes(now);
}

/// One exchange tells whether a node that answers nothing is there.
void fleet_link::ask_quiet_nodes(time_point now)
{
    for (const auto& name : parts_.quiet_nodes(quiet_limit)) {
        const auto* member = parts_.fleet->find(name);
        if (member == nullptr || !member->is_reachable)
            continue;
        const auto& with = partners_[name];
        // Calls may take long; then the last exchange stands for a while.
        if (!with.is_busy && now - with.answered_at >= shortest_period)
            begin_exchange(*member);
    }
}

void fleet_link::announce()
{
    const auto members = parts_.fleet->members();
    for (const auto& [name, member] : members) {
        if (member.is_reachable)
            begin_exchange(member);
    }
}

void fleet_link::begin_exchange(const fleet_member& member)
{
    partners_[member.report.node].is_busy = true;
    asio::co_spawn(
        executor_, run_exchange(member.report.node, member.address),
        asio::detached);
}

awaitable<void>
fleet_link::run_exchange(instance_name node, asio::ip::tcp::endpoint address)
{
    const auto asked_at = suspended_clock_now();
    const peer_address to{node, address};
    auto answer = co_await send_control(
        *parts_.peers(), to, std::string(exchange_name), make_message(),
        clock::now() + exchange_timeout);
    auto& with = partners_[node];
    with.is_busy = false;
    if (!answer) {
        exchange_failed(node, answer.error());
        co_return;
    }
    with.silent_exchanges = 0;
    with.answered_at = clock::now();
    const auto taken = take_message(answer.value(), asked_at);
    if (!taken) {
        log(log_level::warning, "exchange_malformed",
            {{"peer", node}, {"error", to_string(taken.error())}});
    }
}

void fleet_link::exchange_failed(
    const instance_name& node, const error& problem)
{
    const auto* member = parts_.fleet->find(node);
    if (member == nullptr)
        return;
    const bool is_refused = problem.detail.find("refused") != std::string::npos;
    // Another node lives at the address now: the connection is its own.
    const bool is_replaced =
        problem.detail.find("another instance") != std::string::npos;
    const auto misses = ++partners_[node].silent_exchanges;
    if (!is_refused && misses < max_silent_exchanges) {
        // The second question follows at once.
        begin_exchange(*member);
        return;
    }
    if (member->is_reachable) {
        log(log_level::warning, "peer_lost",
            {{"peer", node},
             {"how", is_refused ? "refused" : "silent"},
             {"error", to_string(problem)}});
    }
    // The connection may have gone silent for good while new ones work.
    if (!is_replaced)
        parts_.peers()->drop(member->address);
    parts_.fleet->mark_unreachable(
        node, is_refused ? peer_failure::refused : peer_failure::unresponsive,
        clock::now());
}

void fleet_link::call_failed(const instance_name& node, const error& problem)
{
    const auto* member = parts_.fleet->find(node);
    if (member == nullptr || !member->is_reachable)
        return;
    if (problem.detail.find("refused") != std::string::npos) {
        exchange_failed(node, problem);
        return;
    }
    // One exchange tells whether the node or only the call has failed.
    if (!partners_[node].is_busy)
        begin_exchange(*member);
}

std::string fleet_link::make_message() const
{
    json::object message{
        {"report", to_json(format_report(parts_.own_report()))},
        {"version", parts_.config->version()},
    };
    const auto age = parts_.config->age(suspended_clock_now());
    if (age)
        message["age_ms"] = to_milliseconds(*age);
    return json::serialize(message);
}

result<void> fleet_link::take_message(
    std::string_view text, std::optional<duration> asked_at)
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
    const auto* known = parts_.fleet->find(report.node);
    const bool was_lost = known == nullptr || !known->is_reachable;
    parts_.fleet->receive(report, clock::now());
    if (was_lost) {
        log(log_level::info, "peer_found",
            {{"peer", report.node}, {"life", report.incarnation}});
    }
    partners_[report.node].silent_exchanges = 0;
    if (version > parts_.config->version() && parts_.newer_config_seen)
        parts_.newer_config_seen();
    // The peer's words are no older than the question that they answer.
    if (asked_at && age)
        parts_.config->confirm(version, *asked_at - *age);
    return boost::outcome_v2::success();
}

void fleet_link::say_goodbye()
{
    const auto self = parts_.own_report();
    const auto text = json::serialize(
        json::object{{"node", self.node}, {"life", self.incarnation}});
    const auto members = parts_.fleet->members();
    for (const auto& [name, member] : members) {
        if (!member.is_reachable)
            continue;
        asio::co_spawn(
            executor_,
            send_goodbye(*parts_.peers(), {name, member.address}, text),
            asio::detached);
    }
}

result<std::string>
fleet_link::answer(std::string_view name, std::string_view text)
{
    if (name == exchange_name) {
        BOOST_OUTCOME_TRY(take_message(text, std::nullopt));
        return make_message();
    }
    if (name == tokens_name)
        return answer_tokens(text);
    if (name == goodbye_name) {
        BOOST_OUTCOME_TRY(
            auto document, parse_json(text, max_message_bytes, "read goodbye"));
        object_reader fields(document, "read goodbye");
        const auto node = fields.text("node", max_name_bytes, 1);
        const auto incarnation = fields.number("life");
        BOOST_OUTCOME_TRY(fields.finish());
        parts_.fleet->remove(node, incarnation);
        return std::string("{}");
    }
    return fail(errc::not_found, "control", {}, std::string(name));
}

result<std::string> fleet_link::answer_tokens(std::string_view text)
{
    BOOST_OUTCOME_TRY(
        auto document, parse_json(text, max_message_bytes, "read tokens"));
    object_reader fields(document, "read tokens");
    account_plan plan;
    plan.name = fields.text("a", max_name_bytes, 1);
    const auto wanted = fields.number("n", max_lot);
    BOOST_OUTCOME_TRY(fields.finish());
    const auto& config = parts_.config->current();
    if (!config)
        return fail(errc::unavailable, "tokens", {}, "no configuration");
    const auto& plans = config->plans();
    const auto found =
        std::find_if(plans.begin(), plans.end(), [&](const account_plan& one) {
            return one.name == plan.name;
        });
    if (found == plans.end())
        return fail(errc::not_found, "tokens", {}, plan.name);
    const auto grant = parts_.ledger->take(
        *found, wanted, parts_.fleet->reachable_share(), clock::now());
    return json::serialize(json::object{
        {"n", grant.tokens}, {"ms", to_milliseconds(grant.next_token_in)}});
}

awaitable<token_answer> fleet_link::take_tokens(
    account_plan plan, std::size_t wanted, time_point deadline)
{
    const auto keeper = parts_.fleet->ledger_node(plan.name);
    const auto* member = parts_.fleet->find(keeper);
    if (member == nullptr) {
        co_return token_answer{
            true,
            parts_.ledger->take(
                plan, wanted, parts_.fleet->reachable_share(), clock::now())};
    }
    const auto text =
        json::serialize(json::object{{"a", plan.name}, {"n", wanted}});
    const auto until = std::min(deadline, clock::now() + token_timeout);
    const peer_address to{keeper, member->address};
    auto answer = co_await send_control(
        *parts_.peers(), to, std::string(tokens_name), text, until);
    token_answer got;
    if (!answer) {
        log(log_level::warning, "ledger_unreachable",
            {{"peer", keeper},
             {"account", plan.name},
             {"error", to_string(answer.error())}});
        call_failed(keeper, answer.error());
        // Until another node keeps the ledger, a node has its own part of
        // the rate: the keeper may still give out all of it to the others.
        const auto nodes = parts_.fleet->members().size() + 1;
        got.is_known = true;
        got.grant = parts_.ledger->take(
            plan, wanted, 1.0 / static_cast<double>(nodes), clock::now());
        co_return got;
    }
    auto document =
        parse_json(answer.value(), max_message_bytes, "read tokens");
    if (!document)
        co_return got;
    object_reader fields(document.value(), "read tokens");
    got.grant.tokens = fields.number("n", max_lot);
    got.grant.next_token_in = milliseconds(fields.number("ms", 3'600'000));
    got.is_known = static_cast<bool>(fields.finish());
    co_return got;
}

} // namespace fulmarjunction
