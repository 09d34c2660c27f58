#include "membership/fleet_simulation.hpp"

#include <fulmarjunction/core/log.hpp>

#include <catch2/catch.hpp>

namespace fj = fulmarjunction;
namespace sim = fulmarjunction::simulation;

namespace {

using fj::milliseconds;
using fj::seconds;

constexpr fj::time_point start{std::chrono::hours(1)};

fj::instance_record
record_of(std::string name, fj::incarnation_number incarnation = 5'000'000)
{
    fj::instance_record record;
    record.name = std::move(name);
    record.incarnation = incarnation;
    record.peer_address = record.name;
    record.zone = "zone0";
    record.service = "guides";
    record.slots = 55;
    record.lease = seconds(300);
    record.renewals = 1;
    return record;
}

fj::table_row row_of(const fj::instance_record& record, fj::table_version at)
{
    return {fj::instance_row_key(record.name), to_json(record), at};
}

fj::own_row make_own(fj::instance_record record)
{
    return {std::move(record), start, [] { return std::uint64_t{0}; }};
}

// Performs one step against the store. A lost answer is reported as a timeout
// although the write took effect.
bool step(
    fj::own_row& own, sim::store& table, fj::time_point now,
    bool is_answer_lost)
{
    const auto action = own.next(now);
    if (action.step == fj::own_row_step::none)
        return false;
    if (action.step == fj::own_row_step::read) {
        own.read(table.get(action.key), now);
        return true;
    }
    auto outcome = table.commit(action.change);
    if (is_answer_lost)
        outcome = fj::fail(fj::errc::timeout, "commit");
    own.committed(outcome, now);
    return true;
}

fj::instance_record read_record(const sim::store& table, const char* name)
{
    const auto row = table.get(fj::instance_row_key(name));
    REQUIRE(row);
    return fj::parse_instance_record(row->key, row->value).value();
}

} // namespace

TEST_CASE("own row: announces, renews each third of the lease, leaves, deletes")
{
    sim::store table;
    auto own = make_own(record_of("a"));
    while (step(own, table, start, false)) {
    }
    CHECK(own.is_settled());
    CHECK(own.lease_until() == start + seconds(300));
    CHECK(own.next(start + seconds(99)).step == fj::own_row_step::none);
    const auto later = start + seconds(100);
    while (step(own, table, later, false)) {
    }
    CHECK(read_record(table, "a").renewals == 2);
    CHECK(own.lease_until() == later + seconds(300));
    CHECK_FALSE(own.is_lease_valid(later + seconds(300)));
    own.mark_leaving();
    while (step(own, table, later, false)) {
    }
    CHECK(read_record(table, "a").leaving);
    own.remove();
    while (step(own, table, later, false)) {
    }
    CHECK_FALSE(table.get(fj::instance_row_key("a")));
    CHECK(own.is_settled());
}

TEST_CASE("own row: a lost answer is read back, the write is not repeated")
{
    sim::store table;
    auto own = make_own(record_of("a"));
    CHECK(step(own, table, start, false));
    CHECK(step(own, table, start, true));
    CHECK_FALSE(own.is_lease_valid(start));
    const auto head = table.head();
    // The lease counts from before the write was sent, not from the read.
    const auto later = start + seconds(5);
    while (step(own, table, later, false)) {
    }
    CHECK(table.head() == head);
    CHECK(own.lease_until() == start + seconds(300));

    // The same holds for a deletion.
    own.remove();
    CHECK(step(own, table, later, true));
    while (step(own, table, later + seconds(5), false)) {
    }
    CHECK(own.is_settled());
    CHECK(table.head() == head + 1);
}

TEST_CASE(
    "own row: an old row raises the incarnation, a newer one supersedes it")
{
    sim::store table;
    (void)table.commit(
        {{}, {{"instance/a", to_json(record_of("a", 9'000'000))}}});
    auto own = make_own(record_of("a"));
    while (step(own, table, start, false)) {
    }
    CHECK(own.incarnation() == 9'000'001);
    CHECK(read_record(table, "a").incarnation == 9'000'001);

    (void)table.commit(
        {{}, {{"instance/a", to_json(record_of("a", 9'500'000))}}});
    fj::set_log_level(fj::log_level::error);
    fj::set_log_sink([](std::string_view) {});
    const auto later = start + seconds(100);
    for (int i = 0; i != 10; ++i)
        step(own, table, later + seconds(2 * i), false);
    fj::set_log_sink({});
    fj::set_log_level(fj::log_level::info);
    CHECK(own.is_superseded());
    CHECK_FALSE(own.is_lease_valid(later));
    CHECK(read_record(table, "a").incarnation == 9'500'000);
}

