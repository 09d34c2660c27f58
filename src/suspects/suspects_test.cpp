#include <fulmarjunction/suspects/suspects.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <numeric>

namespace fj = fulmarjunction;
using fj::milliseconds;
using fj::seconds;
using action = fj::suspect_action;

namespace {

const fj::time_point start{seconds(1000)};
const std::vector<fj::instance_name> instances = {"i1", "i2", "i3"};

fj::suspect_list make_list(const fj::instance_name& self)
{
    return {fj::suspect_settings{}, self, 100};
}

void exchange(fj::suspect_list& from, fj::suspect_list& to, fj::time_point now)
{
    for (const auto& report : from.changes(0, 1000, now))
        to.merge(report, now);
}

} // namespace

// Guards against a retried request that crashes one instance after another.
TEST_CASE("a retried request that crashes instances crashes at most two")
{
    std::vector<fj::suspect_list> nodes;
    nodes.reserve(instances.size());
    for (const auto& name : instances)
        nodes.push_back(make_list(name));
    std::size_t crashes = 0;
    auto now = start;
    for (int attempt = 0; attempt != 100; ++attempt) {
        now += milliseconds(1500);
        // Any node may be the entry node.
        auto& entry = nodes[static_cast<std::size_t>(attempt) % 3];
        const auto decision = entry.decide(7, instances, now);
        if (decision.action == action::refuse)
            continue;
        const auto target = decision.instance.value_or("i1");
        for (std::size_t i = 0; i != 3; ++i) {
            if (instances[i] != target)
                continue;
            ++crashes;
            const bool alone = decision.action == action::run_alone;
            nodes[i].crashed(
                {7, 8},
                alone ? std::optional<fj::fingerprint>(7) : std::nullopt, now);
            for (auto& other : nodes)
                exchange(nodes[i], other, now);
        }
    }
    CHECK(crashes == 2);
    // The request in flight at the same time is blamed for the first crash
    // only.
    CHECK(nodes[0].decide(8, instances, now).action == action::run_alone);
    nodes[1].finished(8, now);
    exchange(nodes[1], nodes[0], now);
    CHECK(nodes[0].decide(8, instances, now).action == action::run);
    // The request runs again after its crashes have expired.
    now += seconds(301);
    CHECK(nodes[0].decide(7, instances, now).action == action::run);
    nodes[0].expire(now);
    CHECK(nodes[0].size() == 0);
}

// Guards against a suspect that crashes several instances because nodes choose
// different ones.
TEST_CASE("every node sends a suspect to the same instance")
{
    auto a = make_list("i1");
    auto b = make_list("i2");
    a.crashed({7}, std::nullopt, start);
    exchange(a, b, start);
    const auto reversed =
        std::vector<fj::instance_name>(instances.rbegin(), instances.rend());
    const auto at_a = a.decide(7, instances, start);
    CHECK(at_a.instance == b.decide(7, reversed, start).instance);
    CHECK(at_a.instance != "i1");
    // The instance that it crashed does not run it again.
    CHECK(a.decide_local(7, false, start).action == action::refuse);
    CHECK(b.decide_local(7, false, start).action == action::run_alone);
    CHECK(a.decide(7, {"i1"}, start).action == action::refuse);
}

// Guards against a retry that crashes a second instance together with other
// requests because the crash report is still on its way.
TEST_CASE("an entry node suspects a request before the crash report arrives")
{
    auto entry = make_list("e");
    entry.attempt_failed(7, "i1", start);
    CHECK(entry.decide(7, instances, start).action == action::run_alone);
    // The report of the same crash does not count as a second instance.
    auto node = make_list("i1");
    node.crashed({7}, std::nullopt, start);
    exchange(node, entry, start);
    CHECK(entry.decide(7, instances, start).action == action::run_alone);
}

