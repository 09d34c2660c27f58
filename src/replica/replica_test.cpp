#include <fulmarjunction/core/placement.hpp>
#include <fulmarjunction/replica/freshness.hpp>
#include <fulmarjunction/replica/poll_schedule.hpp>
#include <fulmarjunction/replica/replica.hpp>

#include <catch2/catch.hpp>

#include <boost/json/serialize.hpp>

#include <map>
#include <random>

namespace fj = fulmarjunction;

namespace {

using fj::milliseconds;
using fj::seconds;

constexpr fj::time_point start{std::chrono::hours(1)};

fj::table_row
row(std::string key, fj::table_version version, const std::string& text = "x")
{
    return {std::move(key), boost::json::value(text), version};
}

fj::table_row tombstone(std::string key, fj::table_version version)
{
    return {std::move(key), nullptr, version, true};
}

fj::rows_delta delta_of(const std::string& text)
{
    return std::get<fj::rows_delta>(fj::parse_rows_message(text).value());
}

// Pulls through the wire format until no request remains. Returns the number of
// pieces.
int pull_all(fj::replica& to, const fj::replica& from)
{
    int pieces = 0;
    auto request = std::optional(to.pull_request());
    while (request && pieces < 1000) {
        const auto parsed = std::get<fj::rows_request>(
            fj::parse_rows_message(to_text(*request)).value());
        const auto text = to_text(from.answer(parsed));
        REQUIRE(text.size() <= fj::max_rows_message_bytes);
        request = to.apply_delta(delta_of(text)).pull;
        ++pieces;
    }
    return pieces;
}

void check_equal(const fj::replica& left, const fj::replica& right)
{
    CHECK(left.version() == right.version());
    CHECK(left.size() == right.size());
    left.for_each("", [&](const fj::table_row& expected) {
        const auto* other = right.find(expected.key);
        REQUIRE(other != nullptr);
        CHECK(other->version == expected.version);
        CHECK(other->value == expected.value);
    });
}

} // namespace

TEST_CASE("replica: an older row or list never replaces a newer one")
{
    fj::replica copy;
    copy.apply_list({{row("a", 1, "old"), row("a", 3, "new")}, 3, 3}, 0);
    CHECK_FALSE(copy.apply_list({{row("a", 2, "late")}, 2, 2}, 0).advanced);
    copy.apply_delta({0, 4, 4, false, {}, {row("a", 2, "late")}, {}});
    CHECK(copy.version() == 4);
    CHECK(copy.find("a")->value == boost::json::value("new"));
}

TEST_CASE("replica: a delta that leaves a gap is pulled, not applied")
{
    fj::replica copy;
    copy.apply_list({{row("a", 1)}, 1, 1}, 0);
    const auto update =
        copy.apply_delta({3, 4, 4, false, {}, {row("b", 4)}, {}});
    CHECK_FALSE(update.advanced);
    REQUIRE(update.pull);
    CHECK(update.pull->after == 1);
    CHECK(copy.find("b") == nullptr);
    CHECK(copy.pull_if_behind(4));
    CHECK_FALSE(copy.pull_if_behind(1));
}

TEST_CASE("replica: audit rows are not copied, but their versions count")
{
    fj::replica copy;
    copy.apply_list({{row("audit/1", 1), row("head", 1)}, 2, 2}, 0);
    CHECK(copy.version() == 2);
    CHECK(copy.size() == 1);
    CHECK(copy.find("audit/1") == nullptr);
}

TEST_CASE(
    "replica: rows received in pieces stay hidden until they are complete")
{
    // Row a changed at versions 2 and 9. The first list ends at version 3 and
    // lacks row a, so applying it alone would lose the change at version 2.
    fj::replica copy;
    int seen = 0;
    copy.observe([&](const fj::table_row&) { ++seen; });
    const auto first = copy.apply_list({{row("b", 3)}, 3, 9}, 0);
    CHECK_FALSE(first.advanced);
    CHECK(copy.version() == 0);
    CHECK(seen == 0);
    CHECK(copy.poll_after() == 3);
    CHECK(copy.apply_list({{row("a", 9)}, 9, 9}, 3).advanced);
    CHECK(copy.version() == 9);
    CHECK(seen == 2);
}

