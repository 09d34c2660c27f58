#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/mesh/gate_service.hpp>
#include <fulmarjunction/serving/body.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

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
    explicit slot(std::shared_ptr<gate_service> owner)
        : owner_(std::move(owner)), acquired_at_(clock::now())
    {
    }
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;
    ~slot()
    {
        const auto held = clock::now() - acquired_at_;
        owner_->gate_.finish(
            is_served_ ? std::optional<duration>(held) : std::nullopt);
        owner_->advance();
    }

    void mark_served() { is_served_ = true; }

private:
    std::shared_ptr<gate_service> owner_;
    time_point acquired_at_;
    bool is_served_ = false;
};

gate_service::gate_service(
    asio::any_io_executor executor, const asio::ip::tcp::endpoint& backend,
    backend_monitor& monitor, const wire_format& format,
    const slot_gate_settings& settings, mesh_metrics& metrics)
    : executor_(executor), monitor_(monitor), format_(format),
      metrics_(metrics), gate_(settings),
      client_(executor, backend, backend_limits(), backend_connect_timeout)
{
}

void gate_service::backend_changed()
{
    gate_.set_slots(monitor_.slots());
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
    auto answer = co_await client_.send(
        std::move(request), clock::now() + health_timeout);
    if (!answer) {
        log(log_level::info, "health_not_answered",
            {{"error", to_string(answer.error())}});
        co_return std::nullopt;
    }
    const auto health =
        format_.read_health(answer.value().status, answer.value().headers);
    constexpr std::size_t max_health_bytes = 64 * 1024;
    // The connection can only be reused once the body has been read.
    const auto body =
        co_await read_body(std::move(answer.value().body), max_health_bytes);
    log(log_level::info, "health_answered",
        {{"status", answer.value().status},
         {"usable", health.has_value()},
         {"whole", body.has_value()}});
    co_return health;
}

gate_load gate_service::load() const
{
    return {gate_.running() + gate_.waiting(), gate_.limit()};
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
         {"backend", monitor_.id()},
         {"running", gate_.running()},
         {"waiting", gate_.waiting()},
         {"limit", gate_.limit()},
         {"is_call", context.is_call},
         {"priority", context.priority},
         {"waited_ms", context.waited.count()},
         {"detail", detail}});
    auto answer = encode_node_answer(refusal);
    write_load(answer.headers, load());
    return answer;
}

std::optional<node_answer>
gate_service::check_backend(const call_context& context) const
{
    if (monitor_.state(clock::now()) != backend_state::ready)
        return node_answer{node_refusal::draining, true, false, std::nullopt};
    if (monitor_.id() != context.backend_id)
        return node_answer{
            node_refusal::other_backend, true, false, std::nullopt};
    return std::nullopt;
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
        gate_.expected_wait(context.is_call, context.priority));
}

awaitable<std::optional<node_answer>>
gate_service::wait_for_slot(const call_context& context, cancel_event canceled)
{
    const auto id = next_id_++;
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
            gate_.next_expiry().value_or(context.deadline));
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
    const auto refused = co_await wait_for_slot(context, canceled);
    const auto waited = clock::now() - arrived_at;
    metrics_.observe_gate_wait(waited);
    if (!canceled.is_canceled())
        count_outcome(context, waited, refused.has_value());
    if (refused)
        co_return refuse(context, *refused);
    co_return co_await run(
        std::move(context), std::move(request), std::move(canceled));
}

node_answer gate_service::handle_send_error(const error& problem)
{
    node_answer answer{node_refusal::broken, false, true, std::nullopt};
    if (problem.code == errc::connection_failed) {
        monitor_.record_connection_refused();
        answer = {node_refusal::no_backend, true, false, std::nullopt};
    } else if (problem.code == errc::timeout) {
        answer.reason = node_refusal::timeout;
    } else if (problem.code == errc::canceled) {
        answer.reason = node_refusal::canceled;
    } else if (problem.code == errc::malformed) {
        answer.reason = node_refusal::bad_answer;
    }
    return answer;
}

streamed_response gate_service::accept_answer(
    const call_context& context, streamed_response answer,
    std::shared_ptr<slot> held)
{
    const auto facts =
        format_.take_backend_facts(answer.status, answer.headers);
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
        [held = std::move(held)](bool is_complete) {
            if (is_complete)
                held->mark_served();
        });
    return answer;
}

awaitable<streamed_response> gate_service::run(
    call_context context, streamed_request request, cancel_event canceled)
{
    const auto held = std::make_shared<slot>(shared_from_this());
    costs_.count_run();
    // The backend server may have changed while the request waited.
    if (const auto refusal = check_backend(context))
        co_return refuse(context, *refusal);
    const auto now = clock::now();
    const auto left =
        std::chrono::duration_cast<milliseconds>(context.deadline - now);
    if (left.count() <= 0 || canceled.is_canceled()) {
        co_return refuse(
            context, {node_refusal::too_late, true, false, std::nullopt});
    }
    format_.add_backend_fields(
        request.headers,
        {left, context.backend_id, context.account, context.caller_service});
    const auto belongs =
        [this, id = context.request_id](const header_fields& fields) {
            return format_.request_id(fields) == id;
        };
    auto answer = co_await run_cancelable(
        client_.send(std::move(request), context.deadline, belongs), canceled,
        "backend.send");
    if (!answer)
        co_return refuse(
            context, handle_send_error(answer.error()),
            to_string(answer.error()));
    metrics_.observe_backend_time(clock::now() - now);
    co_return accept_answer(context, std::move(answer.value()), held);
}

} // namespace fulmarjunction
