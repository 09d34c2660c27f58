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
answer(int latency_ms, std::optional<reason> refused_for = std::nullopt)
{
    fj::routing_observation observation;
    observation.latency = milliseconds(latency_ms);
    observation.reason = refused_for;
    if (refused_for)
        observation.result = fj::outcome::not_run;
    return observation;
}

struct balancer_fixture
{
    balancer_fixture() : random(7), balancer("z1", [this] { return random(); })
    {
        set_instances(
            {{"i1", "z2", 0, 1}, {"i2", "z2", 0, 1}, {"i3", "z2", 0, 1}});
    }

    void set_instances(std::vector<fj::routing_candidate> list)
    {
        balancer.set_instances("s", std::move(list), now);
    }

    // Makes calls that end after 1 ms and counts them per instance.
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

// Guards against taking fast refusals for low latency, which would direct more
// calls to an overloaded instance.
TEST_CASE("an instance that refuses fast does not attract calls")
{
    balancer_fixture fixture;
    const auto counts = fixture.run(3000, [](const auto& name) {
        return name == "i1" ? answer(0, reason::overloaded) : answer(20);
    });
    CHECK(counts.at("i1") < 3000 / 6);
    CHECK(counts.at("i1") > 0);
}

// Guards against trusting load reports that are wrong.
TEST_CASE("inverted load reports neither idle nor overload an instance")
{
    balancer_fixture fixture;
    const auto counts = fixture.run(6000, [](const auto& name) {
        auto observation = answer(20);
        observation.reported_load = name == "i1" ? 0.0 : 1.0;
        return observation;
    });
    CHECK(counts.at("i1") < 2 * counts.at("i2"));
    CHECK(counts.at("i2") > 6000 / 6);
}

// Guards against calls to an unreachable instance, and against an ejection that
// does not end.
TEST_CASE("failing connections eject an instance for a while")
{
    balancer_fixture fixture;
    const auto fail = [](const auto& name) {
        return name == "i1" ? answer(0, reason::backend_failed) : answer(20);
    };
    const auto counts = fixture.run(900, fail);
    CHECK(counts.at("i1") <= 3);
    fixture.now += fj::seconds(10);
    const auto later = fixture.run(300, [](const auto&) { return answer(20); });
    CHECK(later.at("i1") > 0);
}

// Guards against refusing all calls because of connection failures, whose cause
// may be this node.
TEST_CASE("calls are still sent when all instances are ejected")
{
    balancer_fixture fixture;
    const auto counts = fixture.run(
        100, [](const auto&) { return answer(0, reason::backend_failed); });
    CHECK(counts.count("none") == 0);
}

// Guards against needless calls across zones, and against an overloaded local
// zone beside idle remote instances.
TEST_CASE("the own zone is preferred unless it is the more loaded one")
{
    balancer_fixture fixture;
    fixture.set_instances({{"near", "z1", 0, 1}, {"far", "z2", 0, 1}});
    const auto idle = fixture.run(100, [](const auto&) { return answer(20); });
    CHECK(idle.at("near") == 100);
    for (int i = 0; i != 5; ++i)
        fixture.balancer.sent("near", fixture.now);
    const auto loaded =
        fixture.run(100, [](const auto&) { return answer(20); });
    CHECK(loaded.at("far") == 100);
}

// Guards against full load on an instance that has just restarted.
TEST_CASE("the load on a new incarnation of an instance rises gradually")
{
    balancer_fixture fixture;
    const auto equal_answers = [](const auto&) { return answer(20); };
    fixture.run(300, equal_answers);
    fixture.set_instances(
        {{"i1", "z2", 0, 2}, {"i2", "z2", 0, 1}, {"i3", "z2", 0, 1}});
    CHECK(fixture.run(300, equal_answers)["i1"] < 50);
    fixture.now += fj::seconds(10);
    CHECK(fixture.run(300, equal_answers)["i1"] > 50);
}

// Guards against sending calls that the instance will refuse, and against a
// level that affects other accounts or does not expire.
TEST_CASE("calls below the level are refused before they are sent")
{
    balancer_fixture fixture;
    auto observation = answer(20);
    observation.level = 2.0;
    fixture.run(100, [&](const auto&) { return observation; });
    auto counts = fixture.run(1000, [&](const auto&) { return observation; });
    CHECK(counts["none"] > 900);
    CHECK(counts["none"] < 1000);
    const auto choice = fixture.balancer.choose("s", 2.5, {}, fixture.now);
    CHECK(choice.instance);
    // The level of one account does not apply to another.
    const auto other = fixture.balancer.choose(
        fj::routing_request{"s", 1.5, {"b", false}}, {}, fixture.now);
    CHECK(other.instance);
    fixture.now += milliseconds(1001);
    CHECK(fixture.balancer.choose("s", 1.5, {}, fixture.now).instance);
}

// Guards against retries at an instance that has already failed the request.
TEST_CASE("instances that were tried are not chosen again")
{
    balancer_fixture fixture;
    const auto choice =
        fixture.balancer.choose("s", 1.5, {"i1", "i2"}, fixture.now);
    CHECK(choice.instance == "i3");
    const auto none =
        fixture.balancer.choose("s", 1.5, {"i1", "i2", "i3"}, fixture.now);
    CHECK(none.details.reason == reason::no_instance);
    CHECK(
        fixture.balancer.choose("?", 1.5, {}, fixture.now).details.reason ==
        reason::no_instance);
}
