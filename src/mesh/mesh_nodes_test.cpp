// End-to-end tests of complete nodes on loopback, with an in-memory store and
// test backend servers. They check the answers to callers and the requests that
// reach the backend servers.

#include <mesh/mesh_test_fleet.hpp>

#include <utility>

using namespace fulmarjunction::test;

// Guards against a key that reaches a backend server and a forged account that
// is believed.
TEST_CASE("a request reaches the service of its route with its account")
{
    auto& fleet = make_fleet();
    for (std::size_t index = 0; index < 3; ++index) {
        const auto received = fleet.send("/books/1", "key-1", index);
        CHECK(received.status == 200);
        CHECK((received.body == "n2" || received.body == "n3"));
        const auto& backend = fleet.instances[received.body == "n2" ? 1 : 2];
        CHECK(field(backend->last_headers, "account") == "north");
        CHECK(
            field(backend->last_headers, "backend") == received.body + "-run");
        CHECK(
            field(backend->last_headers, "from") ==
            (index == 0 ? "shop" : "books"));
        CHECK(field(backend->last_headers, "key").empty());
    }
}

// Guards against unauthenticated requests that reach a backend server.
TEST_CASE("requests without a route or a valid key reach no backend server")
{
    auto& fleet = make_fleet();
    CHECK(fleet.send("/films/1", "key-1").status == 404);
    CHECK(fleet.send("/books/1", "").status == 401);
    CHECK(fleet.send("/books/1", "key-2").status == 401);
    CHECK(fleet.instances[1]->runs + fleet.instances[2]->runs == 0);
}

// Guards against nodes that keep using an old configuration.
TEST_CASE("a withdrawn key is refused and a new key is accepted")
{
    auto& fleet = make_fleet();
    CHECK(fleet.send("/books/1", "key-1").status == 200);
    fleet.rows->config.accounts[0].keys = {"key-2"};
    fleet.publish();
    for (std::size_t index = 0; index < 3; ++index) {
        run_until([&] {
            return fleet.send("/books/1", "key-1", index).status == 401;
        });
        CHECK(fleet.send("/books/1", "key-2", index).status == 200);
    }
}

// Guards against withdrawn keys that work forever while the store is down.
TEST_CASE("without the store keys are not trusted, public routes still work")
{
    // The node subtracts a feed lag of 1000 ms and a margin of 300 ms.
    auto& fleet = make_fleet(milliseconds(4500));
    CHECK(fleet.send("/books/1", "key-1").status == 200);
    fleet.rows->is_unavailable = true;
    run_until([&] { return fleet.send("/books/1", "key-1").status == 503; });
    CHECK(fleet.send("/open/1", "").status == 200);
    fleet.rows->is_unavailable = false;
    run_until([&] { return fleet.send("/books/1", "key-1").status == 200; });
}

// Guards against requests that a stopping backend server cuts off.
TEST_CASE("a draining backend server receives no new requests")
{
    auto& fleet = make_fleet();
    fleet.instances[1]->send_heartbeat(true);
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.send("/books/1", "key-1").body == "n3");
    CHECK(fleet.instances[1]->runs == 0);
}

// Guards against failed requests while another backend server is free.
TEST_CASE("a request that a backend server refuses is retried at another")
{
    auto& fleet = make_fleet();
    fleet.instances[1]->status = 503;
    int served = 0;
    for (int i = 0; i < 60; ++i)
        served += fleet.send("/books/1", "key-1").status == 200 ? 1 : 0;
    // Requests earn the retry budget, so the first ones may be refused.
    CHECK(served > 40);
}

// Guards against a retry that runs a non-idempotent request twice.
TEST_CASE("a request that is not idempotent runs only once")
{
    auto& fleet = make_fleet();
    fleet.rows->config.routes[0].kind = fj::execution::unique;
    fleet.publish();
    fleet.instances[1]->status = 500;
    fleet.instances[2]->status = 500;
    for (int i = 0; i < 10; ++i)
        CHECK(fleet.send("/books/1", "key-1", 0, "POST").status == 500);
    CHECK(fleet.instances[1]->runs + fleet.instances[2]->runs == 10);
}

