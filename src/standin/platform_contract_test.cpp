// Contract tests of the table service and the object store. They run against
// the in-memory core directly and, through the HTTP adapter on loopback,
// against the platform stand-in.
#include <fulmarjunction/platform/bounded_table_service.hpp>
#include <fulmarjunction/platform/http_platform.hpp>
#include <fulmarjunction/standin/platform_standin.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <exception>
#include <optional>
#include <vector>

namespace fj = fulmarjunction;
namespace json = boost::json;

namespace {

// Longer than any answer on loopback takes, shorter than the delay of the slow
// store.
constexpr fj::milliseconds call_timeout(2000);

// The table service and object store under test, and their core.
class platform_fixture
{
public:
    explicit platform_fixture(bool over_http)
    {
        if (!over_http) {
            service =
                fj::make_table_service(core_, fj::make_platform_hooks().sleep);
            objects =
                fj::make_object_store(core_, fj::make_platform_hooks().sleep);
            return;
        }
        standin_.emplace(io_.get_executor());
        const auto address =
            standin_->listen({boost::asio::ip::address_v4::loopback(), 0});
        service = fj::make_http_table_service(
            io_.get_executor(), address.value(), call_timeout);
        objects = fj::make_http_object_store(
            io_.get_executor(), address.value(), call_timeout);
    }

    template <class T>
    T run(fj::awaitable<T> work)
    {
        std::optional<T> value;
        boost::asio::co_spawn(
            io_, store_value(std::move(work), value),
            [](const std::exception_ptr& failure) {
                if (failure)
                    std::rethrow_exception(failure);
            });
        io_.restart();
        while (!value && io_.run_one() != 0) {
        }
        return std::move(value.value());
    }

    fj::table_core& core() { return standin_ ? standin_->core() : core_; }

private:
    template <class T>
    static fj::awaitable<void>
    store_value(fj::awaitable<T> work, std::optional<T>& value)
    {
        value.emplace(co_await std::move(work));
    }

    boost::asio::io_context io_;
    fj::table_core core_;
    std::optional<fj::platform_standin> standin_;

public:
    fj::table_service service;
    fj::object_store objects;
};

fj::table_transaction make_write(
    const std::string& key, fj::table_version expected, json::value value)
{
    return {{{key, expected}}, {{key, std::move(value)}}};
}

} // namespace

// Guards against a transaction that is applied in part or despite a failed
// condition.
TEST_CASE(
    "table contract: transactions are atomic and get one version", "[contract]")
{
    const bool over_http = GENERATE(false, true);
    INFO((over_http ? "over HTTP" : "direct"));
    platform_fixture table(over_http);
    auto& service = table.service;

    const json::value special_value = {{"text", "a\n\"\xc3\xa4"}, {"n", 1.5}};
    CHECK(
        table.run(service.commit(make_write("key/1", 0, special_value)))
            .value() == 1);
    const auto row = table.run(service.get("key/1")).value();
    REQUIRE(row);
    CHECK(row->value == special_value);
    CHECK(row->version == 1);
    CHECK_FALSE(table.run(service.get("key/2")).value());

    // A transaction whose second condition fails must have no effect.
    fj::table_transaction change = make_write("key/1", 1, 2);
    change.conditions.push_back({"key/2", 5});
    change.writes.push_back({"key/2", json::value(1)});
    const auto refused = table.run(service.commit(change));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == fj::errc::conflict);
    CHECK(
        refused.error().detail.find("row key/2 is at version 0, expected 5") !=
        std::string::npos);
    CHECK(table.run(service.get("key/1")).value()->version == 1);

    // The rows of one transaction share one version.
    change.conditions.pop_back();
    CHECK(table.run(service.commit(change)).value() == 2);
    CHECK(table.run(service.get("key/2")).value()->version == 2);

    // A deleted row is absent for reads and conditions.
    const fj::table_transaction deletion{
        {{"key/1", 2}}, {{"key/1", std::nullopt}}};
    CHECK(table.run(service.commit(deletion)).value() == 3);
    CHECK_FALSE(table.run(service.get("key/1")).value());
    CHECK(table.run(service.commit(make_write("key/1", 0, 1))).value() == 4);
}

