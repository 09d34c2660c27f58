#include "process_test_support.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace fulmarjunction;
using namespace fulmarjunction::process_test;

namespace {

constexpr int lease_s = 10;

/// Returns the holder of the small account's share, from the row in the table.
/// There is only one share, because the burst is below 16 tokens.
std::string find_share_holder(fixture::deployment& deployment)
{
    const auto row = deployment.external_caller().send(
        {deployment.platform_address(), "GET",
         std::string("/table/rows/shares/") + small_account});
    for (auto* node : deployment.nodes()) {
        if (row.body.find("\"" + node->spec.name + "\"") != std::string::npos)
            return node->spec.name;
    }
    return {};
}

} // namespace

// Guards against a holder that is paused past the end of its lease, resumes
// and spends tokens that its successor has already spent.
TEST_CASE(
    "a holder paused past its lease does not cause admissions over the limit")
{
    fixture::deployment deployment;
    deployment.start_platform();
    const boost::json::object settings{{"rates", {{"lease_s", lease_s}}}};
    for (const auto* name : {"notes-a", "notes-b", "notes-c"})
        deployment.start_node({name, "zone-a", "notes", 16, settings});
    REQUIRE(deployment.apply_lists(
        fixture::sample_accounts(), fixture::sample_plans()));
    const auto key = deployment.create_key(small_account);
    REQUIRE(deployment.wait_for_versions());
    REQUIRE(deployment.wait_for_instances("notes", 3));
    REQUIRE(deployment.wait_for_shares(small_account));
    const auto holder = find_share_holder(deployment);
    REQUIRE_FALSE(holder.empty());

    std::vector<std::string> all_addresses;
    std::vector<std::string> other_addresses;
    for (auto* node : deployment.nodes()) {
        all_addresses.push_back(node->callers);
        if (node->spec.name != holder)
            other_addresses.push_back(node->callers);
    }
    // Lets the bucket fill before the holder is paused.
    pause(milliseconds(2100));
    rate_monitor monitor(deployment);
    auto& paused = deployment.node(holder);
    paused.daemon->send_signal(SIGSTOP);
    const auto stopped = clock::now();
    while (clock::now() - stopped < seconds(2 * lease_s + 4)) {
        monitor.send(other_addresses, key, 4);
        pause(milliseconds(200));
    }
    const auto through_successor = monitor.admitted();
    paused.daemon->send_signal(SIGCONT);
    const auto resumed = clock::now();
    while (clock::now() - resumed < seconds(6)) {
        monitor.send(all_addresses, key, 6);
        pause(milliseconds(50));
    }
    // Requests were admitted before and after the resume, so the successor had
    // taken the share over and both had tokens to spend.
    CHECK(through_successor > 0);
    CHECK(monitor.admitted() > through_successor);
    for (const auto& violation : monitor.violations()) {
        INFO(violation.detail);
        CHECK(violation.check.empty());
    }
}
