#include "process_test_support.hpp"

#include <catch2/catch.hpp>

using namespace fulmarjunction;
using namespace fulmarjunction::process_test;

namespace {

constexpr int attempts = 16;

/// Restarts crashed backend servers and returns the names of their nodes.
std::vector<std::string>
restart_crashed_backends(fixture::deployment& deployment)
{
    std::vector<std::string> crashed;
    for (auto* node : deployment.nodes()) {
        if (node->backend->is_running())
            continue;
        crashed.push_back(node->spec.name);
        deployment.start_backend(*node);
    }
    return crashed;
}

} // namespace

// Guards against a request that crashes its backend server and, because its
// caller keeps retrying it, crashes one backend server after the other.
TEST_CASE("a retried request that crashes its server crashes at most two")
{
    fixture::deployment deployment;
    deployment.start_platform();
    for (const auto* name : {"notes-a", "notes-b", "notes-c", "notes-d"})
        deployment.start_node({name, "zone-a", "notes"});
    REQUIRE(deployment.apply_lists(
        fixture::sample_accounts(), fixture::sample_plans()));
    const auto key = deployment.create_key(large_account);
    REQUIRE(deployment.wait_for_versions());
    REQUIRE(deployment.wait_for_instances("notes", 4));
    REQUIRE(deployment.wait_for_shares(large_account));
    pause(milliseconds(2100));

    const auto nodes = deployment.nodes();
    std::vector<std::string> crashes;
    std::string answer_log;
    fixture::caller_answer last;
    int others_sent = 0;
    int others_answered = 0;
    for (int i = 0; i != attempts; ++i) {
        const auto& entry = *nodes[static_cast<std::size_t>(i) % 4];
        last = deployment.external_caller().send(
            {entry.callers, "GET", "/notes/crashing?crash=1", key});
        answer_log += std::to_string(last.status) + " " + last.field("reason") +
                      " after crashes: " + std::to_string(crashes.size()) +
                      "\n";
        // The exit of a process is detected with a delay.
        pause(milliseconds(200));
        const auto new_crashes = restart_crashed_backends(deployment);
        crashes.insert(crashes.end(), new_crashes.begin(), new_crashes.end());
        std::vector<fixture::caller_request> requests;
        requests.reserve(nodes.size());
        for (const auto* node : nodes)
            requests.push_back({node->callers, "GET", "/notes/fine", key});
        for (const auto& answer :
             deployment.external_caller().send_all(requests)) {
            ++others_sent;
            others_answered += answer.status == 200 ? 1 : 0;
        }
        pause(milliseconds(300));
    }
    INFO(answer_log);
    CHECK(crashes.size() <= 2);
    CHECK_FALSE(crashes.empty());
    CHECK(last.status == 503);
    CHECK(last.field("reason") == "suspect_request");
    CHECK(others_answered == others_sent);
}
