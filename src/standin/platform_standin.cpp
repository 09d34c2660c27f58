#include "json_response.hpp"

#include <fulmarjunction/core/field_reader.hpp>
#include <fulmarjunction/core/url.hpp>
#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/platform/bounded_table_service.hpp>
#include <fulmarjunction/platform/table_json.hpp>
#include <fulmarjunction/standin/platform_standin.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <charconv>
#include <utility>

namespace fulmarjunction {

namespace {

namespace json = boost::json;
using detail::make_json_response;

constexpr std::size_t max_body_size = 8 * 1024 * 1024;

streamed_response
make_error(int status, std::string_view name, std::string_view detail)
{
    return make_json_response(
        status, json::object{{"error", name}, {"detail", detail}});
}

// Returns a truncated answer, after which the caller cannot know whether its
// request took effect.
streamed_response make_truncated_answer()
{
    streamed_response response;
    response.status = 200;
    response.content_length = 1024;
    response.body =
        [](boost::asio::mutable_buffer) -> awaitable<result<std::size_t>> {
        co_return fail(errc::truncated, "platform stand-in");
    };
    return response;
}

streamed_response make_failure(const error& failure)
{
    switch (failure.code) {
    case errc::conflict:
        return make_error(409, "conflict", failure.detail);
    case errc::not_found:
        return make_error(404, "object_absent", failure.detail);
    case errc::connection_broken:
        return make_truncated_answer();
    case errc::unavailable:
        return make_error(503, "unavailable", failure.detail);
    default:
        return make_error(400, "malformed", failure.detail);
    }
}

std::optional<std::uint64_t> parse_number(std::optional<std::string_view> text)
{
    std::uint64_t number = 0;
    if (!text)
        return std::nullopt;
    const auto* end = text->data() + text->size();
    const auto [stop, failure] = std::from_chars(text->data(), end, number);
    if (failure != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

result<json::value> parse_document(const std::string& body)
{
    boost::system::error_code failure;
    auto document = json::parse(body, failure);
    if (failure)
        return fail(errc::malformed, "parse body", {}, failure.message());
    return document;
}

result<platform_fault> parse_fault(const json::value& document)
{
    constexpr std::int64_t max_delay_ms = 3'600'000;
    constexpr std::int64_t max_count = 1'000'000'000;
    field_reader fields(document, {}, "parse control");
    platform_fault fault;
    const auto mode = parse_fault_mode(fields.text("mode"));
    if (!mode)
        fields.refuse("mode", "up, down, slow or lose_answers");
    fault.mode = mode.value_or(fault_mode::up);
    fault.delay = milliseconds(fields.integer("delay_ms", 0, max_delay_ms, 0));
    fault.count =
        static_cast<std::uint64_t>(fields.integer("count", 0, max_count, 0));
    BOOST_OUTCOME_TRYV(fields.finish());
    return fault;
}

struct platform_request
{
    std::string method;
    request_target target;
    std::string body;
};

} // namespace

class platform_standin::impl
{
public:
    explicit impl(const boost::asio::any_io_executor& executor)
        : table_(make_table_service(core_, make_platform_hooks().sleep)),
          objects_(make_object_store(core_, make_platform_hooks().sleep)),
          server_(
              executor, {},
              [this](http_request request) {
                  return handle(std::move(request));
              },
              [](int status) {
                  return make_error(status, "malformed", "not acceptable");
              })
    {
    }

    http_server& server() { return server_; }
    table_core& core() { return core_; }

private:
    awaitable<streamed_response> handle(http_request request)
    {
        auto body =
            co_await read_body(std::move(request.message.body), max_body_size);
        if (!body)
            co_return make_error(413, "too_large", to_string(body.error()));
        auto target = parse_target(request.message.target);
        if (!target)
            co_return make_error(400, "malformed", "target");
        platform_request parsed{
            request.message.method, std::move(*target),
            std::move(body.value())};
        co_return co_await route(std::move(parsed));
    }

    awaitable<streamed_response> route(platform_request request)
    {
        constexpr std::string_view rows_prefix = "/table/rows/";
        constexpr std::string_view objects_prefix = "/objects/";
        const std::string_view path = request.target.path;
        const bool is_get = request.method == "GET";
        if (path == "/control")
            co_return control(request);
        if (path == "/table/transactions" && request.method == "POST")
            co_return co_await commit(std::move(request));
        if (path == "/table/changes" && is_get)
            co_return co_await list(std::move(request));
        if (path.starts_with(rows_prefix) && is_get)
            co_return co_await get(
                std::string(path.substr(rows_prefix.size())));
        if (path.starts_with(objects_prefix) && is_get)
            co_return co_await get_object(
                std::string(path.substr(objects_prefix.size())));
        if (path.starts_with(objects_prefix) && request.method == "PUT")
            co_return co_await put_object(std::move(request));
        co_return make_error(404, "unknown_path", path);
    }

    streamed_response control(const platform_request& request)
    {
        if (request.method == "POST") {
            const auto document = parse_document(request.body);
            if (!document)
                return make_failure(document.error());
            const auto fault = parse_fault(document.value());
            if (!fault)
                return make_failure(fault.error());
            core_.set_fault(fault.value());
            mode_ = fault.value().mode;
        }
        return make_json_response(
            200, json::object{
                     {"mode", to_string(mode_)},
                     {"gets", core_.counters.gets},
                     {"lists", core_.counters.lists},
                     {"commits", core_.counters.commits},
                     {"version", core_.head()}});
    }

    awaitable<streamed_response> commit(platform_request request)
    {
        const auto document = parse_document(request.body);
        if (!document)
            co_return make_failure(document.error());
        auto change = parse_table_transaction(document.value());
        if (!change)
            co_return make_failure(change.error());
        const auto version = co_await table_.commit(std::move(change.value()));
        if (!version)
            co_return make_failure(version.error());
        co_return make_json_response(
            200, json::object{{"version", version.value()}});
    }

    awaitable<streamed_response> list(platform_request request)
    {
        const auto after = parse_number(request.target.find("after"));
        const auto limit = parse_number(request.target.find("limit"));
        if (!after || !limit)
            co_return make_error(400, "malformed", "after and limit");
        const auto changes = co_await table_.list(*after, *limit);
        if (!changes)
            co_return make_failure(changes.error());
        co_return make_json_response(200, to_json(changes.value()));
    }

    awaitable<streamed_response> get(std::string key)
    {
        const auto row = co_await table_.get(key);
        if (!row)
            co_return make_failure(row.error());
        if (!row.value())
            co_return make_error(404, "row_absent", key);
        co_return make_json_response(200, to_json(*row.value()));
    }

    awaitable<streamed_response> get_object(std::string name)
    {
        auto data = co_await objects_.get(std::move(name));
        if (!data)
            co_return make_failure(data.error());
        co_return detail::make_text_response(
            200, "application/octet-stream", std::move(data.value()));
    }

    awaitable<streamed_response> put_object(platform_request request)
    {
        constexpr std::size_t prefix_size =
            std::string_view("/objects/").size();
        auto name = request.target.path.substr(prefix_size);
        const auto put =
            co_await objects_.put(std::move(name), std::move(request.body));
        if (!put)
            co_return make_failure(put.error());
        co_return make_json_response(200, json::object{});
    }

    table_core core_;
    table_service table_;
    object_store objects_;
    fault_mode mode_ = fault_mode::up;
    http_server server_;
};

platform_standin::platform_standin(const boost::asio::any_io_executor& executor)
    : impl_(std::make_shared<impl>(executor))
{
}

platform_standin::~platform_standin()
{
    close();
}

result<boost::asio::ip::tcp::endpoint>
platform_standin::listen(const boost::asio::ip::tcp::endpoint& address)
{
    return impl_->server().listen(address);
}

table_core& platform_standin::core()
{
    return impl_->core();
}

void platform_standin::close()
{
    impl_->server().close();
}

} // namespace fulmarjunction
