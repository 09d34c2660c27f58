// End-to-end tests of backend servers that name a limit in their answers, with
// complete nodes on loopback.

#include <mesh/mesh_test_fleet.hpp>

#include <algorithm>

using namespace fulmarjunction::test;

namespace {

const std::string key = "key-1";

/// Requests that a backend server may receive in `time`: one and a half times
/// its limit, and five.
int allowed_runs(double limit, milliseconds time)
{
    return static_cast<int>(1.5 * limit * fj::to_seconds(time) + 5);
}

} // namespace

// Guards against a server in need that gets far more requests than it has
// asked for.
TEST_CASE("a server gets no more requests than the limit that it names")
{
    auto& fleet = make_fleet();
    constexpr double limit = 5;
    constexpr milliseconds time(4000);
    for (const auto& instance : fleet.instances)
        instance->named_limit = limit;
    fleet.send_evenly("/books/1", key, 40, milliseconds(500));
    for (const auto& instance : fleet.instances)
        instance->runs = 0;
    fleet.send_evenly("/books/1", key, 400, time);
    for (const auto& instance : fleet.instances)
        CHECK(instance->runs <= allowed_runs(limit, time));
    CHECK(fleet.instances[1]->runs + fleet.instances[2]->runs > 30);
}

// Guards against a limit that outlives the need.
TEST_CASE("a server that names no limit any more gets all requests again")
{
    auto& fleet = make_fleet();
    for (const auto& instance : fleet.instances)
        instance->named_limit = 5;
    fleet.send_evenly("/books/1", key, 40, milliseconds(500));
    for (const auto& instance : fleet.instances)
        instance->named_limit.reset();
    run_until([&] {
        const auto answers =
            fleet.send_evenly("/books/1", key, 40, milliseconds(400));
        return std::all_of(
            answers.begin(), answers.end(),
            [](const test_fleet::answer& answer) {
                return answer.status == 200;
            });
    });
}

// Guards against a node that floods its backend server after a restart, before
// it knows the limit again.
TEST_CASE("a node that has just started does not exceed an unknown limit")
{
    auto& fleet = make_fleet();
    constexpr double limit = 5;
    constexpr milliseconds time(2000);
    for (const auto& instance : fleet.instances)
        instance->send_heartbeat(instance->settings.service == "books");
    auto& limited = fleet.add_instance("n4", "books");
    limited.named_limit = limit;
    limited.service_time = milliseconds(100);
    fleet.send_evenly("/books/1", key, 200, time);
    CHECK(limited.runs <= allowed_runs(limit, time));
    CHECK(limited.runs > 5);
}
