// Tests of servers that are shut down while callers connect and send.

#include <fulmarjunction/http/http.hpp>

#include <test_main/transport_test_support.hpp>

#include <catch2/catch.hpp>

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

} // namespace

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
