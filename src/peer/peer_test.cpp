#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/peer/peer.hpp>

#include <peer/event.hpp>
#include <peer/link.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/detached.hpp>

#include <test_main/transport_test_support.hpp>

#include <catch2/catch.hpp>

#include <cstring>
#include <optional>
#include <string>
#include <vector>

using namespace fulmarjunction::test;

namespace {

/// Limits with timeouts that a test does not reach even on a busy instance.
fj::peer_limits long_timeouts()
{
    fj::peer_limits limits;
    limits.connect_timeout = hang_limit;
    limits.handshake_timeout = hang_limit;
    limits.idle_timeout = hang_limit;
    return limits;
}

fj::peer_identity identity(std::string name, std::string secret = "secret")
{
    return {std::move(name), 7, std::move(secret)};
}

fj::awaitable<fj::streamed_response> describe(fj::peer_request request)
{
    std::string text = request.from + " " + request.message.method + " " +
                       request.message.target + "\n";
    for (const auto& field : request.message.headers)
        text += field.name + "=" + field.value + "\n";
    auto body = co_await fj::read_body(request.message.body, 1 << 22);
    text += body ? body.value() : std::string(to_string(body.error().code));
    co_return text_response(200, text);
}

struct test_server
{
    explicit test_server(
        const fj::peer_handler& handler,
        fj::peer_limits limits = long_timeouts(),
        std::shared_ptr<asio::ssl::context> tls = nullptr)
        : server(
              io().get_executor(), identity("server"), limits,
              [this, handler](fj::peer_request request) {
                  ++calls;
                  return handler(std::move(request));
              },
              std::move(tls)),
          address(server.listen(any_port).value())
    {
    }

    int calls = 0;
    fj::peer_server server;
    tcp::endpoint address;
};

struct test_client
{
    explicit test_client(
        tcp::endpoint to, std::string secret = "secret",
        std::shared_ptr<asio::ssl::context> tls = nullptr)
        : client(
              io().get_executor(), identity("client", std::move(secret)),
              long_timeouts(), std::move(tls)),
          address(std::move(to))
    {
    }

    /// Returns "<status> <body>" or the error's name.
    fj::awaitable<std::string> fetch(
        fj::streamed_request request, fj::time_point deadline = far_deadline(),
        std::string expected = "server")
    {
        auto response = co_await client.send(
            address, expected, std::move(request), deadline);
        if (!response)
            co_return std::string(to_string(response.error().code));
        auto body = co_await fj::read_body(response.value().body, 1 << 22);
        if (!body)
            co_return "body " + std::string(to_string(body.error().code));
        co_return std::to_string(response.value().status) + " " + body.value();
    }

    std::string fetch_now(fj::streamed_request request)
    {
        return run(fetch(std::move(request)));
    }

    fj::peer_client client;
    tcp::endpoint address;
};

/// A handler whose requests wait until the test releases their target.
struct gated_handler
{
    fj::detail::event changed{io().get_executor()};
    std::vector<std::string> waiting;
    std::string released;
    int canceled = 0;

    fj::awaitable<fj::streamed_response> operator()(fj::peer_request request)
    {
        const auto target = request.message.target;
        waiting.push_back(target);
        request.on_cancel([this] {
            ++canceled;
            changed.notify();
        });
        while (released.find(target + ";") == std::string::npos &&
               !request.is_canceled())
            co_await changed.wait();
        co_return text_response(200, target);
    }

    void release(const std::string& target)
    {
        released += target + ";";
        changed.notify();
    }
};

fj::peer_handler make_handler(gated_handler& gate)
{
    return
        [&gate](fj::peer_request request) { return gate(std::move(request)); };
}

/// A body of `size` bytes that counts how many of them were read.
struct counted_body
{
    std::uint64_t size;
    std::uint64_t bytes_read = 0;

    fj::awaitable<fj::result<std::size_t>> read(asio::mutable_buffer output)
    {
        const auto count =
            std::min<std::uint64_t>(size - bytes_read, output.size());
        std::memset(output.data(), 'x', count);
        bytes_read += count;
        co_return count;
    }

