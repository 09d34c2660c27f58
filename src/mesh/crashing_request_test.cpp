// End-to-end tests of requests that crash backend servers, with complete nodes
// on loopback.

#include <mesh/mesh_test_fleet.hpp>

using namespace fulmarjunction::test;

namespace {

constexpr std::string_view crashing_path = "/books/crash";
constexpr std::string_view key = "key-1";

/// Creates a fleet of four backend servers of the service `books`.
test_fleet& make_book_fleet()
{
    auto& fleet = make_fleet();
    for (const auto* name : {"n4", "n5"})
        fleet.add_instance(name, "books");
    return fleet;
}

int count_crashes(const test_fleet& fleet)
{
    int crashes = 0;
    for (const auto& instance : fleet.instances)
        crashes += instance->crashes;
    return crashes;
}

void wait_for(milliseconds time)
{
    const auto until = fj::clock::now() + time;
    run_until([&] { return fj::clock::now() >= until; });
}

/// Sends the crashing request through all nodes in turn, each time after the
/// backend server that it crashed before has been started again.
/// @return the last answer
test_fleet::answer send_crashing(test_fleet& fleet, std::size_t times)
{
    test_fleet::answer last;
    for (std::size_t sent = 0; sent < times; ++sent) {
        last = fleet.send(
            std::string(crashing_path), std::string(key),
            sent % fleet.instances.size());
        wait_for(milliseconds(500));
    }
    return last;
}

} // namespace

// Guards against a request that ends one backend server after the other because
// its caller sends it again and again through any node.
TEST_CASE(
    "a request that crashes its backend server crashes at most two",
    "[known-red]")
{
    auto& fleet = make_book_fleet();
    const auto last = send_crashing(fleet, 8);
    CHECK(count_crashes(fleet) <= 2);
    CHECK(last.status == 503);
    CHECK(fleet.send("/books/1", std::string(key)).status == 200);
}
