#include "config_follower.hpp"

#include <fulmarjunction/mesh/backend_monitor.hpp>
#include <fulmarjunction/mesh/call_context.hpp>
#include <fulmarjunction/mesh/caller_entry.hpp>
#include <fulmarjunction/mesh/config_copy.hpp>
#include <fulmarjunction/mesh/mesh_settings.hpp>

#include <catch2/catch.hpp>

#include <set>

namespace fj = fulmarjunction;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr fj::time_point start{seconds(1000)};

fj::service_map_ptr make_map(fj::config_version version)
{
    fj::service_document document;
    document.version = version;
    return std::make_shared<fj::service_map>(std::move(document));
}

fj::backend_heartbeat make_heartbeat(
    std::string id, std::int64_t start_time_ms, std::uint64_t sequence,
    bool is_draining = false)
{
    fj::backend_heartbeat heartbeat;
    heartbeat.id = std::move(id);
    heartbeat.service = "books";
    heartbeat.address = "10.0.0.1:80";
    heartbeat.slots = 8;
    heartbeat.start_time_ms = start_time_ms;
    heartbeat.sequence = sequence;
    heartbeat.is_draining = is_draining;
    return heartbeat;
}

fj::backend_monitor make_monitor()
{
    return fj::backend_monitor("books", "10.0.0.1:80", seconds(6));
}

} // namespace

// Guards against a stale read that replaces a newer configuration.
TEST_CASE("a configuration is never replaced by an older one")
{
    fj::config_copy copy(seconds(4));
    CHECK(copy.offer(make_map(5)));
    CHECK_FALSE(copy.offer(make_map(4)));
    CHECK_FALSE(copy.offer(make_map(5)));
    CHECK(copy.version() == 5);
    CHECK(copy.offer(make_map(9)));
}

// Guards against withdrawn keys that keep working at a node that can't confirm
// its configuration.
TEST_CASE("keys are trusted only while the version is confirmed")
{
    fj::config_copy copy(seconds(4));
    copy.offer(make_map(5));
    CHECK_FALSE(copy.is_confirmed(seconds(10)));
    copy.confirm(5, seconds(10));
    CHECK(copy.is_confirmed(seconds(13)));
    CHECK_FALSE(copy.is_confirmed(seconds(14)));
    SECTION("a confirmation has no effect while a newer version is known")
    {
        copy.expect(6);
        copy.confirm(5, seconds(14));
        CHECK_FALSE(copy.is_confirmed(seconds(14)));
        copy.offer(make_map(6));
        copy.confirm(6, seconds(14));
        CHECK(copy.is_confirmed(seconds(14)));
    }
    SECTION("a confirmation of another version has no effect")
    {
        copy.confirm(4, seconds(14));
        copy.confirm(6, seconds(14));
        CHECK_FALSE(copy.is_confirmed(seconds(14)));
    }
    SECTION("an older confirmation has no effect")
    {
        copy.confirm(5, seconds(12));
        copy.confirm(5, seconds(11));
        CHECK(copy.is_confirmed(seconds(15)));
    }
    SECTION("a new version needs its own confirmation")
    {
        copy.offer(make_map(6));
        CHECK_FALSE(copy.is_confirmed(seconds(11)));
    }
}

