#include "passing_fingerprint.hpp"

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/mesh/gate_service.hpp>
#include <fulmarjunction/serving/body.hpp>
#include <fulmarjunction/serving/context_codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// Backend servers close idle connections after this time unless their answer
/// states another one.
constexpr seconds backend_idle_timeout(8);
constexpr milliseconds backend_connect_timeout(500);
/// A health check waits for a slot at the backend server like any other
/// request. After this time the first heartbeat is about to arrive.
constexpr milliseconds health_timeout(500);

/// Statuses that tell a caller that its request has not run.
constexpr std::array not_run_statuses = {408, 421, 429, 503};

/// A request counts as delayed when it waits for a slot for longer than this
/// fraction of the time that was left to its deadline at its arrival.
constexpr double delayed_wait_fraction = 0.1;

constexpr int first_server_error = 500;

/// Requests that run at once before a backend server has answered for the first
/// time.
constexpr std::size_t unanswered_slots = 4;

/// Logged where the backend server has named no rate limit.
constexpr double no_rate_limit = -1;

/// Minimum retry delay that a refused caller is given.
constexpr milliseconds min_retry_after(200);

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

bool is_not_run_status(int status)
{
    return std::find(
               not_run_statuses.begin(), not_run_statuses.end(), status) !=
           not_run_statuses.end();
}

http_limits backend_limits()
{
    http_limits limits;
    limits.keep_alive_timeout = backend_idle_timeout;
    limits.max_header_bytes = 64 * 1024;
    return limits;
}

} // namespace

/// A request in the queue for a slot.
struct gate_service::waiter
{
    explicit waiter(const asio::any_io_executor& executor) : signal(executor) {}

    asio::steady_timer signal;
    bool is_decided = false;
    bool may_run = false;
};

/// RAII handle of a slot, held until the answer has been forwarded completely.
class gate_service::slot
{
public:
    slot(
        std::shared_ptr<gate_service> owner, std::uint64_t id,
        const request_prints& prints,
        std::shared_ptr<passing_fingerprint> passed)
        : owner_(std::move(owner)), id_(id), prints_(prints),
          passed_(std::move(passed)), acquired_at_(clock::now())
    {
    }
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;
    ~slot()
    {
        const auto held = clock::now() - acquired_at_;
        owner_->crashes_->ended(id_);
        if (runs_alone_)
            owner_->turns_.ended(id_);
        owner_->gate_.finish(
            is_served_ ? std::optional<duration>(held) : std::nullopt);
        owner_->advance();
    }

    void mark_alone() { runs_alone_ = true; }

    /// Records that the backend server gets the request now.
    void mark_sent() { owner_->crashes_->started(id_, prints_.content); }

    void mark_served(const std::string& request_id)
    {
        is_served_ = true;
        // Others with a fingerprint that leaves out a part of the request may
        // still crash the backend server.
        if (passed_->value() != prints_.content)
            return;
        const auto cleared =
            owner_->deps_.suspects->finished(prints_, clock::now());
        if (cleared == 0)
            return;
        log(log_level::info, "suspect_cleared",
            {{"request", request_id},
             {"fingerprint", fmt::format("{:x}", prints_.content)},
             {"caller_fingerprint", fmt::format("{:x}", prints_.caller)},
             {"crashes", cleared}});
    }

    const request_prints& prints() const { return prints_; }

    /// Checks whether the backend server crashed during its answer.
    static awaitable<void> check_for_crash(std::shared_ptr<slot> held)
    {
        co_await held->owner_->has_crashed();
    }

private:
    std::shared_ptr<gate_service> owner_;
    std::uint64_t id_;
    request_prints prints_;
    std::shared_ptr<passing_fingerprint> passed_;
    time_point acquired_at_;
    bool is_served_ = false;
    bool runs_alone_ = false;
};

gate_service::gate_service(
    asio::any_io_executor executor, const asio::ip::tcp::endpoint& backend,
    dependencies deps, const slot_gate_settings& settings)
    : executor_(executor), deps_(std::move(deps)), backend_(backend),
      gate_(settings),
      turns_(
          executor, deps_.suspicion, [this] { return crashes_->in_flight(); }),
      crashes_(std::make_shared<crash_detector>(
          executor, [this](const crash_report& report) { blame(report); })),
      client_(executor, backend, backend_limits(), backend_connect_timeout)
{
}