// Guards against an account that gets its rate once per node.
TEST_CASE("the rate of an account is limited over all nodes together")
{
    auto& fleet = make_fleet();
    fleet.rows->config.accounts[0].plan.rate = 5;
    fleet.rows->config.accounts[0].plan.burst = 5;
    fleet.publish();
    run_until([&] { return fleet.send("/books/1", "key-1").status == 429; });
    int served = 0;
    const auto started_at = fj::clock::now();
    for (int i = 0; i < 60; ++i) {
        const auto received =
            fleet.send("/books/1", "key-1", static_cast<std::size_t>(i) % 3);
        served += received.status == 200 ? 1 : 0;
    }
    const auto took = fj::to_seconds(fj::clock::now() - started_at);
    CHECK(served <= 5 * took + 6);
}

// Guards against a node that leaves its backend server unused after a restart
// until the next heartbeat.
TEST_CASE("a node that starts queries the health of its backend server")
{
    auto& fleet = make_fleet();
    const auto& added = fleet.start_with_health_endpoint("n4", "films");
    run_until([&] { return fleet.send("/films/1", "").status == 200; });
    CHECK(added.heartbeats == 0);
}

// Guards against work for callers that have left: a node that is short of
// processor time reads their requests late.
TEST_CASE("a request whose caller has left before it is read is not sent on")
{
    auto& fleet = make_fleet();
    for (int i = 0; i < 10; ++i) {
        tcp::socket caller(io());
        caller.connect(fleet.instances[0]->settings.callers);
        const std::string text =
            "GET /books/1 HTTP/1.1\r\nhost: h\r\nid: left\r\n"
            "key: key-1\r\n\r\n";
        asio::write(caller, asio::buffer(text));
        caller.close();
    }
    const auto until = fj::clock::now() + milliseconds(300);
    run_until([&] { return fj::clock::now() >= until; });
    CHECK(fleet.instances[1]->runs + fleet.instances[2]->runs == 0);
}

// Guards against a node that knows others before it can send to them: the
// heartbeat of its backend server crashed it.
TEST_CASE("a heartbeat does not crash a node that is still creating the secret")
{
    auto& fleet = make_fleet();
    auto& joining = fleet.start_with_slow_secret("n4", "books");
    joining.send_heartbeat();
    run_until([&] { return joining.is_ready(); });
    fleet.instances[1]->send_heartbeat(true);
    fleet.instances[2]->send_heartbeat(true);
    run_until([&] { return fleet.send("/books/1", "key-1").body == "n4"; });
}

// Guards against a node that takes itself for the keeper of a ledger while it
// does not know the other nodes yet.
TEST_CASE("a node that has not joined grants no tokens")
{
    auto& fleet = make_fleet();
    fleet.rows->config.accounts[0].plan.rate = 1000;
    fleet.publish();
    auto& joining = fleet.start_with_slow_secret("n4", "books");
    joining.send_heartbeat();
    const auto index = fleet.instances.size() - 1;
    CHECK(fleet.send("/books/1", "key-1", index).status == 503);
    CHECK_FALSE(joining.is_ready());
    run_until([&] { return joining.is_ready(); });
    run_until(
        [&] { return fleet.send("/books/1", "key-1", index).status == 200; });
}

// Guards against requests that are cut off when their entry node stops.
TEST_CASE("a stopping node finishes its running requests")
{
    auto& fleet = make_fleet();
    fleet.instances[1]->send_heartbeat(true);
    fleet.instances[2]->service_time = milliseconds(600);
    const auto slow = start(fleet.exchange("/books/1", "key-1", 0, "GET"));
    run_until([&] { return fleet.instances[2]->runs == 1; });
    bool has_stopped = false;
    fleet.instances[0]->process->stop([&] { has_stopped = true; });
    CHECK_FALSE(fleet.instances[0]->is_ready());
    run_until([&] { return slow->has_value(); });
    CHECK((*slow)->status == 200);
    run_until([&] { return has_stopped; });
    CHECK(fleet.rows->nodes.count("n1") == 0);
}

