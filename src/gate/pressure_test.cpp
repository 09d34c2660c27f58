// Guards against admitting requests at the entry whose calls a downstream
// service has no capacity for, and against shedding requests of other routes.

#include <fulmarjunction/gate/call_pressure.hpp>
#include <fulmarjunction/gate/root_shedding.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace fj = fulmarjunction;
using std::chrono::milliseconds;

namespace {

const fj::time_point start{std::chrono::seconds(1000)};

/// Advances by a number of windows in which some of the calls are refused.
void refuse_calls(
    fj::call_pressure& pressure, fj::time_point& now, int windows,
    int refused_of_ten)
{
    for (int window = 0; window < windows; ++window) {
        for (int call = 0; call < 100; ++call) {
            pressure.count(
                true, call % 10 < refused_of_ten ? fj::gate_outcome::refused
                                                 : fj::gate_outcome::in_time);
        }
        now += milliseconds(500);
        pressure.advance(now, 0.9);
    }
}

/// Offers requests and returns how many are refused.
int count_refused(
    fj::root_shedding& shedding, const std::string& route, unsigned priority,
    int requests, fj::time_point now)
{
    int refused = 0;
    for (int i = 0; i < requests; ++i)
        refused += shedding.should_refuse(route, priority, now) ? 1 : 0;
    return refused;
}

/// Records requests of a route that fail because a service has no free slot.
void record_failures(
    fj::root_shedding& shedding, const std::string& route, unsigned priority,
    const std::string& service, fj::time_point now)
{
    for (int i = 0; i < 5; ++i) {
        shedding.should_refuse(route, priority, now);
        shedding.record_downstream_refusal(route, priority, service, now);
    }
}

} // namespace

TEST_CASE("without refused calls the level stays at zero")
{
    fj::call_pressure pressure;
    auto now = start;
    refuse_calls(pressure, now, 20, 0);
    CHECK(pressure.level() == 0);
}

TEST_CASE("refused calls raise the level, and it falls when they end")
{
    fj::call_pressure pressure;
    auto now = start;
    refuse_calls(pressure, now, 1, 2);
    CHECK(pressure.level() == Approx(0.2));
    // The first rise has not taken effect yet, so the level stays.
    refuse_calls(pressure, now, 2, 2);
    CHECK(pressure.level() == Approx(0.2));
    refuse_calls(pressure, now, 1, 2);
    CHECK(pressure.level() == Approx(0.4));
    refuse_calls(pressure, now, 30, 0);
    CHECK(pressure.level() == 0);
}

// Guards against requests that keep being admitted at the entry because their
// calls are refused by the senders and never reach the gate.
TEST_CASE("calls that their senders refuse raise the level")
{
    fj::call_pressure pressure;
    auto now = start;
    for (int window = 0; window < 4; ++window) {
        pressure.count_throttled(100);
        refuse_calls(pressure, now, 1, 0);
    }
    CHECK(pressure.level() >= 0.4);
}

TEST_CASE("the level falls fast once most slots are free")
{
    fj::call_pressure pressure;
    auto now = start;
    refuse_calls(pressure, now, 1, 2);
    for (int window = 0; window < 2; ++window) {
        now += milliseconds(500);
        pressure.advance(now, 0.3);
    }
    CHECK(pressure.level() == Approx(0).margin(1e-9));
}

TEST_CASE("root requests starved by calls raise the level too")
{
    fj::call_pressure pressure;
    for (int i = 0; i < 10; ++i) {
        pressure.count(true, fj::gate_outcome::in_time);
        pressure.count(
            false,
            i < 8 ? fj::gate_outcome::refused : fj::gate_outcome::in_time);
    }
    CHECK(pressure.advance(start, 1));
    CHECK(pressure.level() > 0);
}

TEST_CASE("without calls refused root requests do not raise the level")
{
    fj::call_pressure pressure;
    for (int i = 0; i < 10; ++i)
        pressure.count(false, fj::gate_outcome::refused);
    CHECK_FALSE(pressure.advance(start, 1));
    CHECK(pressure.level() == 0);
}

TEST_CASE("the levels of a service's gates are averaged")
{
    fj::pressure_summary summary;
    summary.add("stock", 0.6);
    summary.add("stock", 0);
    summary.add("shop", 0);
    const auto levels = summary.combine();
    CHECK(levels.at("stock") == Approx(0.3));
    CHECK_FALSE(levels.contains("shop"));
}

TEST_CASE(
    "the least important requests that lead to a full service are shed first")
{
    fj::root_shedding shedding;
    record_failures(shedding, "lookup", 2, "stock", start);
    record_failures(shedding, "booking", 0, "stock", start);
    shedding.should_refuse("export", 2, start);
    shedding.set_levels({{"stock", 0.25}});
    CHECK(count_refused(shedding, "lookup", 2, 100, start) == 25);
    CHECK(count_refused(shedding, "booking", 0, 100, start) == 0);
    CHECK(count_refused(shedding, "export", 2, 100, start) == 0);
    shedding.set_levels({{"stock", 1.5}});
    // A fifth is admitted to show when there is capacity again.
    CHECK(count_refused(shedding, "lookup", 2, 100, start) == 80);
    CHECK(count_refused(shedding, "booking", 0, 100, start) == 50);
    shedding.set_levels({});
    CHECK(count_refused(shedding, "lookup", 2, 100, start) == 0);
}

TEST_CASE("a few failures among many requests do not link a route to a service")
{
    fj::root_shedding shedding;
    for (int i = 0; i < 500; ++i)
        shedding.should_refuse("export", 2, start);
    for (int i = 0; i < 5; ++i)
        shedding.record_downstream_refusal("export", 2, "stock", start);
    shedding.set_levels({{"stock", 1}});
    CHECK(count_refused(shedding, "export", 2, 100, start) == 0);
}

TEST_CASE("unused routes are dropped when the limit is reached")
{
    fj::root_shedding shedding;
    for (int i = 0; i < 1000; ++i)
        shedding.should_refuse("old-" + std::to_string(i), 2, start);
    shedding.set_levels({{"stock", 0.5}});
    record_failures(shedding, "new", 2, "stock", start);
    CHECK(count_refused(shedding, "new", 2, 100, start) == 0);
    const auto later = start + std::chrono::minutes(2);
    record_failures(shedding, "new", 2, "stock", later);
    CHECK(count_refused(shedding, "new", 2, 100, later) == 50);
}

TEST_CASE("a refused call is remembered only briefly")
{
    fj::recent_refusal refused;
    CHECK(refused.service(start).empty());
    refused.record("stock", start);
    CHECK(refused.service(start + milliseconds(5)) == "stock");
    CHECK(refused.service(start + milliseconds(50)).empty());
}
