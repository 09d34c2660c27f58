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