// Guards against capacity that is lost for longer than a restart takes: a node
// that refuses its peers as soon as it is told to stop leaves the slots of its
// backend server unused while it waits for its callers.
TEST_CASE("a stopping node serves its peers until shortly before it ends")
{
    auto& fleet = make_fleet();
    fleet.instances[1]->send_heartbeat(true);
    run_until([&] { return fleet.send("/books/1", "key-1").body == "n3"; });
    const auto started_at = fj::clock::now();
    bool has_stopped = false;
    fleet.instances[2]->process->stop([&] { has_stopped = true; });
    CHECK_FALSE(fleet.instances[2]->is_ready());
    while (fj::clock::now() - started_at < milliseconds(1000))
        CHECK(fleet.send("/books/1", "key-1").status == 200);
    // Before it ends it refuses new requests, so that none is cut off.
    run_until([&] { return fleet.send("/books/1", "key-1").status == 503; });
    CHECK_FALSE(has_stopped);
    run_until([&] { return has_stopped; });
}

// Guards against nodes that each keep the ledger of an account, since they
// never learn of each other: the row of one was gone when the other started.
TEST_CASE("nodes that miss each other's rows find each other")
{
    auto& fleet = make_fleet();
    fleet.rows->config.routes.push_back(
        test_fleet::make_route("shop", "/shop/", true));
    fleet.rows->config.routes.back().targets = {{"shop", 1}};
    fleet.publish();
    fleet.rows->nodes.erase("n1");
    fleet.add_instance("n4", "books");
    run_until([&] { return fleet.send("/shop/1", "", 3).status == 200; });
    CHECK(fleet.rows->nodes.count("n1") == 1);
}

// Guards against the stale row of a node whose address another one has taken:
// failed exchanges with the old one must not close connections of the new one.
TEST_CASE(
    "a stale row with another node's address does not close its connections")
{
    auto& fleet = make_fleet();
    fleet.rows->config.routes[0].kind = fj::execution::unique;
    fleet.publish();
    auto gone = fleet.rows->nodes.at("n2");
    gone.node = "gone";
    fleet.rows->nodes["gone"] = gone;
    fleet.instances.push_back(std::make_unique<test_instance>(
        fleet.rows, "n4", "shop", milliseconds(60'000)));
    run_until([&] { return fleet.instances[3]->is_ready(); });
    fleet.instances[3]->send_heartbeat();
    fleet.instances[2]->send_heartbeat(true);
    run_until([&] { return fleet.send("/books/1", "key-1", 3).status == 200; });
    // Exchanges with the stale node fail during this time.
    fleet.instances[1]->service_time = milliseconds(3000);
    const auto slow = start(fleet.exchange("/books/1", "key-1", 3, "POST"));
    run_until([&] { return slow->has_value(); });
    CHECK((*slow)->status == 200);
}

// Not run by default: a workload for profilers, such as
// `valgrind --tool=callgrind mesh_test "[load]"`.
TEST_CASE(
    "2000 sequential requests through one entry node succeed", "[.][load]")
{
    auto& fleet = make_fleet();
    fj::http_client client(
        io().get_executor(), fleet.instances[0]->settings.callers,
        fj::http_limits{});
    const auto send_all = [&]() -> fj::awaitable<int> {
        int served = 0;
        for (int i = 0; i < 2000; ++i) {
            if (i % 100 == 0) {
                for (const auto& instance : fleet.instances)
                    instance->send_heartbeat();
            }
            fj::streamed_request request;
            request.method = "GET";
            request.target = "/books/1";
            request.headers = {
                {"host", "h"},
                {"id", fmt::format("load-{}", i)},
                {"key", "key-1"}};
            request.content_length = 0;
            request.body = fj::empty_body();
            auto head =
                co_await client.send(std::move(request), far_deadline());
            if (!head)
                continue;
            auto body =
                co_await fj::read_body(std::move(head.value().body), 1 << 20);
            served += body && head.value().status == 200 ? 1 : 0;
        }
        co_return served;
    };
    CHECK(run(send_all()) == 2000);
}
