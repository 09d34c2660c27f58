#include <fulmarjunction/routing/balancer.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <random>

namespace fj = fulmarjunction;
using fj::milliseconds;

namespace {

const fj::time_point start{fj::seconds(100)};
using reason = fj::refusal_reason;

fj::routing_observation
answer(int latency_ms, std::optional<reason> why = std::nullopt)
{
    fj::routing_observation seen;
    seen.latency = milliseconds(latency_ms);
    seen.reason = why;
    if (why)
        seen.result = fj::outcome::not_run;
    return seen;
}

struct fixture
{
    fixture() : random(7), balancer("z1", [this] { return random(); })
    {
        set({{"i1", "z2", 0, 1}, {"i2", "z2", 0, 1}, {"i3", "z2", 0, 1}});
    }

    void set(std::vector<fj::routing_candidate> list)
    {
        balancer.set_instances("s", std::move(list), now);
    }

    // Makes calls that end at once and counts them for each instance.
    template <class Answer>
    std::map<fj::instance_name, int> run(int calls, Answer&& answer_of)
    {
        std::map<fj::instance_name, int> counts;
        for (int i = 0; i != calls; ++i) {
            const auto choice = balancer.choose("s", 1.5, {}, now);
            const auto name = choice.instance.value_or("none");
            ++counts[name];
            if (!choice.instance)
                continue;
            balancer.sent(name, now);
            now += milliseconds(1);
            balancer.ended(name, answer_of(name), now);
        }
        return counts;
    }

    std::mt19937_64 random;
    fj::time_point now = start;
    fj::balancer balancer;
};

} // namespace

TEST_CASE("an instance that refuses fast does not attract calls")
{
    fixture f;
    const auto counts = f.run(3000, [](const auto& name) {
        return name == "i1" ? answer(0, reason::overloaded) : answer(20);
    });
    CHECK(counts.at("i1") < 3000 / 6);
    CHECK(counts.at("i1") > 0);
}

TEST_CASE("inverted load reports neither empty nor flood an instance")
{
    fixture f;
    const auto counts = f.run(6000, [](const auto& name) {
        auto seen = answer(20);
        seen.reported_load = name == "i1" ? 0.0 : 1.0;
        return seen;
    });
    CHECK(counts.at("i1") < 2 * counts.at("i2"));
    CHECK(counts.at("i2") > 6000 / 6);
}

TEST_CASE("failing connections eject an instance for a while")
{
    fixture f;
    const auto fail = [](const auto& name) {
        return name == "i1" ? answer(0, reason::backend_failed) : answer(20);
    };
    const auto counts = f.run(900, fail);
    CHECK(counts.at("i1") <= 3);
    f.now += fj::seconds(10);
    const auto later = f.run(300, [](const auto&) { return answer(20); });
    CHECK(later.at("i1") > 0);
}

TEST_CASE("all instances ejected: calls are still tried")
{
    fixture f;
    const auto counts = f.run(
        100, [](const auto&) { return answer(0, reason::backend_failed); });
    CHECK(counts.count("none") == 0);
}

TEST_CASE("the own zone is preferred while it is not the more loaded one")
{
    fixture f;
    f.set({{"near", "z1", 0, 1}, {"far", "z2", 0, 1}});
    const auto even = f.run(100, [](const auto&) { return answer(20); });
    CHECK(even.at("near") == 100);
    for (int i = 0; i != 5; ++i)
        f.balancer.sent("near", f.now);
    const auto loaded = f.run(100, [](const auto&) { return answer(20); });
    CHECK(loaded.at("far") == 100);
}

TEST_CASE("a new incarnation of an instance starts slowly")
{
    fixture f;
    const auto even = [](const auto&) { return answer(20); };
    f.run(300, even);
    f.set({{"i1", "z2", 0, 2}, {"i2", "z2", 0, 1}, {"i3", "z2", 0, 1}});
    CHECK(f.run(300, even)["i1"] < 50);
    f.now += fj::seconds(10);
    CHECK(f.run(300, even)["i1"] > 50);
}

TEST_CASE("calls below the level are refused before they are sent")
{
    fixture f;
    auto seen = answer(20);
    seen.level = 2.0;
    f.run(100, [&](const auto&) { return seen; });
    auto counts = f.run(1000, [&](const auto&) { return seen; });
    CHECK(counts["none"] > 900);
    CHECK(counts["none"] < 1000);
    const auto choice = f.balancer.choose("s", 2.5, {}, f.now);
    CHECK(choice.instance);
    // The level of one account does not hold for another.
    const auto other = f.balancer.choose(
        fj::routing_request{"s", 1.5, {"b", false}}, {}, f.now);
    CHECK(other.instance);
    f.now += milliseconds(1001);
    CHECK(f.balancer.choose("s", 1.5, {}, f.now).instance);
}

TEST_CASE("instances that were tried are not chosen again")
{
    fixture f;
    const auto choice = f.balancer.choose("s", 1.5, {"i1", "i2"}, f.now);
    CHECK(choice.instance == "i3");
    const auto none = f.balancer.choose("s", 1.5, {"i1", "i2", "i3"}, f.now);
    CHECK(none.details.reason == reason::no_instance);
    CHECK(
        f.balancer.choose("?", 1.5, {}, f.now).details.reason ==
        reason::no_instance);
}
