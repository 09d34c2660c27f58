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

/// Backend servers close idle connections after this time unless they say
/// otherwise.
constexpr seconds backend_idle_time(8);
constexpr milliseconds backend_connect_timeout(500);
/// A question about health waits for a slot like any other request; after this
/// time the first heartbeat is near.
constexpr milliseconds health_timeout(500);

/// Statuses by which a request counts as not run.
constexpr std::array promising_statuses = {408, 421, 429, 503};

/// Part of the time left at its arrival after which a request that waits for
/// a slot counts as delayed.
constexpr double long_wait_share = 0.1;

constexpr int first_server_error = 500;

/// Shortest time after which a refused caller is asked to come again.
constexpr milliseconds shortest_return(200);

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

bool is_promising(int status)
{
    return std::find(
               promising_statuses.begin(), promising_statuses.end(), status) !=
           promising_statuses.end();
}

http_limits backend_limits()
{
    http_limits limits;
    limits.keep_alive_timeout = backend_idle_time;
    limits.max_header_bytes = 64 * 1024;
    return limits;
}

} // namespace

/// A request that waits for a slot.
struct gate_service::waiter
{
    explicit waiter(const asio::any_io_executor& executor) : signal(executor) {}

    asio::steady_timer signal;
    bool is_decided = false;
    bool may_run = false;
};

/// Holds a slot until the answer has been passed on.
class gate_service::slot
{
public:
    explicit slot(std::shared_ptr<gate_service> owner)
        : owner_(std::move(owner)), since_(clock::now())
    {
    }
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;
    ~slot()
    {
        const auto held = clock::now() - since_;
        owner_->gate_.finish(
            is_served_ ? std::optional<duration>(held) : std::nullopt);
        owner_->advance();
    }

    void served() { is_served_ = true; }

private:
    std::shared_ptr<gate_service> owner_;
    time_point since_;
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
gate_service::ask_health(std::string path)
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
    // The body is read so that the connection can be used again.
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
    const call_context& context, const node_answer& why,
    const std::string& detail) const
{
    log(log_level::info, "gate_refused",
        {{"request", context.request_id},
         {"route", context.route_name},
         {"reason", to_string(why.reason)},
         {"not_run", why.not_run},
         {"backend", monitor_.id()},
         {"running", gate_.running()},
         {"waiting", gate_.waiting()},
         {"limit", gate_.limit()},
         {"is_call", context.is_call},
         {"priority", context.priority},
         {"waited_ms", context.waited.count()},
         {"detail", detail}});
    auto answer = hop_answer(why);
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
    const auto due = gate_.advance(clock::now());
    const auto decide = [this](std::uint64_t id, bool may_run) {
        const auto found = waiters_.find(id);
        if (found == waiters_.end())
            return;
        found->second->is_decided = true;
        found->second->may_run = may_run;
        found->second->signal.cancel();
        waiters_.erase(found);
    };
    for (const auto id : due.start)
        decide(id, true);
    for (const auto id : due.refuse)
        decide(id, false);
}

duration gate_service::come_back_in(const call_context& context) const
{
    return std::max<duration>(
        shortest_return,
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
        node_refusal::overloaded, true, false, come_back_in(context)};
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

void gate_service::call_was_refused(const service_name& at)
{
    refused_calls_.record(at, clock::now());
}

void gate_service::count_fate(
    const call_context& context, duration waited, bool was_refused)
{
    const auto left = to_seconds(context.deadline - clock::now() + waited);
    auto fate = gate_outcome::in_time;
    if (was_refused)
        fate = gate_outcome::refused;
    else if (to_seconds(waited) > left * long_wait_share)
        fate = gate_outcome::delayed;
    pressure_.count(context.is_call, fate);
}

awaitable<streamed_response> gate_service::serve(
    call_context context, streamed_request request, cancel_event canceled)
{
    if (const auto why = check_backend(context))
        co_return refuse(context, *why);
    const auto arrived_at = clock::now();
    const auto refused = co_await wait_for_slot(context, canceled);
    const auto waited = clock::now() - arrived_at;
    metrics_.waited_at_gate(waited);
    if (!canceled.is_canceled())
        count_fate(context, waited, refused.has_value());
    if (refused)
        co_return refuse(context, *refused);
    co_return co_await run(
        std::move(context), std::move(request), std::move(canceled));
}

node_answer gate_service::send_failed(const error& problem)
{
    node_answer why{node_refusal::broken, false, true, std::nullopt};
    if (problem.code == errc::connection_failed) {
        monitor_.refused_connection();
        why = {node_refusal::no_backend, true, false, std::nullopt};
    } else if (problem.code == errc::timeout) {
        why.reason = node_refusal::timeout;
    } else if (problem.code == errc::canceled) {
        why.reason = node_refusal::canceled;
    } else if (problem.code == errc::malformed) {
        why.reason = node_refusal::bad_answer;
    }
    return why;
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
        return refuse(context, {reason, true, true, come_back_in(context)});
    }
    const bool is_unproven = is_success(answer.status) && !facts.is_sealed;
    if (is_unproven || is_promising(answer.status))
        return refuse(
            context, {node_refusal::bad_answer, false, true, std::nullopt});
    write_load(answer.headers, load());
    if (answer.status >= first_server_error)
        write_refused_below(
            answer.headers, refused_calls_.service(clock::now()));
    answer.body = with_end_hook(
        std::move(answer.body), [held = std::move(held)](bool is_complete) {
            if (is_complete)
                held->served();
        });
    return answer;
}

awaitable<streamed_response> gate_service::run(
    call_context context, streamed_request request, cancel_event canceled)
{
    const auto held = std::make_shared<slot>(shared_from_this());
    costs_.count_run();
    // The backend server may have changed while the request waited.
    if (const auto why = check_backend(context))
        co_return refuse(context, *why);
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
            context, send_failed(answer.error()), to_string(answer.error()));
    metrics_.ran_at_backend(clock::now() - now);
    co_return accept_answer(context, std::move(answer.value()), held);
}

} // namespace fulmarjunction
