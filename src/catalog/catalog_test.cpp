#include <fulmarjunction/catalog/catalog.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

namespace fj = fulmarjunction;
namespace json = boost::json;

namespace {

const char* const plans_text = R"({
  "plans": [
    {"name": "large", "rate": 100, "burst": 200, "weight": 4,
     "endpoints": ["book", "read"]}],
  "endpoints": [
    {"name": "read", "service": "ledgers", "method": "GET",
     "path": "/ledgers"},
    {"name": "book", "service": "transfers", "method": "POST",
     "path": "/ledgers/transfers", "execution": "unique",
     "importance": "critical", "timeout_ms": 2000},
    {"name": "root", "service": "site", "method": "POST", "path": "/",
     "open": true}]})";

fj::catalog make_catalog()
{
    fj::catalog made;
    REQUIRE(made.apply("catalog/plans", json::parse(plans_text), false));
    REQUIRE(made.apply(
        "catalog/accounts",
        json::parse(R"({"accounts":[{"name":"anand","plan":"large"}]})"),
        false));
    return made;
}

// Returns the error for the plan list with one fragment replaced.
std::string error_with(std::string_view from, std::string_view to)
{
    std::string text = plans_text;
    text.replace(text.find(from), from.size(), to);
    const auto parsed = fj::parse_plan_list(json::parse(text));
    return parsed ? "" : parsed.error().detail;
}

} // namespace

TEST_CASE(
    "a refused plan list names the field and what is allowed", "[catalog]")
{
    struct invalid_case
    {
        std::string from;
        std::string to;
        std::string error_prefix;
    };
    const invalid_case cases[] = {
        {"\"rate\": 100", "\"rate\": -1", "plans[0].rate: -1 is not allowed"},
        {"\"rate\": 100", "\"rate\": \"1\"", "plans[0].rate: \"1\""},
        {"\"rate\": 100, ", "", "plans[0].rate: missing"},
        {"\"burst\": 200", "\"burst\": 0", "plans[0].burst: 0"},
        {"\"weight\"", "\"wieght\"", "plans[0].wieght: unknown field"},
        {"\"read\"]", "\"book\"]", "plans[0].endpoints: "},
        {"\"GET\"", "\"get\"", "endpoints[0].method: \"get\""},
        {"\"/ledgers\"", "\"/ledgers/\"", "endpoints[0].path: "},
        {"\"/ledgers\"", "\"/a/../b\"", "endpoints[0].path: "},
        {"\"unique\"", "\"once\"", "endpoints[1].execution: \"once\""},
        {"\"critical\"", "\"top\"", "endpoints[1].importance: \"top\""},
        {"2000", "0", "endpoints[1].timeout_ms: 0"},
        {"2000", "2000.5", "endpoints[1].timeout_ms: 2000.5"},
        {"\"name\": \"book\"", "\"name\": \"read\"",
         "endpoints[1].name: \"read\" occurs twice"},
        {"\"path\": \"/\"", "\"path\": \"/ledgers/transfers\"",
         "endpoints[2].path: POST /ledgers/transfers occurs twice"},
        {"\"open\": true", "\"open\": true, \"execution\": \"unique\"",
         "endpoints[2].open: true is not allowed"},
        {"\"name\": \"large\"", "\"name\": \"a/b\"", "plans[0].name: "},
    };
    for (const auto& invalid : cases) {
        INFO(invalid.from << " -> " << invalid.to);
        const auto detail = error_with(invalid.from, invalid.to);
        CHECK(
            detail.substr(0, invalid.error_prefix.size()) ==
            invalid.error_prefix);
    }
}

TEST_CASE("lists round-trip through JSON", "[catalog]")
{
    const auto plans = fj::parse_plan_list(json::parse(plans_text)).value();
    const auto document = fj::to_json(plans);
    CHECK(fj::to_json(fj::parse_plan_list(document).value()) == document);
}

TEST_CASE("check_lists refuses unknown plans and endpoints", "[catalog]")
{
    const auto plans = fj::parse_plan_list(json::parse(plans_text)).value();
    CHECK(fj::check_lists({{{"anand", "large"}}}, plans));
    const auto no_plan = fj::check_lists({{{"anand", "small"}}}, plans);
    REQUIRE_FALSE(no_plan);
    CHECK(
        no_plan.error().detail ==
        "account \"anand\": plan \"small\" does not exist");
    auto no_endpoint = plans;
    no_endpoint.plans[0].endpoints.insert("gone");
    CHECK_FALSE(fj::check_lists({}, no_endpoint));
}

