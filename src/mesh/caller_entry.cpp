#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/mesh/caller_entry.hpp>
#include <fulmarjunction/serving/context_codec.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// Maximum wait for a token of an account that is at its rate limit, so that a
/// request that arrives slightly early is delayed and not refused.
constexpr milliseconds max_token_wait(120);
constexpr unsigned max_token_requests = 3;

/// Limits of the large bodies that are held whole, so that a request can be
/// told from one that begins alike and has crashed a backend server.
constexpr unsigned max_large_suspects = 4;
constexpr std::size_t max_suspect_body_bytes = 4 * 1024 * 1024;

constexpr milliseconds starting_retry_after(500);
constexpr milliseconds unconfirmed_retry_after(1000);
constexpr milliseconds no_ledger_retry_after(300);
constexpr milliseconds min_rate_retry_after(200);
constexpr milliseconds stopping_retry_after(500);

/// Retry delay for a request that was shed because a downstream service is
/// overloaded. The delay gives the nodes time to observe the effect of the
/// refusals, and the jitter keeps the retries from arriving all at once.
constexpr milliseconds shed_retry_after(1000);
constexpr milliseconds shed_retry_jitter(1000);

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_too_large = 413;
constexpr int status_too_many = 429;
constexpr int status_head_too_large = 431;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

node_answer make_refusal(
    node_refusal reason, std::optional<duration> retry_after = std::nullopt)
{
    return {reason, true, false, retry_after};
}

/// Returns the age of the last confirmation of the configuration, or -1 if
/// there is none.
std::int64_t config_age_ms(const config_copy& config)
{
    const auto age = config.age(suspended_clock_now());
    return age ? to_milliseconds(*age) : -1;
}

} // namespace

int caller_status(const node_answer& answer)
{
    switch (answer.reason) {
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
        // The route's time limit may be shorter than the caller's. A caller
        // that knows that its request has not run can retry it in time.
        return answer.not_run ? status_unavailable : status_timeout;
    default:
        return answer.not_run ? status_unavailable : status_bad_gateway;
    }
}

caller_entry::caller_entry(asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), deps_(std::move(deps))
{
}

streamed_response caller_entry::refuse(
    const node_answer& refusal, const std::string& request_id,
    const std::string& route_name)
{
    deps_.metrics->count_refusal(route_name, refusal.reason);
    streamed_response answer;
    answer.status = caller_status(refusal);
    answer.headers = deps_.format->node_answer_fields(
        request_id, refusal.not_run ? refusal.retry_after : std::nullopt);
    answer.content_length = 0;
    answer.body = empty_body();
    log(log_level::info, "refused",
        {{"request", request_id},
         {"route", route_name},
         {"status", answer.status},
         {"reason", to_string(refusal.reason)},
         {"not_run", refusal.not_run},
         {"retry_after_ms",
          refusal.retry_after ? to_milliseconds(*refusal.retry_after) : -1},
         {"config", deps_.config->version()},
         {"config_age_ms", config_age_ms(*deps_.config)}});
    return answer;
}

streamed_response caller_entry::refuse_malformed(int status)
{
    auto reason = node_refusal::bad_request;
    if (status == status_head_too_large)
        reason = node_refusal::head_too_large;
    else if (status == status_too_large)
        reason = node_refusal::body_too_large;
    return refuse(make_refusal(reason), "", "");
}

std::variant<caller_entry::admitted, node_answer> caller_entry::admit(
    const streamed_request& message, const caller_claims& claims) const
{
    admitted request;
    request.config = deps_.config->current();
    if (!request.config)
        return make_refusal(
            node_refusal::no_configuration, starting_retry_after);
    const auto host = find_header(message.headers, "host").value_or("");
    request.matched_route = request.config->find_route(host, message.target);
    if (request.matched_route == nullptr)
        return make_refusal(node_refusal::no_route);
    if (request.matched_route->is_public || !request.config->has_accounts())
        return request;
    if (!deps_.config->is_confirmed(suspended_clock_now())) {
        return make_refusal(
            node_refusal::unconfirmed_configuration, unconfirmed_retry_after);
    }
    if (!claims.key)
        return make_refusal(node_refusal::key_missing);
    request.plan = request.config->find_account(*claims.key);
    if (request.plan == nullptr)
        return make_refusal(node_refusal::key_unknown);
    return request;
}

