#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/serving/egress.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace fulmarjunction {

namespace json = boost::json;

namespace {

constexpr std::size_t max_announcement_bytes = 4096;
constexpr std::int64_t max_slots = 100'000;

refusal not_run(refusal_reason reason)
{
    return {outcome::not_run, reason, 0};
}

auto bad_announcement(std::string field)
{
    return fail(errc::malformed, "read announcement", {}, std::move(field));
}

} // namespace

result<backend_report> parse_announcement(std::string_view text)
{
    boost::system::error_code problem;
    const auto document = json::parse(text, problem);
    const auto* fields = problem ? nullptr : document.if_object();
    if (fields == nullptr)
        return bad_announcement("document");
    const auto* service = fields->if_contains("service");
    if (service == nullptr || !service->is_string() ||
        service->get_string().empty())
        return bad_announcement("service");
    const auto* address = fields->if_contains("address");
    if (address == nullptr || !address->is_string())
        return bad_announcement("address");
    const auto* slots = fields->if_contains("slots");
    if (slots == nullptr || !slots->is_int64() || slots->get_int64() < 1 ||
        slots->get_int64() > max_slots)
        return bad_announcement("slots");
    backend_report announcement;
    announcement.service = std::string(service->get_string());
    const auto parsed_address = parse_address(address->get_string());
    if (!parsed_address || parsed_address->port() == 0)
        return bad_announcement("address");
    announcement.address = *parsed_address;
    announcement.slots = static_cast<std::size_t>(slots->get_int64());
    if (const auto* load = fields->if_contains("load")) {
        if (!load->is_number())
            return bad_announcement("load");
        announcement.load = std::clamp(load->to_number<double>(), 0.0, 1.0);
    }
    if (const auto* draining = fields->if_contains("draining")) {
        if (!draining->is_bool())
            return bad_announcement("draining");
        announcement.draining = draining->get_bool();
    }
    return announcement;
}

egress::egress(const boost::asio::any_io_executor& executor, dependencies deps)
    : executor_(executor), dependencies_(std::move(deps))
{
}

awaitable<streamed_response> egress::handle(http_request request)
{
    const auto path = path_of(request.message.target);
    const bool is_post = request.message.method == "POST";
    if (is_post && path == "/fulmar/announce")
        co_return co_await announce(std::move(request.message.body));
    const auto token = find_header(request.message.headers, "fulmar-parent");
    auto parent = token ? dependencies_.gate->running().find(*token) : nullptr;
    if (!parent) {
        // The account is taken from the parent only, so a call without a
        // parent has no account to run for.
        const auto details = not_run(refusal_reason::unknown_parent);
        counters_.count(details);
        co_return caller_refusal(details, "");
    }
    if (is_post && path == "/fulmar/idempotency-keys") {
        co_return co_await answer_key_request(
            std::move(request.message.body), parent->context.account,
            dependencies_.issue_keys);
    }
    co_return co_await call_child(std::move(request), std::move(parent));
}

awaitable<streamed_response> egress::announce(body_reader body)
{
    const auto text =
        co_await read_body(std::move(body), max_announcement_bytes);
    const auto announcement = text ? parse_announcement(text.value())
                                   : result<backend_report>(text.error());
    if (!announcement)
        co_return caller_refusal(not_run(refusal_reason::malformed), "");
    dependencies_.gate->record_announcement(announcement.value());
    streamed_response answer;
    answer.status = 204;
    answer.body = empty_body();
    co_return answer;
}

awaitable<streamed_response> egress::call_child(
    http_request request, std::shared_ptr<running_request> parent)
{
    const auto id = to_string(parent->context.root);
    const auto* endpoint = dependencies_.config->find_endpoint(
        request.message.method, request.message.target);
    if (endpoint == nullptr) {
        const auto details = not_run(refusal_reason::endpoint_unknown);
        counters_.count(details);
        co_return caller_refusal(details, id);
    }
    const auto definition = *endpoint;
    dependencies_.gate->call_started(parent->id);
    auto answer = co_await run(definition, std::move(request), parent);
    dependencies_.gate->call_ended(parent->id);
    const bool is_overloaded =
        !answer.response &&
        answer.refusal_details.reason == refusal_reason::overloaded;
    auto& downstream = parent->downstream;
    downstream.refused =
        downstream.refused || is_overloaded || answer.downstream.refused;
    const service_level local_level{definition.service, answer.level};
    for (const auto& observed : {local_level, answer.downstream.level}) {
        if (observed.level > downstream.level.level)
            downstream.level = observed;
    }
    counters_.count(answer.failure());
    if (!answer.response)
        co_return caller_refusal(answer.refusal_details, id);
    auto response = std::move(*answer.response);
    strip_internal_fields(response.headers);
    response.headers.push_back(
        {"fulmar-outcome", std::string(to_string(outcome::answered))});
    co_return response;
}

awaitable<call_answer> egress::run(
    const endpoint_definition& endpoint, http_request request,
    std::shared_ptr<running_request> parent)
{
    auto& message = request.message;
    auto body = co_await buffer_request_body(std::move(message.body));
    if (!body)
        co_return not_run(refusal_reason::malformed);
    outgoing_call call;
    // Account, root, importance and weight are copied from the parent in this
    // node's memory, so that a backend server cannot use another account.
    call.context = parent->context;
    call.context.endpoint = endpoint.name;
    call.context.service = endpoint.service;
    call.context.kind = endpoint.kind;
    call.context.deadline =
        std::min(parent->context.deadline, clock::now() + endpoint.timeout);
    auto& context = call.context;
    const auto local_level =
        dependencies_.gate->downstream_level(parent->context);
    if (local_level.level > context.applied_below) {
        context.applied_below = local_level.level;
        context.applied_below_service = local_level.service;
    }
    const bool is_for_callee =
        context.applied_below_service == endpoint.service;
    context.applied_level = is_for_callee ? context.applied_below : 0;
    ++call.context.depth;
    call.context.invested = true;
    call.context.idempotency_key.clear();
    if (endpoint.kind == execution::unique) {
        const auto key = find_header(message.headers, "idempotency-key");
        if (!key)
            co_return not_run(refusal_reason::idempotency_key_required);
        call.context.idempotency_key = std::string(*key);
    }
    call.method = std::move(message.method);
    call.target = std::move(message.target);
    call.headers = std::move(message.headers);
    strip_reserved_fields(call.headers);
    call.content_length = message.content_length;
    call.body = std::move(body.value());

    const cancel_event canceled(executor_);
    request.on_cancel([canceled] { canceled.cancel(); });
    parent->canceled.on_cancel([canceled] { canceled.cancel(); });
    // Retries of this call are charged to the parent's budget.
    if (endpoint.kind == execution::unique) {
        co_return co_await dependencies_.run_unique(
            std::move(call), parent->budget, canceled);
    }
    co_return co_await dependencies_.calls->call(
        std::move(call), parent->budget, canceled);
}

} // namespace fulmarjunction