TEST_CASE("own row: a lease that ends in an outage is announced again after it")
{
    sim::store table;
    auto own = make_own(record_of("a"));
    while (step(own, table, start, false)) {
    }
    fj::time_point now = start + seconds(100);
    int attempts = 0;
    for (; now < start + seconds(1000); now += milliseconds(100)) {
        const auto action = own.next(now);
        if (action.step == fj::own_row_step::none)
            continue;
        ++attempts;
        if (action.step == fj::own_row_step::read)
            own.read(fj::fail(fj::errc::timeout, "get"), now);
        else
            own.committed(fj::fail(fj::errc::timeout, "commit"), now);
    }
    CHECK_FALSE(own.is_lease_valid(now));
    // Back-off: a fleet must not spend the store's budget on an outage.
    CHECK(attempts < 60);
    // A row that was deleted during the outage is written again.
    (void)table.commit({{}, {{"instance/a", std::nullopt}}});
    now += seconds(60);
    while (step(own, table, now, false)) {
    }
    CHECK(own.lease_until() == now + seconds(300));
    CHECK(read_record(table, "a").renewals >= 2);
}

TEST_CASE(
    "lease expiry monitor: a lease runs from the first read of its renewal")
{
    fj::lease_expiry_monitor watch;
    auto record = record_of("gone");
    watch.apply_row(row_of(record, 3), start);
    CHECK(watch.is_expired("unknown", 1, start));
    CHECK(watch.is_expired("gone", record.incarnation - 1, start));
    // The term is 300 s and 1% of it.
    CHECK_FALSE(
        watch.is_expired("gone", record.incarnation, start + seconds(302)));
    CHECK(watch.is_expired("gone", record.incarnation, start + seconds(303)));
    // A change that is not a renewal does not extend the lease.
    record.leaving = true;
    watch.apply_row(row_of(record, 4), start + seconds(200));
    CHECK(watch.is_expired("gone", record.incarnation, start + seconds(303)));
    ++record.renewals;
    watch.apply_row(row_of(record, 5), start + seconds(210));
    CHECK_FALSE(
        watch.is_expired("gone", record.incarnation, start + seconds(303)));

    const auto late = start + seconds(600);
    CHECK(watch.due_deletions(late, "self", {"gone", "self"}).empty());
    const auto deletions = watch.due_deletions(late, "self", {"self"});
    REQUIRE(deletions.size() == 1);
    CHECK(deletions[0].conditions[0].expected == 5);
    CHECK_FALSE(deletions[0].writes[0].value);
    // A deletion is returned again only after its answer may have been lost.
    CHECK(watch.due_deletions(late, "self", {"self"}).empty());
    CHECK(
        watch.due_deletions(late + seconds(30), "self", {"self"}).size() == 1);
    // Exactly one of the live instances deletes the row.
    std::size_t deleting = 0;
    for (const auto* self : {"a", "b", "c"}) {
        fj::lease_expiry_monitor other;
        other.apply_row(row_of(record, 5), start);
        deleting += other.due_deletions(late, self, {"a", "b", "c"}).size();
    }
    CHECK(deleting == 1);
}

TEST_CASE("ring: monitors and neighbours are consistent, and few links change")
{
    for (const std::size_t size : {1, 2, 3, 4, 5, 13, 64, 65, 300}) {
        fj::instance_ring ring;
        for (std::size_t i = 0; i != size; ++i)
            CHECK(ring.insert("n" + std::to_string(i)));
        CHECK_FALSE(ring.insert("n0"));
        for (std::size_t i = 0; i != size; ++i) {
            const auto name = "n" + std::to_string(i);
            const auto probed = ring.neighbours(name);
            CHECK(probed.size() >= std::min<std::size_t>(3, size - 1));
            for (const auto& other : probed) {
                CHECK(other != name);
                const auto monitors = ring.monitors(other);
                CHECK(std::count(monitors.begin(), monitors.end(), name) == 1);
            }
        }
    }
    CHECK(fj::ring_offsets(2600).size() == 6);
}

