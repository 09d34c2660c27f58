// End-to-end tests of backend servers that say in their answers that they
// leave, with complete nodes on loopback.

#include <mesh/mesh_test_fleet.hpp>

using namespace fulmarjunction::test;

namespace {

const std::string key = "key-1";

} // namespace

// Guards against requests that a leaving server cuts off, since only its
// answers tell that it leaves.
TEST_CASE("a server that says in its answers that it leaves gets no more")
{
    auto& fleet = make_fleet();
    auto& leaving = *fleet.instances[1];
    leaving.says_leaving = true;
    for (int sent = 0; leaving.runs == 0; ++sent)
        fleet.send("/books/1", key, static_cast<std::size_t>(sent) % 3);
    leaving.runs = 0;
    // A heartbeat may have been on its way when the server decided to leave.
    leaving.send_heartbeat();
    for (const auto& answer :
         fleet.send_evenly("/books/1", key, 60, milliseconds(500)))
        CHECK(answer.status == 200);
    CHECK(leaving.runs == 0);
}

// Guards against rows that pile up in the store, one for each node that has
// ended after its backend server, and against the loss of those still needed.
TEST_CASE("old departures of nodes that are gone are removed")
{
    auto& fleet = make_fleet();
    auto& stored = fleet.rows->departures;
    fleet.rows->departures_age = fj::departure_retention - fj::seconds(1);
    stored["gone"] = "[]";
    const auto wait_for_row_check = [] {
        const auto until = fj::clock::now() + fj::seconds(3);
        run_until([&] { return fj::clock::now() >= until; });
    };
    wait_for_row_check();
    CHECK(stored.contains("gone"));
    fleet.rows->departures_age = fj::departure_retention;
    // Each node removes its own.
    stored["n1"] = "[]";
    run_until([&] { return !stored.contains("gone"); });
    wait_for_row_check();
    CHECK(stored.contains("n1"));
}
