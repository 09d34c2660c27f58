// Tests of HTTP clients, and of servers and clients together.

#include <http/http_test_support.hpp>

#include <fulmarjunction/core/log.hpp>

#include <http/connection.hpp>
#include <http/head.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace fulmarjunction::test;
using namespace std::string_literals;

namespace {

/// Server whose open connections can go silent for good, while new ones work.
class silencing_server
{
public:
    silencing_server() : acceptor_(io(), any_port)
    {
        asio::co_spawn(io(), accept_all(), asio::detached);
    }

    tcp::endpoint address() const { return acceptor_.local_endpoint(); }

    /// Makes the connections that are open now go silent.
    void silence() { ++silenced_; }

    int accepted = 0;

private:
    fj::awaitable<void> accept_all()
    {
        for (;;) {
            auto socket = co_await acceptor_.async_accept(use_awaitable);
            ++accepted;
            asio::co_spawn(io(), serve(std::move(socket)), asio::detached);
        }
    }

    fj::awaitable<void> serve(tcp::socket socket)
    {
        const auto opened_at = silenced_;
        std::string input;
        for (;;) {
            boost::system::error_code failure;
            const auto size = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(input), "\r\n\r\n",
                asio::redirect_error(use_awaitable, failure));
            if (failure)
                co_return;
            input.erase(0, size);
            if (silenced_ != opened_at)
                continue;
            co_await asio::async_write(
                socket,
                asio::buffer("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"s),
                asio::redirect_error(use_awaitable, failure));
        }
    }

    tcp::acceptor acceptor_;
    int silenced_ = 0;
};

} // namespace

// Guards against requests that wait for their deadlines one after the other,
// each on another kept connection that has gone silent with the first.
TEST_CASE("one silent connection makes the other idle ones doubtful")
{
    auto& server = *new silencing_server();
    fj::http_client client(
        io().get_executor(), server.address(), long_timeout_limits());
    std::vector<std::shared_ptr<std::optional<std::string>>> answers;
    constexpr int kept_connections = 4;
    answers.reserve(kept_connections);
    for (int i = 0; i < kept_connections; ++i)
        answers.push_back(start(fetch(client, get("/"), far_deadline())));
    for (const auto& answer : answers)
        run_until([&] { return answer->has_value(); });
    REQUIRE(server.accepted == kept_connections);
    server.silence();
    const auto soon = fj::clock::now() + std::chrono::milliseconds(50);
    CHECK(run(fetch(client, get("/"), soon)) == "timeout");
    CHECK(fetch_now(client, get("/")) == "200 ok");
    CHECK(server.accepted == kept_connections + 1);
    // A connection that has carried an answer since is kept.
    CHECK(fetch_now(client, get("/")) == "200 ok");
    CHECK(server.accepted == kept_connections + 1);
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
