// Tests the form in which departures of backend servers are stored.

#include "departure_archive.hpp"

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
