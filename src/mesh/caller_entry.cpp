#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/mesh/caller_entry.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// Longest wait for a token of an account that is at its rate: a request
/// that comes a moment early is not refused.
constexpr milliseconds token_patience(120);
constexpr unsigned max_token_asks = 3;

constexpr milliseconds return_when_starting(500);
constexpr milliseconds return_when_unconfirmed(1000);
constexpr milliseconds return_without_ledger(300);
constexpr milliseconds shortest_rate_return(200);

/// When a request may come again that a service further down has no room
/// for: not all at once, and not before the nodes have seen what the refusals
/// changed.
constexpr milliseconds return_when_shed(1000);
constexpr milliseconds return_spread(1000);

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_too_large = 413;
constexpr int status_too_many = 429;
constexpr int status_head_too_large = 431;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

node_answer
not_run(node_refusal reason, std::optional<duration> retry_after = std::nullopt)
{
    return {reason, true, false, retry_after};
}

/// Returns the age of the last confirmation; -1 when there is none.
std::int64_t config_age_ms(const config_copy& config)
{
    const auto age = config.age(suspended_clock_now());
    return age ? to_milliseconds(*age) : -1;
}

} // namespace

int caller_status(const node_answer& why)
{
    switch (why.reason) {
    case node_refusal::bad_request:
        return status_bad_request;
    case node_refusal::key_missing:
    case node_refusal::key_unknown:
        return status_unauthorized;
    case node_refusal::no_route:
        return status_not_found;
    case node_refusal::body_too_large:
        return status_too_large;
    case node_refusal::head_too_large:
        return status_head_too_large;
    case node_refusal::over_rate:
        return status_too_many;
    case node_refusal::timeout:
    case node_refusal::too_late:
        // The route's time may be up before the caller's: one that knows
        // that its request has not run can send it again.
        return why.not_run ? status_unavailable : status_timeout;
    default:
        return why.not_run ? status_unavailable : status_bad_gateway;
    }
}

caller_entry::caller_entry(asio::any_io_executor executor, parts wiring)
    : executor_(std::move(executor)), parts_(std::move(wiring))
{
}

streamed_response caller_entry::refuse(
    const node_answer& why, const std::string& request_id,
    const std::string& route_name)
{
    parts_.metrics->refused(route_name, why.reason);
    streamed_response answer;
    answer.status = caller_status(why);
    answer.headers = parts_.format->node_answer_fields(
        request_id, why.not_run ? why.retry_after : std::nullopt);
    answer.content_length = 0;
    answer.body = empty_body();
    log(log_level::info, "refused",
        {{"request", request_id},
         {"route", route_name},
         {"status", answer.status},
         {"reason", to_string(why.reason)},
         {"not_run", why.not_run},
         {"retry_after_ms",
          why.retry_after ? to_milliseconds(*why.retry_after) : -1},
         {"config", parts_.config->version()},
         {"config_age_ms", config_age_ms(*parts_.config)}});
    return answer;
}

streamed_response caller_entry::refuse_malformed(int status)
{
    auto reason = node_refusal::bad_request;
    if (status == status_head_too_large)
        reason = node_refusal::head_too_large;
    else if (status == status_too_large)
        reason = node_refusal::body_too_large;
    return refuse(not_run(reason), "", "");
}

std::variant<caller_entry::admitted, node_answer> caller_entry::admit(
    const streamed_request& message, const caller_claims& claims) const
{
    admitted request;
    request.config = parts_.config->current();
    if (!request.config)
        return not_run(node_refusal::no_configuration, return_when_starting);
    const auto host = find_header(message.headers, "host").value_or("");
    request.where = request.config->find_route(host, message.target);
    if (request.where == nullptr)
        return not_run(node_refusal::no_route);
    if (request.where->is_public || !request.config->has_accounts())
        return request;
    if (!parts_.config->is_confirmed(suspended_clock_now())) {
        return not_run(
            node_refusal::unconfirmed_configuration, return_when_unconfirmed);
    }
    if (!claims.key)
        return not_run(node_refusal::key_missing);
    request.plan = request.config->find_account(*claims.key);
    if (request.plan == nullptr)
        return not_run(node_refusal::key_unknown);
    return request;
}

