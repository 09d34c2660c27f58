#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/serving/dispatcher.hpp>

#include <set>
#include <utility>

namespace fulmarjunction {

namespace {

/// A peer enforces the deadline itself. Waiting slightly longer than that
/// receives its answer, which is more precise than a timeout here.
constexpr milliseconds answer_grace(50);
/// Maximum time without progress in the body of an answer.
constexpr seconds body_idle_limit(15);

refusal refusal_of(const error& problem)
{
    if (problem.code == errc::connection_failed)
        return {outcome::not_run, refusal_reason::no_instance, 0};
    if (problem.code == errc::timeout)
        return {outcome::unknown, refusal_reason::deadline_expired, 0};
    return {outcome::unknown, refusal_reason::backend_failed, 0};
}

/// Makes the answer for a peer that could not be reached.
streamed_response failure_answer(const error& problem)
{
    return refusal_answer(refusal_of(problem), {});
}

/// Returns the retries delegated to a child call: half of the budget, rounded
/// up. The rest stays here in case the answer that would return the unspent
/// retries is lost.
std::uint32_t retries_for_child(const retry_budget& budget)
{
    return (budget.left() + 1) / 2;
}

} // namespace

/// Result of one attempt.
struct dispatcher::attempt
{
    call_answer answer;
    std::uint32_t unspent = 0;
    /// Whether the node of the instance reported that its backend server
    /// failed.
    bool backend_failed = false;
};

/// Result of sending a request to an instance once.
struct dispatcher::send_result
{
    streamed_response answer;
    /// Whether the answer was made here because the instance sent none.
    bool is_synthesized = false;
};

dispatcher::dispatcher(
    const boost::asio::any_io_executor& executor, dependencies deps)
    : executor_(executor), dependencies_(std::move(deps))
{
}

awaitable<call_answer> dispatcher::call(
    outgoing_call call, retry_budget& budget, cancel_event canceled)
{
    const auto priority = priority_of(call.context.rank, call.context.root);
    const auto print = fingerprint_of(
        call.context.account, call.context.endpoint, call.target, call.body);
    const auto decision = dependencies_.classify(call.context.service, print);
    if (decision.action == suspect_action::refuse) {
        co_return refusal{outcome::not_run, refusal_reason::suspect_request, 0};
    }
    routing_request routing{
        call.context.service, priority,
        admission_flow{call.context.account, call.context.invested}};
    const auto upstream_level = call.context.applied_level;
    std::set<instance_name> tried;
    call_answer last_answer(
        refusal{outcome::not_run, refusal_reason::deadline_expired, 0});
    bool may_have_run = false;
    bool backend_failed = false;
    for (;;) {
        const auto now = clock::now();
        if (now >= call.context.deadline || canceled.is_canceled())
            co_return last_answer;
        auto choice = dependencies_.instances->choose(routing, tried, now);
        const bool is_suspect = decision.action == suspect_action::run_alone;
        if (is_suspect)
            choice.instance = decision.instance;
        if (!choice.instance && tried.empty()) {
            log(log_level::debug, "call_refused_here",
                {{"service", call.context.service},
                 {"reason", to_string(choice.details.reason)}});
            co_return choice.details;
        }
        if (!choice.instance)
            co_return last_answer;
        call.context.applied_level =
            std::max(upstream_level, choice.applied_level);
        const auto delegated_retries =
            budget.delegate(retries_for_child(budget));
        auto attempt_result = co_await try_instance(
            call, *choice.instance, delegated_retries, backend_failed,
            canceled);
        budget.reclaim(delegated_retries, attempt_result.unspent);
        if (attempt_result.backend_failed)
            dependencies_.backend_failed(print, *choice.instance);
        backend_failed = backend_failed || attempt_result.backend_failed;
        last_answer = std::move(attempt_result.answer);
        if (last_answer.response)
            co_return last_answer;
        const failed_attempt failed{
            last_answer.refusal_details.outcome,
            last_answer.refusal_details.reason, call.context.kind, false,
            call.body.is_whole};
        // The outcome covers all attempts: after one that may have run, a later
        // refusal must not report "not run".
        may_have_run = may_have_run ||
                       last_answer.refusal_details.outcome == outcome::unknown;
        if (may_have_run)
            last_answer.refusal_details.outcome = outcome::unknown;
        if (is_suspect || !may_retry(failed))
            co_return last_answer;
        // A failed attempt of this call also counts as a crash. Without this
        // check one call could crash an instance with each of its attempts.
        const auto next = dependencies_.classify(call.context.service, print);
        if (next.action == suspect_action::refuse || !budget.spend())
            co_return last_answer;
        routing.after_overload =
            routing.after_overload ||
            last_answer.refusal_details.reason == refusal_reason::overloaded;
        ++retries_;
        tried.insert(*choice.instance);
    }
}

awaitable<dispatcher::attempt> dispatcher::try_instance(
    outgoing_call& call, const instance_name& instance,
    std::uint32_t delegated_retries, bool after_backend_failure,
    cancel_event canceled)
{
    auto context = call.context;
    context.retries = delegated_retries;
    context.after_backend_failure = after_backend_failure;
    streamed_request request{
        call.method, call.target, call.headers, call.content_length, {}};
    // `open` consumes a body that is not whole; such a call is not retried.
    request.body = call.body.open();

    const auto started = clock::now();
    dependencies_.instances->sent(instance, started);
    auto received = co_await send(
        instance, std::move(context), std::move(request), canceled);
    auto& answer = received.answer;
    auto metadata = take_answer_metadata(answer.headers);
    if (!metadata)
        metadata =
            answer_metadata{outcome::unknown, refusal_reason::backend_failed};
    const auto record_end =
        [instances = dependencies_.instances, instance,
         observed =
             routing_observation{
                 metadata.value().request_outcome, metadata.value().reason,
                 clock::now() - started, metadata.value().level,
                 metadata.value().load,
                 admission_flow{call.context.account, call.context.invested}}](
            bool) { instances->ended(instance, observed, clock::now()); };
    const auto unspent = metadata.value().retries_unspent;
    if (metadata.value().request_outcome == outcome::answered) {
        answer.body = with_end_hook(
            std::move(answer.body), answer.content_length, record_end);
        attempt answered{std::move(answer), unspent};
        answered.answer.downstream = metadata.value().downstream;
        answered.answer.level = metadata.value().level.value_or(0);
        co_return answered;
    }
    record_end(false);
    const refusal details{
        metadata.value().request_outcome,
        metadata.value().reason.value_or(refusal_reason::backend_failed),
        metadata.value().retry_after_ms};
    attempt refused{details, unspent};
    refused.answer.downstream = metadata.value().downstream;
    refused.answer.level = metadata.value().level.value_or(0);
    refused.backend_failed = !received.is_synthesized &&
                             details.outcome == outcome::unknown &&
                             details.reason == refusal_reason::backend_failed;
    co_return refused;
}

awaitable<dispatcher::send_result> dispatcher::send(
    const instance_name& instance, request_context context,
    streamed_request request, cancel_event canceled)
{
    if (instance == dependencies_.self) {
        send_result local;
        local.answer = co_await dependencies_.gate->serve(
            std::move(context), std::move(request), canceled);
        co_return local;
    }
    const auto peer = dependencies_.locate(instance);
    if (!peer)
        co_return send_result{
            failure_answer(error{errc::connection_failed, "locate"}), true};
    const auto deadline = context.deadline + answer_grace;
    strip_internal_fields(request.headers);
    write_context(request.headers, context, clock::now());
    request.headers.push_back({"fj-kind", "call"});
    auto answer = co_await run_cancelable(
        dependencies_.peers->send(
            peer->address, peer->name, std::move(request), deadline),
        canceled, "call peer");
    if (!answer) {
        log(log_level::info, "call_failed",
            {{"peer", instance}, {"error", to_string(answer.error())}});
        co_return send_result{failure_answer(answer.error()), true};
    }
    answer.value().body = with_idle_limit(
        std::move(answer.value().body), executor_, body_idle_limit, instance);
    co_return send_result{std::move(answer.value())};
}

awaitable<call_answer> dispatcher::send_to_peer(
    peer_address peer, streamed_request request, time_point deadline,
    cancel_event canceled, std::uint32_t* retries_unspent)
{
    auto answer = co_await run_cancelable(
        dependencies_.peers->send(
            peer.address, peer.name, std::move(request),
            deadline + answer_grace),
        canceled, "call peer");
    if (!answer)
        co_return refusal_of(answer.error());
    auto metadata = take_answer_metadata(answer.value().headers);
    if (!metadata)
        co_return refusal{outcome::unknown, refusal_reason::backend_failed};
    if (retries_unspent != nullptr)
        *retries_unspent = metadata.value().retries_unspent;
    if (metadata.value().request_outcome != outcome::answered) {
        call_answer refused(refusal{
            metadata.value().request_outcome,
            metadata.value().reason.value_or(refusal_reason::backend_failed),
            metadata.value().retry_after_ms});
        refused.downstream = metadata.value().downstream;
        co_return refused;
    }
    answer.value().body = with_idle_limit(
        std::move(answer.value().body), executor_, body_idle_limit, peer.name);
    call_answer answered(std::move(answer.value()));
    answered.downstream = metadata.value().downstream;
    co_return answered;
}

} // namespace fulmarjunction
