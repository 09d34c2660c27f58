#include "gossip.hpp"

#include <fulmarjunction/peer/control.hpp>
#include <fulmarjunction/suspects/suspect_reports.hpp>

#include <fulmarjunction/core/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

constexpr milliseconds tick_period(100);
constexpr milliseconds message_timeout(1000);
/// A caller may immediately retry a request that crashes backend servers, so
/// crashes are reported without waiting for the next probe.
constexpr milliseconds suspect_period(20);
/// Limits one pull; the next probe starts another one for the remaining rows.
constexpr int max_batches_per_pull = 64;

} // namespace

gossip::gossip(
    const asio::any_io_executor& executor, node_state& state,
    peer_client& peers)
    : executor_(executor), state_(state), peers_(peers)
{
    suspect_checks_ = state_.timers.every(
        suspect_period, [this](time_point) { push_suspects(); });
    ticks_ = state_.timers.every(
        tick_period, [this](time_point) { send_due_messages(); });
}

void gossip::send_due_messages()
{
    const auto now = clock::now();
    auto outgoing = state_.members.tick(
        now, state_.table_replica.version(),
        state_.freshness_monitor.evidence(now));
    for (auto& probe : outgoing.probes)
        asio::co_spawn(executor_, send_probe(std::move(probe)), asio::detached);
    for (auto& leave : outgoing.leaves)
        asio::co_spawn(executor_, send_leave(std::move(leave)), asio::detached);
    state_.refresh(now);
}

awaitable<void> gossip::send_probe(outgoing_probe probe)
{
    const auto sent = clock::now();
    const auto text = co_await exchange_probe(probe, sent);
    const auto now = clock::now();
    const auto answer = text ? parse_probe_message(text.value())
                             : result<probe_message>(text.error());
    if (!answer) {
        state_.members.probe_failed(probe.to, now);
        state_.refresh(now);
        co_return;
    }
    const auto received =
        state_.members.probe_answered(probe.to, answer.value(), sent, now);
    const auto address = parse_address(probe.address);
    apply_probe_result(
        peer_address{answer.value().from, address.value()}, received);
}

awaitable<result<std::string>>
gossip::exchange_probe(const outgoing_probe& probe, time_point sent)
{
    const auto address = parse_address(probe.address);
    if (!address)
        co_return fail(errc::invalid_argument, "probe", probe.address);
    peer_address to;
    to.address = *address;
    // Only the address of a seed is known until it has answered a probe.
    if (state_.members.find(probe.to))
        to.name = probe.to;
    auto text = to_text(probe.message);
    const auto deadline = sent + state_.settings.probe_interval;
    co_return co_await send_control(
        peers_, to, "probe", std::move(text), deadline);
}

void gossip::apply_probe_result(peer_address from, const probe_result& received)
{
    const auto now = clock::now();
    if (!from.name.empty())
        state_.peer_versions[from.name] = received.version;
    if (!received.evidence.empty())
        state_.freshness_monitor.merge(
            received.evidence, received.counted_from, now);
    if (const auto request =
            state_.table_replica.pull_if_behind(received.version))
        start_pull(from, *request);
    state_.refresh(now);
}

awaitable<void> gossip::send_leave(outgoing_leave leave)
{
    const auto address = parse_address(leave.address);
    if (!address)
        co_return;
    const peer_address to{leave.to, *address};
    const auto ignored = co_await send_control(
        peers_, to, "leave", to_text(leave.message),
        clock::now() + message_timeout);
    if (!ignored) {
        log(log_level::debug, "leave_not_delivered",
            {{"peer", leave.to}, {"error", to_string(ignored.error())}});
    }
}

void gossip::push_rows()
{
    for (const auto& name : state_.members.neighbours()) {
        const auto to = state_.locate(name);
        auto& known = state_.peer_versions[name];
        if (!to || known >= state_.table_replica.version())
            continue;
        asio::co_spawn(
            executor_, send_push(*to, state_.table_replica.push(known)),
            asio::detached);
        known = state_.table_replica.version();
    }
}

