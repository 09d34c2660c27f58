#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/fleet/placement.hpp>

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <set>

namespace fj = fulmarjunction;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr fj::time_point start{seconds(1000)};

fj::node_report report_of(
    std::string node, fj::incarnation_number incarnation = 1,
    std::uint64_t sequence = 1)
{
    fj::node_report report;
    report.node = std::move(node);
    report.incarnation = incarnation;
    report.sequence = sequence;
    report.peer_address = "127.0.0.1:9";
    report.zone = "east";
    report.service = "books";
    report.backend_id = "run-1";
    report.state = fj::backend_state::ready;
    report.limit = 10;
    return report;
}

std::function<std::uint64_t()> random_numbers()
{
    auto engine = std::make_shared<std::mt19937_64>(3);
    return [engine] { return (*engine)(); };
}

fj::placement_target
target_of(std::string node, std::string zone = "east", std::size_t load = 0)
{
    return {std::move(node), "run-1", std::move(zone), 10, load};
}

} // namespace

TEST_CASE("a formatted report can be parsed")
{
    auto report = report_of("a", 7, 9);
    report.load = 3;
    report.run_cost = 4.25;
    report.pressure = 0.31;
    report.throttled_service = "books";
    report.throttled_per_s = 12.5;
    const auto read = fj::parse_report(fj::format_report(report));
    REQUIRE(read);
    CHECK(read.value().node == "a");
    CHECK(read.value().incarnation == 7);
    CHECK(read.value().state == fj::backend_state::ready);
    CHECK(read.value().load == 3);
    CHECK(read.value().run_cost == Approx(4.25));
    CHECK(read.value().pressure == Approx(0.31));
    CHECK(read.value().throttled_service == "books");
    CHECK(read.value().throttled_per_s == Approx(12.5));
    CHECK_FALSE(fj::parse_report("{}"));
    CHECK_FALSE(fj::parse_report("nonsense"));
}

TEST_CASE("reports of an earlier incarnation or sequence are ignored")
{
    fj::fleet_view fleet("self", seconds(30));
    CHECK(fleet.receive(report_of("a", 2, 5), start));
    auto stale = report_of("a", 2, 4);
    stale.backend_id = "old";
    CHECK_FALSE(fleet.receive(stale, start));
    CHECK_FALSE(fleet.receive(report_of("a", 1, 99), start));
    CHECK(fleet.find("a")->report.backend_id == "run-1");
}

TEST_CASE("an unreachable node is reachable again after a report")
{
    fj::fleet_view fleet("self", seconds(30));
    fleet.receive(report_of("a", 1, 1), start);
    fleet.mark_unreachable("a", fj::peer_failure::unresponsive, start);
    CHECK_FALSE(fleet.find("a")->is_reachable);
    CHECK(fleet.receive(report_of("a", 1, 2), start));
    CHECK(fleet.find("a")->is_reachable);
}

TEST_CASE("each side of a partition counts only its share of the fleet")
{
    fj::fleet_view fleet("self", seconds(30));
    for (const auto* name : {"a", "b", "c"})
        fleet.receive(report_of(name), start);
    CHECK(fleet.reachable_share() == Approx(1));
    fleet.mark_unreachable("a", fj::peer_failure::unresponsive, start);
    CHECK(fleet.reachable_share() == Approx(0.75));
    SECTION("a node that has ended does not count")
    {
        fleet.mark_unreachable("a", fj::peer_failure::refused, start);
        CHECK(fleet.reachable_share() == Approx(1));
    }
    SECTION("a node that stays unresponsive is removed")
    {
        fleet.expire(start + seconds(29));
        CHECK(fleet.reachable_share() == Approx(0.75));
        fleet.expire(start + seconds(30));
        CHECK(fleet.reachable_share() == Approx(1));
    }
}

// Guards against a report that was on its way when its node left: the node
// would be in use again until calls to it fail.
TEST_CASE("a late report does not bring back a node that has left")
{
    fj::fleet_view fleet("self", seconds(30));
    fleet.receive(report_of("a", 2, 5), start);
    fleet.remove("a", 2, start);
    CHECK_FALSE(fleet.receive(report_of("a", 2, 6), start));
    fleet.learn(report_of("a", 2, 0), start);
    CHECK(fleet.find("a") == nullptr);
    CHECK(fleet.receive(report_of("a", 3, 1), start));
    CHECK(fleet.find("a") != nullptr);
}

// Guards against two groups of nodes that never meet again after a partition
// that lasted longer than they remember each other.
TEST_CASE("a forgotten node is found again in its row")
{
    fj::fleet_view fleet("self", seconds(30));
    fleet.receive(report_of("a"), start);
    fleet.mark_unreachable("a", fj::peer_failure::unresponsive, start);
    fleet.expire(start + seconds(30));
    REQUIRE(fleet.find("a") == nullptr);
    fleet.recall(report_of("a"), start + seconds(31));
    REQUIRE(fleet.find("a") != nullptr);
    CHECK_FALSE(fleet.find("a")->is_reachable);
    SECTION("it is used again once it reports")
    {
        CHECK(fleet.receive(report_of("a", 1, 9), start + seconds(32)));
        CHECK(fleet.find("a")->is_reachable);
    }
    SECTION("a row that has outlived its node takes no share of the limits")
    {
        fleet.mark_unreachable(
            "a", fj::peer_failure::unresponsive, start + seconds(32));
        CHECK(fleet.reachable_share() == Approx(1));
    }
}