TEST_CASE("replica: 2,600 instances and large lists transfer in pieces")
{
    fj::replica source;
    fj::row_list list;
    for (int i = 1; i <= 2600; ++i)
        list.rows.push_back(
            row("instance/" + std::to_string(i), i, std::string(300, 'i')));
    // Quotes and multi-byte characters must survive fragmentation and escaping.
    std::string large;
    while (large.size() < 700'000)
        large += "\"\xC3\xB5\xE0\xAA\x97\\";
    list.rows.push_back(row("catalog/accounts", 2601, large));
    list.rows.push_back(row("catalog/plans", 2601, large + "p"));
    list.rows.push_back(row("tail", 2601));
    list.complete_to = list.head = 2601;
    source.apply_list(list, 0);

    fj::replica copy;
    const int pieces = pull_all(copy, source);
    CHECK(pieces >= 10);
    CHECK(pieces < 60);
    check_equal(copy, source);
    CHECK(copy.bytes() == source.bytes());
}

TEST_CASE(
    "replica: a row that changes during its transfer is transferred again")
{
    fj::replica source;
    source.apply_list({{row("big", 1, std::string(300'000, 'a'))}, 1, 1}, 0);
    fj::replica copy;
    const auto update =
        copy.apply_delta(delta_of(to_text(source.answer(copy.pull_request()))));
    REQUIRE(update.pull);
    CHECK(update.pull->partial);
    source.apply_list({{row("big", 2, std::string(200'000, 'b'))}, 2, 2}, 1);
    pull_all(copy, source);
    check_equal(copy, source);
}

TEST_CASE("replica: a peer that is behind the kept tombstones gets a snapshot")
{
    fj::replica_settings settings;
    settings.max_tombstones = 2;
    fj::replica source(settings);
    fj::replica copy;
    source.apply_list({{row("a", 1), row("b", 2), row("c", 3)}, 3, 3}, 0);
    pull_all(copy, source);
    source.apply_list(
        {{tombstone("a", 4), tombstone("b", 5), tombstone("x", 6), row("d", 7)},
         7,
         7},
        3);
    std::vector<std::string> deleted;
    copy.observe([&](const fj::table_row& changed) {
        if (changed.deleted)
            deleted.push_back(changed.key);
    });
    pull_all(copy, source);
    check_equal(copy, source);
    CHECK(deleted.size() == 2);
    // A third node that pulls from the copy must receive the deletions too.
    fj::replica third;
    third.apply_list({{row("a", 1), row("b", 2), row("c", 3)}, 3, 3}, 0);
    pull_all(third, copy);
    check_equal(third, copy);
}

TEST_CASE("replica: random changes and pulls among peers converge")
{
    std::mt19937_64 random(7);
    fj::replica_settings settings;
    settings.fragment_bytes = 2000;
    settings.max_tombstones = 5;
    std::vector<fj::replica> copies(4, fj::replica(settings));
    std::map<std::string, fj::table_row> table;
    fj::table_version head = 0;
    const auto list_after = [&](fj::table_version after) {
        fj::row_list list{{}, head, head};
        for (const auto& [key, latest] : table) {
            if (latest.version > after)
                list.rows.push_back(latest);
        }
        return list;
    };
    for (int step = 0; step != 20'000; ++step) {
        const auto& source = copies[random() % copies.size()];
        auto& target = copies[random() % copies.size()];
        const auto before = target.version();
        const auto kind = random() % 16;
        if (kind == 0) {
            ++head;
            const auto key = "key/" + std::to_string(random() % 20);
            table[key] =
                random() % 3 == 0
                    ? tombstone(key, head)
                    : row(key, head, std::string(random() % 9000, 'v'));
        } else if (kind == 1) {
            const auto after = target.poll_after();
            target.apply_list(list_after(after), after);
        } else if (kind == 2) {
            target.apply_delta(source.push(before));
        } else {
            target.apply_delta(source.answer(target.pull_request()));
        }
        REQUIRE(target.version() >= before);
        if (target.version() != head)
            continue;
        for (const auto& [key, latest] : table) {
            const auto* held = target.find(key);
            REQUIRE((held == nullptr) == latest.deleted);
            REQUIRE((held == nullptr || held->version == latest.version));
        }
    }
    for (auto& copy : copies) {
        copy.apply_list(list_after(copy.poll_after()), copy.poll_after());
        CHECK(copy.version() == head);
        check_equal(copy, copies[0]);
    }
}

TEST_CASE("rows messages: malformed messages are rejected")
{
    const auto code = [](const std::string& text) {
        return fj::parse_rows_message(text).error().code;
    };
    for (const auto* text :
         {"", "[]", "{}", "{\"pull\":{}}", "{\"base\":2,\"end\":1}",
          "{\"base\":1,\"end\":1,\"other\":1}",
          "{\"base\":1,\"end\":2,\"rows\":[[\"\",2,3]]}",
          "{\"base\":1,\"end\":2,\"rows\":[[\"a\",-2,3]]}",
          "{\"base\":1,\"end\":2,\"rows\":[[\"a\",2,3,4]]}",
          "{\"base\":1,\"end\":2,\"fragment\":[\"a\",2,5,4,\"\"]}",
          "{\"pull\":{\"after\":1,\"since\":1},\"x\":1}"})
        CHECK(code(text) == fj::errc::malformed);
    CHECK(
        code(std::string(fj::max_rows_message_bytes + 1, ' ')) ==
        fj::errc::too_large);
}

TEST_CASE("freshness: decisions for each serve_when mode")
{
    struct zone_case
    {
        int success_ms; // Age; negative if there is none.
        int failure_ms;
    };
    struct rule_case
    {
        const char* description;
        std::vector<zone_case> zones;
        fj::serve_when mode;
        fj::freshness_decision expected;
    };
    using enum fj::freshness_decision;
    using enum fj::serve_when;
    const std::vector<rule_case> cases = {
        {"one zone has a recent successful poll",
         {{3999, -1}, {-1, 10}},
         all_zones_report_outage,
         fresh},
        {"at the limit", {{4000, -1}}, all_zones_report_outage, fresh},
        {"beyond the limit", {{4001, -1}}, all_zones_report_outage, stale},
        {"all zones fail",
         {{9000, 100}, {9000, 3000}},
         all_zones_report_outage,
         serve_during_outage},
        {"one zone has sent no evidence",
         {{9000, 100}, {9000, -1}},
         all_zones_report_outage,
         stale},
        {"one zone's failure is too old",
         {{9000, 100}, {9000, 4001}},
         all_zones_report_outage,
         stale},
        {"most zones fail",
         {{9000, 100}, {-1, 100}, {-1, -1}},
         majority_of_zones,
         serve_during_outage},
        {"half of the zones is not a majority",
         {{9000, 100}, {-1, -1}},
         majority_of_zones,
         stale},
        {"isolated, but configured to always serve",
         {{9000, -1}, {-1, -1}},
         always,
         serve_during_outage},
    };
    for (const auto& tested : cases) {
        INFO(tested.description);
        fj::freshness state({seconds(4), tested.mode});
        state.replica_advanced(5);
        std::set<fj::availability_zone> zones;
        const auto now = start + seconds(20);
        for (const auto& zone : tested.zones) {
            const auto name = "zone" + std::to_string(zones.size());
            zones.insert(name);
            if (zone.success_ms >= 0)
                state.poll_succeeded(
                    name, 5, now - milliseconds(zone.success_ms));
            if (zone.failure_ms >= 0)
                state.poll_failed(name, now - milliseconds(zone.failure_ms));
        }
        state.set_zones(zones);
        CHECK(state.decide(now) == tested.expected);
    }
}

TEST_CASE(
    "freshness: a poll with a version that the replica lacks confirms nothing")
{
    fj::freshness state;
    state.set_zones({"a"});
    state.replica_advanced(5);
    state.poll_succeeded("a", 6, start);
    CHECK(state.decide(start) == fj::freshness_decision::stale);
    // A later outage must not allow serving without the missing change.
    state.poll_failed("a", start + seconds(10));
    CHECK(state.decide(start + seconds(10)) == fj::freshness_decision::stale);
    state.replica_advanced(6);
    CHECK(
        state.decide(start + seconds(10)) ==
        fj::freshness_decision::serve_during_outage);
    CHECK(state.confirmed_at() == start);
}

TEST_CASE("freshness: merging is commutative, and ages include the delay")
{
    std::mt19937_64 random(3);
    std::vector<fj::evidence_list> lists;
    for (int i = 0; i != 12; ++i) {
        const auto age = milliseconds(random() % 9000);
        lists.push_back(
            {{"zone" + std::to_string(random() % 3), age, 5,
              milliseconds(random() % 9000)}});
    }
    const auto state_after = [&](std::uint64_t seed) {
        auto order = lists;
        std::shuffle(order.begin(), order.end(), std::mt19937_64(seed));
        fj::freshness state;
        for (const auto& list : order)
            state.merge(list, start, start);
        std::string text;
        for (const auto& entry : state.evidence(start + seconds(1)))
            text += entry.zone + ':' +
                    std::to_string(entry.success_age->count()) + ':' +
                    std::to_string(entry.failure_age->count()) + ' ';
        return text;
    };
    for (std::uint64_t seed = 1; seed != 20; ++seed)
        CHECK(state_after(seed) == state_after(0));

    fj::freshness relay;
    relay.merge({{"z", milliseconds(100), 1, {}}}, start, start + seconds(2));
    CHECK(
        relay.evidence(start + seconds(2))[0].success_age ==
        milliseconds(2100));
    // A `counted_from` in the future must not make evidence newer than it is.
    fj::freshness early;
    early.merge({{"z", milliseconds(100), 1, {}}}, start + seconds(9), start);
    CHECK(early.evidence(start)[0].success_age == milliseconds(100));
}

TEST_CASE("readers: all nodes elect the same two, and a loss replaces only one")
{
    std::vector<std::string> live;
    for (int i = 0; i != 30; ++i)
        live.push_back("n" + std::to_string(i));
    const fj::reader_election election;
    const auto readers = election.readers(live);
    REQUIRE(readers.size() == 2);
    for (const auto& name : live) {
        const bool listed =
            std::find(readers.begin(), readers.end(), name) != readers.end();
        CHECK(election.is_reader(name, live) == listed);
    }
    std::erase(live, readers[0]);
    CHECK(election.readers(live)[0] == readers[1]);
    CHECK(election.is_reader("alone", {}));
}

TEST_CASE("poll schedule: nodes isolated at the same time do not all poll")
{
    // The nodes receive no evidence until 20 ms after the first poll, whose
    // result then reaches all of them.
    std::mt19937_64 random(5);
    const auto next_random = [&] { return random(); };
    std::vector<fj::poll_schedule> nodes;
    for (int i = 0; i != 1000; ++i)
        nodes.emplace_back(fj::poll_settings{}, start, next_random);
    int polls = 0;
    std::optional<fj::time_point> first_poll;
    for (int ms = 0; ms != 5000; ms += 10) {
        const auto now = start + milliseconds(ms);
        std::optional<fj::time_point> newest_evidence;
        if (first_poll && now - *first_poll >= milliseconds(20))
            newest_evidence = *first_poll;
        for (auto& node : nodes) {
            if (!node.should_poll(now, false, newest_evidence))
                continue;
            node.sent(now);
            node.succeeded(now);
            ++polls;
            if (!first_poll || now - *first_poll > seconds(1))
                first_poll = now;
        }
    }
    CHECK(polls > 0);
    CHECK(polls < 100);
}

TEST_CASE("poll schedule: a failing store is polled within the limit")
{
    std::mt19937_64 random(9);
    fj::poll_schedule reader({}, start, [&] { return random(); });
    int polls = 0;
    fj::time_point last = start;
    for (int ms = 0; ms != 60'000; ms += 10) {
        const auto now = start + milliseconds(ms);
        if (!reader.should_poll(now, true, {}))
            continue;
        CHECK(now - last < milliseconds(3500));
        last = now;
        reader.sent(now);
        reader.failed(now);
        ++polls;
    }
    CHECK(polls >= 20);
    CHECK(polls <= 45);
    reader.succeeded(last);
    CHECK_FALSE(reader.should_poll(last, true, {}));
}

TEST_CASE("placement: removing a candidate moves only its own keys")
{
    std::vector<std::string> names;
    for (int i = 0; i != 20; ++i)
        names.push_back("n" + std::to_string(i));
    auto reduced = names;
    reduced.pop_back();
    int moved = 0;
    for (int i = 0; i != 2000; ++i) {
        const auto key = "k" + std::to_string(i);
        const auto& winner = names[*fj::rendezvous_first(key, names)];
        CHECK(fj::rendezvous_order(key, names)[0] == winner);
        const auto& reduced_winner =
            reduced[*fj::rendezvous_first(key, reduced)];
        moved += reduced_winner == winner ? 0 : 1;
        CHECK((reduced_winner == winner || winner == "n19"));
    }
    CHECK(moved > 50);
    CHECK(moved < 150);
}