awaitable<std::optional<node_answer>>
caller_entry::charge(account_plan plan, time_point deadline)
{
    if (plan.rate <= 0)
        co_return std::nullopt;
    auto now = clock::now();
    if (deps_.tokens->use(plan.name, now))
        co_return std::nullopt;
    const auto wait_limit = now + max_token_wait;
    token_answer received;
    for (unsigned requests = 0; requests < max_token_requests; ++requests) {
        received = co_await deps_.link->take_tokens(
            plan, deps_.tokens->batch_size(plan.name, now), deadline);
        now = clock::now();
        if (received.has_grant && received.grant.tokens > 0) {
            deps_.tokens->add(plan.name, received.grant.tokens - 1, now);
            co_return std::nullopt;
        }
        if (now >= deadline)
            break;
        if (!received.has_grant)
            continue;
        if (now + received.grant.next_token_in > wait_limit)
            break;
        asio::steady_timer timer(executor_, received.grant.next_token_in);
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (!received.has_grant)
        co_return make_refusal(node_refusal::no_ledger, no_ledger_retry_after);
    co_return make_refusal(
        node_refusal::over_rate,
        std::max<duration>(received.grant.next_token_in, min_rate_retry_after));
}

unsigned caller_entry::priority_of(const admitted& request)
{
    const auto account_priority =
        request.plan == nullptr ? std::nullopt : request.plan->priority;
    return rank_of(account_priority, request.matched_route->priority);
}

/// Refuses a root request when downstream services are overloaded. Calls are
/// never shed here, since they belong to requests that are already running.
std::optional<node_answer> caller_entry::shed(const admitted& request)
{
    if (request.plan == nullptr ||
        !deps_.shedding->should_refuse(
            request.matched_route->name, priority_of(request), clock::now()))
        return std::nullopt;
    const auto jitter = static_cast<std::int64_t>(
        deps_.random() % static_cast<std::uint64_t>(shed_retry_jitter.count()));
    return make_refusal(
        node_refusal::overloaded_below,
        shed_retry_after + milliseconds(jitter));
}

awaitable<result<request_body>> caller_entry::read_request_body(
    streamed_request& message, std::size_t limit, time_point deadline)
{
    if (message.content_length && *message.content_length > limit)
        co_return fail(errc::too_large, "read request");
    if (message.content_length == std::uint64_t{0})
        co_return request_body{};
    co_return co_await run_with_deadline(
        buffer_request_body(std::move(message.body)), executor_, deadline,
        "read request");
}

node_answer caller_entry::make_body_refusal(const error& problem)
{
    if (problem.code == errc::too_large)
        return make_refusal(node_refusal::body_too_large);
    if (problem.code == errc::timeout)
        return make_refusal(node_refusal::too_late);
    return make_refusal(node_refusal::bad_request);
}

awaitable<forward_result> caller_entry::serve(
    admitted request, http_request incoming, caller_claims claims)
{
    const auto& matched_route = *request.matched_route;
    const auto limit = std::min(
        matched_route.timeout, claims.time_limit.value_or(milliseconds::max()));
    const auto arrived_at = clock::now();
    const auto deadline = arrived_at + limit;
    if (deadline > stops_at_)
        co_return make_refusal(node_refusal::stopping, stopping_retry_after);
    // A node that is short of processor time reads requests late.
    if (incoming.has_caller_left())
        co_return make_refusal(node_refusal::canceled);
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
        incoming.message, request.config->limits().max_body_bytes, deadline);
    if (!body)
        co_return make_body_refusal(body.error());
    auto outgoing = make_outgoing(request, incoming, std::move(body.value()));
    outgoing.context.request_id = std::move(claims.request_id);
    outgoing.context.deadline = deadline;
    outgoing.arrived_at = arrived_at;
    const bool is_large_suspect =
        !outgoing.body.is_whole && large_suspects_ < max_large_suspects &&
        deps_.suspects->has_crashes(outgoing.context.print, clock::now());
    if (!is_large_suspect)
        co_return co_await forward(std::move(outgoing), canceled);
    ++large_suspects_;
    struct count_guard
    {
        unsigned& count;
        ~count_guard() { --count; }
    } const guard{large_suspects_};
    const auto read = co_await read_suspect(
        outgoing, request.config->limits().max_body_bytes);
    if (!read)
        co_return make_body_refusal(read.error());
    co_return co_await forward(std::move(outgoing), canceled);
}

/// Reads the body of a request to its end, unless it is very large: others that
/// begin alike have crashed backend servers.
awaitable<result<void>>
caller_entry::read_suspect(outgoing_request& outgoing, std::size_t body_limit)
{
    auto body = co_await run_with_deadline(
        continue_buffering(
            std::move(outgoing.body),
            std::min(body_limit, max_suspect_body_bytes)),
        executor_, outgoing.context.deadline, "read request");
    if (!body)
        co_return body.error();
    outgoing.body = std::move(body.value());
    identify(outgoing);
    co_return boost::outcome_v2::success();
}