void gate_service::backend_changed()
{
    update_slots();
    if (gate_.rate() && limited_backend_ != deps_.monitor->id())
        apply_rate_limit(deps_.monitor->id(), std::nullopt);
    advance();
}

awaitable<std::optional<backend_health>>
gate_service::query_health(std::string path)
{
    streamed_request request;
    request.method = "GET";
    request.target = std::move(path);
    request.headers = {{"host", "health"}};
    request.content_length = 0;
    request.body = empty_body();
    const auto deadline = clock::now() + health_timeout;
    auto answer =
        co_await client_.send(std::move(request), deadline, nullptr, deadline);
    if (!answer) {
        log(log_level::info, "health_not_answered",
            {{"error", to_string(answer.error())}});
        co_return std::nullopt;
    }
    const auto health = deps_.format->read_health(
        answer.value().status, answer.value().headers);
    constexpr std::size_t max_health_bytes = 64 * 1024;
    const auto body =
        co_await read_body(std::move(answer.value().body), max_health_bytes);
    log(log_level::info, "health_answered",
        {{"status", answer.value().status},
         {"usable", health.has_value()},
         {"whole", body.has_value()}});
    // A backend server that breaks off its answer may be about to end.
    if (!health || !body)
        co_return std::nullopt;
    apply_rate_limit(health->id, health->rate_limit);
    co_return health;
}

gate_load gate_service::load() const
{
    return {gate_.running() + gate_.waiting(), gate_.usable_slots()};
}

streamed_response gate_service::refuse(
    const call_context& context, const node_answer& refusal,
    const std::string& detail) const
{
    log(log_level::info, "gate_refused",
        {{"request", context.request_id},
         {"route", context.route_name},
         {"reason", to_string(refusal.reason)},
         {"not_run", refusal.not_run},
         {"backend", deps_.monitor->id()},
         {"running", gate_.running()},
         {"waiting", gate_.waiting()},
         {"limit", gate_.limit()},
         {"rate_limit", gate_.rate().value_or(no_rate_limit)},
         {"is_call", context.is_call},
         {"priority", context.priority},
         {"waited_ms", context.waited.count()},
         {"fingerprint", fmt::format("{:x}", context.print)},
         {"detail", detail}});
    auto answer = encode_node_answer(refusal);
    write_load(answer.headers, load());
    return answer;
}

std::optional<node_answer>
gate_service::check_backend(const call_context& context) const
{
    if (deps_.monitor->state(clock::now()) != backend_state::ready)
        return node_answer{node_refusal::draining, true, false, std::nullopt};
    if (deps_.monitor->id() != context.backend_id)
        return node_answer{
            node_refusal::other_backend, true, false, std::nullopt};
    return std::nullopt;
}

suspect_decision gate_service::decide_suspicion(
    const call_context& context, const request_prints& prints) const
{
    return deps_.suspects->decide_local(
        prints, context.is_crash_retry, clock::now());
}

std::optional<node_answer> gate_service::check_suspicion(
    const call_context& context, const request_prints& prints) const
{
    const auto suspicion = decide_suspicion(context, prints);
    if (suspicion.action != suspect_action::refuse)
        return std::nullopt;
    return node_answer{
        node_refusal::suspect_request, true, false, suspicion.retry_after};
}

void gate_service::advance()
{
    const auto decisions = gate_.advance(clock::now());
    const auto decide = [this](std::uint64_t id, bool may_run) {
        const auto found = waiters_.find(id);
        if (found == waiters_.end())
            return;
        found->second->is_decided = true;
        found->second->may_run = may_run;
        found->second->signal.cancel();
        waiters_.erase(found);
    };
    for (const auto id : decisions.start)
        decide(id, true);
    for (const auto id : decisions.refuse)
        decide(id, false);
}

duration gate_service::retry_after(const call_context& context) const
{
    return std::max<duration>(
        min_retry_after,
        gate_.expected_wait(context.is_call, context.priority, clock::now()));
}

