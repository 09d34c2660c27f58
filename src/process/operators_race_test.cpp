#include "process_test_support.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace fulmarjunction;
using namespace fulmarjunction::process_test;

namespace {

namespace json = boost::json;

/// The accounts list at a version, with one account more.
std::string list_with(json::value shown, const std::string& account)
{
    shown.at("accounts")
        .as_array()
        .push_back(json::object{{"name", account}, {"plan", "small"}});
    return json::serialize(shown);
}

} // namespace

// Guards against a change that is lost because another operator edited the
// same list at the same time.
TEST_CASE("two operators change the same list")
{
    fixture::deployment all;
    all.start_platform();
    all.start_node({"notes-a", "zone-a", "notes"});
    REQUIRE(
        all.apply_lists(fixture::sample_accounts(), fixture::sample_plans()));
    const auto shown = all.ctl({"accounts", "show"});
    REQUIRE(shown.code == 0);
    const auto list = json::parse(shown.output);

    const std::vector<std::string> operators{"mari", "jaan"};
    const std::vector<std::string> accounts{"mari-farm", "jaan-farm"};
    std::vector<std::unique_ptr<fixture::child_process>> tools;
    for (std::size_t i = 0; i != operators.size(); ++i) {
        const auto path = all.write_file(
            operators[i] + ".json", list_with(list, accounts[i]));
        tools.push_back(std::make_unique<fixture::child_process>(
            std::string(FULMAR_BIN_DIRECTORY) + "/fulmarctl",
            std::vector<std::string>{
                "accounts", "apply", path,
                "--platform=" + all.platform_address(),
                "--operator=" + operators[i]},
            all.directory() + "/" + operators[i] + ".log"));
    }
    std::vector<int> codes;
    for (const auto& tool : tools) {
        const auto ended = tool->wait(seconds(20));
        REQUIRE(ended);
        codes.push_back(ended->code);
    }
    INFO(tools[0]->log());
    INFO(tools[1]->log());
    REQUIRE(std::set<int>(codes.begin(), codes.end()) == std::set<int>{0, 3});

    const std::size_t first = codes[0] == 0 ? 0 : 1;
    const auto refusal = tools[1 - first]->log();
    CHECK(refusal.find(operators[first]) != std::string::npos);
    CHECK(refusal.find(accounts[first]) != std::string::npos);
    const auto after = all.ctl({"accounts", "show"});
    CHECK(after.output.find(accounts[first]) != std::string::npos);
    CHECK(after.output.find(accounts[1 - first]) == std::string::npos);
}