// Guards against readers that miss a row because pages overlap, have gaps or
// split a version.
TEST_CASE("table contract: lists in version order", "[contract]")
{
    const bool over_http = GENERATE(false, true);
    platform_fixture table(over_http);
    auto& service = table.service;
    for (int i = 0; i != 5; ++i)
        REQUIRE(table.run(
            service.commit(make_write("a/" + std::to_string(i), 0, i))));
    REQUIRE(table.run(service.commit({{}, {{"a/0", std::nullopt}}})));

    const auto all = table.run(service.list(0, 100)).value();
    CHECK(all.rows.size() == 5);
    CHECK(all.rows.back().key == "a/0");
    CHECK(all.rows.back().deleted);
    CHECK(all.complete_to == 6);

    // The pages together must contain every row.
    const auto first = table.run(service.list(0, 2)).value();
    CHECK(first.rows.size() == 2);
    CHECK(first.complete_to == first.rows.back().version);
    CHECK(first.head == 6);
    const auto rest = table.run(service.list(first.complete_to, 100)).value();
    CHECK(first.rows.size() + rest.rows.size() == 5);
    CHECK(table.run(service.list(6, 100)).value().rows.empty());
    CHECK(table.run(service.list(UINT64_MAX, 100)).value().rows.empty());

    // A page must not split the rows of one version.
    REQUIRE(table.run(service.commit(
        {{}, {{"b/0", json::value(0)}, {"b/1", json::value(1)}}})));
    const auto page = table.run(service.list(5, 2)).value();
    CHECK(page.rows.size() == 1);
    CHECK(page.complete_to == 6);
}

// Guards against an invalid transaction that is committed.
TEST_CASE("table contract: invalid transactions are refused", "[contract]")
{
    const bool over_http = GENERATE(false, true);
    platform_fixture table(over_http);
    const fj::table_transaction changes[] = {
        {},
        {{}, {{"", json::value(1)}}},
        {{}, {{"a b", json::value(1)}}},
        {{}, {{"a", json::value(1)}, {"a", json::value(2)}}},
    };
    for (const auto& change : changes) {
        const auto refused = table.run(table.service.commit(change));
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == fj::errc::invalid_argument);
    }
    CHECK(table.core().head() == 0);
}

// Guards against a failed call whose error claims that the commit did not take
// effect when it may have, and against a fault that outlasts its reset.
TEST_CASE(
    "table contract: a commit that fails is reported as indeterminate",
    "[contract]")
{
    struct fault_case
    {
        fj::platform_fault fault;
        std::vector<fj::errc> allowed;
        /// Whether the commit took effect although it failed.
        bool effect = false;
    };
    const bool over_http = GENERATE(false, true);
    const fault_case cases[] = {
        {{fj::fault_mode::down, {}, 0}, {fj::errc::unavailable}, false},
        {{fj::fault_mode::lose_answers, {}, 0},
         {fj::errc::connection_broken, fj::errc::unavailable},
         true},
    };
    for (const auto& fault : cases) {
        INFO(to_string(fault.fault.mode) << (over_http ? " over HTTP" : ""));
        platform_fixture table(over_http);
        table.core().set_fault(fault.fault);
        const auto commit =
            table.run(table.service.commit(make_write("a", 0, 1)));
        REQUIRE_FALSE(commit);
        CHECK(
            std::count(
                fault.allowed.begin(), fault.allowed.end(),
                commit.error().code) == 1);
        CHECK(fj::is_indeterminate(commit.error()));
        CHECK(table.core().head() == (fault.effect ? 1U : 0U));
        CHECK_FALSE(table.run(table.service.get("a")));
        CHECK_FALSE(table.run(table.service.list(0, 1)));
        table.core().set_fault({});
        CHECK(table.run(table.service.list(0, 1)));
    }
}

// Guards against a second commit after a lost answer.
TEST_CASE("table contract: a lost answer is resolved by reading", "[contract]")
{
    const bool over_http = GENERATE(false, true);
    platform_fixture table(over_http);
    table.core().set_fault({fj::fault_mode::lose_answers, {}, 1});
    const auto version = table.run(
        fj::commit_idempotent(table.service, make_write("a", 0, "once")));
    CHECK(version.value() == 1);
    CHECK(table.core().counters.commits == 1);
}

// Guards against a call that waits for a slow store without a time limit.
TEST_CASE("table contract: a slow store ends in a timeout", "[contract]")
{
    platform_fixture table(true);
    table.core().set_fault({fj::fault_mode::slow, 4 * call_timeout, 0});
    const auto result = table.run(table.service.get("a"));
    REQUIRE_FALSE(result);
    CHECK(result.error().code == fj::errc::timeout);
}

// Guards against a truncated object that is returned as a complete one.
TEST_CASE(
    "object contract: objects are returned complete or not at all",
    "[contract]")
{
    const bool over_http = GENERATE(false, true);
    platform_fixture table(over_http);
    const std::string data(100'000, 'x');
    CHECK(table.run(table.objects.put("backup/a b", data)));
    CHECK(table.run(table.objects.get("backup/a b")).value() == data);
    const auto absent = table.run(table.objects.get("other"));
    REQUIRE_FALSE(absent);
    CHECK(absent.error().code == fj::errc::not_found);
    table.core().set_fault({fj::fault_mode::lose_answers, {}, 1});
    CHECK_FALSE(table.run(table.objects.get("backup/a b")));
}
