#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/explain/explain.hpp>
#include <fulmarjunction/mesh/call_context.hpp>

#include <catch2/catch.hpp>

#include <iterator>

namespace fj = fulmarjunction;

namespace {

fj::explanation
explain(std::string_view id, std::string_view entry, std::string_view gate)
{
    auto log = fj::parse_log(entry, "node-a");
    auto more = fj::parse_log(gate, "node-b");
    log.insert(
        log.end(), std::make_move_iterator(more.begin()),
        std::make_move_iterator(more.end()));
    return fj::explain_request(id, std::move(log));
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a log line is read back as it was written")
{
    std::string written;
    fj::set_log_sink([&](std::string_view line) { written = line; });
    fj::log(
        fj::log_level::info, "gate_refused",
        {{"request", "r1"},
         {"detail", "http \"x\" = 1\n\\"},
         {"empty", ""},
         {"running", 3}});
    fj::set_log_sink({});
    const auto line = fj::parse_log_line(written, "node-a");
    CHECK(line.event == "gate_refused");
    CHECK(line.source == "node-a");
    CHECK(line.field("request") == "r1");
    CHECK(line.field("detail") == "http \"x\" = 1\n\\");
    CHECK(line.field("empty").empty());
    CHECK(line.field("running") == "3");
}

TEST_CASE("text that is no log line is skipped")
{
    CHECK(fj::parse_log_line("", "n").event.empty());
    CHECK(fj::parse_log_line("Killed", "n").event.empty());
    CHECK(fj::parse_log_line("time=2026 level=info", "n").event.empty());
    // A line that is truncated in the middle of a value.
    const auto cut = fj::parse_log_line("time=1 event=refused detail=\"a", "n");
    CHECK(cut.field("detail") == "a");
    CHECK(fj::parse_log_line("time=1 event=x detail=\"\\x4", "n").event == "x");
}

TEST_CASE("the source is the collector's prefix before the line")
{
    const auto lines = fj::parse_log(
        "  0.75 node-7 time=1 level=info event=started\n"
        "time=2 level=info event=joined\n"
        "node-8: time=3 level=info event=started\n",
        "file");
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].source == "node-7");
    CHECK(lines[1].source == "node-7");
    CHECK(lines[2].source == "node-8");
}

TEST_CASE("lines of all nodes are merged in the order of their times")
{
    const auto found = explain(
        "r1",
        "time=1 event=retry request=r1 instance=node-b reason=overloaded\n"
        "time=4 event=refused request=r1 status=503 reason=overloaded "
        "not_run=true retry_after_ms=250\n"
        "time=2 event=refused request=r2 status=404 reason=no_route\n",
        "time=0 event=gate_refused request=r1 reason=overloaded running=22 "
        "waiting=9 limit=23\n");
    REQUIRE(found.lines.size() == 3);
    CHECK(found.lines[0].event == "gate_refused");
    CHECK(found.lines[1].event == "retry");
    CHECK(
        found.sentence ==
        "Refused with status 503 by node-a because no backend server that was "
        "tried had a free slot in time: the node node-b had 22 of 23 slots in "
        "use and 9 requests waiting; it has not run, and the caller may retry "
        "after 250 ms.");
}

TEST_CASE("a refused key is explained by the configuration and its age")
{
    const auto found = explain(
        "r1",
        "time=1 event=store_lost error=timeout\n"
        "time=3 event=refused request=r1 status=503 "
        "reason=unconfirmed_configuration not_run=true retry_after_ms=1000 "
        "config=49 config_age_ms=3912\n"
        "time=5 event=store_regained\n",
        "time=2 event=peer_lost peer=node-a\n");
    CHECK(contains(found.sentence, "configuration 49 3912 ms before"));
    REQUIRE(found.surroundings.size() == 1);
    CHECK(found.surroundings[0].event == "store_lost");
}

TEST_CASE("an unknown outcome names the step that failed")
{
    const auto found = explain(
        "r1",
        "time=2 event=refused request=r1 status=502 reason=broken "
        "not_run=false\n",
        "time=1 event=gate_refused request=r1 reason=broken "
        "detail=\"http.response [10.0.0.1:80]: connection_broken\"\n");
    CHECK(contains(found.sentence, "status 502 by node-a"));
    CHECK(contains(found.sentence, "node-b reported broken: http.response"));
    CHECK(contains(found.sentence, "it may have run"));
}

TEST_CASE("each refusal reason has its own description")
{
    for (int value = 0; value <= static_cast<int>(fj::node_refusal::canceled);
         ++value) {
        const auto reason = static_cast<fj::node_refusal>(value);
        const auto found = explain(
            "r1",
            "time=1 event=refused request=r1 status=503 not_run=true reason=" +
                std::string(fj::to_string(reason)) + "\n",
            "");
        INFO(found.sentence);
        CHECK(contains(found.sentence, "by node-a because"));
    }
}

TEST_CASE("an answered request reports its time and its attempts")
{
    const auto found = explain(
        "r1",
        "time=1 event=retry request=r1 instance=node-b reason=turned_away\n"
        "time=2 event=answered_late request=r1 status=200 ms=1800\n",
        "");
    CHECK(contains(found.sentence, "status 200 through node-a after 1800 ms"));
    CHECK(contains(found.sentence, "later than the objective"));
    CHECK(contains(found.sentence, "1 failed attempts"));
}

TEST_CASE("a request without an outcome or without lines is reported as such")
{
    CHECK(contains(
        explain("r1", "", "time=1 event=gate_refused request=r1\n").sentence,
        "the last line is gate_refused of node-b"));
    CHECK(contains(explain("r1", "", "").sentence, "No line names"));
}