// Guards against two ledgers of an account while a node stops.
TEST_CASE("a node that leaves chooses the ledger as the others do")
{
    const std::vector<std::string> names{"a", "b", "c"};
    for (int i = 0; i < 40; ++i) {
        const auto account = fmt::format("account-{}", i);
        fj::fleet_view leaving("a", seconds(30));
        fj::fleet_view other("b", seconds(30));
        for (const auto& name : names) {
            leaving.receive(report_of(name), start);
            other.receive(report_of(name), start);
        }
        leaving.begin_leave();
        other.remove("a", 1, start);
        CHECK(leaving.ledger_node(account) == other.ledger_node(account));
    }
}

TEST_CASE("all nodes choose the same node for the ledger of an account")
{
    const std::vector<std::string> names{"a", "b", "c", "d"};
    std::set<std::string> ledger_nodes;
    for (int i = 0; i < 40; ++i) {
        std::set<std::string> chosen;
        const auto account = fmt::format("account-{}", i);
        for (const auto& self : names) {
            fj::fleet_view fleet(self, seconds(30));
            for (const auto& other : names)
                fleet.receive(report_of(other), start);
            chosen.insert(fleet.ledger_node(account));
        }
        CHECK(chosen.size() == 1);
        ledger_nodes.insert(chosen.begin(), chosen.end());
    }
    CHECK(ledger_nodes.size() == names.size());
}

TEST_CASE("few nodes poll the store, and every node queries two of them")
{
    fj::fleet_view fleet("node-050", seconds(30));
    for (int i = 0; i < 200; ++i) {
        if (i != 50)
            fleet.receive(report_of(fmt::format("node-{:03}", i)), start);
    }
    const auto readers = fleet.store_readers();
    CHECK(readers.size() == 5);
    CHECK(readers.front() == "node-199");
    CHECK_FALSE(fleet.is_store_reader());
    CHECK(fleet.own_store_readers().size() == 2);
    fleet.mark_unreachable("node-199", fj::peer_failure::unresponsive, start);
    CHECK(fleet.store_readers().front() == "node-198");
}

TEST_CASE("a single node is its own store reader")
{
    const fj::fleet_view fleet("self", seconds(30));
    CHECK(fleet.is_store_reader());
    CHECK(fleet.own_store_readers() == std::vector<std::string>{"self"});
}

TEST_CASE("requests stay in the own zone until its load is much higher")
{
    fj::placement places("east", random_numbers());
    places.set_targets(
        {{"books", target_of("near")}, {"books", target_of("far", "west")}});
    int near = 0;
    for (int i = 0; i < 10; ++i) {
        const auto chosen = places.choose("books", "r", seconds(1), {}, start);
        REQUIRE(chosen);
        near += chosen->node == "near" ? 1 : 0;
    }
    // With ten slots the own zone is preferred up to a load difference of four.
    CHECK(near == 7);
}

TEST_CASE("a target that is unreachable or was tried is not chosen")
{
    fj::placement places("east", random_numbers());
    places.set_targets(
        {{"books", target_of("one")}, {"books", target_of("two")}});
    places.record_result(
        {"one", "run-1"}, "r", fj::placement_result::unreachable, {}, {},
        start);
    for (int i = 0; i < 8; ++i)
        CHECK(
            places.choose("books", "r", seconds(1), {}, start)->node == "two");
    CHECK(
        places.choose("books", "r", seconds(1), {"two"}, start)->node == "one");
    CHECK_FALSE(places.choose("books", "r", seconds(1), {"two", "one"}, start));
    CHECK_FALSE(places.choose("films", "r", seconds(1), {}, start));
}

TEST_CASE("a slow backend server gets fewer requests than a fast one")
{
    fj::placement places("east", random_numbers());
    places.set_targets(
        {{"books", target_of("slow")}, {"books", target_of("quick")}});
    std::map<std::string, int> counts;
    for (int i = 0; i < 200; ++i) {
        const auto chosen =
            *places.choose("books", "r", milliseconds(1000), {}, start);
        ++counts[chosen.node];
        const auto latency = milliseconds(chosen.node == "slow" ? 900 : 100);
        places.record_result(
            chosen, "r", fj::placement_result::served, latency, 0, start);
    }
    CHECK(counts["quick"] > 4 * counts["slow"]);
}

