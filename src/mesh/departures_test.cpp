// Tests departures of backend servers: their form in the store and between
// nodes, and the copies that other nodes keep.

#include <fulmarjunction/mesh/departures.hpp>

#include <catch2/catch.hpp>

namespace fj = fulmarjunction;
using fj::seconds;

// Guards against a departure that is forgotten because it can't be read, and
// against one that is kept for longer with each restart.
TEST_CASE("stored departures are read with their age")
{
    const fj::time_point start{seconds(1000)};
    const std::vector<fj::backend_departure> departures = {
        {"a", 10, std::nullopt, start},
        {"b", std::nullopt, std::uint64_t{7}, start + seconds(2)}};
    const auto text = fj::format_departures(departures, start + seconds(5));
    const fj::time_point stored_at{seconds(200)};
    const auto read = fj::parse_departures(text, stored_at);
    REQUIRE(read);
    REQUIRE(read.value().size() == 2);
    CHECK(read.value()[0].id == "a");
    CHECK(read.value()[0].start_time_ms == 10);
    CHECK_FALSE(read.value()[0].sequence);
    CHECK(read.value()[0].announced_at == stored_at - seconds(5));
    CHECK_FALSE(read.value()[1].start_time_ms);
    CHECK(read.value()[1].sequence == 7U);
    CHECK(read.value()[1].announced_at == stored_at - seconds(3));
}

// Guards against a row of another writer that crashes the node at its start.
TEST_CASE("malformed departures are refused")
{
    for (const auto* text :
         {"", "{}", "[1]", R"([{"id":"a"}])", R"([{"id":1,"age_ms":0}])",
          R"([{"id":"a","age_ms":-1}])", R"([{"id":"a","age_ms":0,"x":1}])"})
        CHECK_FALSE(fj::parse_departures(text, fj::time_point{}));
}

// Guards against a departure that is forgotten because its node, which has
// restarted without knowing it, announces another one.
TEST_CASE("copies of departures are merged")
{
    const fj::time_point start{seconds(1000)};
    const fj::backend_departure left{"a", 10, std::nullopt, start};
    const fj::backend_departure early{"b", 20, std::uint64_t{5}, start};
    const fj::backend_departure late{"b", 20, std::uint64_t{7}, start};
    fj::departure_copies copies;
    copies.record("n1", {left, late});
    copies.record("n1", {early});
    // One that has left can't be draining any more.
    copies.record("n1", {{"a", 10, std::uint64_t{9}, start}});
    copies.record("n2", {});
    const auto known = copies.of("n1", start);
    REQUIRE(known.size() == 2);
    CHECK_FALSE(known[0].sequence);
    CHECK(known[1].sequence == 7U);
    CHECK(copies.of("n2", start).empty());
    CHECK(copies.of("n3", start).empty());
}

// Guards against copies that stay for ever, and against the loss of those that
// are still needed.
TEST_CASE("copies of departures expire")
{
    const fj::time_point start{seconds(1000)};
    fj::departure_copies copies;
    copies.record("n1", {{"a", 10, std::nullopt, start}});
    copies.expire(start + fj::departure_retention - seconds(1));
    CHECK(copies.of("n1", start).size() == 1);
    copies.expire(start + fj::departure_retention);
    CHECK(copies.of("n1", start).empty());
}

// Guards against departures that are sent again and again because they age, and
// against changes that are not sent.
TEST_CASE("the digest of departures changes with their content only")
{
    const fj::time_point start{seconds(1000)};
    const fj::backend_departure left{"a", 10, std::nullopt, start};
    auto older = left;
    older.announced_at -= seconds(5);
    auto draining = left;
    draining.sequence = 7;
    const auto digest = fj::departures_digest({left});
    CHECK_FALSE(digest.empty());
    CHECK(fj::departures_digest({older}) == digest);
    CHECK(fj::departures_digest({draining}) != digest);
    CHECK(fj::departures_digest({}).empty());
}
