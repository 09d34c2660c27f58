#include "process_test_support.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace fulmarjunction;
using namespace fulmarjunction::process_test;

namespace {

namespace json = boost::json;

/// Returns the accounts list with one account added.
std::string add_account(json::value list, const std::string& account)
{
    list.at("accounts")
        .as_array()
        .push_back(json::object{{"name", account}, {"plan", "small"}});
    return json::serialize(list);
}

} // namespace

// Guards against a lost update when two operators edit the same list at the
// same time.
TEST_CASE("of two concurrent changes to one list the second is refused")
{
    fixture::deployment deployment;
    deployment.start_platform();
    deployment.start_node({"notes-a", "zone-a", "notes"});
    REQUIRE(deployment.apply_lists(
        fixture::sample_accounts(), fixture::sample_plans()));
    const auto shown = deployment.ctl({"accounts", "show"});
    REQUIRE(shown.code == 0);
    const auto list = json::parse(shown.output);

    const std::vector<std::string> operators{"mari", "jaan"};
    const std::vector<std::string> accounts{"mari-farm", "jaan-farm"};
    std::vector<std::unique_ptr<fixture::child_process>> processes;
    for (std::size_t i = 0; i != operators.size(); ++i) {
        const auto path = deployment.write_file(
            operators[i] + ".json", add_account(list, accounts[i]));
        processes.push_back(std::make_unique<fixture::child_process>(
            std::string(FULMAR_BIN_DIRECTORY) + "/fulmarctl",
            std::vector<std::string>{
                "accounts", "apply", path,
                "--platform=" + deployment.platform_address(),
                "--operator=" + operators[i]},
            deployment.directory() + "/" + operators[i] + ".log"));
    }
    std::vector<int> codes;
    for (const auto& process : processes) {
        const auto status = process->wait(seconds(20));
        REQUIRE(status);
        codes.push_back(status->code);
    }
    INFO(processes[0]->log());
    INFO(processes[1]->log());
    REQUIRE(std::set<int>(codes.begin(), codes.end()) == std::set<int>{0, 3});

    const std::size_t winner = codes[0] == 0 ? 0 : 1;
    const auto refusal = processes[1 - winner]->log();
    CHECK(refusal.find(operators[winner]) != std::string::npos);
    CHECK(refusal.find(accounts[winner]) != std::string::npos);
    const auto after = deployment.ctl({"accounts", "show"});
    CHECK(after.output.find(accounts[winner]) != std::string::npos);
    CHECK(after.output.find(accounts[1 - winner]) == std::string::npos);
}
