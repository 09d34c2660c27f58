#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/core/url.hpp>
#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/platform/http_platform.hpp>
#include <fulmarjunction/platform/table_json.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <memory>
#include <utility>

namespace fulmarjunction {

namespace {

namespace json = boost::json;

// Large enough for a full list of rows, including audit rows with large lists.
constexpr std::size_t max_answer_size = 32 * 1024 * 1024;

struct client_state
{
    client_state(
        const boost::asio::any_io_executor& executor,
        const boost::asio::ip::tcp::endpoint& remote, http_limits limits,
        milliseconds call_timeout)
        : client(executor, remote, limits, call_timeout), timeout(call_timeout),
          address(format_address(remote))
    {
    }

    http_client client;
    milliseconds timeout;
    std::string address;
};
using client_pointer = std::shared_ptr<client_state>;

struct platform_call
{
    std::string step;
    std::string method;
    std::string target;
    std::string body;
};

struct platform_answer
{
    int status = 0;
    std::string body;
};

client_pointer make_client(
    const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& address, milliseconds timeout)
{
    http_limits limits;
    limits.idle_timeout = timeout;
    limits.head_timeout = timeout;
    return std::make_shared<client_state>(executor, address, limits, timeout);
}

streamed_request make_request(const client_state& state, platform_call call)
{
    streamed_request request;
    request.method = std::move(call.method);
    request.target = std::move(call.target);
    request.headers.push_back({"host", state.address});
    if (!call.body.empty())
        request.headers.push_back({"content-type", "application/json"});
    request.content_length = call.body.size();
    request.body = string_body(std::move(call.body));
    return request;
}

// Sends one call and reads its whole answer.
awaitable<result<platform_answer>>
send_call(client_pointer state, platform_call call)
{
    const auto step = call.step;
    auto request = make_request(*state, std::move(call));
    const auto deadline = clock::now() + state->timeout;
    auto head = co_await state->client.send(
        std::move(request), deadline, nullptr, deadline + state->timeout);
    if (!head) {
        auto failure = head.error();
        co_return fail(failure.code, step, state->address, to_string(failure));
    }
    platform_answer answer;
    answer.status = head.value().status;
    auto body =
        co_await read_body(std::move(head.value().body), max_answer_size);
    if (!body) {
        // The call was sent, so its outcome is unknown without the answer.
        const auto code = body.error().code == errc::timeout
                              ? errc::timeout
                              : errc::connection_broken;
        co_return fail(code, step, state->address, to_string(body.error()));
    }
    answer.body = std::move(body.value());
    co_return answer;
}

errc code_of_status(int status)
{
    switch (status) {
    case 400:
    case 413:
        return errc::invalid_argument;
    case 404:
        return errc::not_found;
    case 409:
        return errc::conflict;
    default:
        return errc::unavailable;
    }
}

// Returns a string field of an error's body, or an empty string.
std::string error_field(const platform_answer& answer, std::string_view name)
{
    boost::system::error_code failure;
    const auto document = json::parse(answer.body, failure);
    const auto* fields = failure ? nullptr : document.if_object();
    const auto* value = fields == nullptr ? nullptr : fields->if_contains(name);
    if (value == nullptr || !value->is_string())
        return {};
    return std::string(value->get_string());
}

// A 404 from anything other than the table must not be taken for an absent row.
bool is_absent_row(const platform_answer& answer)
{
    return answer.status == 404 && error_field(answer, "error") == "row_absent";
}

error error_of(
    const client_state& state, std::string step, const platform_answer& answer)
{
    return {
        code_of_status(answer.status), std::move(step), state.address,
        fmt::format(
            "status {}: {}", answer.status, error_field(answer, "detail"))};
}

// An answer that is not JSON comes from something other than the platform.
result<json::value> parse_answer(
    const client_state& state, const std::string& step,
    const platform_answer& answer)
{
    if (answer.status != 200)
        return error_of(state, step, answer);
    boost::system::error_code failure;
    auto document = json::parse(answer.body, failure);
    if (failure) {
        return fail(
            errc::unavailable, step, state.address, "answer is not JSON");
    }
    return document;
}

awaitable<result<std::optional<table_row>>>
http_get(client_pointer state, std::string key)
{
    platform_call call{
        "table.get", "GET", "/table/rows/" + percent_encode(key, "/"), {}};
    const auto answer = co_await send_call(state, std::move(call));
    if (!answer)
        co_return answer.error();
    if (is_absent_row(answer.value()))
        co_return std::optional<table_row>();
    const auto document = parse_answer(*state, "table.get", answer.value());
    if (!document)
        co_return document.error();
    auto row = parse_table_row(document.value());
    if (!row)
        co_return row.error();
    co_return std::optional<table_row>(std::move(row.value()));
}

awaitable<result<row_list>>
http_list(client_pointer state, table_version after, std::size_t limit)
{
    platform_call call{
        "table.list",
        "GET",
        fmt::format("/table/changes?after={}&limit={}", after, limit),
        {}};
    const auto answer = co_await send_call(state, std::move(call));
    if (!answer)
        co_return answer.error();
    const auto document = parse_answer(*state, "table.list", answer.value());
    if (!document)
        co_return document.error();
    co_return parse_row_list(document.value());
}

// An unreadable answer to a transaction that was sent leaves its outcome
// unknown.
result<table_version>
parse_commit_answer(const client_state& state, const platform_answer& answer)
{
    BOOST_OUTCOME_TRY(
        const auto document, parse_answer(state, "table.commit", answer));
    const auto* fields = document.if_object();
    const auto* version =
        fields == nullptr ? nullptr : fields->if_contains("version");
    boost::system::error_code failure;
    const auto number = version == nullptr
                            ? table_version{0}
                            : version->to_number<table_version>(failure);
    if (failure || number == 0) {
        return fail(
            errc::unavailable, "table.commit", state.address,
            "answer without a version");
    }
    return number;
}

awaitable<result<table_version>>
http_commit(client_pointer state, table_transaction change)
{
    platform_call call{
        "table.commit", "POST", "/table/transactions",
        json::serialize(to_json(change))};
    const auto answer = co_await send_call(state, std::move(call));
    if (!answer)
        co_return answer.error();
    co_return parse_commit_answer(*state, answer.value());
}

std::string object_target(std::string_view name)
{
    return "/objects/" + percent_encode(name, "/");
}

awaitable<result<std::string>>
http_get_object(client_pointer state, std::string name)
{
    platform_call call{"object.get", "GET", object_target(name), {}};
    auto answer = co_await send_call(state, std::move(call));
    if (!answer)
        co_return answer.error();
    if (answer.value().status != 200)
        co_return error_of(*state, "object.get", answer.value());
    co_return std::move(answer.value().body);
}

awaitable<result<void>>
http_put_object(client_pointer state, std::string name, std::string data)
{
    platform_call call{
        "object.put", "PUT", object_target(name), std::move(data)};
    const auto answer = co_await send_call(state, std::move(call));
    if (!answer)
        co_return answer.error();
    if (answer.value().status != 200)
        co_return error_of(*state, "object.put", answer.value());
    co_return boost::outcome_v2::success();
}

} // namespace

table_service make_http_table_service(
    const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& address, milliseconds timeout)
{
    const auto state = make_client(executor, address, timeout);
    table_service service;
    service.get = [state](std::string key) {
        return http_get(state, std::move(key));
    };
    service.list = [state](table_version after, std::size_t limit) {
        return http_list(state, after, limit);
    };
    service.commit = [state](table_transaction change) {
        return http_commit(state, std::move(change));
    };
    return service;
}

object_store make_http_object_store(
    const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& address, milliseconds timeout)
{
    const auto state = make_client(executor, address, timeout);
    object_store store;
    store.get = [state](std::string name) {
        return http_get_object(state, std::move(name));
    };
    store.put = [state](std::string name, std::string data) {
        return http_put_object(state, std::move(name), std::move(data));
    };
    return store;
}

} // namespace fulmarjunction
