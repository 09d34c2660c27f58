// End-to-end tests of requests that crash backend servers, with complete nodes
// on loopback.

#include <mesh/mesh_test_fleet.hpp>

#include <fulmarjunction/serving/body.hpp>

#include <optional>
#include <vector>

using namespace fulmarjunction::test;

namespace {

const std::string crashing_path = "/books/crash";
const std::string key = "key-1";

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

void send_heartbeats(test_fleet& fleet)
{
    for (const auto& instance : fleet.instances) {
        if (instance->is_backend_running)
            instance->send_heartbeat();
    }
}

/// Sends the crashing request through all nodes in turn, each time after the
/// backend server that it crashed before has been started again.
/// @return the last answer
test_fleet::answer send_crashing(test_fleet& fleet, std::size_t times)
{
    test_fleet::answer last;
    for (std::size_t sent = 0; sent < times; ++sent) {
        last = fleet.send(crashing_path, key, sent % fleet.instances.size());
        wait_for(milliseconds(500));
        send_heartbeats(fleet);
    }
    return last;
}

} // namespace

// Guards against a request that ends one backend server after the other because
// its caller sends it again and again through any node.
TEST_CASE("a request that crashes its backend server crashes at most two")
{
    auto& fleet = make_book_fleet();
    const auto last = send_crashing(fleet, 8);
    CHECK(count_crashes(fleet) <= 2);
    CHECK(last.status == 503);
    CHECK(fleet.send("/books/1", key).status == 200);
}

// Guards against a second attempt, after a pause, that goes on to end servers.
TEST_CASE("a request refused after two crashes runs only once more")
{
    auto& fleet = make_book_fleet();
    const auto last = send_crashing(fleet, 40);
    CHECK(count_crashes(fleet) == 3);
    CHECK(last.status == 503);
}

// Guards against a node that forgets at its start which requests crash servers.
TEST_CASE("a node that has just started refuses a request that crashes servers")
{
    auto& fleet = make_book_fleet();
    send_crashing(fleet, 4);
    CHECK(count_crashes(fleet) == 2);
    fleet.add_instance("n6", "books");
    wait_for(milliseconds(2500));
    CHECK(fleet.send(crashing_path, key, 5).status == 503);
    CHECK(count_crashes(fleet) == 2);
}

// Guards against a booking that ends one server for each time it is sent.
TEST_CASE("a request that is not idempotent crashes at most two servers")
{
    auto& fleet = make_book_fleet();
    fleet.rows->config.routes[0].kind = fj::execution::unique;
    fleet.publish();
    CHECK(send_crashing(fleet, 8).status == 503);
    CHECK(count_crashes(fleet) <= 2);
}

// Guards against requests that are lost or refused because they ran beside one
// that crashed their server.
TEST_CASE("requests in flight at a crash are served by other servers")
{
    auto& fleet = make_book_fleet();
    // First attempts earn the budget that the retries need.
    for (int i = 0; i < 60; ++i)
        CHECK(fleet.send("/books/1", key).status == 200);
    for (const auto& instance : fleet.instances)
        instance->service_time = milliseconds(200);
    constexpr int besides = 4;
    std::vector<std::shared_ptr<std::optional<test_fleet::answer>>> answers;
    answers.reserve(besides);
    for (int i = 0; i < besides; ++i) {
        answers.push_back(start(
            fleet.exchange(fmt::format("/books/beside-{}", i), key, 0, "GET")));
    }
    const auto crash = start(fleet.exchange(crashing_path, key, 0, "GET"));
    run_until([&] { return crash->has_value(); });
    for (int i = 0; i < besides; ++i) {
        run_until([&] { return answers[i]->has_value(); });
        CHECK((*answers[i])->status == 200);
        wait_for(milliseconds(500));
        CHECK(
            fleet.send(fmt::format("/books/beside-{}", i), key).status == 200);
    }
}

// Guards against requests that are refused because connections were lost.
TEST_CASE("lost connections to a running server make no request suspect")
{
    auto& fleet = make_book_fleet();
    for (const auto& instance : fleet.instances)
        instance->resets_connections = true;
    for (int i = 0; i < 6; ++i)
        CHECK(fleet.send("/books/1", key).status == 502);
    for (const auto& instance : fleet.instances)
        instance->resets_connections = false;
    CHECK(fleet.send("/books/1", key).status == 200);
}

// Guards against requests that are refused because servers left as announced.
TEST_CASE("the end of a draining server makes no request suspect")
{
    auto& fleet = make_book_fleet();
    fleet.rows->config.routes[0].kind = fj::execution::unique;
    fleet.publish();
    for (std::size_t index = 1; index < 3; ++index) {
        auto& leaving = *fleet.instances[index];
        leaving.service_time = milliseconds(300);
        leaving.runs = 0;
        std::vector<std::shared_ptr<std::optional<test_fleet::answer>>> answers;
        while (leaving.runs == 0) {
            answers.push_back(
                start(fleet.exchange("/books/1", key, 0, "POST")));
            wait_for(milliseconds(20));
        }
        leaving.send_heartbeat(true);
        leaving.backend->close();
        for (const auto& answer : answers)
            run_until([&] { return answer->has_value(); });
        leaving.service_time = milliseconds(0);
    }
    CHECK(fleet.send("/books/1", key, 0, "POST").status == 200);
}