awaitable<std::optional<node_answer>> gate_service::wait_for_slot(
    std::uint64_t id, const call_context& context, cancel_event canceled)
{
    const gate_offer offer{
        id,
        context.is_call,
        context.priority,
        context.deadline,
        context.objective,
        context.waited};
    const node_answer overloaded{
        node_refusal::overloaded, true, false, retry_after(context)};
    switch (gate_.offer(offer, clock::now())) {
    case gate_verdict::run:
        co_return std::nullopt;
    case gate_verdict::refuse:
        co_return overloaded;
    case gate_verdict::wait:
        break;
    }
    const auto waiting = std::make_shared<waiter>(executor_);
    waiters_.emplace(id, waiting);
    canceled.on_cancel([weak = weak_from_this(), id, waiting] {
        const auto self = weak.lock();
        if (!self || waiting->is_decided)
            return;
        self->gate_.cancel(id);
        self->waiters_.erase(id);
        waiting->is_decided = true;
        waiting->signal.cancel();
    });
    while (!waiting->is_decided) {
        boost::system::error_code ignored;
        waiting->signal.expires_at(
            gate_.next_due(clock::now()).value_or(context.deadline));
        co_await waiting->signal.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        if (!waiting->is_decided)
            advance();
    }
    if (waiting->may_run)
        co_return std::nullopt;
    co_return overloaded;
}

void gate_service::record_call_refusal(const service_name& service)
{
    refused_calls_.record(service, clock::now());
}

void gate_service::count_outcome(
    const call_context& context, duration waited, bool was_refused)
{
    const auto left = to_seconds(context.deadline - clock::now() + waited);
    auto outcome = gate_outcome::in_time;
    if (was_refused)
        outcome = gate_outcome::refused;
    else if (to_seconds(waited) > left * delayed_wait_fraction)
        outcome = gate_outcome::delayed;
    pressure_.count(context.is_call, outcome);
}

awaitable<streamed_response> gate_service::serve(
    call_context context, streamed_request request, cancel_event canceled)
{
    if (const auto refusal = check_backend(context))
        co_return refuse(context, *refusal);
    const auto arrived_at = clock::now();
    const auto prints =
        prints_of(context, deps_.monitor->service(), request.method);
    if (const auto refusal = check_suspicion(context, prints))
        co_return refuse(context, *refusal);
    const auto id = next_id_++;
    const auto refused = co_await wait_for_slot(id, context, canceled);
    const auto waited = clock::now() - arrived_at;
    deps_.metrics->observe_gate_wait(waited);
    if (!canceled.is_canceled())
        count_outcome(context, waited, refused.has_value());
    if (refused)
        co_return refuse(context, *refused);
    auto held = std::make_shared<slot>(
        shared_from_this(), id, prints, passing_fingerprint::attach(request));
    const bool alone =
        decide_suspicion(context, prints).action == suspect_action::run_alone;
    if (!co_await turns_.wait(id, alone, context.deadline, canceled)) {
        co_return refuse(
            context,
            {node_refusal::overloaded, true, false, retry_after(context)});
    }
    if (alone)
        held->mark_alone();
    co_return co_await run(
        std::move(held), std::move(context), std::move(request),
        std::move(canceled));
}

awaitable<bool> gate_service::has_crashed()
{
    // A backend server that leaves ends as announced.
    if (deps_.monitor->is_leaving())
        co_return false;
    co_return co_await crashes_->check(backend_, turns_.running());
}

void gate_service::blame(const crash_report& report)
{
    log(log_level::warning, "backend_crashed",
        {{"backend", deps_.monitor->id()},
         {"in_flight", report.in_flight.size()},
         {"alone", report.alone.has_value()}});
    deps_.metrics->count_backend_crash();
    auto blamed = report.in_flight;
    std::erase(blamed, no_fingerprint);
    deps_.suspects->crashed(blamed, report.alone, clock::now());
    deps_.monitor->record_connection_refused();
    if (deps_.on_blame)
        deps_.on_blame();
}

awaitable<node_answer> gate_service::handle_send_error(error problem)
{
    node_answer answer{node_refusal::broken, false, true, std::nullopt};
    if (problem.code == errc::connection_failed) {
        deps_.monitor->record_connection_refused();
        answer = {node_refusal::no_backend, true, false, std::nullopt};
    } else if (problem.code == errc::timeout) {
        answer.reason = node_refusal::timeout;
    } else if (problem.code == errc::canceled) {
        answer.reason = node_refusal::canceled;
    } else if (problem.code == errc::malformed) {
        answer.reason = node_refusal::bad_answer;
    } else if (
        problem.code == errc::connection_broken && co_await has_crashed()) {
        answer.reason = node_refusal::backend_crashed;
    }
    co_return answer;
}

void gate_service::set_slot_share(double share)
{
    slot_share_ = share;
    update_slots();
    advance();
}

