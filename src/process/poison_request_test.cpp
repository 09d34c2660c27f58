#include "process_test_support.hpp"

#include <catch2/catch.hpp>

using namespace fulmarjunction;
using namespace fulmarjunction::process_test;

namespace {

constexpr int sendings = 16;

/// Starts crashed backend servers again and returns their nodes' names.
std::vector<std::string> restart_crashed(fixture::deployment& all)
{
    std::vector<std::string> crashed;
    for (auto* node : all.nodes()) {
        if (node->backend->is_running())
            continue;
        crashed.push_back(node->spec.name);
        all.start_backend(*node);
    }
    return crashed;
}

} // namespace

// Guards against one request that its caller repeats and that takes down one
// backend server after the other.
TEST_CASE("poison request sent again and again")
{
    fixture::deployment all;
    all.start_platform();
    for (const auto* name : {"notes-a", "notes-b", "notes-c", "notes-d"})
        all.start_node({name, "zone-a", "notes"});
    REQUIRE(
        all.apply_lists(fixture::sample_accounts(), fixture::sample_plans()));
    const auto key = all.create_key(large_account);
    REQUIRE(all.wait_for_versions());
    REQUIRE(all.wait_for_instances("notes", 4));
    REQUIRE(all.wait_for_shares(large_account));
    pause(milliseconds(2100));

    const auto nodes = all.nodes();
    std::vector<std::string> crashes;
    std::string answers;
    fixture::caller_answer last;
    int others_sent = 0;
    int others_answered = 0;
    for (int i = 0; i != sendings; ++i) {
        const auto& through = *nodes[static_cast<std::size_t>(i) % 4];
        last = all.external_caller().send(
            {through.callers, "GET", "/notes/poison?crash=1", key});
        answers += std::to_string(last.status) + " " + last.field("reason") +
                   " after crashes: " + std::to_string(crashes.size()) + "\n";
        // An exit takes a moment to show.
        pause(milliseconds(200));
        const auto some = restart_crashed(all);
        crashes.insert(crashes.end(), some.begin(), some.end());
        std::vector<fixture::caller_request> requests;
        requests.reserve(nodes.size());
        for (const auto* node : nodes)
            requests.push_back({node->callers, "GET", "/notes/fine", key});
        for (const auto& answer : all.external_caller().send_all(requests)) {
            ++others_sent;
            others_answered += answer.status == 200 ? 1 : 0;
        }
        pause(milliseconds(300));
    }
    INFO(answers);
    CHECK(crashes.size() <= 2);
    CHECK_FALSE(crashes.empty());
    CHECK(last.status == 503);
    CHECK(last.field("reason") == "suspect_request");
    CHECK(others_answered == others_sent);
}
