#include "process_test_support.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace fulmarjunction;
using namespace fulmarjunction::process_test;

namespace {

constexpr int lease_s = 10;

/// Returns the holder of the small account's only share (its burst is below
/// 16 tokens), from the row in the table.
std::string holder_of_share(fixture::deployment& all)
{
    const auto row = all.external_caller().send(
        {all.platform_address(), "GET",
         std::string("/table/rows/shares/") + small_account});
    for (auto* node : all.nodes()) {
        if (row.body.find("\"" + node->spec.name + "\"") != std::string::npos)
            return node->spec.name;
    }
    return {};
}

} // namespace

// Guards against a holder that resumes after its lease and spends tokens that
// its successor has spent too.
TEST_CASE("share holder paused past its lease")
{
    fixture::deployment all;
    all.start_platform();
    const boost::json::object settings{{"rates", {{"lease_s", lease_s}}}};
    for (const auto* name : {"notes-a", "notes-b", "notes-c"})
        all.start_node({name, "zone-a", "notes", 16, settings});
    REQUIRE(
        all.apply_lists(fixture::sample_accounts(), fixture::sample_plans()));
    const auto key = all.create_key(small_account);
    REQUIRE(all.wait_for_versions());
    REQUIRE(all.wait_for_instances("notes", 3));
    REQUIRE(all.wait_for_shares(small_account));
    const auto holder = holder_of_share(all);
    REQUIRE_FALSE(holder.empty());

    std::vector<std::string> everywhere;
    std::vector<std::string> others;
    for (auto* node : all.nodes()) {
        everywhere.push_back(node->callers);
        if (node->spec.name != holder)
            others.push_back(node->callers);
    }
    // The bucket is full when the holder is paused.
    pause(milliseconds(2100));
    rate_watch watch(all);
    auto& paused = all.node(holder);
    paused.daemon->send_signal(SIGSTOP);
    const auto stopped = clock::now();
    while (clock::now() - stopped < seconds(2 * lease_s + 4)) {
        watch.send(others, key, 4);
        pause(milliseconds(200));
    }
    const auto through_successor = watch.admitted();
    paused.daemon->send_signal(SIGCONT);
    const auto resumed = clock::now();
    while (clock::now() - resumed < seconds(6)) {
        watch.send(everywhere, key, 6);
        pause(milliseconds(50));
    }
    // A successor has taken the share over, so both had tokens to spend.
    CHECK(through_successor > 0);
    CHECK(watch.admitted() > through_successor);
    for (const auto& violation : watch.violations()) {
        INFO(violation.detail);
        CHECK(violation.check.empty());
    }
}