TEST_CASE("a new backend server process starts without measurements")
{
    fj::placement places("east", random_numbers());
    places.set_targets({{"books", target_of("one")}});
    const auto chosen = *places.choose("books", "r", seconds(1), {}, start);
    auto next = target_of("one");
    next.backend_id = "run-2";
    places.set_targets({{"books", next}});
    // The result of a request to the earlier process is ignored.
    places.record_result(
        chosen, "r", fj::placement_result::failed, {}, 9, start);
    CHECK(
        places.choose("books", "r", seconds(1), {}, start)->backend_id ==
        "run-2");
}

// Guards against a choice whose cost grows with the number of targets, and
// against one that favors some of many equal targets.
TEST_CASE("equal targets of a large service get equal shares")
{
    constexpr int targets = 200;
    constexpr int requests = 40'000;
    fj::placement places("east", random_numbers());
    std::multimap<fj::service_name, fj::placement_target> all;
    for (int i = 0; i < targets; ++i)
        all.emplace("books", target_of("n" + std::to_string(i)));
    places.set_targets(all);
    std::map<std::string, int> counts;
    for (int i = 0; i < requests; ++i) {
        const auto chosen = *places.choose("books", "r", {}, {}, start);
        ++counts[chosen.node];
        places.record_result(
            chosen, "r", fj::placement_result::served, {}, 0, start);
    }
    CHECK(counts.size() == targets);
    for (const auto& [node, count] : counts) {
        CHECK(count > requests / targets / 2);
        CHECK(count < requests / targets * 2);
    }
}

TEST_CASE("targets that were tried are not chosen again")
{
    fj::placement places("east", random_numbers());
    std::multimap<fj::service_name, fj::placement_target> all;
    for (int i = 0; i < 6; ++i)
        all.emplace("books", target_of("n" + std::to_string(i)));
    places.set_targets(all);
    std::vector<fj::instance_name> tried;
    for (int i = 0; i < 6; ++i) {
        const auto chosen = places.choose("books", "r", {}, tried, start);
        REQUIRE(chosen);
        CHECK(
            std::find(tried.begin(), tried.end(), chosen->node) == tried.end());
        tried.push_back(chosen->node);
    }
    CHECK_FALSE(places.choose("books", "r", {}, tried, start));
}

TEST_CASE("a node that answers none of its requests is unresponsive")
{
    fj::placement places("east", random_numbers());
    places.set_targets({{"books", target_of("one")}});
    const auto limit = milliseconds(400);
    CHECK(places.unresponsive_nodes(limit, start).empty());
    const auto first = *places.choose("books", "r", {}, {}, start);
    const auto second = *places.choose("books", "r", {}, {}, start);
    CHECK(places.unresponsive_nodes(limit, start + milliseconds(300)).empty());
    CHECK(places.unresponsive_nodes(limit, start + limit).size() == 1);
    // An answer shows that the node responds; a broken connection does not.
    places.record_result(
        first, "r", fj::placement_result::served, {}, 1, start + limit);
    CHECK(places.unresponsive_nodes(limit, start + limit).empty());
    places.record_result(
        second, "r", fj::placement_result::failed, {}, {}, start + 2 * limit);
    CHECK(places.unresponsive_nodes(limit, start + 2 * limit).empty());
}

// Guards against a suspect that is sent to another instance than the one on
// which all nodes agree.
TEST_CASE("a given node can be chosen while it is a target")
{
    fj::placement places("east", random_numbers());
    places.set_targets(
        {{"books", target_of("a")}, {"books", target_of("b", "west")}});
    auto nodes = places.nodes("books");
    std::sort(nodes.begin(), nodes.end());
    CHECK(nodes == std::vector<fj::instance_name>{"a", "b"});
    CHECK(places.nodes("films").empty());
    REQUIRE(places.choose_node("b", start));
    CHECK_FALSE(places.choose_node("c", start));
    CHECK(
        places.unresponsive_nodes(seconds(1), start + seconds(2)) ==
        std::vector<fj::instance_name>{"b"});
}

// Guards against requests to a backend server that leaves, sent by an entry
// node that has passed on its word while the node beside it has forgotten it.
TEST_CASE("a process that says that it leaves is not chosen")
{
    fj::placement places("east", random_numbers());
    auto leaving = target_of("a");
    leaving.backend_id = "run-a";
    places.set_targets({{"books", leaving}, {"books", target_of("b")}});
    places.record_leaving({"a", "run-a"}, start);
    const auto chooses_a = [&](fj::time_point now) {
        for (int i = 0; i < 50; ++i) {
            const auto chosen =
                places.choose("books", "r", seconds(1), {}, now);
            if (chosen && chosen->node == "a")
                return true;
        }
        return places.choose_node("a", now).has_value();
    };
    CHECK_FALSE(chooses_a(start));
    places.set_targets({{"books", target_of("b")}});
    places.set_targets({{"books", leaving}, {"books", target_of("b")}});
    CHECK_FALSE(chooses_a(start + seconds(1)));
    // A later process of the same node is not meant.
    leaving.backend_id = "run-b";
    places.set_targets({{"books", leaving}});
    CHECK(chooses_a(start + seconds(2)));
}