    fj::body_reader reader()
    {
        return [this](asio::mutable_buffer output) { return read(output); };
    }
};

/// A body that yields "part" and then fails.
fj::body_reader failing_body()
{
    const auto fail_read =
        [](asio::mutable_buffer) -> fj::awaitable<fj::result<std::size_t>> {
        co_return fj::fail(fj::errc::timeout, "test body");
    };
    return [fail_read, first_chunk = fj::string_body("part"),
            count = 0](asio::mutable_buffer output) mutable {
        return ++count == 1 ? first_chunk(output) : fail_read(output);
    };
}

std::string
frame(char type, char flags, char stream, const std::string& payload)
{
    std::string bytes(9, '\0');
    bytes[2] = static_cast<char>(payload.size());
    bytes[3] = type;
    bytes[4] = flags;
    bytes[8] = stream;
    return bytes + payload;
}

std::string code_bytes(char code)
{
    return {0, 0, 0, code};
}

constexpr char data_type = 0;
constexpr char headers_type = 1;
constexpr char reset_type = 3;
constexpr char settings_type = 4;
constexpr char goaway_type = 7;
constexpr char end_stream = 1;
constexpr char end_headers = 4;

const std::string status_200 = "\x88";

/// A server that authenticates, waits for the head of a request, sends fixed
/// frames and optionally closes the connection.
struct scripted_server
{
    scripted_server(std::string frames, bool close_after)
        : acceptor(io(), any_port), address(acceptor.local_endpoint())
    {
        asio::co_spawn(
            io(), serve(std::move(frames), close_after), asio::detached);
    }

    fj::awaitable<void> serve(std::string frames, bool close_after)
    {
        stream = std::make_unique<fj::detail::byte_stream>(
            co_await acceptor.async_accept(use_awaitable));
        const auto proved = co_await fj::detail::authenticate(
            *stream, identity("server"), fj::detail::peer_role::server,
            fj::seconds(10));
        if (!proved)
            co_return;
        auto& socket = stream->socket();
        constexpr std::size_t preface_size = 24;
        std::string client_preface(preface_size, '\0');
        co_await asio::async_read(
            socket, asio::buffer(client_preface), use_awaitable);
        std::string head(9, '\0');
        while (head[3] != headers_type) {
            co_await asio::async_read(
                socket, asio::buffer(head), use_awaitable);
            std::string payload(
                static_cast<unsigned char>(head[1]) * 256U +
                    static_cast<unsigned char>(head[2]),
                '\0');
            co_await asio::async_read(
                socket, asio::buffer(payload), use_awaitable);
        }
        const auto bytes = frame(settings_type, 0, 0, "") + frames;
        co_await asio::async_write(socket, asio::buffer(bytes), use_awaitable);
        if (close_after)
            stream->close();
    }

    tcp::acceptor acceptor;
    tcp::endpoint address;
    std::unique_ptr<fj::detail::byte_stream> stream;
};

/// Discards log lines while a test provokes failures.
struct discarded_log
{
    discarded_log()
    {
        fj::set_log_sink([](std::string_view) {});
    }
    ~discarded_log() { fj::set_log_sink({}); }
};

} // namespace

// Guards against a hello that is accepted with a wrong length, version or name.
TEST_CASE("malformed hellos do not parse")
{
    const auto valid = fj::detail::format_hello(
        fj::detail::make_hello(std::string(255, 'n'), 0x0102030405060708));
    const auto parsed = fj::detail::parse_hello(valid);
    REQUIRE(parsed);
    CHECK(parsed->name == std::string(255, 'n'));
    CHECK(parsed->incarnation == 0x0102030405060708);
    CHECK(fj::detail::format_hello(*parsed) == valid);

    CHECK_FALSE(fj::detail::parse_hello(""));
    CHECK_FALSE(fj::detail::parse_hello(valid.substr(0, valid.size() - 1)));
    CHECK_FALSE(fj::detail::parse_hello(valid + "x"));
    CHECK_FALSE(fj::detail::parse_hello("FJP2" + valid.substr(4)));
    const auto unnamed =
        fj::detail::format_hello(fj::detail::make_hello("", 1));
    CHECK_FALSE(fj::detail::parse_hello(unnamed));
}

// Guards against proofs that can be replayed or reflected.
TEST_CASE("a proof holds for one secret, role and pair of hellos only")
{
    using fj::detail::make_proof;
    const auto client = fj::detail::peer_role::client;
    const auto server = fj::detail::peer_role::server;
    const auto proof = make_proof("s", client, "a", "b");
    CHECK(fj::detail::is_same_proof(proof, make_proof("s", client, "a", "b")));
    const auto differs = [&](const fj::detail::peer_proof& other) {
        return !fj::detail::is_same_proof(proof, other);
    };
    CHECK(differs(make_proof("t", client, "a", "b")));
    CHECK(differs(make_proof("s", server, "a", "b")));
    CHECK(differs(make_proof("s", client, "b", "a")));
    CHECK(differs(make_proof("s", client, "a", "c")));
}

