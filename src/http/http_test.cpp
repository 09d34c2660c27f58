#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/http/http.hpp>

#include <http/connection.hpp>
#include <http/head.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <test_main/transport_test_support.hpp>

#include <catch2/catch.hpp>

#include <fstream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace fulmarjunction::test;
using namespace std::string_literals;

namespace {

/// Timeouts long enough not to expire on a loaded system.
fj::http_limits long_timeout_limits()
{
    fj::http_limits limits;
    limits.keep_alive_timeout = hang_limit;
    limits.head_timeout = hang_limit;
    limits.idle_timeout = hang_limit;
    return limits;
}

/// Reads the request's body and describes the request in the response.
fj::awaitable<fj::streamed_response> describe(fj::http_request request)
{
    std::string text =
        request.message.method + " " + request.message.target + "\n";
    for (const auto& field : request.message.headers)
        text += field.name + "=" + field.value + "\n";
    auto body = co_await fj::read_body(request.message.body, 1 << 20);
    text += body ? body.value() : std::string(to_string(body.error().code));
    co_return text_response(200, text);
}

/// A server under test that counts the calls of its handler.
struct test_server
{
    explicit test_server(
        const fj::http_handler& handler,
        fj::http_limits limits = long_timeout_limits(),
        std::shared_ptr<asio::ssl::context> tls = nullptr)
        : server(
              io().get_executor(), limits,
              [this, handler](fj::http_request request) {
                  ++calls;
                  return handler(std::move(request));
              },
              [](int status) { return text_response(status, "refused"); },
              std::move(tls)),
          address(server.listen(any_port).value())
    {
    }

    int calls = 0;
    fj::http_server server;
    tcp::endpoint address;
};

/// Fake server: accepts connections and, on each, waits for a complete request
/// head, sends fixed bytes and closes the connection if `close_after` is set.
struct scripted_server
{
    scripted_server(std::string answer, bool close_after)
        : acceptor(io(), any_port), address(acceptor.local_endpoint())
    {
        asio::co_spawn(
            io(), accept(std::move(answer), close_after), asio::detached);
    }

    fj::awaitable<void> accept(std::string answer, bool close_after)
    {
        for (;;) {
            auto socket = std::make_shared<tcp::socket>(
                co_await acceptor.async_accept(use_awaitable));
            ++accepted;
            sockets.push_back(socket);
            asio::co_spawn(
                io(), serve(socket, answer, close_after), asio::detached);
        }
    }

    fj::awaitable<void> serve(
        std::shared_ptr<tcp::socket> socket, std::string answer,
        bool close_after)
    {
        std::string input;
        for (;;) {
            boost::system::error_code failure;
            std::array<char, 1024> piece{};
            const auto size = co_await socket->async_read_some(
                asio::buffer(piece),
                asio::redirect_error(use_awaitable, failure));
            if (failure) {
                ++ended;
                co_return;
            }
            input.append(piece.data(), size);
            if (input.find("\r\n\r\n") == std::string::npos)
                continue;
            input.clear();
            co_await asio::async_write(
                *socket, asio::buffer(answer), use_awaitable);
            if (close_after) {
                socket->close();
                co_return;
            }
        }
    }

