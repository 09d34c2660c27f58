// End-to-end tests of the planned stop of a node whose callers keep sending,
// with complete nodes on loopback.

#include <mesh/mesh_test_fleet.hpp>

#include <set>

using namespace fulmarjunction::test;

namespace {

fj::awaitable<bool> pause_for(milliseconds time)
{
    asio::steady_timer timer(io(), time);
    co_await timer.async_wait(use_awaitable);
    co_return true;
}

/// Callers that send one request after the other on kept connections, until
/// the node has ended.
struct kept_callers
{
    /// @param name distinguishes the requests of each caller
    fj::awaitable<bool> send_requests(tcp::endpoint node, std::string name)
    {
        fj::http_client client(io().get_executor(), node, fj::http_limits{});
        for (int number = 0; !has_node_ended; ++number) {
            const auto id = fmt::format("{}-{}", name, number);
            auto request = get("/open/1");
            request.headers = {{"host", "h"}, {"id", id}};
            auto head =
                co_await client.send(std::move(request), far_deadline());
            if (!head) {
                unanswered.insert(id);
            } else {
                if (has_node_ended)
                    unanswered.insert(id);
                ++(head.value().status == 200 ? served : refused);
                const auto body = co_await fj::read_body(
                    std::move(head.value().body), 1 << 20);
                if (!body)
                    unanswered.insert(id);
            }
            co_await pause_for(milliseconds(5));
        }
        co_return true;
    }

    bool has_node_ended = false;
    int served = 0;
    int refused = 0;
    /// Ids of the requests without an answer before the node ended.
    std::set<std::string> unanswered;
};

/// Sends heartbeats of the backend servers of all nodes but the stopping one.
fj::awaitable<bool> send_heartbeats(test_fleet& fleet, const bool& is_over)
{
    while (!is_over) {
        fleet.instances[1]->send_heartbeat();
        fleet.instances[2]->send_heartbeat();
        co_await pause_for(milliseconds(500));
    }
    co_return true;
}

} // namespace

// Guards against a node that takes requests until it ends, while a long request
// runs at its backend server, and cuts off the last ones.
TEST_CASE("a stopping node takes no request that could outlast it")
{
    auto& fleet = make_fleet();
    auto& stopping = *fleet.instances[0];
    auto& routes = fleet.rows->config.routes;
    routes[1].timeout = milliseconds(1000);
    routes.push_back(test_fleet::make_route("shop", "/shop/", true));
    routes.back().targets = {{"shop", 1}};
    fleet.publish();
    stopping.service_time = milliseconds(4500);
    for (const auto index : {1, 2})
        fleet.instances[index]->service_time = milliseconds(160);

    kept_callers callers;
    constexpr std::size_t caller_count = 4;
    std::vector<std::shared_ptr<std::optional<bool>>> pending;
    pending.reserve(caller_count + 1);
    for (std::size_t i = 0; i < caller_count; ++i) {
        pending.push_back(start(callers.send_requests(
            stopping.settings.callers, fmt::format("kept{}", i))));
    }
    pending.push_back(start(send_heartbeats(fleet, callers.has_node_ended)));
    stopping.process->stop([&] { callers.has_node_ended = true; });
    // The last request of another node for the backend server of this one. It
    // ends after the time that the node has.
    run(pause_for(milliseconds(1500)));
    const auto long_request = start(fleet.exchange("/shop/1", "", 1, "GET"));
    run_until([&] { return callers.has_node_ended; });
    for (const auto& one : pending)
        run_until([&] { return one->has_value(); });
    run_until([&] { return long_request->has_value(); });

    std::set<std::string> lost;
    for (const auto& id : callers.unanswered) {
        if (fleet.instances[1]->run_ids.contains(id) ||
            fleet.instances[2]->run_ids.contains(id))
            lost.insert(id);
    }
    CHECK(lost.empty());
    CHECK(callers.served > 20);
    CHECK(callers.refused > 0);
}

// Guards against an answer that is lost since it waits on its connection for an
// earlier one, which takes longer than the stopping node has.
TEST_CASE("a stopping node passes on answers that wait behind a slow one")
{
    auto& fleet = make_fleet();
    auto& routes = fleet.rows->config.routes;
    routes.push_back(test_fleet::make_route("shop", "/shop/", true));
    routes.back().targets = {{"shop", 1}};
    fleet.publish();
    fleet.instances[0]->service_time =
        std::chrono::duration_cast<milliseconds>(hang_limit);
    auto& stopping = *fleet.instances[1];
    tcp::socket caller(io());
    caller.connect(stopping.settings.callers);
    const std::string requests =
        "GET /shop/1 HTTP/1.1\r\nhost: h\r\nid: slow\r\n\r\n"
        "GET /open/1 HTTP/1.1\r\nhost: h\r\nid: quick\r\n\r\n";
    asio::write(caller, asio::buffer(requests));
    run_until([&] {
        return fleet.instances[1]->runs + fleet.instances[2]->runs > 0;
    });
    bool has_stopped = false;
    std::size_t received = 0;
    stopping.process->stop([&] {
        has_stopped = true;
        received = caller.available();
    });
    run_until([&] { return has_stopped; });
    std::string answers(received, '\0');
    asio::read(caller, asio::buffer(answers));
    CHECK(answers.starts_with("HTTP/1.1 502"));
    CHECK(answers.find("HTTP/1.1 200") != std::string::npos);
}
