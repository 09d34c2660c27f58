#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/mesh/forwarder.hpp>

#include <utility>

namespace fulmarjunction {

namespace {

/// Maximum number of nodes that are tried for one request. Each try costs a
/// round trip, and if three nodes are full, most of the others are too.
constexpr std::size_t max_nodes_tried = 3;

constexpr int first_server_error = 500;
constexpr int gateway_timeout = 504;

/// Retry delay that a caller is given when no backend server is available.
constexpr milliseconds no_backend_retry_after(500);

} // namespace

/// State of one request across its attempts.
struct forwarder::progress
{
    std::vector<instance_name> tried_nodes;
    /// Attempts that reached a backend server.
    unsigned backend_attempts = 0;
    /// Whether it is certain that no backend server has run the request.
    bool not_run = true;
    node_answer last_answer{
        node_refusal::no_backend, true, false, no_backend_retry_after};
};

streamed_request forwarder::make_request(outgoing_request& outgoing) const
{
    streamed_request request;
    request.method = outgoing.method;
    request.target = outgoing.target;
    request.headers = outgoing.headers;
    const bool has_body =
        !outgoing.body.prefix.empty() || !outgoing.body.is_whole;
    request.content_length = outgoing.content_length;
    if (outgoing.body.is_whole)
        request.content_length = outgoing.body.prefix.size();
    if (has_body)
        request.body = outgoing.body.open();
    else
        request.body = empty_body();
    return request;
}

awaitable<result<streamed_response>> forwarder::send(
    const placement::choice& chosen, outgoing_request& outgoing,
    cancel_event canceled)
{
    auto context = outgoing.context;
    context.backend_id = chosen.backend_id;
    context.waited = std::chrono::duration_cast<milliseconds>(
        clock::now() - outgoing.arrived_at);
    auto request = make_request(outgoing);
    if (chosen.node == deps_.self) {
        auto answer = co_await deps_.gate->serve(
            std::move(context), std::move(request), canceled);
        co_return answer;
    }
    const auto* member = deps_.fleet->find(chosen.node);
    if (member == nullptr)
        co_return fail(errc::connection_failed, "forward", chosen.node);
    write_context(request.headers, context, clock::now());
    auto answer = co_await run_cancelable(
        deps_.peers()->send(
            member->address, chosen.node, std::move(request),
            outgoing.context.deadline),
        canceled, "forward");
    if (!answer && answer.error().code != errc::canceled)
        deps_.call_failed(chosen.node, answer.error());
    co_return answer;
}

placement_result
forwarder::to_placement_result(const node_answer& failure) const
{
    switch (failure.reason) {
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

bool forwarder::may_retry(
    const outgoing_request& outgoing, progress& so_far,
    const node_answer& failure)
{
    if (so_far.tried_nodes.size() >= max_nodes_tried ||
        clock::now() >= outgoing.context.deadline || !outgoing.body.is_whole)
        return false;
    if (failure.reason == node_refusal::canceled ||
        failure.reason == node_refusal::timeout)
        return false;
    if (!failure.not_run && outgoing.context.kind != execution::idempotent)
        return false;
    if (!failure.reached_backend)
        return true;
    // The calls of a retried run count as retries downstream as well. A request
    // that the backend server refused has made none.
    const auto cost = failure.not_run ? 1.0 : deps_.cost_of(outgoing.service);
    return so_far.backend_attempts < outgoing.attempts &&
           deps_.budget->spend(outgoing.service, cost, clock::now());
}

/// Reports only calls: a refused call fails the request that it belongs to,
/// whereas a root request is refused before any work has been done for it.
void forwarder::report_call_refusal(
    const outgoing_request& outgoing, const node_answer& failure)
{
    if (outgoing.context.is_call && failure.reason == node_refusal::overloaded)
        deps_.call_refused(outgoing.context, outgoing.service);
}

awaitable<std::optional<forward_result>> forwarder::try_once(
    outgoing_request& outgoing, progress& so_far, cancel_event canceled)
{
    const auto& route = outgoing.context.route_name;
    const auto chosen = deps_.target_placement->choose(
        outgoing.service, route, outgoing.context.objective, so_far.tried_nodes,
        clock::now());
    if (!chosen) {
        report_call_refusal(outgoing, so_far.last_answer);
        co_return forward_result(so_far.last_answer);
    }
    so_far.tried_nodes.push_back(chosen->node);
    const auto sent_at = clock::now();
    auto answer = co_await send(*chosen, outgoing, canceled);
    const auto now = clock::now();
    node_answer failure{node_refusal::broken, false, true, std::nullopt};
    std::optional<gate_load> load;
    bool is_backend_answer = false;
    if (answer) {
        load = take_load(answer.value().headers);
        const auto refusal = take_node_answer(answer.value().headers);
        is_backend_answer = !refusal;
        failure = refusal.value_or(failure);
    } else if (answer.error().code == errc::connection_failed) {
        failure = {
            node_refusal::no_backend, true, false, no_backend_retry_after};
    } else if (answer.error().code == errc::timeout) {
        failure.reason = node_refusal::timeout;
    } else if (answer.error().code == errc::canceled) {
        failure.reason = node_refusal::canceled;
    }
    const bool is_server_error =
        is_backend_answer && answer.value().status >= first_server_error;
    auto outcome = to_placement_result(failure);
    if (is_backend_answer)
        outcome = is_server_error ? placement_result::failed
                                  : placement_result::served;
    deps_.target_placement->record_result(
        *chosen, route, outcome, now - sent_at,
        load ? std::optional<std::size_t>(load->load) : std::nullopt, now);
    so_far.backend_attempts +=
        is_backend_answer || failure.reached_backend ? 1 : 0;
    if (is_backend_answer) {
        const auto refusing_service =
            take_downstream_refusal(answer.value().headers);
        if (!refusing_service.empty())
            deps_.call_refused(outgoing.context, refusing_service);
        so_far.not_run = false;
        node_answer server_failure{
            node_refusal::broken, false, true, std::nullopt};
        const bool is_retryable =
            is_server_error && answer.value().status != gateway_timeout;
        if (!is_retryable || !may_retry(outgoing, so_far, server_failure))
            co_return forward_result(std::move(answer.value()));
        failure = server_failure;
    } else {
        so_far.not_run = so_far.not_run && failure.not_run;
        so_far.last_answer = failure;
        so_far.last_answer.not_run = so_far.not_run;
        if (!may_retry(outgoing, so_far, failure)) {
            report_call_refusal(outgoing, failure);
            co_return forward_result(so_far.last_answer);
        }
    }
    deps_.metrics->count_retry(failure.reason);
    log(log_level::info, "retry",
        {{"request", outgoing.context.request_id},
         {"service", outgoing.service},
         {"instance", chosen->node},
         {"reason", to_string(failure.reason)},
         {"detail", answer ? std::string() : to_string(answer.error())},
         {"not_run", failure.not_run}});
    co_return std::nullopt;
}

awaitable<forward_result>
forwarder::forward(outgoing_request outgoing, cancel_event canceled)
{
    deps_.budget->count_first_attempt(outgoing.service, clock::now());
    progress so_far;
    for (;;) {
        auto done = co_await try_once(outgoing, so_far, canceled);
        if (done)
            co_return std::move(*done);
    }
}

} // namespace fulmarjunction
