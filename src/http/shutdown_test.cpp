// Tests of servers that are shut down while callers connect and send.

#include <fulmarjunction/http/http.hpp>

#include <test_main/transport_test_support.hpp>

#include <boost/asio/read_until.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace fulmarjunction::test;

namespace {

const std::string request_text = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";

struct answering_server
{
    answering_server()
        : server(
              io().get_executor(), fj::http_limits{},
              [](const fj::http_request&)
                  -> fj::awaitable<fj::streamed_response> {
                  co_return text_response(200, "ok");
              },
              [](int code) { return text_response(code, ""); }),
          address(server.listen(any_port).value())
    {
    }

    fj::http_server server;
    tcp::endpoint address;
};

/// Connects and sends a request without running the server.
tcp::socket send_now(const tcp::endpoint& address)
{
    tcp::socket socket(io());
    socket.connect(address);
    asio::write(socket, asio::buffer(request_text));
    return socket;
}

fj::awaitable<std::string> read_answer(tcp::socket& socket)
{
    std::string answer;
    boost::system::error_code ignored;
    co_await asio::async_read(
        socket, asio::dynamic_buffer(answer),
        asio::redirect_error(use_awaitable, ignored));
    co_return answer;
}

/// Server whose answer to "/slow" sends its body only when told to, and that
/// notes the targets of the requests that it has started.
struct slow_server
{
    /// @param has_length whether answers state the length of their body
    explicit slow_server(bool has_length = true)
        : server(
              io().get_executor(), pipelining_limits(),
              [this, has_length](const fj::http_request& request)
                  -> fj::awaitable<fj::streamed_response> {
                  started.push_back(request.message.target);
                  auto answer = text_response(200, "whole body");
                  if (request.message.target == "/slow")
                      answer.body = held_body(std::move(answer.body));
                  if (!has_length)
                      answer.content_length.reset();
                  co_return answer;
              },
              [](int code) { return text_response(code, ""); }),
          address(server.listen(any_port).value())
    {
    }

    static fj::http_limits pipelining_limits()
    {
        fj::http_limits limits;
        limits.max_pipelined = 4;
        return limits;
    }

    /// Returns a body whose first byte comes at once, with the head.
    fj::body_reader held_body(fj::body_reader body)
    {
        const auto read = [](slow_server* self, fj::body_reader source,
                             std::shared_ptr<bool> has_begun,
                             asio::mutable_buffer output)
            -> fj::awaitable<fj::result<std::size_t>> {
            if (!std::exchange(*has_begun, true))
                co_return co_await source(asio::buffer(output, 1));
            while (!self->may_finish) {
                asio::steady_timer timer(io(), std::chrono::milliseconds(5));
                co_await timer.async_wait(use_awaitable);
            }
            co_return co_await source(output);
        };
        return [this, body = std::move(body), read,
                has_begun = std::make_shared<bool>(false)](
                   asio::mutable_buffer output) {
            return read(this, body, has_begun, output);
        };
    }

    std::vector<std::string> started;
    bool may_finish = false;
    fj::http_server server;
    tcp::endpoint address;
};

/// Sends bytes and waits until the server has had time to read them.
fj::awaitable<bool> send_and_settle(tcp::socket& socket, std::string bytes)
{
    co_await asio::async_write(socket, asio::buffer(bytes), use_awaitable);
    asio::steady_timer timer(io(), std::chrono::milliseconds(100));
    co_await timer.async_wait(use_awaitable);
    co_return true;
}

/// Reads a head and what follows in the same piece.
fj::awaitable<std::string> read_head(tcp::socket& socket)
{
    std::string bytes;
    co_await asio::async_read_until(
        socket, asio::dynamic_buffer(bytes), "\r\n\r\n", use_awaitable);
    co_return bytes;
}

std::string request_for(const std::string& target, const std::string& fields)
{
    return "GET " + target + " HTTP/1.1\r\nhost: h\r\n" + fields + "\r\n";
}

} // namespace