/// Computes the fingerprint from what has been read of the body. The same
/// content may crash a backend server whoever sends it, also after the route
/// has been renamed.
void caller_entry::identify(outgoing_request& outgoing)
{
    const auto host = find_header(outgoing.headers, "host").value_or("");
    outgoing.context.print =
        fingerprint_of({}, std::string(host), outgoing.target, outgoing.body);
}

outgoing_request caller_entry::make_outgoing(
    const admitted& request, http_request& incoming, request_body body)
{
    const auto& matched_route = *request.matched_route;
    outgoing_request outgoing;
    outgoing.context.route_name = matched_route.name;
    outgoing.context.kind = matched_route.kind;
    outgoing.context.is_call = request.plan == nullptr;
    outgoing.context.priority = priority_of(request);
    outgoing.context.objective = matched_route.objective;
    outgoing.context.caller_service = deps_.own_service;
    if (request.plan != nullptr)
        outgoing.context.account = request.plan->name;
    outgoing.service = deps_.splits->choose(matched_route);
    if (outgoing.context.is_call)
        deps_.count_call(outgoing.service);
    outgoing.attempts = matched_route.attempts;
    outgoing.method = std::move(incoming.message.method);
    outgoing.target = std::move(incoming.message.target);
    outgoing.headers = std::move(incoming.message.headers);
    outgoing.content_length = incoming.message.content_length;
    outgoing.body = std::move(body);
    identify(outgoing);
    return outgoing;
}

awaitable<forward_result>
caller_entry::forward(outgoing_request outgoing, cancel_event canceled)
{
    struct registration
    {
        std::map<std::uint64_t, cancel_event>& all;
        std::uint64_t number;
        ~registration() { all.erase(number); }
    } const registered{forwarded_, next_forwarded_++};
    forwarded_.emplace(registered.number, canceled);
    const auto request_id = outgoing.context.request_id;
    auto served = co_await deps_.request_forwarder->forward(
        std::move(outgoing), canceled);
    if (auto* answer = std::get_if<streamed_response>(&served))
        log_cut_answer(*answer, request_id, canceled);
    else if (auto& refusal = std::get<node_answer>(served);
             is_breaking_off_ && refusal.reason == node_refusal::canceled)
        refusal.reason = node_refusal::stopping;
    co_return std::move(served);
}

void caller_entry::break_off_requests()
{
    is_breaking_off_ = true;
    // A canceled request removes itself.
    const auto running = forwarded_;
    for (const auto& [number, canceled] : running)
        canceled.cancel();
}

/// Logs when the body of an answer can't be passed on to its end. Its head has
/// been logged as the answer.
void caller_entry::log_cut_answer(
    streamed_response& answer, std::string request_id, cancel_event canceled)
{
    if (answer.content_length == std::uint64_t{0})
        return;
    answer.body = with_error_hook(
        std::move(answer.body),
        [id = std::move(request_id), canceled](const error& problem) {
            if (!canceled.is_canceled())
                log(log_level::info, "answer_cut",
                    {{"request", id}, {"error", to_string(problem)}});
        });
}

awaitable<streamed_response> caller_entry::handle(http_request request)
{
    // A caller must not be able to set a part of the context.
    strip_internal_fields(request.message.headers);
    auto claims = deps_.format->take_claims(request.message.headers);
    const auto id = claims.request_id;
    const auto found = admit(request.message, claims);
    if (const auto* refusal = std::get_if<node_answer>(&found))
        co_return refuse(*refusal, id, "");
    const auto& accepted = std::get<admitted>(found);
    const auto route_name = accepted.matched_route->name;
    const auto objective = accepted.matched_route->objective;
    const auto arrived_at = clock::now();
    auto served =
        co_await serve(accepted, std::move(request), std::move(claims));
    if (const auto* refusal = std::get_if<node_answer>(&served))
        co_return refuse(*refusal, id, route_name);
    auto& answer = std::get<streamed_response>(served);
    const auto took = clock::now() - arrived_at;
    deps_.metrics->count_answer(route_name, answer.status, took);
    log(log_level::info, took > objective ? "answered_late" : "answered",
        {{"request", id},
         {"route", route_name},
         {"status", answer.status},
         {"ms", to_milliseconds(took)},
         {"config", deps_.config->version()}});
    co_return std::move(answer);
}

} // namespace fulmarjunction
