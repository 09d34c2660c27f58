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

// Operators at one table, with nodes that answer from a map.
struct desk
{
    desk()
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
        return run_again(std::move(words));
    }

    fj::command_output run_again(std::vector<std::string> words)
    {
        return time.run(fj::run_command(environment, std::move(words)));
    }

    void set_up()
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
    desk desk;
    desk.set_up();
    CHECK(desk.core.head() == 2);
    CHECK(desk.core.get("head")->version == 2);
    CHECK(desk.core.get("catalog/accounts")->version == 2);
    const auto audit =
        fj::parse_audit_record(desk.core.get(fj::audit_row_key(2))->value);
    REQUIRE(audit);
    CHECK(audit.value().change_id == "c2");
    CHECK(audit.value().operator_name == "mari");
    CHECK(contains(audit.value().summary, "+ account anand"));
    const auto shown = desk.run({"audit"});
    CHECK(shown.document.at("changes").as_array().size() == 2);
}

TEST_CASE("a racing operator learns what the other changed", "[ctl]")
{
    desk desk;
    desk.set_up();
    // Both operators edit the list as it was at version 2.
    const auto seen = desk.run({"accounts", "show"});
    CHECK(seen.document.at("version") == 2);
    desk.files["first"] =
        R"({"version": 2, "accounts": [{"name": "anand", "plan": "large"}]})";
    desk.files["second"] =
        R"({"version": 2, "accounts": [{"name": "surat", "plan": "small"}]})";
    CHECK(desk.run({"accounts", "apply", "first"}).status == exit_status::ok);
    desk.environment.options.operator_name = "jaan";
    const auto refused = desk.run({"accounts", "apply", "second"});
    CHECK(refused.status == exit_status::conflict);
    const auto text = text_of(refused);
    CHECK(contains(text, "mari"));
    CHECK(contains(text, "at version 3"));
    CHECK(contains(text, "small"));
    CHECK(contains(text, "large"));
    CHECK(desk.core.head() == 3);
}

TEST_CASE("a change of another row in between is no conflict", "[ctl]")
{
    desk desk;
    desk.set_up();
    // The other operator's key appears after this one has read the head.
    auto inner = desk.environment.table.commit;
    bool raced = false;
    fj::table_service other = desk.environment.table;
    desk.environment.table.commit = [&, inner](fj::table_transaction change)
        -> fj::awaitable<fj::result<fj::table_version>> {
        if (!std::exchange(raced, true)) {
            fj::operator_change key;
            key.audit = {"other", "jaan", 1, "keys give", "key/1", "+ key 1"};
            key.value = json::value(1);
            const auto report = co_await fj::apply_change(
                other, key, desk.environment.hooks.sleep);
            CHECK(report.outcome == fj::change_outcome::applied);
        }
        co_return co_await inner(std::move(change));
    };
    desk.files["large"] =
        R"({"accounts": [{"name": "anand", "plan": "large"}]})";
    CHECK(desk.run({"accounts", "apply", "large"}).status == exit_status::ok);
    CHECK(desk.core.get("head")->value.at("sequence") == 4);
    CHECK(desk.core.get("catalog/accounts")->version == 4);
}

TEST_CASE("lost answers are resolved by the change id", "[ctl]")
{
    struct fault_case
    {
        std::string name;
        /// Faults of the calls in order; the commit is the fourth call.
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
        desk desk;
        REQUIRE(
            desk.run({"plans", "apply", "plans"}).status == exit_status::ok);
        auto inner = desk.environment.table.commit;
        bool set = false;
        desk.environment.table.commit = [&,
                                         inner](fj::table_transaction change) {
            if (!std::exchange(set, true))
                desk.core.set_fault({fault.commit_fault, {}, fault.count});
            return inner(std::move(change));
        };
        const auto output = desk.run({"accounts", "apply", "accounts"});
        CHECK(output.status == fault.expected);
        CHECK(desk.core.head() == fault.head);

        // Repeating the command with the same id changes nothing twice.
        desk.core.set_fault({});
        const auto again = desk.run_again({"accounts", "apply", "accounts"});
        CHECK(again.status == exit_status::ok);
        CHECK(desk.core.head() == 2);
    }
}

TEST_CASE("lists that do not fit together are refused", "[ctl]")
{
    desk desk;
    desk.set_up();
    desk.files["bad"] = R"({"accounts": [{"name": "a", "plan": "none"}]})";
    const auto refused = desk.run({"accounts", "apply", "bad"});
    CHECK(refused.status == exit_status::failed);
    CHECK(contains(text_of(refused), "plan \\\"none\\\" does not exist"));
    // A plan in use cannot be removed.
    desk.files["none"] = R"({"plans": [], "endpoints": []})";
    CHECK(desk.run({"plans", "apply", "none"}).status == exit_status::failed);
    CHECK(desk.run({"plans", "diff", "none"}).lines.size() == 3);
    CHECK(desk.core.head() == 2);
}

