#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/serving/dispatcher.hpp>

#include <set>
#include <utility>

namespace fulmarjunction {

namespace {

/// A peer enforces the deadline itself; waiting a little longer lets its
/// more exact answer arrive.
constexpr milliseconds answer_grace(50);
/// Longest time without progress in the body of an answer.
constexpr seconds body_idle_limit(15);

refusal refusal_of(const error& problem)
{
    if (problem.code == errc::connection_failed)
        return {outcome::not_run, refusal_reason::no_instance, 0};
    if (problem.code == errc::timeout)
        return {outcome::unknown, refusal_reason::deadline_expired, 0};
    return {outcome::unknown, refusal_reason::backend_failed, 0};
}

/// Makes the answer that stands for a failure to reach a peer.
streamed_response failure_answer(const error& problem)
{
    return refusal_answer(refusal_of(problem), {});
}

/// The child part of a budget: half, rounded up, so that an attempt is left
/// here when the answer that would return the rest is lost.
std::uint32_t part_for_child(const retry_budget& budget)
{
    return (budget.left() + 1) / 2;
}

} // namespace

/// One attempt, with what is learned from it.
struct dispatcher::attempt
{
    call_answer answer;
    std::uint32_t unspent = 0;
    /// The node of the instance said that its backend server failed.
    bool backend_failed = false;
};

/// The answer to one sending.
struct dispatcher::sent_answer
{
    streamed_response answer;
    /// It was made here, because none came from the instance.
    bool is_substitute = false;
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
        call.context.account, call.context.endpoint, call.target,
        call.body.prefix);
    const auto treatment = dependencies_.classify(call.context.service, print);
    if (treatment.action == suspect_action::refuse) {
        co_return refusal{outcome::not_run, refusal_reason::suspect_request, 0};
    }
    routing_request wanted{
        call.context.service, priority,
        admission_flow{call.context.account, call.context.invested}};
    const auto applied_on_the_way = call.context.applied_level;
    std::set<instance_name> tried;
    call_answer last(
        refusal{outcome::not_run, refusal_reason::deadline_expired, 0});
    bool may_have_run = false;
    bool backend_failed = false;
    for (;;) {
        const auto now = clock::now();
        if (now >= call.context.deadline || canceled.is_canceled())
            co_return last;
        auto choice = dependencies_.instances->choose(wanted, tried, now);
        const bool is_suspect = treatment.action == suspect_action::run_alone;
        if (is_suspect)
            choice.instance = treatment.instance;
        if (!choice.instance && tried.empty()) {
            log(log_level::debug, "call_refused_here",
                {{"service", call.context.service},
                 {"reason", to_string(choice.details.reason)}});
            co_return choice.details;
        }
        if (!choice.instance)
            co_return last;
        call.context.applied_level =
            std::max(applied_on_the_way, choice.applied_level);
        const auto handed = budget.delegate(part_for_child(budget));
        auto tried_once = co_await try_instance(
            call, *choice.instance, handed, backend_failed, canceled);
        budget.reclaim(handed, tried_once.unspent);
        if (tried_once.backend_failed)
            dependencies_.backend_failed(print, *choice.instance);
        backend_failed = backend_failed || tried_once.backend_failed;
        last = std::move(tried_once.answer);
        if (last.response)
            co_return last;
        const failed_attempt failed{
            last.refusal_details.what, last.refusal_details.reason,
            call.context.kind, false, call.body.is_whole};
        // A later refusal must not say "not run" of an earlier attempt.
        may_have_run =
            may_have_run || last.refusal_details.what == outcome::unknown;
        if (may_have_run)
            last.refusal_details.what = outcome::unknown;
        if (is_suspect || !may_retry(failed))
            co_return last;
        // The retries of one call count as crashes too; without this check
        // one call takes down an instance with each attempt of its budget.
        const auto next = dependencies_.classify(call.context.service, print);
        if (next.action == suspect_action::refuse || !budget.spend())
            co_return last;
        wanted.after_overload =
            wanted.after_overload ||
            last.refusal_details.reason == refusal_reason::overloaded;
        ++retries_;
        tried.insert(*choice.instance);
    }
}