// Guards against truncated bodies, lost fields and forwarded fields that are
// specific to an HTTP/1.1 connection.
TEST_CASE("requests and responses are transferred complete, with their fields")
{
    test_server target(describe);
    test_client peer(target.address);
    auto request = post("body", 4);
    request.headers = {{"host", "notes"},       {"fj-account", "a"},
                       {"connection", "close"}, {"transfer-encoding", "x"},
                       {"keep-alive", "1"},     {"upgrade", "h2c"},
                       {"te", "gzip"}};
    CHECK(
        peer.fetch_now(request) ==
        "200 client POST /echo\nfj-account=a\nhost=notes\nbody");
    CHECK(
        peer.fetch_now(get("/x?y=1")) ==
        "200 client GET /x?y=1\nhost=server\n");
    const std::string text(1'000'000, 'b');
    const std::string start_of_text = "200 client POST /echo\nhost=server\n";
    CHECK(peer.fetch_now(post(text, std::nullopt)) == start_of_text + text);
    CHECK(peer.fetch_now(post("", std::nullopt)) == start_of_text);
    CHECK(peer.client.counters().connections_opened == 1);
    CHECK(target.server.counters().connections_accepted == 1);
    CHECK(target.server.open_streams() == 0);
    CHECK(target.server.counters().streams_reset == 0);
}

// Guards against DATA frames on responses that must not have a body.
TEST_CASE("responses to HEAD, 204 and 304 have no body")
{
    test_server target(
        [](fj::peer_request request) -> fj::awaitable<fj::streamed_response> {
            const auto status = std::stoi(request.message.target.substr(1));
            co_return text_response(status, "text");
        });
    test_client peer(target.address);
    auto head = get("/200");
    head.method = "HEAD";
    CHECK(peer.fetch_now(head) == "200 ");
    CHECK(peer.fetch_now(get("/204")) == "204 ");
    CHECK(peer.fetch_now(get("/304")) == "304 ");
    CHECK(peer.fetch_now(get("/200")) == "200 text");
}

// Guards against requests that are served for, or sent to, a peer without the
// secret or with another name than the expected one.
TEST_CASE("a peer that proves another secret or name is refused")
{
    const discarded_log no_log;
    test_server target(describe);
    test_client wrong_secret(target.address, "other");
    CHECK(wrong_secret.fetch_now(get("/")) == "connection_failed");
    CHECK(target.server.counters().handshakes_failed == 1);
    CHECK(wrong_secret.client.counters().handshakes_failed == 1);
    test_client no_secret(target.address, "");
    CHECK(no_secret.fetch_now(get("/")) == "connection_failed");

    test_client peer(target.address);
    CHECK(
        run(peer.fetch(get("/"), far_deadline(), "another")) ==
        "connection_failed");
    CHECK(target.calls == 0);
    CHECK(
        run(peer.fetch(get("/"), far_deadline(), "")) ==
        "200 client GET /\nhost=server\n");

    fj::peer_server server_without_secret(
        io().get_executor(), identity("server", ""), {}, describe);
    CHECK(
        server_without_secret.listen(any_port).error().code ==
        fj::errc::invalid_argument);
    fj::peer_server long_named(
        io().get_executor(), identity(std::string(256, 'n')), {}, describe);
    CHECK(
        long_named.listen(any_port).error().code == fj::errc::invalid_argument);
}

