// Tests of broken answers on the link between two nodes.

#include <fulmarjunction/peer/peer.hpp>

#include <http/byte_stream.hpp>
#include <peer/link.hpp>

#include <boost/asio/post.hpp>

#include <test_main/transport_test_support.hpp>

#include <catch2/catch.hpp>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace fulmarjunction::test;
using namespace std::string_literals;

namespace {

constexpr std::int32_t first_stream = 1;
constexpr std::size_t frame_header_size = 9;

/// Returns an HTTP/2 frame on the stream of the first request.
std::string
make_frame(std::uint8_t type, std::uint8_t flags, const std::string& payload)
{
    // The length has 24 bits and the stream 32; both are small here.
    std::string frame{0, static_cast<char>(payload.size() >> 8U)};
    frame += static_cast<char>(payload.size() & 0xffU);
    frame += static_cast<char>(type);
    frame += static_cast<char>(flags);
    frame += std::string(3, '\0');
    frame += static_cast<char>(first_stream);
    return frame + payload;
}

/// Returns a field in the HPACK form without index and Huffman code.
std::string make_field(std::string_view name, std::string_view value)
{
    std::string field(1, '\0');
    field += static_cast<char>(name.size());
    field += name;
    field += static_cast<char>(value.size());
    field += value;
    return field;
}

std::string make_head(const std::string& fields, bool ends_stream = false)
{
    const auto flags = ends_stream ? NGHTTP2_FLAG_END_STREAM : 0;
    return make_frame(
        NGHTTP2_HEADERS,
        static_cast<std::uint8_t>(NGHTTP2_FLAG_END_HEADERS | flags), fields);
}

std::string make_data(const std::string& bytes)
{
    return make_frame(NGHTTP2_DATA, NGHTTP2_FLAG_NONE, bytes);
}

std::string make_reset(std::uint8_t code)
{
    return make_frame(
        NGHTTP2_RST_STREAM, NGHTTP2_FLAG_NONE,
        std::string(3, '\0') + static_cast<char>(code));
}

/// Whether the bytes of a client contain the head of a request.
bool has_request(std::string_view input)
{
    auto at = std::size_t{NGHTTP2_CLIENT_MAGIC_LEN};
    while (input.size() >= at + frame_header_size) {
        const auto byte = [&](std::size_t offset) {
            return std::size_t{static_cast<unsigned char>(input[at + offset])};
        };
        constexpr std::size_t type_offset = 3;
        if (byte(type_offset) == NGHTTP2_HEADERS)
            return true;
        const auto size = byte(0) << 16U | byte(1) << 8U | byte(2);
        at += frame_header_size + size;
    }
    return false;
}

/// What a node does after it has sent its answer.
enum class link_end
{
    stays_open,
    closed,
    reset
};

/// Node that answers the first request on a connection with the given frames.
class raw_node
{
public:
    raw_node(std::string answer, link_end end)
        : acceptor_(io(), any_port), answer_(std::move(answer)), end_(end)
    {
    }

    tcp::endpoint address() const { return acceptor_.local_endpoint(); }

