// End-to-end tests of bodies without end, of answers and of requests, with
// complete nodes on loopback.

#include <mesh/mesh_test_fleet.hpp>

using namespace fulmarjunction::test;

namespace {

constexpr milliseconds route_timeout(500);
/// Covers the time that a busy machine needs to cut a request.
constexpr milliseconds slack(5000);

test_fleet& make_fleet_with_short_timeout()
{
    auto& fleet = make_fleet();
    fleet.rows->config.routes[1].timeout = route_timeout;
    fleet.publish();
    return fleet;
}

/// Sends a request whose body goes on, one byte every 10 ms, until the answer
/// has arrived.
/// @return the first line of the answer
fj::awaitable<std::string> send_endless_request(tcp::endpoint node)
{
    tcp::socket socket(io());
    co_await socket.async_connect(node, use_awaitable);
    const std::string head = "POST /open/1 HTTP/1.1\r\nhost: h\r\nid: endless"
                             "\r\ntransfer-encoding: chunked\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(head), use_awaitable);
    const std::string piece = "1\r\nx\r\n";
    boost::system::error_code failure;
    const auto give_up_at = fj::clock::now() + route_timeout + slack;
    while (!failure && socket.available() == 0 &&
           fj::clock::now() < give_up_at) {
        co_await asio::async_write(
            socket, asio::buffer(piece),
            asio::redirect_error(use_awaitable, failure));
        asio::steady_timer timer(io(), milliseconds(10));
        co_await timer.async_wait(use_awaitable);
    }
    std::string answer(socket.available(), '\0');
    asio::read(socket, asio::buffer(answer), failure);
    co_return answer.substr(0, answer.find("\r\n"));
}

fj::awaitable<std::string> read_to_end(tcp::socket& socket)
{
    std::string text;
    boost::system::error_code ignored;
    co_await asio::async_read(
        socket, asio::dynamic_buffer(text),
        asio::redirect_error(use_awaitable, ignored));
    co_return text;
}

} // namespace

// Guards against a caller that a body without end holds beyond the timeout of
// its route, at the node beside the backend server and at another one.
TEST_CASE("an answer without end does not outlast the timeout of its route")
{
    auto& fleet = make_fleet_with_short_timeout();
    fleet.instances[1]->send_heartbeat(true);
    auto& endless = *fleet.instances[2];
    endless.has_endless_answers = true;
    for (const std::size_t entry : {0, 2}) {
        const auto started_at = fj::clock::now();
        const auto answer = fleet.send("/open/1", "", entry);
        CHECK(answer.body == "broken");
        CHECK(fj::clock::now() - started_at < route_timeout + slack);
    }
    // The backend server is told as well.
    const auto reads = endless.endless_reads;
    const auto until = fj::clock::now() + route_timeout;
    run_until([&] { return fj::clock::now() >= until; });
    CHECK(endless.endless_reads <= reads + 10);
}

// Guards against an answer that is complete in time, waits behind another one
// of its connection until after its deadline, and is cut there with all behind
// it.
TEST_CASE("an answer that waits behind another is whole after its deadline")
{
    auto& fleet = make_fleet();
    fleet.rows->config.routes[1].timeout = route_timeout;
    fleet.rows->config.routes.push_back(
        test_fleet::make_route("slow", "/slow/", true));
    fleet.rows->config.routes.back().targets = {{"shop", 1}};
    fleet.publish();
    fleet.instances[0]->service_time = 2 * route_timeout;
    for (const std::size_t entry : {0, 1}) {
        tcp::socket caller(io());
        caller.connect(fleet.instances[entry]->settings.callers);
        const std::string requests =
            "GET /slow/1 HTTP/1.1\r\nhost: h\r\nid: first\r\n\r\n"
            "GET /open/1 HTTP/1.1\r\nhost: h\r\nid: second\r\n"
            "connection: close\r\n\r\n";
        asio::write(caller, asio::buffer(requests));
        const auto answers = run(read_to_end(caller));
        CHECK(answers.find("\r\n\r\nn1") != std::string::npos);
        const bool has_second =
            answers.ends_with("\r\n\r\nn2") || answers.ends_with("\r\n\r\nn3");
        CHECK(has_second);
    }
}

// Guards against work that goes on for callers that have left while an answer
// is silent, at the node beside the backend server and at another one.
TEST_CASE("a caller that leaves during a silent answer is noticed")
{
    auto& fleet = make_fleet();
    fleet.instances[1]->send_heartbeat(true);
    auto& silent = *fleet.instances[2];
    silent.silence = std::chrono::duration_cast<milliseconds>(hang_limit);
    for (const std::size_t entry : {0, 2}) {
        silent.cancellations = 0;
        {
            fj::http_client client(
                io().get_executor(), fleet.instances[entry]->settings.callers,
                fj::http_limits{});
            auto request = get("/open/1");
            request.headers = {{"host", "h"}, {"id", "leaving"}};
            const auto answer =
                run(client.send(std::move(request), far_deadline()));
            REQUIRE(answer);
        }
        const auto until = fj::clock::now() + slack;
        run_until([&] {
            return silent.cancellations > 0 || fj::clock::now() >= until;
        });
        CHECK(silent.cancellations == 1);
    }
}

// Guards against a request that is held for as long as its caller sends a body.
TEST_CASE(
    "a request body without end does not outlast the timeout of its route")
{
    auto& fleet = make_fleet_with_short_timeout();
    const auto started_at = fj::clock::now();
    const auto answer =
        run(send_endless_request(fleet.instances[0]->settings.callers));
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(fj::clock::now() - started_at < route_timeout + slack);
    CHECK(fleet.instances[1]->runs + fleet.instances[2]->runs == 0);
}