TEST_CASE("a key is shown once and kept as its hash only", "[ctl]")
{
    const std::string path = "ctl_test.pepper";
    std::ofstream(path) << "0123456789abcdef\n";
    desk desk;
    desk.set_up();
    desk.environment.options.pepper_file = path;
    const auto given = desk.run({"keys", "give", "anand"});
    std::remove(path.c_str());
    REQUIRE(given.status == exit_status::ok);
    const std::string key(given.document.at("key").as_string());
    const std::string id(given.document.at("key_id").as_string());
    for (const auto& row : desk.core.list(0, 100).rows)
        CHECK_FALSE(contains(json::serialize(row.value), key.substr(21)));
    const auto record = fj::parse_key_record(desk.core.get("key/" + id)->value);
    CHECK(fj::verify_key(key, record.value(), "0123456789abcdef"));

    SECTION("withdrawing waits for all nodes")
    {
        desk.environment.options.wait = fj::seconds(2);
        desk.environment.options.nodes = {"1.1.1.1:1", "1.1.1.1:2"};
        desk.versions["1.1.1.1:1"] = 4;
        desk.versions["1.1.1.1:2"] = 3;
        const auto late = desk.run({"keys", "withdraw", id});
        CHECK(late.status == exit_status::not_confirmed);
        CHECK(fj::parse_key_record(desk.core.get("key/" + id)->value)
                  .value()
                  .withdrawn);
        desk.versions["1.1.1.1:2"] = 5;
        desk.versions["1.1.1.1:1"] = 5;
        CHECK(desk.run({"keys", "withdraw", id}).status == exit_status::ok);
    }
    SECTION("an account that does not exist gets no key")
    {
        CHECK(
            desk.run({"keys", "give", "nobody"}).status == exit_status::failed);
    }
}

TEST_CASE("a key without a clear outcome is not shown", "[ctl]")
{
    const std::string path = "ctl_test.pepper";
    std::ofstream(path) << "0123456789abcdef\n";
    desk desk;
    desk.set_up();
    desk.environment.options.pepper_file = path;
    auto inner = desk.environment.table.commit;
    desk.environment.table.commit = [&, inner](fj::table_transaction change) {
        desk.core.set_fault({fj::fault_mode::lose_answers, {}, 0});
        return inner(std::move(change));
    };
    const auto given = desk.run({"keys", "give", "anand"});
    std::remove(path.c_str());
    CHECK(given.status == exit_status::outcome_unknown);
    CHECK_FALSE(given.document.contains("key"));
}

TEST_CASE("status shows nodes that have not confirmed", "[ctl]")
{
    desk desk;
    desk.set_up();
    for (const char* name : {"a", "b", "c"}) {
        REQUIRE(desk.core.commit(
            {{},
             {{std::string("instance/") + name,
               json::value{{"operator", std::string(name) + ":1"}}}}}));
    }
    desk.versions["a:1"] = 5;
    desk.versions["b:1"] = 1;
    const auto status = desk.run({"status"});
    CHECK(status.status == exit_status::not_confirmed);
    const auto& nodes = status.document.at("nodes").as_array();
    REQUIRE(nodes.size() == 3);
    CHECK(nodes[0].at("confirmed") == true);
    CHECK(nodes[1].at("confirmed") == false);
    CHECK(nodes[2].at("reachable") == false);
}

TEST_CASE("a share is released only when its holder has stopped", "[ctl]")
{
    desk desk;
    desk.set_up();
    REQUIRE(desk.core.commit(
        {{},
         {{"shares/anand", json::parse(R"({"shares":[{"index":0,"holder":"a"},)"
                                       R"({"index":2,"holder":"b"}]})")},
          {"instance/a", json::value{{"operator", "a:1"}}}}}));
    desk.versions["a:1"] = 1;
    CHECK(
        desk.run({"shares", "release", "anand", "0"}).status ==
        exit_status::conflict);
    CHECK(
        desk.run({"shares", "release", "anand", "1"}).status ==
        exit_status::failed);
    CHECK(
        desk.run({"shares", "release", "anand", "2"}).status ==
        exit_status::ok);
    desk.versions.clear();
    CHECK(
        desk.run({"shares", "release", "anand", "0"}).status ==
        exit_status::ok);
    CHECK(desk.core.get("shares/anand")->value.at("shares").as_array().empty());
}

TEST_CASE("explain joins the logs of several nodes", "[ctl]")
{
    desk desk;
    desk.files["a.log"] =
        "time=2 level=info event=refused request=r1 status=503 "
        "reason=overloaded not_run=true retry_after_ms=200\n";
    desk.files["b.log"] =
        "time=1 level=info event=gate_refused request=r1 reason=overloaded "
        "running=9 waiting=2 limit=9\n";
    const auto found = desk.run({"explain", "r1", "a.log", "b.log"});
    REQUIRE(found.status == exit_status::ok);
    CHECK(found.lines.front().find("b.log had 9 of 9") != std::string::npos);
    CHECK(found.document.at("lines").as_array().size() == 2);
    CHECK(desk.run({"explain", "r2", "a.log"}).status == exit_status::failed);
    CHECK(desk.run({"explain", "r1"}).status == exit_status::usage);
}

TEST_CASE("wrong commands are usage errors", "[ctl]")
{
    desk desk;
    CHECK(desk.run({}).status == exit_status::usage);
    CHECK(desk.run({"accounts"}).status == exit_status::usage);
    CHECK(desk.run({"accounts", "apply"}).status == exit_status::usage);
    CHECK(desk.run({"status", "x"}).status == exit_status::usage);
    // A change without a name could not be traced.
    desk.environment.options.operator_name.clear();
    CHECK(desk.run({"plans", "apply", "plans"}).status == exit_status::usage);
    CHECK(desk.core.head() == 0);
}