// Guards against keys that are trusted for too long because an answer of the
// store is taken for newer than it is.
TEST_CASE("the estimated time of an answer is never too late")
{
    fj::answer_clock clock;
    // The store's clock is 100 s behind; the call took 5 ms, 2 ms each way.
    const auto immediate =
        clock.answered_at(milliseconds(200'000), milliseconds(100'002));
    CHECK(immediate == milliseconds(200'000));
    // A call that waited 1500 ms was answered at about the end of the wait.
    const auto waited =
        clock.answered_at(milliseconds(201'000), milliseconds(102'502));
    CHECK(waited == milliseconds(202'500));
    // After a restart of the store's clock only the start of the call is known.
    const auto restarted =
        clock.answered_at(milliseconds(210'000), milliseconds(50));
    CHECK(restarted == milliseconds(210'000));
}

// Guards against late heartbeats that overwrite the newer state.
TEST_CASE("heartbeats of an earlier process or an earlier time are ignored")
{
    auto monitor = make_monitor();
    using fj::heartbeat_verdict;
    CHECK(monitor.state(start) == fj::backend_state::absent);
    CHECK(
        monitor.receive(make_heartbeat("b", 20, 3), start) ==
        heartbeat_verdict::accepted);
    CHECK(monitor.state(start) == fj::backend_state::ready);
    CHECK(
        monitor.receive(make_heartbeat("a", 10, 9), start) ==
        heartbeat_verdict::outdated);
    CHECK(
        monitor.receive(make_heartbeat("b", 20, 2, true), start) ==
        heartbeat_verdict::outdated);
    CHECK(monitor.id() == "b");
    CHECK(monitor.state(start) == fj::backend_state::ready);
}

// Guards against sequence numbers of the previous process that make all
// heartbeats of a restarted one look outdated.
TEST_CASE("a process that restarts under the same id is accepted")
{
    auto monitor = make_monitor();
    monitor.receive(make_heartbeat("a", 10, 9, true), start);
    CHECK(monitor.state(start) == fj::backend_state::draining);
    CHECK(
        monitor.receive(make_heartbeat("a", 20, 1), start) ==
        fj::heartbeat_verdict::accepted);
    CHECK(monitor.state(start) == fj::backend_state::ready);
}

// Guards against a heartbeat that arrives after the leave and makes the backend
// server look ready again.
TEST_CASE("a process that has left stays absent despite later heartbeats")
{
    auto monitor = make_monitor();
    monitor.receive(make_heartbeat("a", 10, 1), start);
    monitor.receive(fj::backend_leave{"a", 5}, start);
    CHECK(monitor.state(start) == fj::backend_state::ready);
    monitor.receive(fj::backend_leave{"a", 10}, start);
    CHECK(monitor.state(start) == fj::backend_state::absent);
    monitor.receive(make_heartbeat("a", 10, 2), start);
    CHECK(monitor.state(start) == fj::backend_state::absent);
    monitor.receive(make_heartbeat("b", 30, 1), start);
    CHECK(monitor.state(start) == fj::backend_state::ready);
}

// Guards against requests to a backend server that has crashed, and against one
// that stays absent after its next heartbeat.
TEST_CASE("a backend server that is unresponsive or refuses is absent")
{
    auto monitor = make_monitor();
    monitor.receive(make_heartbeat("a", 10, 1), start);
    CHECK(monitor.state(start + seconds(6)) == fj::backend_state::absent);
    monitor.receive(make_heartbeat("a", 10, 2), start + seconds(6));
    CHECK(monitor.state(start + seconds(6)) == fj::backend_state::ready);
    monitor.record_connection_refused();
    CHECK(monitor.state(start + seconds(6)) == fj::backend_state::absent);
    monitor.receive(make_heartbeat("a", 10, 3), start + seconds(7));
    CHECK(monitor.state(start + seconds(7)) == fj::backend_state::ready);
}

// Guards against a health answer that makes a draining backend server ready.
TEST_CASE("a health answer only counts until the first heartbeat")
{
    auto monitor = make_monitor();
    monitor.receive(fj::backend_health{"a", 8}, start);
    CHECK(monitor.state(start) == fj::backend_state::ready);
    CHECK(monitor.id() == "a");
    CHECK(monitor.slots() == 8);
    monitor.receive(make_heartbeat("a", 10, 7, true), start);
    CHECK(monitor.state(start) == fj::backend_state::draining);
    monitor.receive(fj::backend_health{"a", 8}, start);
    CHECK(monitor.state(start) == fj::backend_state::draining);
}

// Guards against a leave that is ignored because no heartbeat has arrived yet.
TEST_CASE("a leave counts even if only a health answer is known")
{
    auto monitor = make_monitor();
    monitor.receive(fj::backend_health{"a", 8}, start);
    monitor.receive(fj::backend_leave{"b", 10}, start);
    CHECK(monitor.state(start) == fj::backend_state::ready);
    monitor.receive(fj::backend_leave{"a", 10}, start);
    CHECK(monitor.state(start) == fj::backend_state::absent);
}

// Guards against a heartbeat that was sent before the leave and arrives after
// it, when only a health answer is known: it has a start, the answer has none.
TEST_CASE("a late heartbeat does not bring back a process known by its health")
{
    auto monitor = make_monitor();
    monitor.receive(fj::backend_health{"a", 8}, start);
    monitor.receive(fj::backend_leave{"a", 10}, start);
    CHECK(
        monitor.receive(make_heartbeat("a", 10, 7), start + seconds(1)) ==
        fj::heartbeat_verdict::outdated);
    CHECK(monitor.state(start + seconds(1)) == fj::backend_state::absent);
    // A later process may have the same id.
    CHECK(
        monitor.receive(make_heartbeat("a", 11, 1), start + seconds(1)) ==
        fj::heartbeat_verdict::accepted);
    CHECK(monitor.state(start + seconds(1)) == fj::backend_state::ready);
}

// Guards against a leave that is acknowledged and forgotten, since nothing is
// known of its process yet.
TEST_CASE("a leave counts before anything is known of its process")
{
    auto monitor = make_monitor();
    monitor.receive(fj::backend_leave{"a", 10}, start);
    monitor.receive(fj::backend_health{"a", 8}, start);
    CHECK(monitor.state(start) == fj::backend_state::absent);
    CHECK(
        monitor.receive(make_heartbeat("a", 10, 7), start) ==
        fj::heartbeat_verdict::outdated);
    CHECK(monitor.state(start) == fj::backend_state::absent);
}

// Guards against a process that is taken up although it left while its
// predecessor was the last one known.
TEST_CASE("a leave counts although an earlier process is the last one known")
{
    auto monitor = make_monitor();
    monitor.receive(make_heartbeat("a", 10, 7), start);
    monitor.receive(fj::backend_leave{"b", 20}, start);
    CHECK(monitor.state(start) == fj::backend_state::ready);
    CHECK(
        monitor.receive(make_heartbeat("b", 20, 1), start) ==
        fj::heartbeat_verdict::outdated);
}

// Guards against a leave without a start that a late heartbeat with one
// overrides, and against a process that is never accepted after it.
TEST_CASE(
    "a leave without a start holds for as long as a heartbeat may be late")
{
    auto monitor = make_monitor();
    monitor.receive(fj::backend_health{"a", 8}, start);
    monitor.receive(fj::backend_leave{"a", std::nullopt}, start);
    CHECK(
        monitor.receive(make_heartbeat("a", 10, 7), start + seconds(5)) ==
        fj::heartbeat_verdict::outdated);
    CHECK(
        monitor.receive(make_heartbeat("a", 20, 1), start + seconds(6)) ==
        fj::heartbeat_verdict::accepted);
}

// Guards against a node that takes up a backend server again after its restart:
// a heartbeat from before the leave arrives, or a health check is answered.
TEST_CASE("a restored leave holds against heartbeats and health answers")
{
    auto before = make_monitor();
    before.receive(make_heartbeat("a", 10, 7), start);
    before.receive(fj::backend_leave{"a", std::nullopt}, start);
    const auto known = before.departures(start);
    REQUIRE(known.size() == 1);
    CHECK(known[0].start_time_ms == 10);
    auto monitor = make_monitor();
    monitor.begin_restore();
    monitor.restore(known, start);
    monitor.end_restore();
    monitor.receive(fj::backend_health{"a", 8}, start);
    CHECK(monitor.state(start) == fj::backend_state::absent);
    CHECK(
        monitor.receive(make_heartbeat("a", 10, 8), start) ==
        fj::heartbeat_verdict::outdated);
    CHECK(
        monitor.receive(make_heartbeat("a", 11, 1), start) ==
        fj::heartbeat_verdict::accepted);
    CHECK(monitor.state(start) == fj::backend_state::ready);
    CHECK(monitor.departures(start + seconds(299)).size() == 1);
    CHECK(monitor.departures(start + seconds(300)).empty());
}

// Guards against requests to a backend server between the start of its node and
// the end of the read that tells which servers have left.
TEST_CASE("no backend server is ready before the leaves are restored")
{
    const fj::backend_departure left{"a", 10, std::nullopt, start};
    const fj::backend_departure draining{"a", 10, 7, start};
    for (const auto& known : {left, draining}) {
        auto monitor = make_monitor();
        monitor.begin_restore();
        monitor.receive(make_heartbeat("a", 10, 6), start);
        CHECK(monitor.state(start) == fj::backend_state::absent);
        monitor.restore({known}, start);
        CHECK(monitor.state(start) == fj::backend_state::absent);
        monitor.end_restore();
        CHECK(monitor.state(start) == fj::backend_state::absent);
        // Another node may tell of it late.
        auto early = make_monitor();
        early.begin_restore();
        early.receive(make_heartbeat("a", 10, 6), start);
        early.end_restore();
        CHECK(early.state(start) == fj::backend_state::ready);
        early.restore({known}, start);
        CHECK(early.state(start) == fj::backend_state::absent);
    }
    auto monitor = make_monitor();
    monitor.begin_restore();
    monitor.receive(make_heartbeat("a", 10, 6), start);
    monitor.restore({}, start);
    CHECK(monitor.state(start) == fj::backend_state::absent);
    monitor.end_restore();
    CHECK(monitor.state(start) == fj::backend_state::ready);
}

// Guards against a node that serves nothing for as long as other nodes don't
// answer, after all have been lost, and against a late heartbeat meanwhile.
TEST_CASE("a health answer counts before other nodes have told of leaves")
{
    auto monitor = make_monitor();
    monitor.begin_restore();
    monitor.receive(fj::backend_health{"a", 8}, start);
    CHECK(monitor.state(start) == fj::backend_state::absent);
    monitor.end_store_restore();
    CHECK(monitor.state(start) == fj::backend_state::ready);
    monitor.receive(make_heartbeat("a", 10, 7), start);
    CHECK(monitor.state(start) == fj::backend_state::ready);
    monitor.restore({{"a", 10, std::nullopt, start}}, start);
    CHECK(monitor.state(start) == fj::backend_state::absent);

    auto without_health = make_monitor();
    without_health.begin_restore();
    without_health.receive(make_heartbeat("a", 10, 7), start);
    without_health.end_store_restore();
    CHECK(without_health.state(start) == fj::backend_state::absent);
    without_health.end_restore();
    CHECK(without_health.state(start) == fj::backend_state::ready);

    // The first heartbeat may come before the health answer.
    auto early_heartbeat = make_monitor();
    early_heartbeat.begin_restore();
    early_heartbeat.receive(make_heartbeat("a", 10, 7), start);
    early_heartbeat.end_store_restore();
    CHECK(early_heartbeat.needs_health());
    early_heartbeat.receive(fj::backend_health{"b", 8}, start);
    CHECK(early_heartbeat.state(start) == fj::backend_state::absent);
    early_heartbeat.receive(fj::backend_health{"a", 8}, start);
    CHECK(early_heartbeat.state(start) == fj::backend_state::ready);
}

// Guards against a backend server that drains and is taken for ready again.
TEST_CASE("a restored draining server stays unused until a later heartbeat")
{
    auto before = make_monitor();
    before.receive(make_heartbeat("a", 10, 7, true), start);
    before.receive(make_heartbeat("a", 10, 8, true), start);
    const auto known = before.departures(start);
    REQUIRE(known.size() == 1);
    CHECK(known[0].sequence == 7U);
    auto monitor = make_monitor();
    monitor.restore(known, start);
    monitor.receive(fj::backend_health{"a", 8}, start);
    CHECK(
        monitor.receive(make_heartbeat("a", 10, 6), start) ==
        fj::heartbeat_verdict::outdated);
    CHECK(monitor.state(start) == fj::backend_state::absent);
    monitor.receive(make_heartbeat("a", 10, 9, true), start);
    CHECK(monitor.state(start) == fj::backend_state::draining);
    // It has left for good, even if a late heartbeat says that it drains.
    monitor.receive(fj::backend_leave{"a", 10}, start);
    CHECK_FALSE(monitor.departures(start)[0].sequence);
}

// Guards against a server that says in its answers that it leaves, and is taken
// up again at its first heartbeat after a restart of its node.
TEST_CASE("a first heartbeat does not undo what an answer says of its process")
{
    auto monitor = make_monitor();
    monitor.receive(fj::backend_health{"a", 8}, start);
    monitor.record_leaving("a");
    monitor.receive(make_heartbeat("a", 10, 7), start);
    CHECK(monitor.state(start) == fj::backend_state::draining);
}

// Guards against a node that does not start since a limit of its platform is
// not a whole number of seconds.
TEST_CASE("limits in seconds may have a fraction")
{
    const std::string text = R"({"name": "n", "availability_zone": "z",
"service": "s", "backend": "127.0.0.1:1", "store": "127.0.0.1:2",
"callers": "127.0.0.1:3", "ready": "127.0.0.1:4", "heartbeats": "127.0.0.1:5",
"peers": "127.0.0.1:6", "metrics": "127.0.0.1:7", )";
    const auto read = fj::parse_mesh_settings(
        text + R"("stop_limit_s": 2.5, "retry_window_s": 7.5000})", "file");
    REQUIRE(read);
    CHECK(read.value().stop_limit == milliseconds(2500));
    CHECK(read.value().retry_window == milliseconds(7500));
    CHECK_FALSE(fj::parse_mesh_settings(text + R"("stop_limit_s": 0})", "f"));
}

// Guards against store readers that query the store in step, so that all of
// their answers are equally old when it fails.
TEST_CASE("store readers query the store with different wait times")
{
    std::set<milliseconds> waits;
    for (std::uint64_t random = 0; random < 1000; ++random) {
        const auto wait = fj::store_reader_wait(random * 7919);
        CHECK(wait >= milliseconds(700));
        CHECK(wait <= milliseconds(1000));
        waits.insert(wait);
    }
    CHECK(waits.size() > 100);
}

// Guards against a misdirected heartbeat that changes the state of the local
// backend server.
TEST_CASE("heartbeats for another service or address are foreign")
{
    auto monitor = make_monitor();
    auto heartbeat = make_heartbeat("a", 10, 1);
    heartbeat.service = "films";
    CHECK(monitor.receive(heartbeat, start) == fj::heartbeat_verdict::foreign);
    heartbeat = make_heartbeat("a", 10, 1);
    heartbeat.address = "10.0.0.2:80";
    CHECK(monitor.receive(heartbeat, start) == fj::heartbeat_verdict::foreign);
    CHECK(monitor.state(start) == fj::backend_state::absent);
}

// Guards against context fields that are lost or shifted between nodes.
TEST_CASE("the context of a call is transferred between nodes")
{
    fj::call_context context;
    context.route_name = "r1";
    context.kind = fj::execution::unique;
    context.is_call = true;
    context.priority = 3;
    context.objective = milliseconds(300);
    context.deadline = start + milliseconds(700);
    context.waited = milliseconds(20);
    context.caller_service = "books";
    context.account = "north";
    context.backend_id = "run-1";
    context.print = 0xfedcba9876543210;
    context.is_crash_retry = true;
    fj::header_fields fields{{"host", "a"}};
    fj::write_context(fields, context, start);
    const auto read = fj::take_call_context(fields, start + seconds(5));
    REQUIRE(read);
    CHECK(fields.size() == 1);
    CHECK(read.value().kind == fj::execution::unique);
    CHECK(read.value().is_call);
    CHECK(read.value().deadline == start + seconds(5) + milliseconds(700));
    CHECK(read.value().waited == milliseconds(20));
    CHECK(read.value().account == "north");
    CHECK(read.value().backend_id == "run-1");
    CHECK(read.value().print == 0xfedcba9876543210);
    CHECK(read.value().is_crash_retry);
}

// Guards against calls that fail while nodes of the version before fingerprints
// are still running.
TEST_CASE("a context without a fingerprint is accepted")
{
    fj::header_fields fields{
        {"fj-c", "1;1;2;300;r;s;a"}, {"fj-t", "5;0"}, {"fj-i", "run-1"}};
    const auto read = fj::take_call_context(fields, start);
    REQUIRE(read);
    CHECK(read.value().print == fj::no_fingerprint);
}

// Guards against a backend server that forges the mark of a refused call.
TEST_CASE("only the node sets the mark of a refused call")
{
    fj::header_fields fields{{"fj-b", "forged"}};
    fj::write_downstream_refusal(fields, "");
    CHECK(fj::take_downstream_refusal(fields).empty());
    fj::write_downstream_refusal(fields, "stock");
    CHECK(fj::take_downstream_refusal(fields) == "stock");
    CHECK(fields.empty());
}

// Guards against a malformed context that is accepted with default values.
TEST_CASE("a context with missing or invalid fields is malformed")
{
    for (const auto* text : {"", "1;1", "1;1;x;300;r;s;a", "1;1;2;3;r;s;a;b"}) {
        fj::header_fields fields{
            {"fj-c", text}, {"fj-t", "5;0"}, {"fj-i", "run-1"}};
        CAPTURE(text);
        CHECK_FALSE(fj::take_call_context(fields, start));
    }
}

// Guards against a lost mark that the request has not run, without which the
// entry node must not retry.
TEST_CASE("a node's own answer is transferred between nodes")
{
    const fj::node_answer answer{
        fj::node_refusal::overloaded, true, false, milliseconds(250)};
    auto response = fj::encode_node_answer(answer);
    const auto read = fj::take_node_answer(response.headers);
    REQUIRE(read);
    CHECK(read->reason == fj::node_refusal::overloaded);
    CHECK(read->not_run);
    CHECK_FALSE(read->reached_backend);
    CHECK(read->retry_after == milliseconds(250));
}

// Guards against an unreadable answer that is taken as proof that the request
// has not run.
TEST_CASE("an unreadable node answer counts as possibly run")
{
    fj::header_fields fields{{"fj-o", "something;1;0;5"}};
    const auto read = fj::take_node_answer(fields);
    REQUIRE(read);
    CHECK_FALSE(read->not_run);
    CHECK(fj::caller_status(*read) == 502);
}

// Guards against a 503 status, which tells callers that a retry is safe, for a
// request that may have run.
TEST_CASE("only requests known not to have run are answered with 503")
{
    for (const bool not_run : {true, false}) {
        const fj::node_answer answer{
            fj::node_refusal::broken, not_run, true, std::nullopt};
        CHECK(fj::caller_status(answer) == (not_run ? 503 : 502));
    }
}

namespace {

constexpr std::string_view valid_settings = R"({
  // A comment.
  "name": "n1", "availability_zone": "east", "service": "books",
  "backend": "10.0.0.1:80", "store": "10.0.0.9:80",
  "callers": "10.0.0.1:1", "ready": "10.0.0.1:2",
  "heartbeats": "10.0.0.1:3", "peers": "10.0.0.1:4",
  "metrics": "10.0.0.1:5", "retry_slack": 12,
})";

std::string settings_with(std::string_view from, std::string_view to)
{
    std::string text(valid_settings);
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("settings with comments are parsed")
{
    const auto settings = fj::parse_mesh_settings(valid_settings, "file");
    REQUIRE(settings);
    CHECK(settings.value().service == "books");
    CHECK(settings.value().retry_slack == 12);
    CHECK(settings.value().revocation_bound == seconds(5));
}

// Guards against a typo in the settings that silently leaves a default in use.
TEST_CASE("invalid settings are refused with the file and the field")
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {settings_with("\"10.0.0.1:80\"", "\"nowhere\""), "backend"},
        {settings_with("\"service\": \"books\",", ""), "service"},
        {settings_with("12", "-1"), "retry_slack"},
        {settings_with("retry_slack", "retry_slak"), "retry_slak"},
        {"{", "file"}};
    for (const auto& [text, expected] : cases) {
        CAPTURE(text);
        const auto settings = fj::parse_mesh_settings(text, "file");
        REQUIRE_FALSE(settings);
        const auto message = to_string(settings.error());
        CHECK(message.find("file") != std::string::npos);
        CHECK(message.find(expected) != std::string::npos);
    }
}