// Guards against nodes that decide differently after receiving the same reports
// in different order or number.
TEST_CASE("merging is commutative and idempotent")
{
    auto i1 = make_list("i1");
    auto i2 = make_list("i2");
    i1.crashed({7, 8}, std::nullopt, start);
    i2.crashed({7, 9}, std::nullopt, start);
    auto cleared = make_list("i3");
    exchange(i1, cleared, start);
    cleared.finished(8, start);

    auto reports = i1.changes(0, 100, start);
    for (const auto* list : {&i2, &cleared}) {
        for (const auto& report : list->changes(0, 100, start))
            reports.push_back(report);
    }
    const auto decisions = [](const fj::suspect_list& list) {
        std::vector<action> found;
        for (const fj::fingerprint print : {7, 8, 9})
            found.push_back(list.decide(print, instances, start).action);
        return found;
    };
    const std::vector<action> expected = {
        action::refuse, action::run, action::run_alone};
    std::vector<std::size_t> order(reports.size());
    for (std::size_t i = 0; i != order.size(); ++i)
        order[i] = i;
    do {
        auto list = make_list("x");
        for (const auto index : order)
            list.merge(reports[index], start);
        REQUIRE(decisions(list) == expected);
        // A repeated report that arrives slightly later changes nothing.
        for (const auto& report : reports)
            REQUIRE_FALSE(list.merge(report, start + seconds(1)));
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against losing a suspect with two crashed instances, which could then
// crash a third.
TEST_CASE("many new suspects do not evict one with two crashed instances")
{
    fj::suspect_settings settings;
    settings.max_suspects = 50;
    fj::suspect_list list(settings, "i1", 100);
    list.crashed({7}, std::nullopt, start);
    list.merge({7, {{"i2", 5, seconds(100), false}}}, start);
    for (fj::fingerprint print = 1000; print != 1500; ++print)
        list.merge({print, {{"i3", print, seconds(300), false}}}, start);
    CHECK(list.size() <= 50);
    CHECK(list.size() > 40);
    CHECK(list.decide(7, instances, start).action == action::refuse);
    CHECK(list.changes(0, 10, start).size() == 10);
}

// Guards against suspects that leave an instance no time for other requests.
TEST_CASE("suspects run one at a time and within their share of time")
{
    fj::suspect_gate gate{fj::suspect_settings{}};
    CHECK(gate.offer(1, start));
    CHECK(gate.offer(2, start));
    CHECK_FALSE(gate.next(3, start));
    CHECK(gate.blocks_others(start));
    auto now = start + milliseconds(50);
    CHECK(gate.next(0, now) == 1);
    CHECK_FALSE(gate.next(0, now));
    now += milliseconds(50);
    gate.ended(1, now);
    // 100 ms closed at a time share of a quarter leave 300 ms for others.
    CHECK_FALSE(gate.blocks_others(now));
    CHECK_FALSE(gate.next(0, now + milliseconds(299)));
    CHECK_FALSE(gate.next(1, now + milliseconds(300)));
    // A long request in flight does not delay a suspect indefinitely.
    CHECK(gate.next(1, now + milliseconds(550)) == 2);
    gate.ended(2, now + milliseconds(600));
    CHECK(gate.offer(3, now));
    CHECK(gate.take_expired(now + seconds(3)).size() == 1);
    CHECK_FALSE(gate.blocks_others(now + seconds(3)));
}

// Guards against different requests that share a fingerprint.
TEST_CASE("requests that differ in any field have different fingerprints")
{
    const auto base = fj::fingerprint_of("a", "bc", "/x", "body");
    CHECK(base == fj::fingerprint_of("a", "bc", "/x", "body"));
    CHECK(base != fj::fingerprint_of("ab", "c", "/x", "body"));
    CHECK(base != fj::fingerprint_of("a", "bc", "/x", "bod"));
    CHECK(base != fj::fingerprint_of("z", "bc", "/x", "body"));
    CHECK(base != fj::fingerprint_of("a", "bc", "/x?q", "body"));
}

// Guards against answers to one request that clear the crashes of another whose
// body differs in its last byte only.
TEST_CASE("a fingerprint covers each byte of a body, in pieces of any size")
{
    std::string body(100'000, 'x');
    const auto whole = fj::fingerprint_of("a", "bc", "/x", body);
    for (const std::size_t piece : {1, 7, 4096, 16'384, 100'000}) {
        fj::fingerprint_builder builder("a", "bc", "/x");
        for (std::size_t at = 0; at < body.size(); at += piece)
            builder.add_body(std::string_view(body).substr(at, piece));
        CHECK(builder.value() == whole);
    }
    CHECK(whole != fj::partial_fingerprint_of("a", "bc", "/x", body));
    for (const std::size_t at : {0, 4095, 4096, 65'535, 65'536, 99'999}) {
        body[at] = 'y';
        CHECK(fj::fingerprint_of("a", "bc", "/x", body) != whole);
        body[at] = 'x';
    }
}

// Guards against refused retries after a crash with many requests in flight:
// where the crash report arrives before the retries, each of them would wait to
// run alone.
TEST_CASE("retries of requests in flight during a crash run concurrently")
{
    auto crashed = make_list("i1");
    auto other = make_list("i2");
    std::vector<fj::fingerprint> in_flight(20);
    std::iota(in_flight.begin(), in_flight.end(), 100);
    crashed.crashed(in_flight, std::nullopt, start);
    exchange(crashed, other, start);
    for (const auto print : in_flight) {
        CHECK(other.decide_local(print, true, start).action == action::run);
        // A request without a failed attempt may have caused the crash.
        CHECK(
            other.decide_local(print, false, start).action ==
            action::run_alone);
    }
    // A second crashed instance is enough to refuse.
    other.crashed({100}, std::nullopt, start);
    auto third = make_list("i3");
    exchange(crashed, third, start);
    exchange(other, third, start);
    CHECK(third.decide_local(100, true, start).action == action::refuse);
}

// Guards against a request that is refused for long because it was twice in
// flight with one that crashes, and against trials without end.
TEST_CASE("a refused suspect runs alone once after the trial delay")
{
    fj::suspect_settings settings;
    settings.trial_after = seconds(10);
    fj::suspect_list list(settings, "i1", 100);
    list.crashed({7}, std::nullopt, start);
    const auto second_crash = start + seconds(2);
    list.merge({7, {{"i2", 5, seconds(300), false}}}, second_crash);
    const auto refused = list.decide(7, instances, start + seconds(2));
    CHECK(refused.action == action::refuse);
    CHECK(refused.retry_after == seconds(10));
    const auto trial = list.decide(7, instances, start + seconds(12));
    CHECK(trial.action == action::run_alone);
    CHECK(trial.instance == "i3");
    auto cleared = list;
    cleared.finished(7, start + seconds(13));
    CHECK(
        cleared.decide(7, instances, start + seconds(13)).action ==
        action::run);
    list.merge({7, {{"i3", 9, seconds(300), false}}}, start + seconds(13));
    const auto last = list.decide(7, instances, start + seconds(100));
    CHECK(last.action == action::refuse);
    CHECK_FALSE(last.retry_after);
}

// Guards against a service with one instance that refuses each request which
// was in flight at one crash until the crash expires.
TEST_CASE("a suspect of the only instance runs there after the trial delay")
{
    fj::suspect_settings settings;
    settings.trial_after = seconds(10);
    fj::suspect_list list(settings, "i1", 100);
    list.crashed({7}, std::nullopt, start);
    CHECK(list.decide(7, {"i1"}, start).action == action::refuse);
    const auto now = start + seconds(10);
    CHECK(list.decide(7, {"i1"}, now).instance == "i1");
    list.crashed({7}, fj::fingerprint{7}, now);
    CHECK(list.decide(7, {"i1"}, now).action == action::refuse);
    const auto later = now + seconds(10);
    CHECK(list.decide(7, {"i1"}, later).action == action::run_alone);
    list.crashed({7}, fj::fingerprint{7}, later);
    CHECK(
        list.decide(7, {"i1"}, later + seconds(200)).action == action::refuse);
}

// Guards against a request that crashes servers again and again because equal
// requests of other callers are answered.
TEST_CASE("an answer clears the crashes of a request for its caller only")
{
    const auto culprit = fj::prints_of(7, {"a", "front", "books", "POST"});
    const auto others = {
        fj::prints_of(7, {"b", "front", "books", "POST"}),
        fj::prints_of(7, {"a", "cron", "books", "POST"}),
        fj::prints_of(7, {"a", "front", "shop", "POST"}),
        fj::prints_of(7, {"a", "front", "books", "GET"})};
    auto first = make_list("i1");
    auto second = make_list("i2");
    auto entry = make_list("e");
    first.crashed({7}, std::nullopt, start);
    exchange(first, second, start);
    const auto reports = second.changes(0, 100, start);
    for (const auto& other : others) {
        // Content that crashes a server is suspect whoever sends it, until a
        // request of the same caller has been answered.
        CHECK(
            second.decide_local(other, false, start).action ==
            action::run_alone);
        CHECK(second.finished(other, start) == 1);
        CHECK(second.finished(other, start) == 0);
    }
    // All nodes learn which answers there were, in whatever order.
    exchange(second, entry, start);
    exchange(first, entry, start);
    for (const auto& other : others)
        CHECK(entry.decide(other, instances, start).action == action::run);
    CHECK(entry.decide(culprit, instances, start).action == action::run_alone);
    second.crashed({7}, fj::fingerprint{7}, start + seconds(1));
    exchange(second, entry, start + seconds(1));
    CHECK(
        entry.decide(culprit, instances, start + seconds(1)).action ==
        action::refuse);
    // The second crash is a new reason to suspect the others, once.
    for (const auto& other : others) {
        CHECK(
            entry.decide(other, instances, start + seconds(1)).action ==
            action::run_alone);
    }
    // An answer to the culprit clears both crashes for it.
    CHECK(entry.finished(culprit, start + seconds(2)) == 2);
    CHECK(
        entry.decide(culprit, instances, start + seconds(2)).action ==
        action::run);
}

// Guards against a failed attempt that an earlier answer hides from its sender.
TEST_CASE("a new failed attempt counts although an earlier one was cleared")
{
    const auto prints = fj::prints_of(7, {"a", "front", "books", "POST"});
    auto entry = make_list("i1");
    entry.attempt_failed(7, "i2", start);
    CHECK(entry.finished(prints, start + seconds(1)) == 1);
    CHECK(
        entry.decide(prints, instances, start + seconds(1)).action ==
        action::run);
    entry.attempt_failed(7, "i2", start + seconds(2));
    CHECK(
        entry.decide(prints, instances, start + seconds(2)).action ==
        action::run_alone);
}

// Guards against requests that their sender refuses for minutes after a crash
// that others caused, although they have been answered since.
TEST_CASE("an answer also clears what a sender observed of a reported crash")
{
    for (const auto report_delay : {milliseconds(0), milliseconds(1500)}) {
        auto entry = make_list("e");
        auto crashed = make_list("i1");
        auto other = make_list("i2");
        const auto reported_at = start + report_delay;
        crashed.crashed({7}, std::nullopt, start);
        entry.attempt_failed(7, "i1", start + milliseconds(50));
        exchange(crashed, entry, reported_at);
        exchange(crashed, other, reported_at);
        CHECK(
            entry.decide(7, instances, reported_at).action ==
            action::run_alone);
        other.finished(7, reported_at);
        exchange(other, entry, reported_at);
        CHECK(entry.decide(7, instances, reported_at).action == action::run);
        // A later crash of the same instance is not the reported one.
        const auto later = start + seconds(5);
        entry.attempt_failed(7, "i1", later);
        CHECK(entry.decide(7, instances, later).action == action::run_alone);
    }
}

// Guards against reports that all nodes pass on to each other.
TEST_CASE("own changes leave out what a peer reported")
{
    auto list = make_list("i1");
    list.merge({7, {{"i2", 5, seconds(300), false}}}, start);
    CHECK(list.own_changes(0, 100, start).empty());
    list.crashed({8}, std::nullopt, start);
    CHECK(list.own_changes(0, 100, start).size() == 1);
    const auto last = list.last_change();
    list.finished(7, start);
    REQUIRE(list.own_changes(last, 100, start).size() == 1);
    CHECK(list.own_changes(last, 100, start)[0].crashes[0].cleared);
    CHECK(list.changes(0, 100, start).size() == 2);
}

// Guards against innocent requests that are kept in the store, and against
// crashes of one node that every node stores.
TEST_CASE("a node stores only refused requests that crashed its own server")
{
    auto first = make_list("i1");
    auto second = make_list("i2");
    auto third = make_list("i3");
    first.crashed({7, 8}, std::nullopt, start);
    CHECK(first.refused_here(10, start).empty());
    second.crashed({7}, std::nullopt, start);
    for (auto* list : {&first, &second, &third}) {
        exchange(first, *list, start);
        exchange(second, *list, start);
    }
    for (const auto* list : {&first, &second}) {
        const auto reports = list->refused_here(10, start);
        REQUIRE(reports.size() == 1);
        CHECK(reports[0].print == 7);
        CHECK(reports[0].crashes.size() == 2);
    }
    CHECK(third.refused_here(10, start).empty());
    // An answer shows that it was not the cause.
    first.finished(7, start);
    CHECK(first.refused_here(10, start).empty());
}