// Guards against clients and servers without the secret that pass the
// handshake with recorded or mirrored bytes.
TEST_CASE("a handshake that is malformed, replayed or reflected is refused")
{
    const discarded_log no_log;
    test_server target(describe);
    const auto hello =
        fj::detail::format_hello(fj::detail::make_hello("client", 1));
    const auto server_hello_size =
        fj::detail::format_hello(fj::detail::make_hello("server", 7)).size();

    // The bytes that the client sends on a connection that is accepted.
    std::string recorded = hello;
    const auto record = [&]() -> fj::awaitable<bool> {
        tcp::socket socket(io());
        co_await socket.async_connect(target.address, use_awaitable);
        co_await asio::async_write(socket, asio::buffer(hello), use_awaitable);
        std::string other(server_hello_size, '\0');
        co_await asio::async_read(socket, asio::buffer(other), use_awaitable);
        const auto proof = fj::detail::make_proof(
            "secret", fj::detail::peer_role::client, hello, other);
        recorded.append(proof.begin(), proof.end());
        co_await asio::async_write(socket, asio::buffer(proof), use_awaitable);
        fj::detail::peer_proof answer{};
        co_await asio::async_read(socket, asio::buffer(answer), use_awaitable);
        co_return fj::detail::is_same_proof(
            answer, fj::detail::make_proof(
                        "secret", fj::detail::peer_role::server, hello, other));
    };
    CHECK(run(record()));
    CHECK(target.server.counters().connections_accepted == 1);

    const std::string zeros(fj::detail::proof_size, '\0');
    const std::vector<std::string> attempts = {
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        std::string("FJP1\0", 5) + zeros + zeros,
        hello + zeros,
        recorded,
    };
    for (const auto& attempt : attempts) {
        INFO(fj::log_quote(attempt));
        const auto answer = run(raw_exchange(target.address, attempt));
        // The server sends at most its hello, never its proof or HTTP/2.
        CHECK(answer.size() <= server_hello_size);
    }
    CHECK(target.server.counters().handshakes_failed == attempts.size());

    // A server that sends back the client's own hello and proof is refused.
    tcp::acceptor reflector(io(), any_port);
    const auto reflect = [&]() -> fj::awaitable<void> {
        auto socket = co_await reflector.async_accept(use_awaitable);
        std::array<char, 1024> bytes{};
        for (;;) {
            const auto size = co_await socket.async_read_some(
                asio::buffer(bytes), use_awaitable);
            co_await asio::async_write(
                socket, asio::buffer(bytes.data(), size), use_awaitable);
        }
    };
    asio::co_spawn(io(), reflect(), asio::detached);
    test_client peer(reflector.local_endpoint());
    CHECK(run(peer.fetch(get("/"), far_deadline(), "")) == "connection_failed");
    CHECK(target.calls == 0);
}

// Guards against connections that stay open without a handshake.
TEST_CASE("a peer that is silent in the handshake is dropped")
{
    const discarded_log no_log;
    fj::peer_limits limits;
    limits.handshake_timeout = fj::milliseconds(20);
    test_server target(describe, limits);
    CHECK(run(raw_exchange(target.address, "")).empty());
    CHECK(target.server.counters().handshakes_failed == 1);

    tcp::acceptor silent_server(io(), any_port);
    fj::peer_client client(io().get_executor(), identity("client"), limits);
    const auto sent = run(client.send(
        silent_server.local_endpoint(), "", get("/"), far_deadline()));
    CHECK(sent.error().code == fj::errc::connection_failed);
}

// Guards against connection_failed, which allows a retry, for a request that
// the peer may have processed, and against a truncated response that is taken
// for a complete one.
TEST_CASE("errors of a peer show whether the request may have run")
{
    struct fault
    {
        std::string frames;
        bool close;
        std::string expected;
    };
    const auto reset = [](char code) {
        return frame(reset_type, 0, 1, code_bytes(code));
    };
    const auto goaway = [](char last) {
        return frame(goaway_type, 0, 0, code_bytes(last) + code_bytes(0));
    };
    const auto head = frame(headers_type, end_headers, 1, status_200);
    const auto partial_data = frame(data_type, 0, 1, "part");
    const auto complete_data = frame(data_type, end_stream, 1, "part");
    const std::string length_9("\x0f\x0d\x01\x39", 4);
    const std::vector<fault> faults = {
        {reset(7), false, "connection_failed"},
        {reset(2), false, "connection_broken"},
        {reset(8), false, "connection_broken"},
        {reset(0), false, "connection_broken"},
        {goaway(0), false, "connection_failed"},
        {goaway(0), true, "connection_failed"},
        {goaway(1), true, "connection_broken"},
        {"", true, "connection_broken"},
        {"garbage that is no frame", false, "connection_broken"},
        {frame(headers_type, end_headers, 1, "\xff\xff\xff\xff"), false,
         "connection_broken"},
        {frame(headers_type, end_headers, 1, ""), true, "connection_broken"},
        {head, true, "body truncated"},
        {head + partial_data, true, "body truncated"},
        {head + partial_data + reset(2), false, "body truncated"},
        {head + partial_data + reset(7), false, "body truncated"},
        {head + partial_data + reset(0), false, "body truncated"},
        {frame(headers_type, end_headers, 1, status_200 + length_9) +
             complete_data,
         false, "body truncated"},
        {head + complete_data, true, "200 part"},
        {head + complete_data + reset(0), true, "200 part"},
        {goaway(1) + head + complete_data, true, "200 part"},
        // A response on a stream that was never opened is a protocol error.
        {frame(headers_type, end_headers, 3, status_200), true,
         "connection_broken"},
    };
    for (std::size_t i = 0; i != faults.size(); ++i) {
        INFO("fault " << i << ": " << fj::log_quote(faults[i].frames));
        scripted_server server(faults[i].frames, faults[i].close);
        test_client peer(server.address);
        CHECK(peer.fetch_now(get("/")) == faults[i].expected);
    }
    tcp::acceptor unused(io(), any_port);
    test_client peer(unused.local_endpoint());
    unused.close();
    CHECK(peer.fetch_now(get("/")) == "connection_failed");
    CHECK(run(peer.fetch(get("/"), fj::clock::now())) == "connection_failed");
}

