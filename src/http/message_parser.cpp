#include <http/message_parser.hpp>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <variant>

namespace fulmarjunction::detail {

namespace http = boost::beast::http;

namespace {

using request_parser = http::request_parser<http::buffer_body>;
using response_parser = http::response_parser<http::buffer_body>;

std::string to_lower(boost::string_view text)
{
    std::string lowered(text.data(), text.size());
    std::transform(
        lowered.begin(), lowered.end(), lowered.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

std::string to_text(boost::string_view text)
{
    return {text.data(), text.size()};
}

void read_start_line(const request_parser& parser, message_head& head)
{
    head.method = to_text(parser.get().method_string());
    head.target = to_text(parser.get().target());
}

void read_start_line(const response_parser& parser, message_head& head)
{
    head.status = static_cast<int>(parser.get().result_int());
}

/// Returns the `timeout` parameter of a Keep-Alive field, if present.
std::optional<seconds> read_keep_alive_time(std::string_view field)
{
    constexpr std::string_view name = "timeout=";
    const auto at = field.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto text = field.substr(at + name.size());
    unsigned value = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc())
        return std::nullopt;
    return seconds(value);
}

template <class Parser>
message_head read_head(const Parser& parser)
{
    constexpr unsigned http_1_1 = 11;
    message_head head;
    read_start_line(parser, head);
    for (const auto& field : parser.get()) {
        head.headers.push_back(
            {to_lower(field.name_string()), to_text(field.value())});
    }
    if (const auto length = parser.content_length())
        head.content_length = *length;
    else if (!parser.chunked() && !parser.need_eof())
        head.content_length = 0;
    head.keep_alive = parser.keep_alive();
    head.is_http_1_1 = parser.get().version() >= http_1_1;
    const auto expect = find_header(head.headers, "expect");
    head.expects_continue =
        expect && head.is_http_1_1 &&
        to_lower({expect->data(), expect->size()}) == "100-continue";
    if (const auto field = find_header(head.headers, "keep-alive"))
        head.keep_alive_time = read_keep_alive_time(*field);
    remove_connection_fields(head.headers);
    return head;
}

} // namespace

class message_parser::impl
{
public:
    template <class Function>
    auto visit(Function function)
    {
        return std::visit(function, parser_);
    }

    impl(message_kind kind, bool skip_body)
    {
        if (kind == message_kind::response)
            parser_.emplace<response_parser>();
        visit([skip_body](auto& parser) {
            // check_head has already limited the size of the head; this
            // limits the trailers of a chunked body.
            constexpr std::uint32_t header_limit = 1024 * 1024;
            parser.header_limit(header_limit);
            parser.body_limit(boost::none);
            if (skip_body)
                parser.skip(true);
        });
    }

private:
    std::variant<request_parser, response_parser> parser_;
};

message_parser::message_parser(message_kind kind, bool skip_body)
    : impl_(std::make_unique<impl>(kind, skip_body))
{
}

message_parser::~message_parser() = default;

std::optional<message_head> message_parser::parse_head(std::string_view head)
{
    return impl_->visit([&](auto& parser) -> std::optional<message_head> {
        boost::system::error_code failure;
        const auto size =
            parser.put(boost::asio::buffer(head.data(), head.size()), failure);
        if (failure || size != head.size() || !parser.is_header_done())
            return std::nullopt;
        return read_head(parser);
    });
}

body_parse_result message_parser::parse_body(
    std::string_view input, boost::asio::mutable_buffer output)
{
    return impl_->visit([&](auto& parser) {
        body_parse_result parsed;
        auto& body = parser.get().body();
        body.data = output.data();
        body.size = output.size();
        body.more = true;
        while (!parser.is_done() && parsed.consumed < input.size() &&
               body.size > 0) {
            boost::system::error_code failure;
            const auto rest = input.substr(parsed.consumed);
            parsed.consumed += parser.put(
                boost::asio::buffer(rest.data(), rest.size()), failure);
            if (failure == http::error::need_more ||
                failure == http::error::need_buffer)
                break;
            if (failure) {
                parsed.malformed = true;
                break;
            }
        }
        parsed.produced = output.size() - body.size;
        body.data = nullptr;
        body.size = 0;
        return parsed;
    });
}

bool message_parser::is_done() const
{
    return impl_->visit([](auto& parser) { return parser.is_done(); });
}

bool message_parser::end_of_input()
{
    return impl_->visit([](auto& parser) {
        boost::system::error_code failure;
        parser.put_eof(failure);
        return !failure && parser.is_done();
    });
}

} // namespace fulmarjunction::detail