awaitable<dispatcher::attempt> dispatcher::try_instance(
    outgoing_call& call, const instance_name& instance, std::uint32_t handed,
    bool after_backend_failure, cancel_event canceled)
{
    auto context = call.context;
    context.retries = handed;
    context.after_backend_failure = after_backend_failure;
    streamed_request request{
        call.method, call.target, call.headers, call.content_length, {}};
    // `open` consumes a body that is not whole; such a call has one attempt.
    request.body = call.body.open();

    const auto started = clock::now();
    dependencies_.instances->sent(instance, started);
    auto received = co_await send(
        instance, std::move(context), std::move(request), canceled);
    auto& answer = received.answer;
    auto notes = take_answer_metadata(answer.headers);
    if (!notes)
        notes =
            answer_metadata{outcome::unknown, refusal_reason::backend_failed};
    const auto ended =
        [balance = dependencies_.instances, instance,
         observed = routing_observation{
             notes.value().request_outcome, notes.value().reason,
             clock::now() - started, notes.value().level, notes.value().load,
             admission_flow{
                 call.context.account, call.context.invested}}](bool) {
            balance->ended(instance, observed, clock::now());
        };
    const auto unspent = notes.value().retries_unspent;
    if (notes.value().request_outcome == outcome::answered) {
        answer.body = with_end_hook(std::move(answer.body), ended);
        attempt answered{std::move(answer), unspent};
        answered.answer.downstream = notes.value().downstream;
        answered.answer.level = notes.value().level.value_or(0);
        co_return answered;
    }
    ended(false);
    const refusal why{
        notes.value().request_outcome,
        notes.value().reason.value_or(refusal_reason::backend_failed),
        notes.value().retry_after_ms};
    attempt refused{why, unspent};
    refused.answer.downstream = notes.value().downstream;
    refused.answer.level = notes.value().level.value_or(0);
    refused.backend_failed = !received.is_substitute &&
                             why.what == outcome::unknown &&
                             why.reason == refusal_reason::backend_failed;
    co_return refused;
}

awaitable<dispatcher::sent_answer> dispatcher::send(
    const instance_name& instance, request_context context,
    streamed_request request, cancel_event canceled)
{
    if (instance == dependencies_.self) {
        sent_answer local;
        local.answer = co_await dependencies_.gate->serve(
            std::move(context), std::move(request), canceled);
        co_return local;
    }
    const auto to = dependencies_.locate(instance);
    if (!to)
        co_return sent_answer{
            failure_answer(error{errc::connection_failed, "locate"}), true};
    const auto deadline = context.deadline + answer_grace;
    strip_internal_fields(request.headers);
    write_context(request.headers, context, clock::now());
    request.headers.push_back({"fj-kind", "call"});
    auto answer = co_await run_cancelable(
        dependencies_.peers->send(
            to->address, to->name, std::move(request), deadline),
        canceled, "call peer");
    if (!answer) {
        log(log_level::info, "call_failed",
            {{"peer", instance}, {"error", to_string(answer.error())}});
        co_return sent_answer{failure_answer(answer.error()), true};
    }
    answer.value().body = with_idle_limit(
        std::move(answer.value().body), executor_, body_idle_limit, instance);
    co_return sent_answer{std::move(answer.value())};
}

awaitable<call_answer> dispatcher::send_to_peer(
    peer_address to, streamed_request request, time_point deadline,
    cancel_event canceled, std::uint32_t* retries_unspent)
{
    auto answer = co_await run_cancelable(
        dependencies_.peers->send(
            to.address, to.name, std::move(request), deadline + answer_grace),
        canceled, "call peer");
    if (!answer)
        co_return refusal_of(answer.error());
    auto notes = take_answer_metadata(answer.value().headers);
    if (!notes)
        co_return refusal{outcome::unknown, refusal_reason::backend_failed};
    if (retries_unspent != nullptr)
        *retries_unspent = notes.value().retries_unspent;
    if (notes.value().request_outcome != outcome::answered) {
        call_answer refused(refusal{
            notes.value().request_outcome,
            notes.value().reason.value_or(refusal_reason::backend_failed),
            notes.value().retry_after_ms});
        refused.downstream = notes.value().downstream;
        co_return refused;
    }
    answer.value().body = with_idle_limit(
        std::move(answer.value().body), executor_, body_idle_limit, to.name);
    call_answer answered(std::move(answer.value()));
    answered.downstream = notes.value().downstream;
    co_return answered;
}

} // namespace fulmarjunction