// Guards against decisions by the words of an error: a node that has ended and
// one whose address another has taken are treated differently from a silent
// one.
TEST_CASE("errors show whether a peer has ended or was replaced")
{
    const auto problem_of = [](const tcp::endpoint& address) {
        test_client peer(address);
        return run(peer.client.send(
                       address, "another", get("/"), far_deadline()))
            .error()
            .connecting;
    };
    tcp::acceptor unused(io(), any_port);
    const auto address = unused.local_endpoint();
    unused.close();
    CHECK(problem_of(address) == fj::connect_problem::refused);
    const test_server target(describe);
    CHECK(problem_of(target.address) == fj::connect_problem::other_instance);
}

// Guards against a response that arrives after its request timed out and is
// delivered to the next request on the same connection.
TEST_CASE("a late response never reaches another request")
{
    gated_handler gate;
    test_server target(make_handler(gate));
    test_client peer(target.address);
    const auto warm_up = start(peer.fetch(get("/warm")));
    gate.release("/warm");
    run_until([&] { return warm_up->has_value(); });
    // On a busy instance the deadline may pass before the request is sent.
    std::string late = "connection_failed";
    while (late == "connection_failed") {
        late = run(
            peer.fetch(get("/late"), fj::clock::now() + fj::milliseconds(20)));
    }
    CHECK(late == "timeout");
    const auto next = start(peer.fetch(get("/next")));
    run_until([&] { return gate.waiting.back() == "/next"; });
    gate.release("/late");
    gate.release("/next");
    run_until([&] { return next->has_value(); });
    CHECK(**next == "200 /next");
    CHECK(gate.canceled == 1);
    CHECK(peer.client.counters().connections_opened == 1);
}

// Guards against responses that are delivered to the wrong request.
TEST_CASE("many concurrent streams get their own responses, in any order")
{
    constexpr int count = 500;
    gated_handler gate;
    test_server target(make_handler(gate));
    test_client peer(target.address);
    const auto target_of = [](int i) { return "/" + std::to_string(i) + "."; };
    std::vector<std::shared_ptr<std::optional<std::string>>> responses;
    for (int i = 0; i != count; ++i)
        responses.push_back(start(peer.fetch(get(target_of(i)))));
    run_until([&] { return gate.waiting.size() == count; });
    CHECK(target.server.open_streams() == count);
    for (int i = count; i-- > 0;) {
        gate.release(target_of(i));
        run_until([&] { return responses[i]->has_value(); });
        REQUIRE(**responses[i] == "200 " + target_of(i));
    }
    CHECK(peer.client.counters().connections_opened == 1);
    CHECK(target.server.open_streams() == 0);
}

// Guards against requests that fail or hang when the peer's limit of
// concurrent streams is reached.
TEST_CASE("streams over the peer's limit wait and are not lost")
{
    auto limits = long_timeouts();
    limits.max_streams = 2;
    gated_handler gate;
    test_server target(make_handler(gate), limits);
    test_client peer(target.address);
    const auto warm_up = start(peer.fetch(get("/w")));
    gate.release("/w");
    run_until([&] { return warm_up->has_value(); });
    const auto first = start(peer.fetch(get("/1")));
    const auto second = start(peer.fetch(get("/2")));
    run_until([&] { return gate.waiting.size() == 3; });
    // A request that was never sent cannot have been processed.
    CHECK(
        run(peer.fetch(get("/3"), fj::clock::now() + fj::milliseconds(20))) ==
        "connection_failed");
    const auto fourth = start(peer.fetch(get("/4")));
    gate.release("/1");
    gate.release("/2");
    gate.release("/4");
    run_until([&] { return fourth->has_value(); });
    CHECK(**fourth == "200 /4");
    CHECK(target.calls == 4);
}