    tcp::acceptor acceptor;
    tcp::endpoint address;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    int accepted = 0;
    int ended = 0;
};

/// Returns "<status> <body>" or the error's name.
fj::awaitable<std::string> fetch(
    fj::http_client& client, fj::streamed_request request,
    fj::time_point deadline)
{
    auto response = co_await client.send(std::move(request), deadline);
    if (!response)
        co_return std::string(to_string(response.error().code));
    auto body = co_await fj::read_body(response.value().body, 1 << 22);
    if (!body)
        co_return "body " + std::string(to_string(body.error().code));
    co_return std::to_string(response.value().status) + " " + body.value();
}

std::string fetch_now(fj::http_client& client, fj::streamed_request request)
{
    return run(fetch(client, std::move(request), far_deadline()));
}

std::size_t resident_kib()
{
    std::ifstream status("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    status >> total >> resident;
    return resident * 4;
}

/// Yields `left` bytes.
fj::body_reader long_body(const std::shared_ptr<std::uint64_t>& left)
{
    const auto read = [](std::shared_ptr<std::uint64_t> rest,
                         asio::mutable_buffer output)
        -> fj::awaitable<fj::result<std::size_t>> {
        const auto size = std::min<std::uint64_t>(*rest, output.size());
        std::memset(output.data(), 'x', size);
        *rest -= size;
        co_return size;
    };
    return [left, read](asio::mutable_buffer output) {
        return read(left, output);
    };
}

} // namespace

TEST_CASE("heads that two parsers could frame differently are refused")
{
    const std::vector<std::string> shapes = {
        std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        std::string(
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            "Content-Length: 5\r\n\r\n0\r\n\r\n"),
        std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
                    "Content-Length: 5\r\n\r\nhello"),
        std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
                    "Content-Length: 6\r\n\r\nhello"),
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n",
        std::string("POST / HTTP/1.1\r\nHost: a\r\n"
                    "Content-Length: 99999999999999999999\r\n\r\n"),
        std::string(
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
        std::string("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, "
                    "chunked\r\n\r\n"),
        std::string(
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity"
            "\r\n\r\n0\r\n\r\n"),
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n\r\n",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n folded\r\n\r\n",
        "GET / HTTP/1.1\r\n Host: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\nhello",
        "GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding\t: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n",
        "GET / HTTP/1.1\nHost: a\n\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: b\rContent-Length: 5\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: \0\r\n\r\n"s,
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n: empty\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n",
        "GET  / HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / extra HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
        "GET /\r\nHost: a\r\n\r\n",
        "G{T / HTTP/1.1\r\nHost: a\r\n\r\n",
        "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /\x80 HTTP/1.1\r\nHost: a\r\n\r\n",
    };
    test_server target(describe);
    for (const auto& shape : shapes) {
        INFO(fj::log_quote(shape));
        // A request smuggled behind the refused one must not be handled.
        const auto answer = run(raw_exchange(
            target.address, shape + "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"));
        CHECK(answer.starts_with("HTTP/1.1 400 "));
        CHECK(answer.find("connection: close") != std::string::npos);
        CHECK(answer.rfind("HTTP/1.1") == 0);
    }
    CHECK(target.calls == 0);
}

TEST_CASE("a head is incomplete until its last byte")
{
    const std::string head =
        "POST /a?b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n";
    const auto kind = fj::detail::message_kind::request;
    for (std::size_t size = 0; size != head.size(); ++size) {
        const auto check =
            fj::detail::check_head(head.substr(0, size), 1024, kind);
        CHECK(check.verdict == fj::detail::head_verdict::incomplete);
    }
    const auto check = fj::detail::check_head(head + "hello", 1024, kind);
    CHECK(check.verdict == fj::detail::head_verdict::acceptable);
    CHECK(check.size == head.size());
    CHECK(
        fj::detail::check_head(head, head.size() - 1, kind).verdict ==
        fj::detail::head_verdict::too_large);
}