// Guards against a request that is started after the head of the last answer
// has told the caller that it will not be, and is cut off when that answer
// ends.
TEST_CASE("no request starts behind an answer that closes the connection")
{
    slow_server target;
    target.server.begin_drain();
    tcp::socket caller(io());
    caller.connect(target.address);
    const auto behind = request_for("/behind", "");
    const bool is_split = GENERATE(false, true);
    const auto before_head = is_split ? behind.size() / 2 : 0;
    const auto first = request_for("/slow", "") + behind.substr(0, before_head);
    asio::write(caller, asio::buffer(first));
    const auto head = run(read_head(caller));
    REQUIRE(head.find("connection: close") != std::string::npos);
    run(send_and_settle(caller, behind.substr(before_head)));
    target.may_finish = true;
    const auto answer = head + run(read_answer(caller));
    CHECK(answer.ends_with("\r\n\r\nwhole body"));
    CHECK(target.started == std::vector<std::string>{"/slow"});
}

// Guards against a request that is started although the one before it asks to
// close the connection, and is cut off with it.
TEST_CASE("no request starts behind one that asks to close the connection")
{
    slow_server target;
    tcp::socket caller(io());
    caller.connect(target.address);
    run(send_and_settle(
        caller, request_for("/slow", "connection: close\r\n") +
                    request_for("/behind", "")));
    target.may_finish = true;
    CHECK(run(read_answer(caller)).ends_with("\r\n\r\nwhole body"));
    CHECK(target.started == std::vector<std::string>{"/slow"});
}

// Guards against a request that is started while the answer before it can only
// end with the connection.
TEST_CASE("no request starts behind an answer that ends with its connection")
{
    slow_server target(false);
    tcp::socket caller(io());
    caller.connect(target.address);
    const std::string old_request =
        "GET /slow HTTP/1.0\r\nhost: h\r\nconnection: keep-alive\r\n\r\n";
    run(send_and_settle(caller, old_request + request_for("/behind", "")));
    target.may_finish = true;
    CHECK(run(read_answer(caller)).ends_with("\r\n\r\nwhole body"));
    CHECK(target.started == std::vector<std::string>{"/slow"});
}

// Guards against a connection that closes while its caller sends the next
// request, since its idle time began with the one before and not its answer.
TEST_CASE("the idle time of a connection begins at the end of an answer")
{
    auto limits = fj::http_limits{};
    limits.max_pipelined = 4;
    limits.keep_alive_timeout = std::chrono::milliseconds(1500);
    const auto handle = [](const fj::http_request& request)
        -> fj::awaitable<fj::streamed_response> {
        if (request.message.target == "/slow") {
            asio::steady_timer timer(io(), std::chrono::milliseconds(2000));
            co_await timer.async_wait(use_awaitable);
        }
        co_return text_response(200, "whole body");
    };
    fj::http_server server(io().get_executor(), limits, handle, [](int code) {
        return text_response(code, "");
    });
    tcp::socket caller(io());
    caller.connect(server.listen(any_port).value());
    run(send_and_settle(caller, request_for("/slow", "")));
    CHECK(run(read_head(caller)).starts_with("HTTP/1.1 200"));
    run(send_and_settle(caller, request_for("/next", "connection: close\r\n")));
    CHECK(run(read_answer(caller)).find("HTTP/1.1 200") != std::string::npos);
}

// Guards against requests that are reset because their connections wait in the
// kernel when the server stops accepting.
TEST_CASE("a shutdown answers requests on connections not accepted yet")
{
    answering_server target;
    constexpr std::size_t caller_count = 20;
    std::vector<tcp::socket> callers;
    callers.reserve(caller_count);
    for (std::size_t i = 0; i < caller_count; ++i)
        callers.push_back(send_now(target.address));
    target.server.begin_shutdown();
    for (auto& caller : callers) {
        const auto answer = run(read_answer(caller));
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.find("connection: close") != std::string::npos);
    }
    run_until([&] { return target.server.connections() == 0; });
}

// Guards against callers that a node about to end keeps on their connections.
TEST_CASE("a draining server closes connections after their answers")
{
    answering_server target;
    target.server.begin_drain();
    for (int i = 0; i < 2; ++i) {
        auto caller = send_now(target.address);
        const auto answer = run(read_answer(caller));
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.find("connection: close") != std::string::npos);
    }
}