    fj::awaitable<bool> serve()
    {
        auto socket = co_await acceptor_.async_accept(use_awaitable);
        fj::detail::byte_stream stream(std::move(socket));
        const fj::peer_identity identity{"server", 7, "secret"};
        const auto client = co_await fj::detail::authenticate(
            stream, identity, fj::detail::peer_role::server, hang_limit);
        std::string input;
        while (client && !has_request(input)) {
            const auto received = co_await stream.read_some(1024);
            if (received.failure)
                co_return false;
            input += received.bytes;
        }
        // A SETTINGS frame has to come first, here an empty one.
        const std::string settings{0, 0, 0, NGHTTP2_SETTINGS, 0, 0, 0, 0, 0};
        const auto sent =
            co_await stream.write_some(asio::buffer(settings + answer_));
        if (end_ == link_end::reset)
            stream.abort();
        if (end_ == link_end::closed)
            stream.close();
        while (end_ == link_end::stays_open) {
            const auto received = co_await stream.read_some(1024);
            if (received.failure)
                break;
        }
        co_return !sent.failure;
    }

private:
    tcp::acceptor acceptor_;
    std::string answer_;
    link_end end_;
};

/// Sends a request and returns "<status> <body>" of its answer or the name of
/// the error.
fj::awaitable<std::string> fetch(
    fj::peer_client& client, tcp::endpoint address,
    fj::streamed_request request)
{
    // Longer than any answer takes that is not waited for.
    constexpr fj::milliseconds time_limit(5000);
    auto answer = co_await client.send(
        address, "server", std::move(request), fj::clock::now() + time_limit);
    if (!answer)
        co_return std::string(to_string(answer.error().code));
    auto body = co_await fj::read_body(answer.value().body, 1 << 20);
    if (!body)
        co_return "body " + std::string(to_string(body.error().code));
    co_return std::to_string(answer.value().status) + " " + body.value();
}

std::string fetch_from_raw_node(
    std::string answer, link_end end, fj::streamed_request request)
{
    fj::peer_limits limits;
    limits.connect_timeout = hang_limit;
    limits.handshake_timeout = hang_limit;
    raw_node node(std::move(answer), end);
    fj::peer_client client(
        io().get_executor(), {"client", 7, "secret"}, limits);
    const auto served = start(node.serve());
    auto received = run(fetch(client, node.address(), std::move(request)));
    client.close();
    run_until([&] { return served->has_value(); });
    return received;
}

/// Returns a request whose body goes on until the stream ends.
fj::streamed_request endless_upload()
{
    auto request = post("", std::nullopt);
    request.body = [](asio::mutable_buffer output)
        -> fj::awaitable<fj::result<std::size_t>> {
        co_await asio::post(io(), use_awaitable);
        co_return output.size();
    };
    return request;
}

} // namespace

// Guards against a part of an answer that looks complete because its stream or
// its connection has ended, also during an upload.
TEST_CASE("an answer whose stream does not end properly is truncated")
{
    const auto part =
        make_head(make_field(":status", "200")) + make_data("part");
    for (const auto& [answer, end] :
         {std::pair(part, link_end::closed), std::pair(part, link_end::reset),
          std::pair(part + make_reset(NGHTTP2_NO_ERROR), link_end::stays_open),
          std::pair(part + make_reset(NGHTTP2_CANCEL), link_end::closed)}) {
        CHECK(fetch_from_raw_node(answer, end, get("/")) == "body truncated");
        CHECK(
            fetch_from_raw_node(answer, end, endless_upload()) ==
            "body truncated");
    }
}

// Guards against an answer with an invalid status that is taken for an interim
// one: its request would wait until the deadline.
TEST_CASE("an answer with a status below 100 fails its request on a link")
{
    for (const auto* status : {"000", "001", "099"}) {
        const auto head = make_field(":status", status);
        for (const auto& answer :
             {make_head(head), make_head(head, true),
              make_head(head) + make_data("part"),
              make_head(head) +
                  make_head(make_field(":status", "200"), true)}) {
            CHECK(
                fetch_from_raw_node(answer, link_end::stays_open, get("/")) ==
                "connection_broken");
        }
    }
}

// Guards against an answer that is passed on without the field that is not
// valid.
TEST_CASE("an answer with an invalid field fails its request on a link")
{
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"se al", "s"},    {"seal ", "s"},    {" seal", "s"},
        {"se\001al", "s"}, {"se\0al"s, "s"},  {"Seal", "s"},
        {"", "s"},         {"seal", "a\x01"}, {"seal", "a\r\nb: c"}};
    for (const auto& [name, value] : fields) {
        const auto answer = make_head(
            make_field(":status", "200") + make_field(name, value), true);
        CHECK(
            fetch_from_raw_node(answer, link_end::stays_open, get("/")) ==
            "connection_broken");
    }
    const auto valid =
        make_head(make_field(":status", "200") + make_field("seal", "s"), true);
    CHECK(fetch_from_raw_node(valid, link_end::stays_open, get("/")) == "200 ");
}