TEST_CASE("probe messages: round-trip through text; malformed ones are refused")
{
    fj::probe_message message;
    message.from = "a";
    message.incarnation = 7;
    message.version = 8;
    message.upto = 9;
    message.timestamp = 10;
    message.echo = 11;
    message.hold_time = milliseconds(12);
    message.evidence = {{"z", milliseconds(5), 8, {}}};
    message.statuses = {
        {"b", 2, 3, "guides", 4, true, true, false, record_of("b", 2)}};
    message.reports = {{"c", 1, "a", 2, true, milliseconds(9000)}};
    message.sections["suspects"] = {1, 2};
    const auto text = to_text(message);
    const auto parsed = fj::parse_probe_message(text).value();
    CHECK(to_text(parsed) == text);
    CHECK(parsed.statuses[0].record->peer_address == "b");
    CHECK(parsed.statuses[0].draining);

    for (std::size_t size = 0; size != text.size(); ++size)
        CHECK(fj::parse_probe_message(text.substr(0, size)).has_error());
    const std::string base =
        R"({"from":"a","life":1,"v":1,"upto":1,"ack":1,"t":1)";
    CHECK(fj::parse_probe_message(base + "}"));
    for (const auto* extra :
         {R"(,"y":1})", R"(,"echo":[1]})", R"(,"ev":[["z",1,1]]})",
          R"(,"ev":[["z",-1,1,null]]})", R"(,"st":[["",1,1,"s",1,1]]})",
          R"(,"rp":[["a",1,"b",1,1,99999999999]]})", R"(,"x":[]})"})
        CHECK(fj::parse_probe_message(base + extra).has_error());
    CHECK(
        fj::parse_probe_message(
            std::string(fj::max_probe_message_bytes + 1, ' '))
            .error()
            .code == fj::errc::too_large);
}

TEST_CASE("evidence: a delayed probe does not count as recent")
{
    fj::membership a({}, record_of("a"), start);
    fj::membership b({}, record_of("b"), start);
    const fj::evidence_list evidence{{"z", milliseconds(0), 1, {}}};
    fj::instance_record other = record_of("b");
    a.apply_row(row_of(other, 1), start);
    a.tick(start, 1, evidence);
    const auto first = a.tick(start + seconds(1), 1, evidence).probes.at(0);

    // The first probe echoes nothing, so its delay is unknown.
    const auto received_at = start + seconds(1) + milliseconds(10);
    const auto reply =
        b.probe_received(first.message, received_at, 1, evidence);
    CHECK(reply.learned.evidence.empty());
    const auto answered =
        a.probe_answered("b", reply.message, start + seconds(1), received_at);
    CHECK(answered.counted_from == start + seconds(1));

    const auto second = a.tick(start + seconds(2), 1, evidence).probes.at(0);
    const auto prompt = b.probe_received(
        second.message, start + seconds(2) + milliseconds(4), 1, evidence);
    REQUIRE(prompt.learned.evidence.size() == 1);
    CHECK(prompt.learned.counted_from <= start + seconds(2));
    CHECK(prompt.learned.counted_from >= start + seconds(2) - milliseconds(11));
    const auto late =
        b.probe_received(second.message, start + seconds(30), 1, evidence);
    CHECK(late.learned.counted_from <= start + seconds(2));
    // After a partition of hours, an echo with an age over the limit would make
    // the other side refuse the message.
    const auto hours = a.tick(start + std::chrono::hours(2), 1, evidence);
    const auto text = to_text(hours.probes.at(0).message);
    CHECK_FALSE(fj::parse_probe_message(text).value().echo);
    // A restarted node has another clock origin, so it must not use the echo.
    fj::membership restarted({}, record_of("b", 5'000'001), start);
    CHECK(restarted
              .probe_received(second.message, start + seconds(30), 1, evidence)
              .learned.evidence.empty());
}

TEST_CASE("sections of other slices are sent with probes, within their limit")
{
    fj::membership a({}, record_of("a"), start);
    fj::membership b({}, record_of("b"), start);
    a.apply_row(row_of(record_of("b"), 1), start);
    std::vector<std::string> received;
    a.attach_section(
        "suspects", [](const auto&) { return boost::json::value("s"); }, {});
    a.attach_section(
        "large",
        [](const auto&) { return boost::json::value(std::string(2000, 'x')); },
        {});
    for (const auto* name : {"suspects", "large"}) {
        b.attach_section(name, {}, [&, name](const auto& from, const auto&) {
            received.push_back(from + ':' + name);
        });
    }
    fj::set_log_sink([](std::string_view) {});
    a.tick(start, 1, {});
    const auto probe = a.tick(start + seconds(1), 1, {}).probes.at(0);
    fj::set_log_sink({});
    b.probe_received(probe.message, start + seconds(1), 1, {});
    CHECK(received == std::vector<std::string>{"a:suspects"});
}