TEST_CASE(
    "find_endpoint matches the longest prefix of whole segments", "[catalog]")
{
    const auto catalog = make_catalog();
    const auto name = [&](std::string_view method, std::string_view target) {
        const auto* found = catalog.find_endpoint(method, target);
        return found == nullptr ? std::string() : found->name;
    };
    CHECK(name("POST", "/ledgers/transfers") == "book");
    CHECK(name("POST", "/ledgers/transfers/7?x=/a") == "book");
    CHECK(name("POST", "/ledgers/transfers/") == "book");
    CHECK(name("POST", "/ledgers/transfersx") == "root");
    CHECK(name("POST", "/") == "root");
    CHECK(name("GET", "/ledgers?at=1") == "read");
    CHECK(name("GET", "/ledger").empty());
    CHECK(name("PUT", "/ledgers").empty());
    CHECK(name("GET", "").empty());
    CHECK(name("GET", "*").empty());
}

TEST_CASE("an ambiguous path never matches an endpoint", "[catalog]")
{
    const auto catalog = make_catalog();
    CHECK(
        catalog.find_endpoint("POST", "/ledgers/tr%61nsfers")->name == "book");
    for (const char* target :
         {"/x/../ledgers/transfers", "/x/%2e%2e/ledgers/transfers",
          "/ledgers//transfers", "//ledgers/transfers", "/ledgers%2ftransfers",
          "/ledgers\\transfers", "/ledgers;a/transfers", "/ledgers/%",
          "/ledgers/%zz", "/./ledgers", "/ledgers/..", "/ledgers#x",
          "http://host/ledgers"}) {
        INFO(target);
        CHECK(catalog.find_endpoint("POST", target) == nullptr);
    }
}

TEST_CASE(
    "a row that cannot be parsed leaves the catalog unchanged", "[catalog]")
{
    auto catalog = make_catalog();
    CHECK_FALSE(catalog.apply("catalog/plans", json::parse("{}"), false));
    CHECK(catalog.find_endpoint("read") != nullptr);
    REQUIRE(catalog.find_plan("anand") != nullptr);
    CHECK(catalog.find_plan("anand")->rate == 100);
    CHECK(catalog.apply("audit/00000000000000000001", {}, false));

    // A copy must not refer to the lists of the original.
    const auto copy = catalog;
    REQUIRE(catalog.apply("catalog/plans", {}, true));
    CHECK(catalog.find_plan("anand") == nullptr);
    CHECK(copy.find_endpoint("read")->service == "ledgers");
}

TEST_CASE("a key is verified by its hash until it is withdrawn", "[catalog]")
{
    fj::catalog catalog;
    auto made = fj::make_key("anand", "pepper");
    const auto row = "key/" + made.record.id;
    REQUIRE(catalog.apply(row, fj::to_json(made.record), false));
    const auto id = fj::parse_key_id(made.text);
    REQUIRE(id);
    const auto* record = catalog.find_key(*id);
    REQUIRE(record != nullptr);
    CHECK(fj::verify_key(made.text, *record, "pepper"));
    CHECK_FALSE(fj::verify_key(made.text, *record, "other"));
    auto forged = made.text;
    forged.back() = forged.back() == '0' ? '1' : '0';
    CHECK_FALSE(fj::verify_key(forged, *record, "pepper"));
    CHECK(
        json::serialize(fj::to_json(made.record)).find(made.text.substr(25)) ==
        std::string::npos);

    // A record must not be accepted in the row of another key.
    CHECK_FALSE(catalog.apply("key/other", fj::to_json(made.record), false));
    made.record.withdrawn = true;
    REQUIRE(catalog.apply(row, fj::to_json(made.record), false));
    CHECK(catalog.find_key(*id) == nullptr);
    REQUIRE(catalog.apply(row, {}, true));
    CHECK(catalog.keys().empty());
}

TEST_CASE("parse_key_id refuses malformed keys", "[catalog]")
{
    const auto text = fj::make_key("anand", "pepper").text;
    CHECK(fj::parse_key_id(text));
    CHECK_FALSE(fj::parse_key_id(""));
    CHECK_FALSE(fj::parse_key_id(text + "0"));
    CHECK_FALSE(fj::parse_key_id("fjx" + text.substr(3)));
    CHECK_FALSE(fj::parse_key_id(text.substr(0, text.size() - 1) + "g"));
}