// Guards against handlers and bodies that keep running for a client that no
// longer waits.
TEST_CASE("canceling a request or dropping a response resets the stream")
{
    gated_handler gate;
    test_server target(make_handler(gate));
    test_client peer(target.address);
    asio::cancellation_signal stop;
    bool done = false;
    asio::co_spawn(
        io(), peer.fetch(get("/wait")),
        asio::bind_cancellation_slot(
            stop.slot(), [&](const std::exception_ptr&, const std::string&) {
                done = true;
            }));
    run_until([&] { return gate.waiting.size() == 1; });
    stop.emit(asio::cancellation_type::terminal);
    run_until([&] { return done && gate.canceled == 1; });
    CHECK(target.server.counters().streams_reset == 1);

    counted_body body{1ULL << 40};
    bool canceled = false;
    test_server streaming(
        [&](fj::peer_request request) -> fj::awaitable<fj::streamed_response> {
            request.on_cancel([&] { canceled = true; });
            co_return fj::streamed_response{
                200, {}, std::nullopt, body.reader()};
        });
    test_client reader(streaming.address);
    const auto drop = [&]() -> fj::awaitable<bool> {
        auto response = co_await reader.client.send(
            reader.address, "", get("/"), far_deadline());
        co_return response.has_value();
    };
    CHECK(run(drop()));
    run_until([&] { return canceled; });
    run_until([&] { return streaming.server.open_streams() == 0; });
}

// Guards against a truncated request body that is taken for a complete one, and
// against handlers that are not canceled when the connection closes.
TEST_CASE("a connection cut in the middle of a request cancels it")
{
    std::string body_result;
    bool canceled = false;
    test_server target(
        [&](fj::peer_request request) -> fj::awaitable<fj::streamed_response> {
            request.on_cancel([&] { canceled = true; });
            auto body = co_await fj::read_body(request.message.body, 100);
            body_result =
                body ? "whole" : std::string(to_string(body.error().code));
            co_return text_response(200, "");
        });
    {
        test_client peer(target.address);
        fj::detail::event never(io().get_executor());
        bool is_body_blocked = false;
        auto request = post("", std::nullopt);
        request.body = [&, first_chunk = fj::string_body("part"),
                        count = 0](asio::mutable_buffer output) mutable {
            const auto wait = [](fj::detail::event& never_notified)
                -> fj::awaitable<fj::result<std::size_t>> {
                co_await never_notified.wait();
                co_return std::size_t{0};
            };
            is_body_blocked = ++count > 1;
            return is_body_blocked ? wait(never) : first_chunk(output);
        };
        const auto response = start(peer.fetch(std::move(request)));
        run_until([&] { return is_body_blocked && target.calls == 1; });
        peer.client.close();
        run_until([&] { return response->has_value(); });
        CHECK(**response == "connection_broken");
        // The body's reader must be destroyed before the variables that it
        // refers to.
        run_until([&] { return !body_result.empty() && canceled; });
    }
    CHECK(body_result == "truncated");
}

// Guards against a stream that ends normally although reading its body failed
// or its declared length is wrong.
TEST_CASE("a body that fails at its source is not taken for a complete one")
{
    std::string body_result;
    int finished = 0;
    test_server target(
        [&](fj::peer_request request) -> fj::awaitable<fj::streamed_response> {
            auto body = co_await fj::read_body(request.message.body, 100);
            body_result =
                body ? "whole" : std::string(to_string(body.error().code));
            ++finished;
            co_return fj::streamed_response{
                200, {}, std::nullopt, failing_body()};
        });
    test_client peer(target.address);
    CHECK(peer.fetch_now(get("/")) == "body truncated");
    CHECK(body_result == "whole");
    body_result.clear();
    auto request = post("", std::nullopt);
    request.body = failing_body();
    CHECK(peer.fetch_now(request) == "timeout");
    run_until([&] { return !body_result.empty(); });
    CHECK(body_result == "truncated");
    // Bodies whose size differs from their declared length fail as well.
    CHECK(peer.fetch_now(post("short", 10)) == "truncated");
    CHECK(peer.fetch_now(post("long", 2)) == "malformed");
    // The handlers refer to the variables of the test.
    run_until([&] { return finished == target.calls; });
}