void gossip::push_suspects()
{
    const auto last = state_.suspects.last_change();
    if (last == last_pushed_suspect_change_)
        return;
    const auto reports = state_.suspects.changes(
        last_pushed_suspect_change_, suspect_reports_per_probe, clock::now());
    last_pushed_suspect_change_ = last;
    const auto text = boost::json::serialize(to_json(reports));
    for (const auto& name : state_.members.neighbours()) {
        if (const auto to = state_.locate(name))
            asio::co_spawn(executor_, send_suspects(*to, text), asio::detached);
    }
}

awaitable<void> gossip::send_suspects(peer_address to, std::string text)
{
    const auto deadline = clock::now() + message_timeout;
    const auto sent = co_await send_control(
        peers_, to, std::string(suspects_message), std::move(text), deadline);
    if (!sent) {
        log(log_level::debug, "suspects_not_delivered",
            {{"peer", to.name}, {"error", to_string(sent.error())}});
    }
}

result<std::string> gossip::answer_suspects(std::string_view text)
{
    boost::system::error_code ec;
    const auto document = boost::json::parse(text, ec);
    if (ec)
        return fail(errc::malformed, "suspects", {}, ec.message());
    BOOST_OUTCOME_TRY(auto reports, parse_suspect_reports(document));
    // A report that is new here advances `last_change()`, so push_suspects()
    // forwards it.
    for (const auto& report : reports)
        state_.suspects.merge(report, clock::now());
    return std::string("{}");
}

awaitable<void> gossip::send_push(peer_address to, rows_delta delta)
{
    const auto sent = co_await send_control(
        peers_, to, "rows", to_text(delta), clock::now() + message_timeout);
    if (!sent)
        state_.peer_versions.erase(to.name);
}

void gossip::start_pull(const peer_address& from, const rows_request& request)
{
    if (std::exchange(is_pulling_, true))
        return;
    asio::co_spawn(executor_, pull(from, request), asio::detached);
}

awaitable<void> gossip::pull(peer_address from, rows_request request)
{
    for (int batch = 0; batch != max_batches_per_pull; ++batch) {
        const auto text = co_await send_control(
            peers_, from, "rows", to_text(request),
            clock::now() + message_timeout);
        if (!text)
            break;
        const auto message = parse_rows_message(text.value());
        const auto* delta =
            message ? std::get_if<rows_delta>(&message.value()) : nullptr;
        if (delta == nullptr)
            break;
        const auto update = state_.table_replica.apply_delta(*delta);
        state_.refresh(clock::now());
        if (update.advanced)
            push_rows();
        if (!update.pull)
            break;
        request = *update.pull;
    }
    is_pulling_ = false;
}

result<std::string>
gossip::answer_probe(const instance_name& from, std::string_view text)
{
    BOOST_OUTCOME_TRY(auto message, parse_probe_message(text));
    if (message.from != from)
        return fail(
            errc::unauthorized, "probe", from,
            "the message names another sender");
    const auto now = clock::now();
    auto reply = state_.members.probe_received(
        message, now, state_.table_replica.version(),
        state_.freshness_monitor.evidence(now));
    if (const auto to = state_.locate(from))
        apply_probe_result(*to, reply.learned);
    return to_text(reply.message);
}

result<std::string>
gossip::answer_leave(const instance_name& from, std::string_view text)
{
    BOOST_OUTCOME_TRY(auto message, parse_leave_message(text));
    if (message.from != from)
        return fail(
            errc::unauthorized, "leave", from,
            "the message names another sender");
    state_.members.leave_received(message, clock::now());
    send_due_messages();
    return std::string("{}");
}

result<std::string>
gossip::answer_rows(const instance_name& from, std::string_view text)
{
    BOOST_OUTCOME_TRY(auto message, parse_rows_message(text));
    if (const auto* request = std::get_if<rows_request>(&message))
        return to_text(state_.table_replica.answer(*request));
    const auto& delta = std::get<rows_delta>(message);
    const auto update = state_.table_replica.apply_delta(delta);
    auto& known = state_.peer_versions[from];
    known = std::max(known, delta.head);
    state_.refresh(clock::now());
    if (update.advanced)
        push_rows();
    const auto to = state_.locate(from);
    if (update.pull && to)
        start_pull(*to, *update.pull);
    return std::string("{}");
}

} // namespace fulmarjunction
