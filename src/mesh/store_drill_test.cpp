// End-to-end tests of a store that comes back from a copy some seconds old,
// with complete nodes on loopback.

#include <mesh/mesh_test_fleet.hpp>

using namespace fulmarjunction::test;

namespace {

const std::string key = "key-1";

/// Nodes check their rows by themselves long after the end of a test.
constexpr milliseconds no_row_check{600'000};
/// Time for which a test waits for what takes a second or two.
constexpr std::chrono::seconds patience{20};

void wait_for(milliseconds time)
{
    const auto until = fj::clock::now() + time;
    run_until([&] { return fj::clock::now() >= until; });
}

/// @return whether it came true in time
template <class Predicate>
bool comes_true(Predicate condition)
{
    const auto until = fj::clock::now() + patience;
    run_until([&] { return condition() || fj::clock::now() >= until; });
    return condition();
}

/// Creates a fleet with a route for requests of the service `solo`.
test_fleet& make_solo_fleet()
{
    auto& fleet = make_fleet(milliseconds(60'000), no_row_check);
    auto& routes = fleet.rows->config.routes;
    routes.push_back(test_fleet::make_route("solo", "/solo/", true));
    routes.back().targets = {{"solo", 1}};
    fleet.publish();
    return fleet;
}

fj::awaitable<bool> wait_until_stored(test_instance& instance)
{
    co_await instance.hooks.departures_stored();
    co_return true;
}

bool reaches_solo(test_fleet& fleet, std::size_t index)
{
    return comes_true(
        [&] { return fleet.send("/solo/1", "", index).status == 200; });
}

} // namespace

// Guards against two nodes that count the same account at its full rate: the
// store has lost the row of one, and the other starts without knowing it.
TEST_CASE("a node that starts finds those whose rows the store has lost")
{
    auto& fleet = make_solo_fleet();
    const auto copy = *fleet.rows;
    fleet.add_instance("n4", "solo");
    const auto drills = GENERATE(1, 2);
    const auto start_after = GENERATE(milliseconds(0), milliseconds(2500));
    CAPTURE(drills, start_after.count());
    for (int drill = 0; drill < drills; ++drill) {
        fleet.rows->come_back_from(copy);
        CHECK(fleet.rows->nodes.count("n4") == 0);
        wait_for(milliseconds(drill * 700));
    }
    wait_for(start_after);
    fleet.add_instance("n5", "books");
    CHECK(reaches_solo(fleet, 4));
    CHECK(comes_true([&] { return fleet.rows->nodes.count("n4") == 1; }));
    CHECK(fleet.rows->nodes.count("n5") == 1);
}

// Guards against the loss of the rows written during a start: the store comes
// back between the write of a node's row and its read of the others.
TEST_CASE("a node that starts while the store comes back writes its row again")
{
    auto& fleet = make_solo_fleet();
    auto copy = *fleet.rows;
    copy.secret.clear();
    fleet.start_with_slow_secret("n4", "solo");
    fleet.rows->come_back_from(copy);
    fleet.rows->secret_delay = {};
    REQUIRE(comes_true([&] { return fleet.instances[3]->is_ready(); }));
    fleet.instances[3]->send_heartbeat();
    CHECK(comes_true([&] { return fleet.rows->nodes.count("n4") == 1; }));
    fleet.add_instance("n5", "books");
    CHECK(reaches_solo(fleet, 4));
}

// Guards against a row of a node that has left and that is there again.
TEST_CASE("a node that leaves while the store comes back removes its row")
{
    auto& fleet = make_solo_fleet();
    auto& leaving = *fleet.instances[1];
    const auto copy = *fleet.rows;
    bool has_stopped = false;
    leaving.send_heartbeat(true);
    leaving.service_time = milliseconds(100);
    leaving.process->stop([&] { has_stopped = true; });
    run_until([&] { return fleet.rows->nodes.count("n2") == 0; });
    fleet.rows->come_back_from(copy);
    REQUIRE(fleet.rows->nodes.count("n2") == 1);
    run_until([&] { return has_stopped; });
    CHECK(fleet.rows->nodes.count("n2") == 0);
}

// Guards against a fleet that is split because its secret is lost.
TEST_CASE("nodes restore a secret that the store has lost")
{
    auto& fleet = make_solo_fleet();
    auto copy = *fleet.rows;
    const auto secret = std::exchange(copy.secret, "");
    fleet.rows->come_back_from(copy);
    CHECK(comes_true([&] { return fleet.rows->secret == secret; }));
}

// Guards against requests to a backend server that has left: the store has lost
// the leave, and then the node restarts and the server's copies are lost.
TEST_CASE("a leave that the store has lost is stored again")
{
    auto& fleet = make_solo_fleet();
    const auto copy = *fleet.rows;
    auto& leaving = *fleet.instances[1];
    leaving.hooks.leave({leaving.backend_id(), leaving.backend_starts});
    run(wait_until_stored(leaving));
    REQUIRE(fleet.rows->departures.count("n2") == 1);
    const auto drills = GENERATE(1, 2);
    for (int drill = 0; drill < drills; ++drill) {
        fleet.rows->come_back_from(copy);
        REQUIRE(fleet.rows->departures.empty());
        CHECK(comes_true([&] { return !fleet.rows->departures.empty(); }));
    }
}

// Guards against a request that crashes servers again after the store has lost
// what is known of it, and then all nodes have been lost.
TEST_CASE("suspects that the store has lost are stored again")
{
    auto& fleet = make_solo_fleet();
    for (const auto* name : {"n4", "n5"})
        fleet.add_instance(name, "books");
    const auto copy = *fleet.rows;
    for (std::size_t sent = 0; fleet.rows->suspects.empty(); ++sent) {
        REQUIRE(sent < 40);
        fleet.send("/books/crash", key, sent % fleet.instances.size());
        wait_for(milliseconds(500));
        for (const auto& instance : fleet.instances) {
            if (instance->is_backend_running)
                instance->send_heartbeat();
        }
    }
    const auto stored = fleet.rows->suspects.size();
    fleet.rows->come_back_from(copy);
    REQUIRE(fleet.rows->suspects.empty());
    CHECK(comes_true([&] { return fleet.rows->suspects.size() == stored; }));
}