// Guards against a planned stop that breaks open requests or that processes
// requests which the client takes for refused.
TEST_CASE("after GOAWAY open streams finish and no new ones are accepted")
{
    gated_handler gate;
    test_server target(make_handler(gate));
    test_client peer(target.address);
    const auto open = start(peer.fetch(get("/open")));
    run_until([&] { return gate.waiting.size() == 1; });
    target.server.begin_shutdown();
    // This request is sent before the client has received the GOAWAY.
    const auto crossing = start(peer.fetch(get("/crossing")));
    run_until([&] { return crossing->has_value(); });
    CHECK(**crossing == "connection_failed");
    CHECK(peer.fetch_now(get("/after")) == "connection_failed");
    gate.release("/open");
    run_until([&] { return open->has_value(); });
    CHECK(**open == "200 /open");
    CHECK(target.calls == 1);
}

// Guards against a connection that closes after GOAWAY while a response is
// still being sent.
TEST_CASE("a long response is complete when GOAWAY arrives during it")
{
    counted_body body{4'000'000};
    test_server target(
        [&](fj::peer_request) -> fj::awaitable<fj::streamed_response> {
            co_return fj::streamed_response{
                200, {}, std::nullopt, body.reader()};
        });
    test_client peer(target.address);
    const auto response = start(peer.fetch(get("/")));
    run_until([&] { return body.bytes_read > 0; });
    target.server.begin_shutdown();
    run_until([&] { return response->has_value(); });
    CHECK(**response == "200 " + std::string(body.size, 'x'));
}