TEST_CASE("a head over the limit is refused with 431")
{
    test_server target(describe);
    const auto answer = run(raw_exchange(
        target.address, "GET / HTTP/1.1\r\nHost: a\r\nX: " +
                            std::string(20'000, 'x') + "\r\n\r\n"));
    CHECK(answer.starts_with("HTTP/1.1 431 "));
    CHECK(target.calls == 0);
}

TEST_CASE("a connection serves requests one after another")
{
    test_server target(describe);
    const auto answer = run(raw_exchange(
        target.address,
        "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none"
        "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n"
        "2;x=y\r\ntw\r\n1\r\no\r\n0\r\nTrailer: t\r\n\r\n"
        "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        "GET /4 HTTP/1.1\r\nHost: a\r\n\r\n"));
    const auto first = answer.find("POST /1\nhost=a\none");
    const auto second = answer.find("POST /2\nhost=a\ntwo");
    const auto third = answer.find("GET /3\nhost=a\n");
    CHECK(first < second);
    CHECK(second < third);
    CHECK(third != std::string::npos);
    CHECK(target.calls == 3);
}

TEST_CASE("an HTTP/1.0 request gets a body that ends with the connection")
{
    test_server target(
        [](fj::http_request) -> fj::awaitable<fj::streamed_response> {
            co_return fj::streamed_response{
                200, {}, std::nullopt, fj::string_body("text")};
        });
    const auto answer =
        run(raw_exchange(target.address, "GET / HTTP/1.0\r\n\r\n"));
    CHECK(answer.find("transfer-encoding") == std::string::npos);
    CHECK(answer.ends_with("\r\n\r\ntext"));
}

TEST_CASE("hop-by-hop fields are not forwarded")
{
    test_server target(describe);
    const auto answer = run(raw_exchange(
        target.address,
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop\r\n"
        "X-Hop: 1\r\nKeep-Alive: 1\r\nTE: trailers\r\nUpgrade: h2c\r\n"
        "Proxy-Connection: x\r\nX-End: 2\r\n\r\n"));
    CHECK(answer.ends_with("GET /\nhost=a\nx-end=2\n"));
}

TEST_CASE("100 Continue is sent when the handler reads the body")
{
    test_server target(describe);
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n"
                             "Expect: 100-continue\r\nConnection: close\r\n"
                             "Content-Length: 2\r\n\r\n";
    const auto run_client = [](tcp::endpoint address,
                               std::string text) -> fj::awaitable<std::string> {
        tcp::socket socket(io());
        co_await socket.async_connect(address, use_awaitable);
        co_await asio::async_write(socket, asio::buffer(text), use_awaitable);
        std::array<char, 25> interim{};
        co_await asio::async_read(socket, asio::buffer(interim), use_awaitable);
        co_await asio::async_write(
            socket, asio::buffer("ok", 2), use_awaitable);
        std::string answer(interim.data(), interim.size());
        boost::system::error_code ignored;
        co_await asio::async_read(
            socket, asio::dynamic_buffer(answer),
            asio::redirect_error(use_awaitable, ignored));
        co_return answer;
    };
    const auto answer = run(run_client(target.address, head));
    CHECK(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 "));
    CHECK(answer.ends_with("ok"));

    // A handler that does not read the body gets no interim response.
    test_server refusing(
        [](fj::http_request) -> fj::awaitable<fj::streamed_response> {
            co_return text_response(403, "no");
        });
    const auto refusal = run(raw_exchange(refusing.address, head));
    CHECK(refusal.starts_with("HTTP/1.1 403 "));
}

TEST_CASE("a truncated or malformed request body is an error for the handler")
{
    struct fault
    {
        std::string bytes;
        std::string expected;
    };
    const std::string chunked =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<fault> faults = {
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhell",
         "truncated"},
        {chunked + "5\r\nhello\r\n", "truncated"},
        {chunked + "5\r\nhello\r\n0\r\n", "truncated"},
        {chunked + "5\r\nhel", "truncated"},
        {chunked + "5\r\nhelloX\r\n0\r\n\r\n", "malformed"},
        {chunked + "zz\r\nhello\r\n0\r\n\r\n", "malformed"},
        {chunked + "fffffffffffffffff\r\nhello\r\n", "malformed"},
    };
    for (const auto& each : faults) {
        INFO(fj::log_quote(each.bytes));
        test_server target(describe);
        const auto answer = run(raw_exchange(target.address, each.bytes, true));
        CHECK(answer.ends_with(each.expected));
    }
}

TEST_CASE("a caller's disconnect is detected while its request is processed")
{
    bool canceled = false;
    bool waiting = false;
    test_server target(
        [&](fj::http_request request) -> fj::awaitable<fj::streamed_response> {
            asio::steady_timer forever(io(), fj::time_point::max());
            request.on_cancel([&] {
                canceled = true;
                forever.cancel();
            });
            waiting = true;
            boost::system::error_code ignored;
            co_await forever.async_wait(
                asio::redirect_error(use_awaitable, ignored));
            co_return text_response(200, "");
        });
    const auto head = GENERATE(
        as<std::string>{}, "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\npart");
    {
        tcp::socket socket(io());
        socket.connect(target.address);
        asio::write(socket, asio::buffer(head));
        run_until([&] { return waiting; });
        CHECK(target.server.requests_in_flight() == 1);
        CHECK_FALSE(canceled);
    }
    run_until([&] { return target.server.requests_in_flight() == 0; });
    CHECK(canceled);
}

TEST_CASE("a graceful shutdown answers what is in flight and closes the rest")
{
    asio::steady_timer gate(io(), fj::time_point::max());
    test_server target(
        [&](fj::http_request) -> fj::awaitable<fj::streamed_response> {
            boost::system::error_code ignored;
            co_await gate.async_wait(
                asio::redirect_error(use_awaitable, ignored));
            co_return text_response(200, "whole");
        });
    fj::http_client client(
        io().get_executor(), target.address, long_timeout_limits(), hang_limit);
    tcp::socket idle(io());
    idle.connect(target.address);
    const auto answer = start(fetch(client, get("/"), far_deadline()));
    run_until(
        [&] { return target.calls == 1 && target.server.connections() == 2; });
    target.server.begin_shutdown();
    idle.close();
    run_until([&] { return target.server.connections() == 1; });
    gate.cancel();
    run_until([&] { return answer->has_value(); });
    CHECK(**answer == "200 whole");
    run_until([&] { return target.server.connections() == 0; });
    CHECK(fetch_now(client, get("/")) == "connection_failed");
}

TEST_CASE("a handler that throws or gives an invalid response yields 500")
{
    const bool throws = GENERATE(true, false);
    fj::set_log_sink([](std::string_view) {});
    test_server target(
        [=](fj::http_request) -> fj::awaitable<fj::streamed_response> {
            if (throws)
                throw std::runtime_error("fault");
            auto response = text_response(200, "x");
            response.headers.push_back({"x", "a\r\nset-cookie: forged"});
            co_return response;
        });
    fj::http_client client(
        io().get_executor(), target.address, long_timeout_limits(), hang_limit);
    CHECK(fetch_now(client, get("/")) == "500 ");
    fj::set_log_sink({});
}

TEST_CASE("bodies of known and unknown length pass in both directions")
{
    test_server target(
        [](fj::http_request request) -> fj::awaitable<fj::streamed_response> {
            fj::streamed_response response;
            response.status = 200;
            response.content_length = request.message.content_length;
            response.body = request.message.body;
            co_return response;
        });
    fj::http_client client(
        io().get_executor(), target.address, long_timeout_limits(), hang_limit);
    const std::string text(1'000'000, 'b');
    CHECK(fetch_now(client, post(text, text.size())) == "200 " + text);
    CHECK(fetch_now(client, post(text, std::nullopt)) == "200 " + text);
    CHECK(fetch_now(client, post("", std::nullopt)) == "200 ");
    CHECK(fetch_now(client, get("/")) == "200 ");
    // A body shorter than declared must not be accepted as complete.
    CHECK(fetch_now(client, post("short", 10)) != "200 short");
}

TEST_CASE("responses to HEAD, 204 and 304 have no body")
{
    test_server target(
        [](fj::http_request request) -> fj::awaitable<fj::streamed_response> {
            const auto status = std::stoi(request.message.target.substr(1));
            co_return text_response(status, "text");
        });
    fj::http_client client(
        io().get_executor(), target.address, long_timeout_limits(), hang_limit);
    auto head = get("/200");
    head.method = "HEAD";
    const auto send = [&](fj::streamed_request request)
        -> fj::awaitable<std::optional<std::uint64_t>> {
        auto response =
            co_await client.send(std::move(request), far_deadline());
        auto body = co_await fj::read_body(response.value().body, 10);
        CHECK(body.value().empty());
        co_return response.value().content_length;
    };
    CHECK(run(send(head)) == 4);
    run(send(get("/204")));
    run(send(get("/304")));
    CHECK(fetch_now(client, get("/200")) == "200 text");
    CHECK(target.server.connections() == 1);
}

TEST_CASE("faults of a server are errors for the client")
{
    struct fault
    {
        std::string answer;
        std::string expected;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<fault> faults = {
        {"", "connection_broken"},
        {"HTTP/1.1 200 OK\r\nContent-", "connection_broken"},
        {ok + "Content-Length: 5\r\n\r\nhell", "body truncated"},
        {ok + "Content-Length: 5\r\n\r\n", "body truncated"},
        {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
         "body truncated"},
        {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
         "body truncated"},
        {ok + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", "body malformed"},
        {ok + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nhello",
         "malformed"},
        {ok + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
         "malformed"},
        {ok + "X : y\r\n\r\n", "malformed"},
        {"HTTP/1.1 200\nContent-Length: 0\n\n", "malformed"},
        {"HTTP/1.1 101 Switching\r\n\r\n", "malformed"},
        {"garbage\r\n\r\n", "malformed"},
        {ok + "X: " + std::string(20'000, 'x') + "\r\n\r\n", "malformed"},
        {"HTTP/1.1 103 Hints\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
         "200 ok"},
        {ok + "\r\nuntil the end", "200 until the end"},
    };
    for (const auto& each : faults) {
        INFO(fj::log_quote(each.answer));
        scripted_server server(each.answer, true);
        fj::http_client client(
            io().get_executor(), server.address, long_timeout_limits(),
            hang_limit);
        CHECK(fetch_now(client, get("/")) == each.expected);
    }
}

TEST_CASE("a late response never reaches another request")
{
    scripted_server server("", false);
    fj::http_client client(
        io().get_executor(), server.address, long_timeout_limits(), hang_limit);
    // On a loaded system the deadline may pass before the request is sent.
    std::string first = "connection_failed";
    while (first == "connection_failed") {
        first = run(fetch(
            client, get("/late"), fj::clock::now() + fj::milliseconds(20)));
    }
    CHECK(first == "timeout");
    run_until([&] { return !server.sockets.empty(); });
    const auto before = server.sockets.size();
    const auto second = start(fetch(client, get("/next"), far_deadline()));
    run_until([&] { return server.sockets.size() == before + 1; });
    boost::system::error_code ignored;
    const auto late = asio::buffer(
        std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"));
    const auto next = asio::buffer(
        std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext"));
    asio::write(*server.sockets[before - 1], late, ignored);
    asio::write(*server.sockets[before], next, ignored);
    run_until([&] { return second->has_value(); });
    CHECK(**second == "200 next");
}

TEST_CASE("a connection with more input than the response is not reused")
{
    scripted_server server(
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged",
        false);
    fj::http_client client(
        io().get_executor(), server.address, long_timeout_limits(), hang_limit);
    CHECK(fetch_now(client, get("/1")) == "200 1");
    CHECK(fetch_now(client, get("/2")) == "200 1");
    CHECK(server.accepted == 2);
}

TEST_CASE("an idle connection that the server closed is replaced")
{
    auto first = std::make_unique<test_server>(describe);
    fj::http_client client(
        io().get_executor(), first->address, long_timeout_limits(), hang_limit);
    CHECK(
        fetch_now(client, get("/1")) ==
        "200 GET /1\nhost=127.0.0.1:" + std::to_string(first->address.port()) +
            "\n");
    CHECK(first->server.connections() == 1);
    const auto address = first->address;
    first->server.close();
    fj::http_server second(io().get_executor(), {}, describe, [](int status) {
        return text_response(status, "");
    });
    REQUIRE(second.listen(address));
    // The event loop has not run since, so only the kernel knows of the close.
    CHECK(fetch_now(client, get("/2")).starts_with("200 GET /2"));
    CHECK(second.connections() == 1);
}

TEST_CASE("a response that is dropped or canceled closes its connection")
{
    scripted_server server(
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart", false);
    fj::http_client client(
        io().get_executor(), server.address, long_timeout_limits(), hang_limit);
    const auto drop = [&]() -> fj::awaitable<bool> {
        auto response = co_await client.send(get("/"), far_deadline());
        co_return response.has_value();
    };
    CHECK(run(drop()));
    run_until([&] { return server.ended == 1; });

    scripted_server silent("", false);
    fj::http_client waiting(
        io().get_executor(), silent.address, long_timeout_limits(), hang_limit);
    asio::cancellation_signal stop;
    bool done = false;
    asio::co_spawn(
        io(), fetch(waiting, get("/"), far_deadline()),
        asio::bind_cancellation_slot(
            stop.slot(), [&](const std::exception_ptr&, const std::string&) {
                done = true;
            }));
    run_until([&] { return silent.accepted == 1; });
    stop.emit(asio::cancellation_type::terminal);
    run_until([&] { return done && silent.ended == 1; });
}

TEST_CASE("a request body that fails is truncated for the server")
{
    std::string seen;
    test_server target(
        [&](fj::http_request request) -> fj::awaitable<fj::streamed_response> {
            auto body = co_await fj::read_body(request.message.body, 100);
            seen = body ? "whole" : std::string(to_string(body.error().code));
            co_return text_response(200, "");
        });
    fj::http_client client(
        io().get_executor(), target.address, long_timeout_limits(), hang_limit);
    auto request = post("", std::nullopt);
    request.body = [part = fj::string_body("part"),
                    count = 0](asio::mutable_buffer output) mutable {
        const auto broken =
            [](asio::mutable_buffer) -> fj::awaitable<fj::result<std::size_t>> {
            co_return fj::fail(fj::errc::timeout, "test body");
        };
        return ++count == 1 ? part(output) : broken(output);
    };
    CHECK(fetch_now(client, request) == "timeout");
    run_until([&] { return !seen.empty(); });
    CHECK(seen == "truncated");
}

TEST_CASE("a response body that throws ends in a reset")
{
    test_server target(
        [](fj::http_request) -> fj::awaitable<fj::streamed_response> {
            const auto broken = [](asio::mutable_buffer)
                -> fj::awaitable<fj::result<std::size_t>> {
                throw std::runtime_error("fault");
                co_return std::size_t{0};
            };
            co_return fj::streamed_response{200, {}, std::nullopt, broken};
        });
    // To an HTTP/1.0 caller an ordinary close is the end of the body.
    const auto run_client =
        [](tcp::endpoint address) -> fj::awaitable<boost::system::error_code> {
        tcp::socket socket(io());
        co_await socket.async_connect(address, use_awaitable);
        const std::string text = "GET / HTTP/1.0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(text), use_awaitable);
        std::string answer;
        boost::system::error_code failure;
        co_await asio::async_read(
            socket, asio::dynamic_buffer(answer),
            asio::redirect_error(use_awaitable, failure));
        co_return failure;
    };
    CHECK(run(run_client(target.address)) == asio::error::connection_reset);
}

TEST_CASE(
    "a refused connection is connection_failed, invalid heads are not sent")
{
    tcp::acceptor unused(io(), any_port);
    const auto address = unused.local_endpoint();
    unused.close();
    fj::http_client client(
        io().get_executor(), address, long_timeout_limits(), hang_limit);
    CHECK(fetch_now(client, get("/")) == "connection_failed");
    CHECK(fetch_now(client, get("/ x")) == "invalid_argument");
    auto forged = get("/");
    forged.headers.push_back({"x", "a\r\nb: c"});
    CHECK(fetch_now(client, forged) == "invalid_argument");
    CHECK(
        run(fetch(client, get("/"), fj::clock::now())) == "connection_failed");
}

TEST_CASE("unread input is buffered up to 64 KiB only")
{
    tcp::acceptor acceptor(io(), any_port);
    tcp::socket sender(io());
    sender.connect(acceptor.local_endpoint());
    auto link = std::make_shared<fj::detail::connection>(
        fj::detail::byte_stream(acceptor.accept()), 16 * 1024);
    link->start();
    const std::string block(1 << 20, 'x');
    std::uint64_t sent = 0;
    asio::async_write(
        sender, asio::buffer(block),
        [&](boost::system::error_code, std::size_t size) { sent = size; });
    run_until([&] { return link->is_full(); });
    io().restart();
    io().poll();
    CHECK(link->peak_input() <= 64 * 1024 - 16 * 1024);
    std::uint64_t received = 0;
    run_until([&] {
        received += link->input().size();
        link->consume(link->input().size());
        return received == block.size();
    });
    CHECK(link->peak_input() <= 64 * 1024 - 16 * 1024);
    link->close();
}

TEST_CASE("a response of 256 MiB is streamed in constant memory")
{
    static constexpr std::uint64_t size = 256ULL << 20;
    test_server target(
        [](fj::http_request) -> fj::awaitable<fj::streamed_response> {
            co_return fj::streamed_response{
                200,
                {},
                std::nullopt,
                long_body(std::make_shared<std::uint64_t>(size))};
        });
    fj::http_client client(
        io().get_executor(), target.address, long_timeout_limits(), hang_limit);
    const auto before = resident_kib();
    std::size_t peak_kib = before;
    const auto download = [&]() -> fj::awaitable<std::uint64_t> {
        auto response = co_await client.send(get("/"), far_deadline());
        std::uint64_t total = 0;
        std::vector<char> piece(32 * 1024);
        for (;;) {
            const auto got =
                co_await response.value().body(asio::buffer(piece));
            if (got.value() == 0)
                co_return total;
            total += got.value();
            if (total % (16 << 20) < piece.size())
                peak_kib = std::max(peak_kib, resident_kib());
        }
    };
    CHECK(run(download()) == size);
    CHECK(peak_kib - before < 4 * 1024);
}

TEST_CASE("a server under TLS answers and keeps the connection")
{
    test_server target(describe, long_timeout_limits(), make_tls_context());
    const auto run_client =
        [](tcp::endpoint address) -> fj::awaitable<std::string> {
        asio::ssl::context context(asio::ssl::context::tls_client);
        asio::ssl::stream<tcp::socket> stream(io(), context);
        co_await stream.lowest_layer().async_connect(address, use_awaitable);
        co_await stream.async_handshake(
            asio::ssl::stream_base::client, use_awaitable);
        const std::string text =
            "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
            "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        co_await asio::async_write(stream, asio::buffer(text), use_awaitable);
        std::string answer;
        boost::system::error_code failure;
        co_await asio::async_read(
            stream, asio::dynamic_buffer(answer),
            asio::redirect_error(use_awaitable, failure));
        // A close without close_notify would be stream_truncated.
        CHECK(failure == asio::error::eof);
        co_return answer;
    };
    const auto answer = run(run_client(target.address));
    CHECK(answer.find("GET /1") != std::string::npos);
    CHECK(answer.find("GET /2") != std::string::npos);
    // Plain text on a TLS port is not answered.
    CHECK(
        run(raw_exchange(target.address, "GET / HTTP/1.1\r\n\r\n"))
            .find("HTTP/1.1") == std::string::npos);
}

TEST_CASE("slow heads, idle connections and stalled bodies time out")
{
    fj::http_limits limits;
    limits.keep_alive_timeout = fj::milliseconds(30);
    limits.head_timeout = fj::milliseconds(30);
    test_server target(describe, limits);
    CHECK(run(raw_exchange(target.address, "")).empty());
    CHECK(run(raw_exchange(target.address, "GET / HTTP/1.1\r\nHo")).empty());
    auto stall_limits = long_timeout_limits();
    stall_limits.idle_timeout = fj::milliseconds(30);
    test_server stalled(describe, stall_limits);
    const auto answer = run(raw_exchange(
        stalled.address,
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhell"));
    CHECK(answer.ends_with("timeout"));
}

TEST_CASE("pipelined requests run at once and are answered in order")
{
    auto limits = long_timeout_limits();
    limits.max_pipelined = 3;
    int running = 0;
    int max_running = 0;
    test_server target(
        [&](fj::http_request request) -> fj::awaitable<fj::streamed_response> {
            max_running = std::max(max_running, ++running);
            // The first request takes longest, so that answers in the order of
            // completion fail the test.
            asio::steady_timer timer(io());
            const bool is_first = request.message.target == "/1";
            timer.expires_after(std::chrono::milliseconds(is_first ? 60 : 5));
            co_await timer.async_wait(use_awaitable);
            --running;
            co_return text_response(200, "<" + request.message.target + ">");
        },
        limits);
    const auto answer = run(raw_exchange(
        target.address,
        "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
        "GET /3 HTTP/1.1\r\nHost: a\r\n\r\nGET /4 HTTP/1.1\r\nHost: a\r\n"
        "Connection: close\r\n\r\n"));
    const auto at = [&](const char* text) { return answer.find(text); };
    CHECK(at("</1>") < at("</2>"));
    CHECK(at("</2>") < at("</3>"));
    CHECK(at("</3>") < at("</4>"));
    CHECK(at("</4>") != std::string::npos);
    CHECK(max_running == 3);
}

TEST_CASE("requests behind an answer that closes are not answered")
{
    auto limits = long_timeout_limits();
    limits.max_pipelined = 4;
    test_server target(describe, limits);
    const auto answer = run(raw_exchange(
        target.address,
        "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"));
    CHECK(answer.find("GET /1") != std::string::npos);
    CHECK(answer.find("GET /2") == std::string::npos);
}

TEST_CASE("a request with a body waits for those before it")
{
    auto limits = long_timeout_limits();
    limits.max_pipelined = 4;
    test_server target(describe, limits);
    const auto answer = run(raw_exchange(
        target.address,
        "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
        "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
        "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
    CHECK(answer.find("content-length=") == std::string::npos);
    CHECK(answer.find("body") > answer.find("POST /2"));
    CHECK(answer.find("GET /3") > answer.find("body"));
    CHECK(answer.find("GET /3") != std::string::npos);
}

TEST_CASE("an answer to an earlier request is skipped")
{
    // The first answer is for another request; the expected one follows.
    scripted_server server(
        "HTTP/1.1 200 OK\r\nid: old\r\nContent-Length: 3\r\n\r\nold"
        "HTTP/1.1 200 OK\r\nid: new\r\nContent-Length: 3\r\n\r\nnew",
        false);
    fj::http_client client(
        io().get_executor(), server.address, long_timeout_limits());
    const auto is_new = [](const fj::header_fields& fields) {
        return fj::find_header(fields, "id") == "new";
    };
    const auto got = run([&]() -> fj::awaitable<std::string> {
        auto head = co_await client.send(get("/"), far_deadline(), is_new);
        if (!head)
            co_return std::string(to_string(head.error().code));
        auto body = co_await fj::read_body(std::move(head.value().body), 100);
        co_return body ? body.value() : "broken";
    }());
    CHECK(got == "new");
}

TEST_CASE("the Keep-Alive timeout of a server limits the reuse of a connection")
{
    scripted_server server(
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n",
        false);
    fj::http_client client(
        io().get_executor(), server.address, long_timeout_limits());
    for (int i = 0; i < 2; ++i)
        CHECK(run(fetch(client, get("/"), far_deadline())) == "200 ");
    CHECK(server.accepted == 2);
}