awaitable<std::optional<node_answer>>
caller_entry::charge(account_plan plan, time_point deadline)
{
    if (plan.rate <= 0)
        co_return std::nullopt;
    auto now = clock::now();
    if (parts_.wallet->use(plan.name, now))
        co_return std::nullopt;
    const auto patience = now + token_patience;
    token_answer got;
    for (unsigned asked = 0; asked < max_token_asks; ++asked) {
        got = co_await parts_.fleet->take_tokens(
            plan, parts_.wallet->batch_size(plan.name, now), deadline);
        now = clock::now();
        if (got.is_known && got.grant.tokens > 0) {
            parts_.wallet->add(plan.name, got.grant.tokens - 1, now);
            co_return std::nullopt;
        }
        if (now >= deadline)
            break;
        if (!got.is_known)
            continue;
        if (now + got.grant.next_token_in > patience)
            break;
        asio::steady_timer timer(executor_, got.grant.next_token_in);
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (!got.is_known)
        co_return not_run(node_refusal::no_ledger, return_without_ledger);
    co_return not_run(
        node_refusal::over_rate,
        std::max<duration>(got.grant.next_token_in, shortest_rate_return));
}

unsigned caller_entry::priority_of(const admitted& request)
{
    const auto account_priority =
        request.plan == nullptr ? std::nullopt : request.plan->priority;
    return rank_of(account_priority, request.where->priority);
}

/// Refuses a request of a client that services further down have no room
/// for; calls belong to requests that have begun.
std::optional<node_answer> caller_entry::shed(const admitted& request)
{
    if (request.plan == nullptr ||
        !parts_.shedding->should_refuse(
            request.where->name, priority_of(request), clock::now()))
        return std::nullopt;
    const auto spread = static_cast<std::int64_t>(
        parts_.random() % static_cast<std::uint64_t>(return_spread.count()));
    return not_run(
        node_refusal::overloaded_below,
        return_when_shed + milliseconds(spread));
}

awaitable<result<request_body>>
caller_entry::read_request_body(streamed_request& message, std::size_t limit)
{
    if (message.content_length && *message.content_length > limit)
        co_return fail(errc::too_large, "read request");
    if (message.content_length == std::uint64_t{0})
        co_return request_body{};
    co_return co_await buffer_request_body(std::move(message.body));
}

awaitable<forward_result> caller_entry::serve(
    admitted request, http_request incoming, caller_claims claims)
{
    const auto& where = *request.where;
    const auto limit = std::min(
        where.timeout, claims.time_limit.value_or(milliseconds::max()));
    const auto arrived_at = clock::now();
    const auto deadline = arrived_at + limit;
    if (const auto refused = shed(request))
        co_return *refused;
    const cancel_event canceled(executor_);
    incoming.on_cancel([canceled] { canceled.cancel(); });
    if (request.plan != nullptr) {
        const auto refused = co_await charge(*request.plan, deadline);
        if (refused)
            co_return *refused;
    }
    auto body = co_await read_request_body(
        incoming.message, request.config->limits().max_body_bytes);
    if (!body) {
        co_return not_run(
            body.error().code == errc::too_large ? node_refusal::body_too_large
                                                 : node_refusal::bad_request);
    }
    forward_order order;
    order.context.request_id = std::move(claims.request_id);
    order.context.route_name = where.name;
    order.context.kind = where.kind;
    order.context.is_call = request.plan == nullptr;
    order.context.priority = priority_of(request);
    order.context.objective = where.objective;
    order.context.deadline = deadline;
    order.context.caller_service = parts_.own_service;
    if (request.plan != nullptr)
        order.context.account = request.plan->name;
    order.service = parts_.splits->choose(where);
    order.arrived_at = arrived_at;
    if (order.context.is_call)
        parts_.count_call(order.service);
    order.attempts = where.attempts;
    order.method = std::move(incoming.message.method);
    order.target = std::move(incoming.message.target);
    order.headers = std::move(incoming.message.headers);
    order.content_length = incoming.message.content_length;
    order.body = std::move(body.value());
    co_return co_await parts_.calls->forward(std::move(order), canceled);
}

awaitable<streamed_response> caller_entry::handle(http_request request)
{
    auto claims = parts_.format->take_claims(request.message.headers);
    const auto id = claims.request_id;
    const auto found = admit(request.message, claims);
    if (const auto* why = std::get_if<node_answer>(&found))
        co_return refuse(*why, id, "");
    const auto& accepted = std::get<admitted>(found);
    const auto route_name = accepted.where->name;
    const auto objective = accepted.where->objective;
    const auto arrived_at = clock::now();
    auto served =
        co_await serve(accepted, std::move(request), std::move(claims));
    if (const auto* why = std::get_if<node_answer>(&served))
        co_return refuse(*why, id, route_name);
    auto& answer = std::get<streamed_response>(served);
    const auto took = clock::now() - arrived_at;
    parts_.metrics->answered(route_name, answer.status, took);
    log(log_level::info, took > objective ? "answered_late" : "answered",
        {{"request", id},
         {"route", route_name},
         {"status", answer.status},
         {"ms", to_milliseconds(took)},
         {"config", parts_.config->version()}});
    co_return std::move(answer);
}

} // namespace fulmarjunction