// Guards against unbounded buffering of a body that is not read, and against
// head-of-line blocking of other streams by the connection's window.
TEST_CASE(
    "an unread body is buffered up to its window and blocks no other stream")
{
    // The window, the chunk being sent and the chunk read in the meantime.
    constexpr std::uint64_t bound = 64 * 1024 + 2 * 16 * 1024;
    constexpr std::uint64_t size = 64ULL << 20;
    counted_body body{size};
    test_server target(
        [&](fj::peer_request request) -> fj::awaitable<fj::streamed_response> {
            if (request.message.target == "/big") {
                co_return fj::streamed_response{200, {}, size, body.reader()};
            }
            co_return text_response(200, "small");
        });
    test_client peer(target.address);
    std::uint64_t read = 0;
    std::uint64_t max_buffered = 0;
    fj::detail::event start_reading(io().get_executor());
    const auto download = [&]() -> fj::awaitable<bool> {
        auto response = co_await peer.client.send(
            peer.address, "", get("/big"), far_deadline());
        co_await start_reading.wait();
        std::vector<char> buffer(10'000);
        for (;;) {
            const auto got =
                co_await response.value().body(asio::buffer(buffer));
            if (!got || got.value() == 0)
                co_return got.has_value();
            read += got.value();
            max_buffered = std::max(max_buffered, body.bytes_read - read);
        }
    };
    const auto done = start(download());
    run_until([&] { return body.bytes_read >= 64 * 1024; });
    for (int i = 0; i != 100; ++i)
        REQUIRE(peer.fetch_now(get("/small")) == "200 small");
    CHECK(body.bytes_read <= bound);
    start_reading.notify();
    run_until([&] { return done->has_value(); });
    CHECK(**done);
    CHECK(read == size);
    CHECK(max_buffered <= bound);
}

// Guards against unbounded buffering of a request body that the handler does
// not read, and against a client that keeps sending it after the response.
TEST_CASE("an unread request body is buffered up to a limit, then dropped")
{
    constexpr std::uint64_t bound = 64 * 1024 + 2 * 16 * 1024;
    counted_body body{1ULL << 40};
    gated_handler gate;
    test_server target(make_handler(gate));
    test_client peer(target.address);
    fj::streamed_request request{
        "POST", "/early", {}, std::nullopt, body.reader()};
    const auto response = start(peer.fetch(std::move(request)));
    run_until([&] { return body.bytes_read >= 64 * 1024; });
    const auto other = start(peer.fetch(get("/other")));
    gate.release("/other");
    run_until([&] { return other->has_value(); });
    CHECK(body.bytes_read <= bound);
    // A response that is sent before the request's end is still complete.
    gate.release("/early");
    run_until([&] { return response->has_value(); });
    CHECK(**response == "200 /early");
    run_until([&] { return target.server.open_streams() == 0; });
    CHECK(body.bytes_read <= bound);
    CHECK(gate.canceled == 0);
}

// Guards against header injection, and against invalid heads that reach the
// peer and end as a broken stream.
TEST_CASE("heads that cannot be sent are refused by their sender")
{
    const discarded_log no_log;
    test_server target(
        [](fj::peer_request request) -> fj::awaitable<fj::streamed_response> {
            if (request.message.target == "/throw")
                throw std::runtime_error("fault");
            auto response = text_response(200, "");
            response.headers.push_back({"x", "a\r\nb: c"});
            co_return response;
        });
    test_client peer(target.address);
    CHECK(peer.fetch_now(get("/throw")) == "500 ");
    CHECK(peer.fetch_now(get("/forge")) == "500 ");
    CHECK(peer.fetch_now(get("/a b")) == "invalid_argument");
    CHECK(peer.fetch_now(get("http://a/")) == "invalid_argument");
    const std::vector<fj::header_field> fields = {
        {"x", "a\r\nb: c"},
        {"a b", "c"},
        {":path", "/"},
        {"Upper", "x"},
        {"host", "a b"}};
    for (const auto& field : fields) {
        auto request = get("/");
        request.headers.push_back(field);
        CHECK(peer.fetch_now(request) == "invalid_argument");
    }
    auto large = get("/");
    large.headers.push_back({"x", std::string(70'000, 'x')});
    CHECK(peer.fetch_now(large) == "too_large");
}

// Guards against requests on a connection that the peer has already closed.
TEST_CASE("a client opens a new connection after its peer was replaced")
{
    auto first = std::make_unique<test_server>(describe);
    test_client peer(first->address);
    CHECK(peer.fetch_now(get("/1")) == "200 client GET /1\nhost=server\n");
    const auto address = first->address;
    first->server.close();
    fj::peer_server second(
        io().get_executor(), identity("server"), {}, describe);
    REQUIRE(second.listen(address));
    // The client's read loop has not run since, so only the kernel knows that
    // the connection is closed.
    CHECK(peer.fetch_now(get("/2")) == "200 client GET /2\nhost=server\n");
    CHECK(peer.client.counters().connections_opened == 2);
    peer.client.close_gracefully(address);
    CHECK(peer.fetch_now(get("/3")) == "200 client GET /3\nhost=server\n");
    CHECK(peer.client.counters().connections_opened == 3);
}

// Guards against plain connections to a server with TLS, and against a client
// that ignores its context's verification of certificates.
TEST_CASE("with TLS configured plain and unverified connections are refused")
{
    const discarded_log no_log;
    test_server target(describe, long_timeouts(), make_tls_context());
    auto context =
        std::make_shared<asio::ssl::context>(asio::ssl::context::tls_client);
    test_client peer(target.address, "secret", context);
    const std::string text(1'000'000, 'b');
    CHECK(
        peer.fetch_now(post(text, text.size())) ==
        "200 client POST /echo\nhost=server\n" + text);
    test_client plain(target.address);
    CHECK(plain.fetch_now(get("/")) == "connection_failed");
    context->set_verify_mode(asio::ssl::verify_peer);
    test_client strict(target.address, "secret", context);
    CHECK(strict.fetch_now(get("/")) == "connection_failed");
    CHECK(target.calls == 1);
}

// Guards against unused connections that accumulate as the neighbours of a
// node change, and against closing one with open streams.
TEST_CASE("a connection is closed when it is unused, not while it is in use")
{
    gated_handler gate;
    test_server target(make_handler(gate));
    test_client peer(target.address);
    const auto open = start(peer.fetch(get("/open")));
    run_until([&] { return gate.waiting.size() == 1; });

    peer.client.close_unused(fj::seconds(60));
    CHECK(peer.client.counters().connections_opened == 1);
    peer.client.close_unused(fj::duration::zero());
    gate.release("/open");
    run_until([&] { return open->has_value(); });
    CHECK(**open == "200 /open");

    const auto again = start(peer.fetch(get("/again")));
    run_until([&] { return gate.waiting.size() == 1; });
    gate.release("/again");
    run_until([&] { return again->has_value(); });
    CHECK(**again == "200 /again");
    CHECK(peer.client.counters().connections_opened == 2);
}
