#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/mesh/forwarder.hpp>

#include <fmt/format.h>

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

/// Retry delay for a request that was not sent since its service refuses most
/// of what it receives.
constexpr milliseconds throttled_retry_after(1000);

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

/// How one attempt ended.
struct forwarder::attempt_outcome
{
    /// Status of the backend server's answer; none when a node answered.
    std::optional<int> backend_status;
    /// Whether that answer says that the backend server leaves.
    bool is_backend_leaving = false;
    /// Valid when the backend server did not answer.
    node_answer failure{node_refusal::broken, false, true, std::nullopt};
    std::optional<gate_load> load;

    bool is_server_error() const
    {
        return backend_status && *backend_status >= first_server_error;
    }
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
            outgoing.context.deadline, outgoing.context.deadline),
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
        return failure.reason != node_refusal::overloaded ||
               deps_.throttle->may_try_another(outgoing.service, clock::now());
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
    const bool lacks_capacity = failure.reason == node_refusal::overloaded ||
                                failure.reason == node_refusal::throttled;
    if (outgoing.context.is_call && lacks_capacity)
        deps_.call_refused(outgoing.context, outgoing.service);
}

suspect_decision
forwarder::decide_suspicion(const outgoing_request& outgoing) const
{
    // The list is nearly always empty.
    if (deps_.suspects->size() == 0)
        return {};
    return deps_.suspects->decide(
        prints_of(outgoing.context, outgoing.service, outgoing.method),
        deps_.target_placement->nodes(outgoing.service), clock::now());
}

std::variant<placement::choice, node_answer> forwarder::choose_target(
    const outgoing_request& outgoing, const progress& so_far)
{
    const auto now = clock::now();
    const auto suspicion = decide_suspicion(outgoing);
    const bool has_failed = !so_far.tried_nodes.empty();
    if (suspicion.action == suspect_action::refuse) {
        log(log_level::info, "suspect_refused",
            {{"request", outgoing.context.request_id},
             {"fingerprint", fmt::format("{:x}", outgoing.context.print)}});
        if (has_failed)
            return so_far.last_answer;
        return node_answer{
            node_refusal::suspect_request, true, false, suspicion.retry_after};
    }
    std::optional<placement::choice> chosen;
    const bool runs_alone = suspicion.action == suspect_action::run_alone &&
                            !outgoing.context.is_crash_retry;
    if (!runs_alone) {
        chosen = deps_.target_placement->choose(
            outgoing.service, outgoing.context.route_name,
            outgoing.context.objective, so_far.tried_nodes, now);
    } else if (!has_failed) {
        // All nodes send a suspect to the same instance, which runs one at a
        // time, so it has no other target.
        chosen = deps_.target_placement->choose_node(*suspicion.instance, now);
    }
    if (!chosen)
        return so_far.last_answer;
    return *chosen;
}

forwarder::attempt_outcome
forwarder::read_outcome(result<streamed_response>& answer) const
{
    attempt_outcome outcome;
    if (answer) {
        auto& headers = answer.value().headers;
        outcome.load = take_load(headers);
        const auto refusal = take_node_answer(headers);
        if (refusal)
            outcome.failure = *refusal;
        else
            outcome.backend_status = answer.value().status;
        outcome.is_backend_leaving =
            outcome.backend_status && deps_.format->is_leaving(headers);
    } else if (answer.error().code == errc::connection_failed) {
        outcome.failure = {
            node_refusal::no_backend, true, false, no_backend_retry_after};
    } else if (answer.error().code == errc::timeout) {
        outcome.failure.reason = node_refusal::timeout;
    } else if (answer.error().code == errc::canceled) {
        outcome.failure.reason = node_refusal::canceled;
    }
    return outcome;
}

