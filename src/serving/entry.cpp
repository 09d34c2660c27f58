#include <fulmarjunction/serving/entry.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace fulmarjunction {

namespace json = boost::json;

namespace {

constexpr std::string_view node_path_prefix = "/fulmar/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_key_request_bytes = 1024;
constexpr std::int64_t max_keys_at_once = 1000;

refusal not_run(refusal_reason reason, std::int64_t retry_after_ms = 0)
{
    return {outcome::not_run, reason, retry_after_ms};
}

/// Returns the text with %XX sequences decoded; invalid ones are kept.
std::string percent_decoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const char* const first = text.data() + i + 1;
            const auto parsed = std::from_chars(first, first + 2, value, 16);
            if (parsed.ec == std::errc() && parsed.ptr == first + 2) {
                decoded += static_cast<char>(value);
                i += 2;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

/// Returns whether the key occurs in the head outside the first Authorization
/// field, which is removed before the request is forwarded.
bool is_key_misplaced(const streamed_request& message, std::string_view key)
{
    if (key.empty())
        return false;
    if (percent_decoded(message.target).find(key) != std::string::npos)
        return true;
    std::size_t authorizations = 0;
    for (const auto& field : message.headers) {
        if (field.name == "authorization") {
            ++authorizations;
            continue;
        }
        if (percent_decoded(field.value).find(key) != std::string::npos ||
            field.name.find(key) != std::string::npos)
            return true;
    }
    return authorizations > 1;
}

/// Returns the caller's timeout, limited to the endpoint's timeout, or nothing
/// if the field is not a positive number.
std::optional<milliseconds>
effective_timeout(const header_fields& headers, milliseconds max_timeout)
{
    const auto text = find_header(headers, "fulmar-timeout-ms");
    if (!text)
        return max_timeout;
    std::int64_t value = 0;
    const auto parsed =
        std::from_chars(text->data(), text->data() + text->size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text->data() + text->size())
        return std::nullopt;
    if (value <= 0)
        return std::nullopt;
    return std::min(max_timeout, milliseconds(value));
}

} // namespace

void serving_counters::count(const std::optional<refusal>& details)
{
    if (details)
        ++refused[{details->outcome, details->reason}];
    else
        ++answered;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

streamed_response
caller_refusal(const refusal& details, const std::string& request_id)
{
    const json::object body{
        {"outcome", to_string(details.outcome)},
        {"reason", to_string(details.reason)},
        {"retry_after_ms", details.retry_after_ms},
        {"request_id", request_id},
    };
    auto text = json::serialize(body) + "\n";
    streamed_response answer;
    answer.status = http_status(details.reason);
    answer.headers = {
        {"content-type", "application/json"},
        {"fulmar-outcome", std::string(to_string(details.outcome))},
        {"fulmar-request-id", request_id},
    };
    if (details.retry_after_ms > 0) {
        const auto whole_seconds = (details.retry_after_ms + 999) / 1000;
        answer.headers.push_back(
            {"retry-after", std::to_string(whole_seconds)});
    }
    answer.content_length = text.size();
    answer.body = string_body(std::move(text));
    return answer;
}

awaitable<streamed_response> answer_key_request(
    body_reader body, client_account account,
    std::function<issued_keys(const client_account&, std::size_t)> issue)
{
    const auto text =
        co_await read_body(std::move(body), max_key_request_bytes);
    if (!text)
        co_return caller_refusal(not_run(refusal_reason::malformed), "");
    boost::system::error_code problem;
    const auto document = json::parse(text.value(), problem);
    const auto* fields = problem ? nullptr : document.if_object();
    const auto* count =
        fields != nullptr ? fields->if_contains("count") : nullptr;
    const auto* number = count != nullptr ? count->if_int64() : nullptr;
    if (number == nullptr || *number < 1 || *number > max_keys_at_once)
        co_return caller_refusal(not_run(refusal_reason::malformed), "");
    const auto issued = issue(account, static_cast<std::size_t>(*number));
    if (const auto* details = std::get_if<refusal>(&issued))
        co_return caller_refusal(*details, "");
    json::array keys;
    for (const auto& key : std::get<std::vector<std::string>>(issued))
        keys.emplace_back(key);
    auto answer_text =
        json::serialize(json::object{{"keys", std::move(keys)}}) + "\n";
    streamed_response answer;
    answer.status = 200;
    answer.headers = {{"content-type", "application/json"}};
    answer.content_length = answer_text.size();
    answer.body = string_body(std::move(answer_text));
    co_return answer;
}

entry::entry(const boost::asio::any_io_executor& executor, dependencies deps)
    : executor_(executor), dependencies_(std::move(deps))
{
}

awaitable<streamed_response> entry::handle(http_request request)
{
    if (path_of(request.message.target).starts_with(node_path_prefix))
        co_return co_await serve_node_path(std::move(request));
    const auto* endpoint = dependencies_.config->find_endpoint(
        request.message.method, request.message.target);
    if (endpoint == nullptr) {
        const auto details = not_run(refusal_reason::endpoint_unknown);
        counters_.count(details);
        co_return caller_refusal(details, to_string(random_root()));
    }
    // Copied because the configuration may change while the request runs.
    const auto definition = *endpoint;
    co_return co_await serve_endpoint(definition, std::move(request));
}

streamed_response entry::refuse_malformed(int status)
{
    auto reason = refusal_reason::malformed;
    if (status == http_status(refusal_reason::header_too_large))
        reason = refusal_reason::header_too_large;
    else if (status == http_status(refusal_reason::body_too_large))
        reason = refusal_reason::body_too_large;
    const auto details = not_run(reason);
    counters_.count(details);
    return caller_refusal(details, to_string(random_root()));
}

entry::identity_or_refusal entry::identify(const header_fields& headers) const
{
    const auto field = find_header(headers, "authorization");
    if (!field || !field->starts_with(bearer_prefix))
        return not_run(refusal_reason::key_missing);
    const auto text = field->substr(bearer_prefix.size());
    const auto id = parse_key_id(text);
    if (!id)
        return not_run(refusal_reason::key_unknown);
    const auto* record = dependencies_.config->find_key(*id);
    if (record == nullptr || !verify_key(text, *record, dependencies_.pepper))
        return not_run(refusal_reason::key_unknown);
    return caller_identity{record->account, std::string(text)};
}

std::optional<refusal> entry::check_access(
    const endpoint_definition& endpoint, const caller_identity& caller) const
{
    const auto* plan = dependencies_.config->find_plan(caller.account);
    if (plan == nullptr || !plan->endpoints.contains(endpoint.name))
        return not_run(refusal_reason::endpoint_not_in_plan);
    return std::nullopt;
}

std::optional<refusal> entry::recheck_access(
    const endpoint_definition& endpoint, const caller_identity& caller) const
{
    if (!dependencies_.hooks.is_fresh())
        return not_run(refusal_reason::stale_configuration, 1000);
    const auto* record =
        dependencies_.config->find_key(parse_key_id(caller.key).value_or(""));
    if (record == nullptr || record->account != caller.account)
        return not_run(refusal_reason::key_unknown);
    return check_access(endpoint, caller);
}

awaitable<std::variant<outgoing_call, refusal>> entry::prepare(
    const endpoint_definition& endpoint, const caller_identity& caller,
    streamed_request message)
{
    if (is_key_misplaced(message, caller.key))
        co_return not_run(refusal_reason::key_misplaced);
    const auto timeout = effective_timeout(message.headers, endpoint.timeout);
    if (!timeout)
        co_return not_run(refusal_reason::malformed);
    auto body = co_await buffer_request_body(
        guard_secret(std::move(message.body), caller.key));
    if (!body) {
        co_return not_run(
            body.error().code == errc::unauthorized
                ? refusal_reason::key_misplaced
                : refusal_reason::malformed);
    }
    const auto* plan = dependencies_.config->find_plan(caller.account);
    outgoing_call call;
    call.context.account = caller.account;
    call.context.endpoint = endpoint.name;
    call.context.service = endpoint.service;
    call.context.rank = endpoint.rank;
    call.context.kind = endpoint.kind;
    call.context.deadline = clock::now() + *timeout;
    call.context.root = random_root();
    call.context.weight = plan != nullptr ? plan->weight : 1.0;
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
    co_return call;
}

awaitable<streamed_response>
entry::serve_endpoint(const endpoint_definition& endpoint, http_request request)
{
    const auto refuse = [this](const refusal& details) {
        counters_.count(details);
        return caller_refusal(details, to_string(random_root()));
    };
    auto identity = identify(request.message.headers);
    if (endpoint.open) {
        // A key is optional here, but must not reach a backend server.
        if (std::holds_alternative<refusal>(identity))
            identity = caller_identity{};
        std::get<caller_identity>(identity).account.clear();
    }
    if (const auto* details = std::get_if<refusal>(&identity))
        co_return refuse(*details);
    const auto caller = std::get<caller_identity>(identity);
    if (!endpoint.open) {
        if (!dependencies_.hooks.is_fresh())
            co_return refuse(
                not_run(refusal_reason::stale_configuration, 1000));
        if (const auto details = check_access(endpoint, caller))
            co_return refuse(*details);
    }
    const cancel_event canceled(executor_);
    request.on_cancel([canceled] { canceled.cancel(); });
    auto prepared =
        co_await prepare(endpoint, caller, std::move(request.message));
    if (const auto* details = std::get_if<refusal>(&prepared))
        co_return refuse(*details);
    auto call = std::move(std::get<outgoing_call>(prepared));
    const auto id = to_string(call.context.root);
    if (!endpoint.open) {
        const auto details = co_await dependencies_.hooks.charge(
            caller.account, call.context.deadline);
        if (details) {
            counters_.count(details);
            co_return caller_refusal(*details, id);
        }
        // The key may have been withdrawn while the body was read or the
        // request waited for a token.
        const auto* record = dependencies_.config->find_key(
            parse_key_id(caller.key).value_or(""));
        if (record == nullptr || record->account != caller.account)
            co_return refuse(not_run(refusal_reason::key_unknown));
    }
    auto answer = co_await run(endpoint, std::move(call), canceled);
    co_return finish(std::move(answer), id);
}

awaitable<call_answer> entry::run(
    const endpoint_definition& endpoint, outgoing_call call,
    cancel_event canceled)
{
    const entry_root root{
        endpoint.name, call.context.account,
        priority_of(call.context.rank, call.context.root)};
    if (dependencies_.hooks.refuse_early) {
        if (const auto details = dependencies_.hooks.refuse_early(root))
            co_return *details;
    }
    if (dependencies_.hooks.downstream_level) {
        const auto applied = dependencies_.hooks.downstream_level(root);
        call.context.applied_below = applied.level;
        call.context.applied_below_service = applied.service;
    }
    retry_budget budget(dependencies_.extra_attempts);
    // g++ 12 miscompiles co_await inside a conditional expression.
    std::optional<call_answer> answer;
    if (endpoint.kind == execution::unique) {
        answer = co_await dependencies_.hooks.run_unique(
            std::move(call), budget, canceled);
    } else {
        answer = co_await dependencies_.calls->call(
            std::move(call), budget, canceled);
    }
    if (dependencies_.hooks.ended) {
        dependencies_.hooks.ended(root, answer->downstream);
    }
    co_return std::move(*answer);
}

streamed_response entry::finish(call_answer answer, const std::string& id)
{
    counters_.count(answer.failure());
    if (!answer.response)
        return caller_refusal(answer.refusal_details, id);
    auto response = std::move(*answer.response);
    strip_internal_fields(response.headers);
    response.headers.push_back(
        {"fulmar-outcome", std::string(to_string(outcome::answered))});
    response.headers.push_back({"fulmar-request-id", id});
    return response;
}

awaitable<streamed_response> entry::serve_node_path(http_request request)
{
    const auto path = path_of(request.message.target);
    if (request.message.method != "POST" ||
        path != "/fulmar/idempotency-keys") {
        co_return caller_refusal(not_run(refusal_reason::endpoint_unknown), "");
    }
    const auto identity = identify(request.message.headers);
    if (const auto* details = std::get_if<refusal>(&identity))
        co_return caller_refusal(*details, "");
    if (!dependencies_.hooks.is_fresh())
        co_return caller_refusal(
            not_run(refusal_reason::stale_configuration, 1000), "");
    co_return co_await answer_key_request(
        std::move(request.message.body),
        std::get<caller_identity>(identity).account,
        dependencies_.hooks.issue_keys);
}

} // namespace fulmarjunction