void gate_service::update_slots()
{
    auto slots = deps_.monitor->slots();
    if (!has_answered_)
        slots = std::min(slots, unanswered_slots);
    if (slots == 0) {
        gate_.set_slots(0);
        return;
    }
    const auto used = static_cast<double>(slots) * slot_share_;
    gate_.set_slots(std::max<std::size_t>(1, static_cast<std::size_t>(used)));
}

/// Applies the rate limit that an answer of a backend server process names, or
/// removes it.
void gate_service::apply_rate_limit(
    const std::string& backend_id, std::optional<double> per_second)
{
    const bool was_limited = gate_.rate().has_value();
    limited_backend_ = backend_id;
    gate_.set_rate(per_second, clock::now());
    if (!std::exchange(has_answered_, true)) {
        update_slots();
        advance();
    }
    if (was_limited == per_second.has_value())
        return;
    log(log_level::info, "backend_limit",
        {{"backend", backend_id},
         {"per_s", per_second.value_or(no_rate_limit)}});
    if (!per_second)
        advance();
}

streamed_response gate_service::accept_answer(
    const call_context& context, streamed_response answer,
    std::shared_ptr<slot> held, cancel_event canceled)
{
    // A backend server must not be able to answer in the name of a node.
    strip_internal_fields(answer.headers);
    const auto facts =
        deps_.format->take_backend_facts(answer.status, answer.headers);
    const bool is_own_answer =
        !facts.is_other_backend && context.backend_id == deps_.monitor->id();
    // An answer without proof of origin may name a limit but not remove one.
    if (is_own_answer && (facts.rate_limit || facts.is_sealed))
        apply_rate_limit(context.backend_id, facts.rate_limit);
    if (is_own_answer && facts.is_leaving && !deps_.monitor->is_leaving()) {
        log(log_level::info, "backend_leaving",
            {{"backend", context.backend_id}});
        deps_.monitor->record_leaving(context.backend_id);
    }
    if (facts.is_other_backend || facts.not_run) {
        const auto reason = facts.is_other_backend ? node_refusal::other_backend
                                                   : node_refusal::turned_away;
        return refuse(context, {reason, true, true, retry_after(context)});
    }
    const bool is_unsealed = is_success(answer.status) && !facts.is_sealed;
    if (is_unsealed || is_not_run_status(answer.status))
        return refuse(
            context, {node_refusal::bad_answer, false, true, std::nullopt});
    write_load(answer.headers, load());
    if (answer.status >= first_server_error)
        write_downstream_refusal(
            answer.headers, refused_calls_.service(clock::now()));
    answer.body = with_end_hook(
        std::move(answer.body), answer.content_length,
        [held = std::move(held), id = context.request_id, executor = executor_,
         canceled](bool is_complete) {
            if (is_complete)
                held->mark_served(id);
            else if (!canceled.is_canceled())
                asio::co_spawn(
                    executor, slot::check_for_crash(held), asio::detached);
        });
    return answer;
}

awaitable<streamed_response> gate_service::run(
    std::shared_ptr<slot> held, call_context context, streamed_request request,
    cancel_event canceled)
{
    costs_.count_run();
    // The backend server may have changed while the request waited, and equal
    // requests may have crashed others.
    if (const auto refusal = check_backend(context))
        co_return refuse(context, *refusal);
    if (const auto refusal = check_suspicion(context, held->prints()))
        co_return refuse(context, *refusal);
    const auto now = clock::now();
    const auto left =
        std::chrono::duration_cast<milliseconds>(context.deadline - now);
    if (left.count() <= 0 || canceled.is_canceled()) {
        co_return refuse(
            context, {node_refusal::too_late, true, false, std::nullopt});
    }
    deps_.format->add_backend_fields(
        request.headers,
        {left, context.backend_id, context.account, context.caller_service});
    const auto belongs =
        [this, id = context.request_id](const header_fields& fields) {
            return deps_.format->request_id(fields) == id;
        };
    held->mark_sent();
    auto answer = co_await run_cancelable(
        client_.send(
            std::move(request), context.deadline, belongs, context.deadline),
        canceled, "backend.send");
    if (!answer) {
        const auto failure = co_await handle_send_error(answer.error());
        co_return refuse(context, failure, to_string(answer.error()));
    }
    deps_.metrics->observe_backend_time(clock::now() - now);
    co_return accept_answer(
        context, std::move(answer.value()), std::move(held), canceled);
}

} // namespace fulmarjunction