void forwarder::record_outcome(
    const placement::choice& chosen, const outgoing_request& outgoing,
    const attempt_outcome& outcome, duration latency)
{
    const auto now = clock::now();
    auto placed = to_placement_result(outcome.failure);
    if (outcome.backend_status) {
        placed = outcome.is_server_error() ? placement_result::failed
                                           : placement_result::served;
    } else if (outcome.failure.reason == node_refusal::backend_crashed) {
        deps_.suspects->attempt_failed(
            outgoing.context.print, chosen.node, now);
    }
    deps_.target_placement->record_result(
        chosen, outgoing.context.route_name, placed, latency,
        outcome.load ? std::optional<std::size_t>(outcome.load->load)
                     : std::nullopt,
        now);
    // The node beside the backend server may restart and forget that it leaves.
    if (outcome.is_backend_leaving)
        deps_.target_placement->record_leaving(chosen, now);
}

awaitable<std::optional<forward_result>> forwarder::try_once(
    outgoing_request& outgoing, progress& so_far, cancel_event canceled)
{
    const auto target = choose_target(outgoing, so_far);
    if (const auto* refusal = std::get_if<node_answer>(&target)) {
        report_call_refusal(outgoing, *refusal);
        co_return forward_result(*refusal);
    }
    const auto& chosen = std::get<placement::choice>(target);
    so_far.tried_nodes.push_back(chosen.node);
    const auto sent_at = clock::now();
    auto answer = co_await send(chosen, outgoing, canceled);
    const auto outcome = read_outcome(answer);
    record_outcome(chosen, outgoing, outcome, clock::now() - sent_at);
    auto failure = outcome.failure;
    so_far.backend_attempts +=
        outcome.backend_status || failure.reached_backend ? 1 : 0;
    if (outcome.backend_status) {
        const auto refusing_service =
            take_downstream_refusal(answer.value().headers);
        if (!refusing_service.empty())
            deps_.call_refused(outgoing.context, refusing_service);
        so_far.not_run = false;
        failure = {node_refusal::broken, false, true, std::nullopt};
        const bool is_retryable = outcome.is_server_error() &&
                                  *outcome.backend_status != gateway_timeout;
        if (!is_retryable || !may_retry(outgoing, so_far, failure))
            co_return forward_result(std::move(answer.value()));
    } else {
        so_far.not_run = so_far.not_run && failure.not_run;
        so_far.last_answer = failure;
        so_far.last_answer.not_run = so_far.not_run;
        if (!may_retry(outgoing, so_far, failure)) {
            report_call_refusal(outgoing, failure);
            co_return forward_result(so_far.last_answer);
        }
        outgoing.context.is_crash_retry =
            outgoing.context.is_crash_retry ||
            failure.reason == node_refusal::backend_crashed;
    }
    deps_.metrics->count_retry(failure.reason);
    log(log_level::info, "retry",
        {{"request", outgoing.context.request_id},
         {"service", outgoing.service},
         {"instance", chosen.node},
         {"reason", to_string(failure.reason)},
         {"detail", answer ? std::string() : to_string(answer.error())},
         {"not_run", failure.not_run}});
    co_return std::nullopt;
}

awaitable<forward_result>
forwarder::forward(outgoing_request outgoing, cancel_event canceled)
{
    const bool is_throttled = deps_.throttle->should_refuse(
        outgoing.service, outgoing.context.is_call, clock::now());
    if (is_throttled) {
        const node_answer refusal{
            node_refusal::throttled, true, false, throttled_retry_after};
        report_call_refusal(outgoing, refusal);
        co_return forward_result(refusal);
    }
    deps_.budget->count_first_attempt(outgoing.service, clock::now());
    progress so_far;
    for (;;) {
        auto done = co_await try_once(outgoing, so_far, canceled);
        if (!done)
            continue;
        const auto* refusal = std::get_if<node_answer>(&*done);
        const bool was_refused =
            refusal != nullptr && refusal->reason == node_refusal::overloaded;
        if (refusal == nullptr || was_refused)
            deps_.throttle->record(outgoing.service, was_refused, clock::now());
        co_return std::move(*done);
    }
}

} // namespace fulmarjunction
