#include "process_test_support.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>

using namespace fulmarjunction;
using namespace fulmarjunction::process_test;

namespace {

constexpr int requests_of_a_kind = 20;

fixture::caller_request booking(
    const std::string& to, const std::string& key, int number,
    const std::string& idempotency_key)
{
    fixture::caller_request request{
        to, "POST", fmt::format("/transfers/b?id=u{}&work_ms=3000", number),
        key};
    request.body = "{\"tonnes\":12}";
    request.headers.push_back({"idempotency-key", idempotency_key});
    return request;
}

} // namespace

// Guards against a second run of a unique request, and against a false
// "not_run", when a backend server dies with requests in flight.
TEST_CASE("backend server killed with requests in flight")
{
    fixture::deployment all;
    all.start_platform();
    const boost::json::object settings{
        {"admission", {{"start_limit", 64}, {"max_limit", 1024}}}};
    for (const auto* name : {"transfers-a", "transfers-b"})
        all.start_node({name, "zone-a", "transfers", 64, settings});
    all.start_node({"notes-a", "zone-a", "notes", 16, settings});
    REQUIRE(
        all.apply_lists(fixture::sample_accounts(), fixture::sample_plans()));
    const auto key = all.create_key(large_account);
    REQUIRE(all.wait_for_versions());
    REQUIRE(all.wait_for_instances("transfers", 2));
    REQUIRE(all.wait_for_instances("notes", 1));
    REQUIRE(all.wait_for_shares(large_account));
    pause(milliseconds(2100));

    const auto& entry = all.node("notes-a");
    auto& lost = all.node("transfers-a");
    const auto& kept = all.node("transfers-b");
    const auto keys = fixture::fetch_idempotency_keys(
        all.external_caller(), entry.callers, key, requests_of_a_kind);
    REQUIRE(keys.size() == requests_of_a_kind);

    std::vector<std::shared_ptr<std::optional<fixture::caller_answer>>> unique;
    std::vector<std::shared_ptr<std::optional<fixture::caller_answer>>>
        repeatable;
    for (int i = 0; i != requests_of_a_kind; ++i) {
        unique.push_back(all.external_caller().start(
            booking(entry.callers, key, i, keys[static_cast<std::size_t>(i)])));
        repeatable.push_back(all.external_caller().start(
            {entry.callers, "GET",
             fmt::format("/transfers/s?id=g{}&work_ms=3000", i), key}));
    }
    // The history of the killed process must be read before its end, when
    // every request has begun to run somewhere.
    std::vector<fixture::recorded_run> before;
    std::size_t begun = 0;
    const auto first_sent = clock::now();
    while (begun < 2 * requests_of_a_kind &&
           clock::now() - first_sent < seconds(2)) {
        all.external_caller().run(milliseconds(50));
        before = all.history(lost);
        begun = before.size() + all.history(kept).size();
    }
    REQUIRE(begun >= 2 * requests_of_a_kind);
    lost.backend->send_signal(SIGKILL);
    REQUIRE(lost.backend->wait(seconds(5)));
    all.external_caller().run(seconds(15));

    auto runs = all.history(kept);
    runs.insert(runs.end(), before.begin(), before.end());
    CHECK_FALSE(before.empty());
    int lost_repeatable = 0;
    for (int i = 0; i != requests_of_a_kind; ++i) {
        const auto at = static_cast<std::size_t>(i);
        INFO("unique request " << i);
        REQUIRE(unique[at]->has_value());
        REQUIRE(repeatable[at]->has_value());
        CHECK(count_runs(runs, fmt::format("u{}", i)) <= 1);
        if ((*unique[at])->field("outcome") == "not_run")
            CHECK(count_runs(runs, fmt::format("u{}", i)) == 0);
        if ((*repeatable[at])->field("outcome") == "not_run")
            CHECK(count_runs(runs, fmt::format("g{}", i)) == 0);
        lost_repeatable += (*repeatable[at])->status == 200 ? 0 : 1;
    }
    // Idempotent requests are tried again within the retry budget.
    CHECK(lost_repeatable == 0);

    // Resends through every node find the issuer and run nothing twice.
    std::vector<fixture::caller_request> resends;
    for (int i = 0; i != requests_of_a_kind; ++i) {
        for (auto* node : all.nodes())
            resends.push_back(booking(
                node->callers, key, i, keys[static_cast<std::size_t>(i)]));
    }
    all.external_caller().send_all(resends);
    runs = all.history(kept);
    runs.insert(runs.end(), before.begin(), before.end());
    for (int i = 0; i != requests_of_a_kind; ++i) {
        INFO("unique request " << i);
        CHECK(count_runs(runs, fmt::format("u{}", i)) <= 1);
    }

    // An instance whose backend server is silent for 3 s is left out, and the
    // other one serves.
    REQUIRE(all.wait_for_instances("transfers", 1, seconds(10)));
    std::vector<fixture::caller_request> later;
    for (int i = 0; i != 10; ++i) {
        for (auto* node : all.nodes())
            later.push_back({node->callers, "GET", "/transfers/s", key});
    }
    const auto answers = all.external_caller().send_all(later);
    CHECK(count_status(answers, 200) == 30);
}