// Guards against a request that crashes two more servers for each account that
// sends it.
TEST_CASE("a request that crashes servers is refused for every account")
{
    auto& fleet = make_book_fleet();
    fj::account_entry south;
    south.plan.name = "south";
    south.keys = {"key-2"};
    fleet.rows->config.accounts.push_back(south);
    fleet.publish();
    send_crashing(fleet, 4);
    CHECK(count_crashes(fleet) == 2);
    CHECK(fleet.send(crashing_path, "key-2").status == 503);
    CHECK(count_crashes(fleet) == 2);
}

// Guards against a request that crashes one server each time it is sent because
// the answers to equal requests of another service clear its crashes.
TEST_CASE("answers to other callers do not clear the crashes of a request")
{
    auto& fleet = make_book_fleet();
    for (const auto* name : {"n6", "n7", "n8"})
        fleet.add_instance(name, "shop");
    fleet.rows->config.routes[0].kind = fj::execution::unique;
    fleet.publish();
    for (const auto& instance : fleet.instances)
        instance->crashing_caller = "shop";
    const std::vector<std::size_t> shops = {0, 5, 6, 7};
    const std::vector<std::size_t> others = {1, 2, 3, 4};
    constexpr std::size_t rounds = 12;
    std::size_t answered = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        // No node sends it often enough to refuse it for what it saw itself.
        fleet.send(crashing_path, key, shops[round % shops.size()]);
        wait_for(milliseconds(500));
        send_heartbeats(fleet);
        for (const auto index : others)
            answered +=
                fleet.send(crashing_path, key, index).status == 200 ? 1 : 0;
    }
    CHECK(count_crashes(fleet) <= 2);
    CHECK(fleet.send(crashing_path, key, shops[0]).status == 503);
    // Equal requests of other callers are served between the crashes.
    CHECK(answered == rounds * others.size());
}

// Guards against a request that crashes one server each time it is sent because
// answers to others clear its crashes, whose bodies differ at the end only.
TEST_CASE("answers to other bodies do not clear the crashes of a request")
{
    // A form, a body that is just not buffered, and a larger one.
    const std::size_t begin_size = GENERATE(4200, 65'536, 200'000);
    const bool has_length = GENERATE(true, false);
    CAPTURE(begin_size, has_length);
    auto& fleet = make_book_fleet();
    fleet.rows->config.routes[0].kind = fj::execution::unique;
    fleet.publish();
    const std::string begin(begin_size, 'x');
    const std::string path = "/books/order";
    constexpr std::size_t rounds = 8;
    const auto count = fleet.instances.size();
    std::size_t answered = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        fleet.send_body(
            path, key, round % count, begin + crashing_body_end, has_length);
        wait_for(milliseconds(500));
        send_heartbeats(fleet);
        for (std::size_t index = 0; index < count; ++index) {
            const auto other = fleet.send_body(
                path, key, index, begin + std::to_string(index), has_length);
            answered += other.status == 200 ? 1 : 0;
        }
    }
    // The first crash of a body that is not buffered is known by its beginning
    // only, under which all bodies that begin alike are told apart.
    const int allowed = begin_size < fj::max_buffered_body_bytes ? 2 : 3;
    CHECK(count_crashes(fleet) <= allowed);
    CHECK(answered == rounds * count);
}

// Guards against copies of a request that wait at the same gate and crash each
// process that the backend server starts meanwhile under its old id.
TEST_CASE("copies that wait while a request crashes servers do not run")
{
    auto& fleet = make_book_fleet();
    for (const auto& instance : fleet.instances) {
        instance->keeps_id = true;
        instance->restart_delay = milliseconds(50);
        instance->service_time = milliseconds(100);
    }
    send_crashing(fleet, 1);
    CHECK(count_crashes(fleet) == 1);
    std::vector<std::shared_ptr<std::optional<test_fleet::answer>>> answers;
    constexpr std::size_t copies = 10;
    answers.reserve(copies);
    for (std::size_t i = 0; i < copies; ++i) {
        answers.push_back(
            start(fleet.exchange(crashing_path, key, i % 5, "GET")));
    }
    for (const auto& answer : answers)
        run_until([&] { return answer->has_value(); });
    CHECK(count_crashes(fleet) == 2);
}

// Guards against a request that comes back after all nodes have been lost, and
// crashes as many servers again.
TEST_CASE("a node that starts knows of crashes from before all nodes were lost")
{
    auto& lost = make_book_fleet();
    send_crashing(lost, 6);
    REQUIRE(count_crashes(lost) >= 2);
    run_until([&] { return !lost.rows->suspects.empty(); });

    auto& fleet = make_fleet();
    fleet.rows->suspects = lost.rows->suspects;
    fleet.add_instance("n4", "books");
    fleet.instances[1]->send_heartbeat(true);
    fleet.instances[2]->send_heartbeat(true);
    run_until([&] { return fleet.send("/books/1", key, 3).body == "n4"; });
    CHECK(fleet.send(crashing_path, key, 3).status == 503);
    CHECK(count_crashes(fleet) == 0);
}