TEST_CASE(
    "backend server: not ready after 3 s without report, and sent at once")
{
    fj::membership a({}, record_of("a"), start);
    a.apply_row(row_of(record_of("a"), 1), start);
    a.apply_row(row_of(record_of("b"), 2), start);
    a.tick(start, 2, {});
    a.backend_announced({"guides", 55, false}, start + seconds(1));
    CHECK(a.tick(start + seconds(1), 2, {}).leaves.empty());
    CHECK(a.is_backend_ready(start + milliseconds(3900)));
    CHECK_FALSE(a.is_backend_ready(start + seconds(4)));
    const auto orders = a.tick(start + seconds(4), 2, {});
    REQUIRE(orders.leaves.size() == 1);
    CHECK_FALSE(orders.leaves[0].message.statuses.at(0).ready);
    CHECK(a.candidates("guides").size() == 1);
}

namespace {

// Returns node `a`, which knows `b` to `e`.
std::unique_ptr<fj::membership> make_five_node_view()
{
    auto a = std::make_unique<fj::membership>(
        fj::membership_settings{}, record_of("a"), start);
    fj::table_version version = 0;
    for (const auto* name : {"a", "b", "c", "d", "e"})
        a->apply_row(row_of(record_of(name), ++version), start);
    a->tick(start, version, {});
    return a;
}

// Delivers a probe from `c` with reports, each a pair of the reporter and the
// reported instance.
void receive_reports(
    fj::membership& a,
    const std::vector<std::pair<const char*, const char*>>& reports,
    fj::time_point now)
{
    fj::probe_message message;
    message.from = "c";
    message.incarnation = 5'000'000;
    for (const auto& [reporter, about] : reports)
        message.reports.push_back(
            {about, 5'000'000, reporter, 1, true, milliseconds(9000)});
    a.probe_received(message, now, 5, {});
    a.tick(now + milliseconds(500), 5, {});
}

} // namespace

TEST_CASE(
    "down rule: needs two reports by instances that are not reported down")
{
    auto a = make_five_node_view();
    receive_reports(*a, {{"c", "b"}}, start + seconds(1));
    CHECK_FALSE(a->is_down("b"));
    receive_reports(*a, {{"d", "b"}}, start + seconds(2));
    CHECK(a->is_down("b"));
    // A node with broken links reports all others and is reported itself, so
    // its reports must not count.
    receive_reports(*a, {{"d", "c"}, {"e", "c"}}, start + seconds(3));
    CHECK_FALSE(a->is_down("b"));
}

TEST_CASE("down rule: an instance that answers this node is not down")
{
    auto a = make_five_node_view();
    fj::probe_message answer;
    answer.from = "b";
    answer.incarnation = 5'000'000;
    const auto sent = start + seconds(1);
    for (const auto& order : a->tick(sent, 5, {}).probes) {
        if (order.to == "b")
            a->probe_answered("b", answer, sent, sent);
    }
    const auto probed = a->neighbours();
    const bool reached =
        std::find(probed.begin(), probed.end(), "b") != probed.end();
    receive_reports(*a, {{"c", "b"}, {"d", "b"}}, start + seconds(2));
    CHECK(a->is_down("b") != reached);
}

TEST_CASE("pause: probes that failed around a pause do not cause a report")
{
    fj::membership a({}, record_of("a"), start);
    a.apply_row(row_of(record_of("b"), 1), start);
    a.tick(start, 1, {});
    for (int second = 1; second != 3; ++second) {
        a.tick(start + seconds(second), 1, {});
        a.probe_failed("b", start + seconds(second));
    }
    fj::set_log_sink([](std::string_view) {});
    a.tick(start + seconds(20), 1, {});
    fj::set_log_sink({});
    a.probe_failed("b", start + seconds(20));
    a.tick(start + seconds(21), 1, {});
    CHECK_FALSE(a.is_down("b"));
    a.probe_failed("b", start + seconds(21));
    a.probe_failed("b", start + seconds(22));
    a.tick(start + seconds(22), 1, {});
    CHECK(a.is_down("b"));
}
