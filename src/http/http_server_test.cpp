// Tests of HTTP servers: heads, bodies, connections and shutdown.

#include <http/http_test_support.hpp>

#include <fulmarjunction/core/log.hpp>

#include <http/connection.hpp>
#include <http/head.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace fulmarjunction::test;
using namespace std::string_literals;

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
