// Tests of servers that send bytes without end until the caller closes.

#include <fulmarjunction/http/http.hpp>

#include <test_main/transport_test_support.hpp>

#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <array>

using namespace fulmarjunction::test;

namespace {

/// Server that answers each request with `start` and then repeats `piece`, if
/// there is one, until its connection is closed.
struct endless_server
{
    endless_server(std::string first_bytes, std::string repeated_bytes)
        : start(std::move(first_bytes)), piece(std::move(repeated_bytes)),
          acceptor(io(), any_port), address(acceptor.local_endpoint())
    {
        asio::co_spawn(io(), accept(), asio::detached);
    }

    fj::awaitable<void> accept()
    {
        for (;;) {
            auto socket = co_await acceptor.async_accept(use_awaitable);
            asio::co_spawn(io(), serve(std::move(socket)), asio::detached);
        }
    }

    fj::awaitable<void> serve(tcp::socket socket)
    {
        boost::system::error_code failure;
        std::array<char, 4096> request{};
        co_await socket.async_read_some(
            asio::buffer(request),
            asio::redirect_error(use_awaitable, failure));
        co_await asio::async_write(
            socket, asio::buffer(start),
            asio::redirect_error(use_awaitable, failure));
        while (!failure && !piece.empty()) {
            sent += co_await asio::async_write(
                socket, asio::buffer(piece),
                asio::redirect_error(use_awaitable, failure));
        }
        while (!failure) {
            co_await socket.async_read_some(
                asio::buffer(request),
                asio::redirect_error(use_awaitable, failure));
        }
        has_ended = true;
    }

    std::string start;
    std::string piece;
    tcp::acceptor acceptor;
    tcp::endpoint address;
    std::size_t sent = 0;
    bool has_ended = false;
};

constexpr fj::milliseconds time_limit(500);

/// Sends a request to a server and returns the time until it has failed.
fj::duration time_to_failure(endless_server& server)
{
    fj::http_client client(
        io().get_executor(), server.address, fj::http_limits{});
    const auto is_own = [](const fj::header_fields& fields) {
        return fj::find_header(fields, "id") == "own";
    };
    const auto started_at = fj::clock::now();
    const auto answer =
        run(client.send(get("/"), started_at + time_limit, is_own));
    CHECK_FALSE(answer);
    run_until([&] { return server.has_ended; });
    return fj::clock::now() - started_at;
}

/// Reads the body of an answer until a read fails, which must not take longer
/// than the deadline of the body.
fj::error read_until_failure(const endless_server& server)
{
    fj::http_limits limits;
    limits.idle_timeout = hang_limit;
    fj::http_client client(io().get_executor(), server.address, limits);
    const auto deadline = fj::clock::now() + time_limit;
    const auto answer = run(client.send(get("/"), deadline, nullptr, deadline));
    REQUIRE(answer);
    std::array<char, 4096> bytes{};
    for (;;) {
        const auto received = run(answer.value().body(asio::buffer(bytes)));
        if (!received)
            return received.error();
    }
}

/// Covers the time that a busy machine needs to close a connection.
constexpr fj::milliseconds slack(5000);

} // namespace

// Guards against memory that a head without end fills.
TEST_CASE("a head without end is refused at the limit of its size")
{
    endless_server server("HTTP/1.1 200 OK\r\nx: ", std::string(4096, 'x'));
    CHECK(time_to_failure(server) < time_limit + slack);
    CHECK(server.sent < std::size_t{16} * 1024 * 1024);
}

// Guards against bytes without end that are no answer.
TEST_CASE("bytes without end that are no answer are refused")
{
    endless_server server("", std::string(4096, 'y'));
    CHECK(time_to_failure(server) < time_limit + slack);
}

// Guards against interim answers without end.
TEST_CASE("interim answers without end do not outlast the deadline")
{
    endless_server server("", "HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(time_to_failure(server) < time_limit + slack);
}

// Guards against a request that is held for as long as an answer to another one
// goes on.
TEST_CASE("another request's answer without end does not outlast the deadline")
{
    endless_server server(
        "HTTP/1.1 200 OK\r\nid: other\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nabcd\r\n");
    CHECK(time_to_failure(server) < time_limit + slack);
}

// Guards against a caller that is held for as long as the body of its answer
// goes on.
TEST_CASE("a body without end does not outlast its deadline")
{
    endless_server server(
        "HTTP/1.1 200 OK\r\nid: own\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nabcd\r\n");
    const auto failure = read_until_failure(server);
    CHECK(failure.code == fj::errc::timeout);
    run_until([&] { return server.has_ended; });
}

// Guards against a caller that is held until the idle limit by a body that
// stops.
TEST_CASE("a body that stops does not outlast its deadline")
{
    endless_server server(
        "HTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 9\r\n\r\nabcd", "");
    const auto failure = read_until_failure(server);
    CHECK(failure.code == fj::errc::timeout);
}
