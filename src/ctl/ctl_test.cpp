#include "../platform/virtual_time.hpp"

#include <fulmarjunction/catalog/catalog.hpp>
#include <fulmarjunction/ctl/change.hpp>
#include <fulmarjunction/ctl/commands.hpp>
#include <fulmarjunction/ctl/list_diff.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <map>

namespace fj = fulmarjunction;
namespace json = boost::json;
using fj::exit_status;

namespace {

const char* const plans = R"({"plans": [
    {"name": "small", "rate": 10, "burst": 20, "endpoints": ["read"]},
    {"name": "large", "rate": 100, "burst": 200, "endpoints": ["read"]}],
  "endpoints": [{"name": "read", "service": "notes", "method": "GET",
                 "path": "/notes"}]})";
const char* const accounts =
    R"({"accounts": [{"name": "anand", "plan": "small"}]})";

// Runs commands on one simulated table, with nodes that report the table
// versions of a map.
struct ctl_fixture
{
    ctl_fixture()
    {
        const auto sleep = [this](fj::duration span) {
            return time.sleep(span);
        };
        environment.table = fj::make_table_service(core, sleep);
        environment.hooks = {
            [this] { return time.now(); }, sleep, [] { return 0.5; }};
        environment.wall_time_ms = [] { return 1'000; };
        environment.options.operator_name = "mari";
        environment.read_file =
            [this](const std::string& path) -> fj::result<std::string> {
            return files.at(path);
        };
        environment.query_node = [this](
                                     std::string address, const std::string&,
                                     const std::string&) {
            return answer(std::move(address));
        };
        files["plans"] = plans;
        files["accounts"] = accounts;
    }

    fj::awaitable<fj::result<json::value>> answer(std::string address)
    {
        const auto found = versions.find(address);
        if (found == versions.end())
            co_return fj::fail(fj::errc::connection_failed, "ask", address);
        co_return json::value{
            {"version", found->second},
            {"freshness", "fresh"},
            {"ready", true}};
    }

    fj::command_output run(std::vector<std::string> words)
    {
        environment.options.change_id = "c" + std::to_string(++last_id);
        return retry(std::move(words));
    }

    fj::command_output retry(std::vector<std::string> words)
    {
        return time.run(fj::run_command(environment, std::move(words)));
    }

    void apply_lists()
    {
        REQUIRE(run({"plans", "apply", "plans"}).status == exit_status::ok);
        REQUIRE(
            run({"accounts", "apply", "accounts"}).status == exit_status::ok);
    }

    fj::detail::virtual_time time;
    fj::table_core core;
    fj::ctl_environment environment;
    std::map<std::string, std::string> files;
    std::map<std::string, fj::table_version> versions;
    int last_id = 0;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string text_of(const fj::command_output& output)
{
    return json::serialize(output.document);
}

} // namespace

TEST_CASE("a change is one transaction of head, row and audit row", "[ctl]")
{
    ctl_fixture fixture;
    fixture.apply_lists();
    CHECK(fixture.core.head() == 2);
    CHECK(fixture.core.get("head")->version == 2);
    CHECK(fixture.core.get("catalog/accounts")->version == 2);
    const auto audit =
        fj::parse_audit_record(fixture.core.get(fj::audit_row_key(2))->value);
    REQUIRE(audit);
    CHECK(audit.value().change_id == "c2");
    CHECK(audit.value().operator_name == "mari");
    CHECK(contains(audit.value().summary, "+ account anand"));
    const auto shown = fixture.run({"audit"});
    CHECK(shown.document.at("changes").as_array().size() == 2);
}

TEST_CASE("a conflict report names the other operator's change", "[ctl]")
{
    ctl_fixture fixture;
    fixture.apply_lists();
    // Both operators edit the list at version 2.
    const auto current = fixture.run({"accounts", "show"});
    CHECK(current.document.at("version") == 2);
    fixture.files["first"] =
        R"({"version": 2, "accounts": [{"name": "anand", "plan": "large"}]})";
    fixture.files["second"] =
        R"({"version": 2, "accounts": [{"name": "surat", "plan": "small"}]})";
    CHECK(
        fixture.run({"accounts", "apply", "first"}).status == exit_status::ok);
    fixture.environment.options.operator_name = "jaan";
    const auto refused = fixture.run({"accounts", "apply", "second"});
    CHECK(refused.status == exit_status::conflict);
    const auto text = text_of(refused);
    CHECK(contains(text, "mari"));
    CHECK(contains(text, "at version 3"));
    CHECK(contains(text, "small"));
    CHECK(contains(text, "large"));
    CHECK(fixture.core.head() == 3);
}

TEST_CASE("a concurrent change of another row is no conflict", "[ctl]")
{
    ctl_fixture fixture;
    fixture.apply_lists();
    // The other operator's key is written after this command has read the
    // head.
    auto inner = fixture.environment.table.commit;
    bool raced = false;
    fj::table_service other = fixture.environment.table;
    fixture.environment.table.commit = [&, inner](fj::table_transaction change)
        -> fj::awaitable<fj::result<fj::table_version>> {
        if (!std::exchange(raced, true)) {
            fj::operator_change key;
            key.audit = {"other", "jaan", 1, "keys give", "key/1", "+ key 1"};
            key.value = json::value(1);
            const auto report = co_await fj::apply_change(
                other, key, fixture.environment.hooks.sleep);
            CHECK(report.outcome == fj::change_outcome::applied);
        }
        co_return co_await inner(std::move(change));
    };
    fixture.files["large"] =
        R"({"accounts": [{"name": "anand", "plan": "large"}]})";
    CHECK(
        fixture.run({"accounts", "apply", "large"}).status == exit_status::ok);
    CHECK(fixture.core.get("head")->value.at("sequence") == 4);
    CHECK(fixture.core.get("catalog/accounts")->version == 4);
}

TEST_CASE("lost answers are resolved by the change id", "[ctl]")
{
    struct fault_case
    {
        std::string name;
        /// Fault that starts with the first commit, for `count` calls; 0 is for
        /// all calls.
        fj::fault_mode commit_fault;
        std::uint64_t count;
        exit_status expected;
        fj::table_version head;
    };
    const fault_case cases[] = {
        {"answer lost", fj::fault_mode::lose_answers, 1, exit_status::ok, 2},
        {"nothing written", fj::fault_mode::down, 1, exit_status::ok, 2},
        {"answers lost for a while", fj::fault_mode::lose_answers, 3,
         exit_status::ok, 2},
        {"store down from the commit on", fj::fault_mode::down, 0,
         exit_status::outcome_unknown, 1},
        {"answers lost from the commit on", fj::fault_mode::lose_answers, 0,
         exit_status::outcome_unknown, 2},
    };
    for (const auto& fault : cases) {
        INFO(fault.name);
        ctl_fixture fixture;
        REQUIRE(
            fixture.run({"plans", "apply", "plans"}).status == exit_status::ok);
        auto inner = fixture.environment.table.commit;
        bool set = false;
        fixture.environment.table.commit = [&, inner](
                                               fj::table_transaction change) {
            if (!std::exchange(set, true))
                fixture.core.set_fault({fault.commit_fault, {}, fault.count});
            return inner(std::move(change));
        };
        const auto output = fixture.run({"accounts", "apply", "accounts"});
        CHECK(output.status == fault.expected);
        CHECK(fixture.core.head() == fault.head);

        // A retry with the same id must not apply the change again.
        fixture.core.set_fault({});
        const auto again = fixture.retry({"accounts", "apply", "accounts"});
        CHECK(again.status == exit_status::ok);
        CHECK(fixture.core.head() == 2);
    }
}

TEST_CASE("inconsistent lists are refused", "[ctl]")
{
    ctl_fixture fixture;
    fixture.apply_lists();
    fixture.files["bad"] = R"({"accounts": [{"name": "a", "plan": "none"}]})";
    const auto refused = fixture.run({"accounts", "apply", "bad"});
    CHECK(refused.status == exit_status::failed);
    CHECK(contains(text_of(refused), "plan \\\"none\\\" does not exist"));
    // A plan in use cannot be removed.
    fixture.files["none"] = R"({"plans": [], "endpoints": []})";
    CHECK(
        fixture.run({"plans", "apply", "none"}).status == exit_status::failed);
    CHECK(fixture.run({"plans", "diff", "none"}).lines.size() == 3);
    CHECK(fixture.core.head() == 2);
}

TEST_CASE("a key is shown once and stored only as its hash", "[ctl]")
{
    const std::string path = "ctl_test.pepper";
    std::ofstream(path) << "0123456789abcdef\n";
    ctl_fixture fixture;
    fixture.apply_lists();
    fixture.environment.options.pepper_file = path;
    const auto given = fixture.run({"keys", "give", "anand"});
    std::remove(path.c_str());
    REQUIRE(given.status == exit_status::ok);
    const std::string key(given.document.at("key").as_string());
    const std::string id(given.document.at("key_id").as_string());
    for (const auto& row : fixture.core.list(0, 100).rows)
        CHECK_FALSE(contains(json::serialize(row.value), key.substr(21)));
    const auto record =
        fj::parse_key_record(fixture.core.get("key/" + id)->value);
    CHECK(fj::verify_key(key, record.value(), "0123456789abcdef"));

    SECTION("withdrawing waits for all nodes")
    {
        fixture.environment.options.wait = fj::seconds(2);
        fixture.environment.options.nodes = {"1.1.1.1:1", "1.1.1.1:2"};
        fixture.versions["1.1.1.1:1"] = 4;
        fixture.versions["1.1.1.1:2"] = 3;
        const auto late = fixture.run({"keys", "withdraw", id});
        CHECK(late.status == exit_status::not_confirmed);
        CHECK(fj::parse_key_record(fixture.core.get("key/" + id)->value)
                  .value()
                  .withdrawn);
        fixture.versions["1.1.1.1:2"] = 5;
        fixture.versions["1.1.1.1:1"] = 5;
        CHECK(fixture.run({"keys", "withdraw", id}).status == exit_status::ok);
    }
    SECTION("an account that does not exist gets no key")
    {
        CHECK(
            fixture.run({"keys", "give", "nobody"}).status ==
            exit_status::failed);
    }
}

TEST_CASE("a key with an unknown outcome is not shown", "[ctl]")
{
    const std::string path = "ctl_test.pepper";
    std::ofstream(path) << "0123456789abcdef\n";
    ctl_fixture fixture;
    fixture.apply_lists();
    fixture.environment.options.pepper_file = path;
    auto inner = fixture.environment.table.commit;
    fixture.environment.table.commit = [&,
                                        inner](fj::table_transaction change) {
        fixture.core.set_fault({fj::fault_mode::lose_answers, {}, 0});
        return inner(std::move(change));
    };
    const auto given = fixture.run({"keys", "give", "anand"});
    std::remove(path.c_str());
    CHECK(given.status == exit_status::outcome_unknown);
    CHECK_FALSE(given.document.contains("key"));
}

TEST_CASE("status shows nodes that have not confirmed", "[ctl]")
{
    ctl_fixture fixture;
    fixture.apply_lists();
    for (const char* name : {"a", "b", "c"}) {
        REQUIRE(fixture.core.commit(
            {{},
             {{std::string("instance/") + name,
               json::value{{"operator", std::string(name) + ":1"}}}}}));
    }
    fixture.versions["a:1"] = 5;
    fixture.versions["b:1"] = 1;
    const auto status = fixture.run({"status"});
    CHECK(status.status == exit_status::not_confirmed);
    const auto& nodes = status.document.at("nodes").as_array();
    REQUIRE(nodes.size() == 3);
    CHECK(nodes[0].at("confirmed") == true);
    CHECK(nodes[1].at("confirmed") == false);
    CHECK(nodes[2].at("reachable") == false);
}

TEST_CASE("a share is released only when its holder has stopped", "[ctl]")
{
    ctl_fixture fixture;
    fixture.apply_lists();
    REQUIRE(fixture.core.commit(
        {{},
         {{"shares/anand", json::parse(R"({"shares":[{"index":0,"holder":"a"},)"
                                       R"({"index":2,"holder":"b"}]})")},
          {"instance/a", json::value{{"operator", "a:1"}}}}}));
    fixture.versions["a:1"] = 1;
    CHECK(
        fixture.run({"shares", "release", "anand", "0"}).status ==
        exit_status::conflict);
    CHECK(
        fixture.run({"shares", "release", "anand", "1"}).status ==
        exit_status::failed);
    CHECK(
        fixture.run({"shares", "release", "anand", "2"}).status ==
        exit_status::ok);
    fixture.versions.clear();
    CHECK(
        fixture.run({"shares", "release", "anand", "0"}).status ==
        exit_status::ok);
    CHECK(fixture.core.get("shares/anand")
              ->value.at("shares")
              .as_array()
              .empty());
}

TEST_CASE("explain joins the logs of several nodes", "[ctl]")
{
    ctl_fixture fixture;
    fixture.files["a.log"] =
        "time=2 level=info event=refused request=r1 status=503 "
        "reason=overloaded not_run=true retry_after_ms=200\n";
    fixture.files["b.log"] =
        "time=1 level=info event=gate_refused request=r1 reason=overloaded "
        "running=9 waiting=2 limit=9\n";
    const auto found = fixture.run({"explain", "r1", "a.log", "b.log"});
    REQUIRE(found.status == exit_status::ok);
    CHECK(found.lines.front().find("b.log had 9 of 9") != std::string::npos);
    CHECK(found.document.at("lines").as_array().size() == 2);
    CHECK(
        fixture.run({"explain", "r2", "a.log"}).status == exit_status::failed);
    CHECK(fixture.run({"explain", "r1"}).status == exit_status::usage);
}

TEST_CASE("invalid commands are usage errors", "[ctl]")
{
    ctl_fixture fixture;
    CHECK(fixture.run({}).status == exit_status::usage);
    CHECK(fixture.run({"accounts"}).status == exit_status::usage);
    CHECK(fixture.run({"accounts", "apply"}).status == exit_status::usage);
    CHECK(fixture.run({"status", "x"}).status == exit_status::usage);
    // A change without an operator's name could not be traced.
    fixture.environment.options.operator_name.clear();
    CHECK(
        fixture.run({"plans", "apply", "plans"}).status == exit_status::usage);
    CHECK(fixture.core.head() == 0);
}
