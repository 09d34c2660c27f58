#include "process_test_support.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>

using namespace fulmarjunction;
using namespace fulmarjunction::process_test;

namespace {

constexpr int requests_per_kind = 20;

fixture::caller_request make_booking(
    const std::string& address, const std::string& key, int number,
    const std::string& idempotency_key)
{
    fixture::caller_request request{
        address, "POST",
        fmt::format("/transfers/b?id=u{}&work_ms=3000", number), key};
    request.body = "{\"tonnes\":12}";
    request.headers.push_back({"idempotency-key", idempotency_key});
    return request;
}

} // namespace

// Guards against a second run of a unique request and against a wrong outcome
// "not_run" when a backend server is killed with requests in flight.
TEST_CASE("no unique request runs twice when a backend server is killed")
{
    fixture::deployment deployment;
    deployment.start_platform();
    const boost::json::object settings{
        {"admission", {{"start_limit", 64}, {"max_limit", 1024}}}};
    for (const auto* name : {"transfers-a", "transfers-b"})
        deployment.start_node({name, "zone-a", "transfers", 64, settings});
    deployment.start_node({"notes-a", "zone-a", "notes", 16, settings});
    REQUIRE(deployment.apply_lists(
        fixture::sample_accounts(), fixture::sample_plans()));
    const auto key = deployment.create_key(large_account);
    REQUIRE(deployment.wait_for_versions());
    REQUIRE(deployment.wait_for_instances("transfers", 2));
    REQUIRE(deployment.wait_for_instances("notes", 1));
    REQUIRE(deployment.wait_for_shares(large_account));
    pause(milliseconds(2100));

    const auto& entry = deployment.node("notes-a");
    auto& killed = deployment.node("transfers-a");
    const auto& survivor = deployment.node("transfers-b");
    const auto keys = fixture::fetch_idempotency_keys(
        deployment.external_caller(), entry.callers, key, requests_per_kind);
    REQUIRE(keys.size() == requests_per_kind);

    std::vector<std::shared_ptr<std::optional<fixture::caller_answer>>> unique;
    std::vector<std::shared_ptr<std::optional<fixture::caller_answer>>>
        idempotent;
    for (int i = 0; i != requests_per_kind; ++i) {
        unique.push_back(deployment.external_caller().start(make_booking(
            entry.callers, key, i, keys[static_cast<std::size_t>(i)])));
        idempotent.push_back(deployment.external_caller().start(
            {entry.callers, "GET",
             fmt::format("/transfers/s?id=g{}&work_ms=3000", i), key}));
    }
    // The history of the killed process must be read before it is killed, once
    // every request has started to run on one of the instances.
    std::vector<fixture::recorded_run> killed_runs;
    std::size_t started = 0;
    const auto first_sent = clock::now();
    while (started < 2 * requests_per_kind &&
           clock::now() - first_sent < seconds(2)) {
        deployment.external_caller().run(milliseconds(50));
        killed_runs = deployment.history(killed);
        started = killed_runs.size() + deployment.history(survivor).size();
    }
    REQUIRE(started >= 2 * requests_per_kind);
    killed.backend->send_signal(SIGKILL);
    REQUIRE(killed.backend->wait(seconds(5)));
    deployment.external_caller().run(seconds(15));

    auto runs = deployment.history(survivor);
    runs.insert(runs.end(), killed_runs.begin(), killed_runs.end());
    CHECK_FALSE(killed_runs.empty());
    int failed_idempotent = 0;
    for (int i = 0; i != requests_per_kind; ++i) {
        const auto index = static_cast<std::size_t>(i);
        INFO("unique request " << i);
        REQUIRE(unique[index]->has_value());
        REQUIRE(idempotent[index]->has_value());
        CHECK(count_runs(runs, fmt::format("u{}", i)) <= 1);
        if ((*unique[index])->field("outcome") == "not_run")
            CHECK(count_runs(runs, fmt::format("u{}", i)) == 0);
        if ((*idempotent[index])->field("outcome") == "not_run")
            CHECK(count_runs(runs, fmt::format("g{}", i)) == 0);
        failed_idempotent += (*idempotent[index])->status == 200 ? 0 : 1;
    }
    // Idempotent requests are retried within the retry budget.
    CHECK(failed_idempotent == 0);

    // Requests resent through every node reach the issuer of the key and do
    // not run twice.
    std::vector<fixture::caller_request> resends;
    for (int i = 0; i != requests_per_kind; ++i) {
        for (auto* node : deployment.nodes())
            resends.push_back(make_booking(
                node->callers, key, i, keys[static_cast<std::size_t>(i)]));
    }
    deployment.external_caller().send_all(resends);
    runs = deployment.history(survivor);
    runs.insert(runs.end(), killed_runs.begin(), killed_runs.end());
    for (int i = 0; i != requests_per_kind; ++i) {
        INFO("unique request " << i);
        CHECK(count_runs(runs, fmt::format("u{}", i)) <= 1);
    }

    // An instance whose backend server has been unresponsive for 3 s is
    // excluded from routing, and the other one serves all requests.
    REQUIRE(deployment.wait_for_instances("transfers", 1, seconds(10)));
    std::vector<fixture::caller_request> later_requests;
    for (int i = 0; i != 10; ++i) {
        for (auto* node : deployment.nodes())
            later_requests.push_back(
                {node->callers, "GET", "/transfers/s", key});
    }
    const auto answers = deployment.external_caller().send_all(later_requests);
    CHECK(count_status(answers, 200) == 30);
}
