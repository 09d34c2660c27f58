#include "virtual_time.hpp"

#include <fulmarjunction/platform/bounded_table_service.hpp>
#include <fulmarjunction/platform/table_core.hpp>
#include <fulmarjunction/platform/table_json.hpp>

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

namespace fj = fulmarjunction;
namespace json = boost::json;

namespace {

// A bounded service on a core, in virtual time.
struct bounded_fixture
{
    explicit bounded_fixture(fj::platform_policy policy = {})
    {
        const auto sleep = [this](fj::duration span) {
            return time.sleep(span);
        };
        inner = fj::make_table_service(core, sleep);
        bounded = fj::make_bounded_table_service(
            inner, policy,
            {[this] { return time.now(); }, sleep, [] { return 0.5; }});
    }

    fj::detail::virtual_time time;
    fj::table_core core;
    fj::table_service inner;
    fj::table_service bounded;
};

fj::table_transaction
write_of(const std::string& key, fj::table_version expected, int value)
{
    return {{{key, expected}}, {{key, json::value(value)}}};
}

} // namespace

TEST_CASE("reads are retried a bounded number of times", "[platform]")
{
    bounded_fixture fixture;
    fixture.core.set_fault({fj::fault_mode::down, {}, 2});
    CHECK(fixture.time.run(fixture.bounded.get("a")));
    CHECK(fixture.core.counters.gets == 3);
    // 50 ms and 100 ms: half of the maximum waits, since `random` returns 0.5.
    CHECK(fj::to_milliseconds(fixture.time.now() - fj::time_point{}) == 150);

    fixture.core.set_fault({fj::fault_mode::down, {}, 0});
    const auto refused = fixture.time.run(fixture.bounded.list(0, 10));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == fj::errc::unavailable);
    CHECK(fixture.core.counters.lists == 3);
}

TEST_CASE(
    "a call to a slow store ends at the deadline of the attempt", "[platform]")
{
    bounded_fixture fixture({.read_attempts = 1});
    fixture.core.set_fault({fj::fault_mode::slow, fj::seconds(60), 0});
    const auto delayed = fixture.time.run(fixture.bounded.get("a"));
    REQUIRE_FALSE(delayed);
    CHECK(delayed.error().code == fj::errc::timeout);
    CHECK(fixture.time.now() - fj::time_point{} == fj::seconds(2));
}

TEST_CASE("a write is not retried after an indeterminate answer", "[platform]")
{
    bounded_fixture fixture;
    fixture.core.set_fault({fj::fault_mode::lose_answers, {}, 0});
    const auto lost =
        fixture.time.run(fixture.bounded.commit(write_of("a", 0, 1)));
    REQUIRE_FALSE(lost);
    CHECK(fj::is_indeterminate(lost.error()));
    CHECK(fixture.core.counters.commits == 1);
    CHECK(fixture.core.head() == 1);
}

TEST_CASE("a node limits its calls to a store that is down", "[platform]")
{
    bounded_fixture fixture({.calls_per_s = 10, .call_burst = 20});
    fixture.core.set_fault({fj::fault_mode::down, {}, 0});
    int refused = 0;
    for (int i = 0; i != 1000; ++i) {
        const auto answer = fixture.time.run(fixture.bounded.get("a"));
        if (answer.error().code == fj::errc::budget_exhausted)
            ++refused;
    }
    const auto span = fj::to_seconds(fixture.time.now() - fj::time_point{});
    CHECK(refused > 0);
    CHECK(
        static_cast<double>(fixture.core.counters.gets) <= 20 + 10 * span + 1);
}

TEST_CASE("commit_idempotent resolves an indeterminate answer", "[platform]")
{
    struct fault
    {
        std::string name;
        fj::platform_fault fault;
        bool committed = false;
        std::uint64_t commits = 0;
    };
    const fault faults[] = {
        {"the answer is lost", {fj::fault_mode::lose_answers, {}, 1}, true, 1},
        {"nothing took effect", {fj::fault_mode::down, {}, 1}, true, 2},
        {"the store stays down", {fj::fault_mode::down, {}, 0}, false, 1},
        {"two answers are lost",
         {fj::fault_mode::lose_answers, {}, 2},
         false,
         1},
    };
    for (const auto& fault : faults) {
        INFO(fault.name);
        bounded_fixture fixture;
        fixture.core.set_fault(fault.fault);
        const auto answer = fixture.time.run(
            fj::commit_idempotent(fixture.inner, write_of("a", 0, 1)));
        CHECK(answer.has_value() == fault.committed);
        CHECK(fixture.core.counters.commits == fault.commits);
        if (answer) {
            CHECK(answer.value() == 1);
            CHECK(fixture.core.get("a")->value == 1);
        }
    }
}

TEST_CASE(
    "commit_idempotent does not take another writer's row for its own",
    "[platform]")
{
    bounded_fixture fixture;
    REQUIRE(fixture.core.commit(write_of("a", 0, 7)));
    // A definite conflict needs no read-back.
    const auto conflict = fixture.time.run(
        fj::commit_idempotent(fixture.inner, write_of("a", 0, 1)));
    REQUIRE_FALSE(conflict);
    CHECK(conflict.error().code == fj::errc::conflict);
    CHECK(fixture.core.counters.gets == 0);
    // A conflict whose answer was lost cannot be distinguished from an
    // overwritten write.
    fixture.core.set_fault({fj::fault_mode::lose_answers, {}, 1});
    const auto indeterminate = fixture.time.run(
        fj::commit_idempotent(fixture.inner, write_of("a", 0, 1)));
    REQUIRE_FALSE(indeterminate);
    CHECK(fj::is_indeterminate(indeterminate.error()));
    CHECK(fixture.core.get("a")->value == 7);
}

TEST_CASE(
    "a transaction round-trips through JSON; invalid ones are refused",
    "[platform]")
{
    fj::table_transaction change = write_of("a", 3, 1);
    change.writes.push_back({"b", std::nullopt});
    const auto document = fj::to_json(change);
    CHECK(
        fj::to_json(fj::parse_table_transaction(document).value()) == document);
    for (const char* text :
         {R"({"writes":[{"key":"a","value":1}]})",
          R"({"conditions":[],"writes":[{"key":"a"}]})",
          R"({"conditions":[],"writes":[{"key":"a","value":1,"delete":true}]})",
          R"({"conditions":[{"key":"a","expect":1}],"writes":[]})",
          R"({"conditions":[{"key":"a","expected":-1}],"writes":[]})"}) {
        INFO(text);
        CHECK_FALSE(fj::parse_table_transaction(json::parse(text)));
    }
}

TEST_CASE("a list out of version order is refused", "[platform]")
{
    const auto parse = [](const char* text) {
        return fj::parse_row_list(json::parse(text));
    };
    CHECK(parse(
        R"({"rows":[{"key":"a","version":1,"value":0}],"complete_to":1,"head":2})"));
    CHECK_FALSE(parse(
        R"({"rows":[{"key":"a","version":2,"value":0}],"complete_to":1,"head":2})"));
    CHECK_FALSE(parse(
        R"({"rows":[{"key":"a","version":2,"value":0},)"
        R"({"key":"b","version":1,"value":0}],"complete_to":2,"head":2})"));
}
