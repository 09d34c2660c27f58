#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/mesh/forwarder.hpp>

#include <utility>

namespace fulmarjunction {

namespace {

/// Nodes that are asked before a request that none has run is refused: each
/// question costs a round trip, and if three are full, most are.
constexpr std::size_t max_nodes_asked = 3;

constexpr int first_server_error = 500;
constexpr int gateway_timeout = 504;

/// Time after which a caller may come back when no backend server is known.
constexpr milliseconds return_when_none(500);

} // namespace

/// What has been tried for one request.
struct forwarder::progress
{
    std::vector<instance_name> tried;
    /// Backend servers that have got the request.
    unsigned arrivals = 0;
    /// Whether it is certain that none has run it.
    bool not_run = true;
    node_answer last{node_refusal::no_backend, true, false, return_when_none};
};

streamed_request forwarder::make_request(forward_order& order) const
{
    streamed_request request;
    request.method = order.method;
    request.target = order.target;
    request.headers = order.headers;
    const bool has_body = !order.body.prefix.empty() || !order.body.is_whole;
    request.content_length = order.content_length;
    if (order.body.is_whole)
        request.content_length = order.body.prefix.size();
    if (has_body)
        request.body = order.body.open();
    else
        request.body = empty_body();
    return request;
}

awaitable<result<streamed_response>> forwarder::send(
    const placement::choice& chosen, forward_order& order,
    cancel_event canceled)
{
    auto context = order.context;
    context.backend_id = chosen.backend_id;
    context.waited = std::chrono::duration_cast<milliseconds>(
        clock::now() - order.arrived_at);
    auto request = make_request(order);
    if (chosen.node == parts_.self) {
        auto answer = co_await parts_.gate->serve(
            std::move(context), std::move(request), canceled);
        co_return answer;
    }
    const auto* member = parts_.fleet->find(chosen.node);
    if (member == nullptr)
        co_return fail(errc::connection_failed, "forward", chosen.node);
    write_context(request.headers, context, clock::now());
    auto answer = co_await run_cancelable(
        parts_.peers()->send(
            member->address, chosen.node, std::move(request),
            order.context.deadline),
        canceled, "forward");
    if (!answer && answer.error().code != errc::canceled)
        parts_.call_failed(chosen.node, answer.error());
    co_return answer;
}

placement_result forwarder::result_of(const node_answer& why) const
{
    switch (why.reason) {
    case node_refusal::canceled:
    case node_refusal::too_late:
        return placement_result::abandoned;
    case node_refusal::no_backend:
    case node_refusal::draining:
    case node_refusal::other_backend:
        return placement_result::unreachable;
    case node_refusal::overloaded:
        return placement_result::refused;
    default:
        return placement_result::failed;
    }
}

bool forwarder::may_go_on(
    const forward_order& order, progress& so_far, const node_answer& why)
{
    if (so_far.tried.size() >= max_nodes_asked ||
        clock::now() >= order.context.deadline || !order.body.is_whole)
        return false;
    if (why.reason == node_refusal::canceled ||
        why.reason == node_refusal::timeout)
        return false;
    if (!why.not_run && order.context.kind != execution::idempotent)
        return false;
    if (!why.reached_backend)
        return true;
    // The calls of a repeated run count as repeats further down; a request
    // that was turned away has made none.
    const auto cost = why.not_run ? 1.0 : parts_.cost_of(order.service);
    return so_far.arrivals < order.attempts &&
           parts_.budget->spend(order.service, cost, clock::now());
}

/// A call that finds no room makes the request fail that it belongs to; any
/// other request is refused in time by the gate itself.
void forwarder::note_refusal(const forward_order& order, const node_answer& why)
{
    if (order.context.is_call && why.reason == node_refusal::overloaded)
        parts_.no_room(order.context, order.service);
}

awaitable<std::optional<forward_result>> forwarder::try_once(
    forward_order& order, progress& so_far, cancel_event canceled)
{
    const auto& route = order.context.route_name;
    const auto chosen = parts_.places->choose(
        order.service, route, order.context.objective, so_far.tried,
        clock::now());
    if (!chosen) {
        note_refusal(order, so_far.last);
        co_return forward_result(so_far.last);
    }
    so_far.tried.push_back(chosen->node);
    const auto sent_at = clock::now();
    auto answer = co_await send(*chosen, order, canceled);
    const auto now = clock::now();
    node_answer why{node_refusal::broken, false, true, std::nullopt};
    std::optional<gate_load> load;
    bool is_backend_answer = false;
    if (answer) {
        load = take_load(answer.value().headers);
        const auto own = take_node_answer(answer.value().headers);
        is_backend_answer = !own;
        why = own.value_or(why);
    } else if (answer.error().code == errc::connection_failed) {
        why = {node_refusal::no_backend, true, false, return_when_none};
    } else if (answer.error().code == errc::timeout) {
        why.reason = node_refusal::timeout;
    } else if (answer.error().code == errc::canceled) {
        why.reason = node_refusal::canceled;
    }
    const bool has_failed =
        is_backend_answer && answer.value().status >= first_server_error;
    auto how = result_of(why);
    if (is_backend_answer)
        how = has_failed ? placement_result::failed : placement_result::served;
    parts_.places->record_result(
        *chosen, route, how, now - sent_at,
        load ? std::optional<std::size_t>(load->load) : std::nullopt, now);
    so_far.arrivals += is_backend_answer || why.reached_backend ? 1 : 0;
    if (is_backend_answer) {
        const auto full_service = take_refused_below(answer.value().headers);
        if (!full_service.empty())
            parts_.no_room(order.context, full_service);
        so_far.not_run = false;
        node_answer failed{node_refusal::broken, false, true, std::nullopt};
        const bool is_worth_repeating =
            has_failed && answer.value().status != gateway_timeout;
        if (!is_worth_repeating || !may_go_on(order, so_far, failed))
            co_return forward_result(std::move(answer.value()));
        why = failed;
    } else {
        so_far.not_run = so_far.not_run && why.not_run;
        so_far.last = why;
        so_far.last.not_run = so_far.not_run;
        if (!may_go_on(order, so_far, why)) {
            note_refusal(order, why);
            co_return forward_result(so_far.last);
        }
    }
    parts_.metrics->sent_on(why.reason);
    log(log_level::info, "retry",
        {{"request", order.context.request_id},
         {"service", order.service},
         {"instance", chosen->node},
         {"reason", to_string(why.reason)},
         {"detail", answer ? std::string() : to_string(answer.error())},
         {"not_run", why.not_run}});
    co_return std::nullopt;
}

awaitable<forward_result>
forwarder::forward(forward_order order, cancel_event canceled)
{
    parts_.budget->count_first_attempt(order.service, clock::now());
    progress so_far;
    for (;;) {
        auto done = co_await try_once(order, so_far, canceled);
        if (done)
            co_return std::move(*done);
    }
}

} // namespace fulmarjunction
