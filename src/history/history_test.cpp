#include <fulmarjunction/history/history.hpp>

#include <catch2/catch.hpp>

#include <random>

namespace fj = fulmarjunction;

namespace {

constexpr std::int64_t second = 1'000'000;

/// Reference implementation: checks every interval between two admissions.
bool every_interval_conforms(
    const std::vector<std::int64_t>& times, double rate, double burst)
{
    for (std::size_t i = 0; i != times.size(); ++i) {
        for (std::size_t k = i; k != times.size(); ++k) {
            const auto span = static_cast<double>(times[k] - times[i]) / 1e6;
            const auto count = static_cast<double>(k - i + 1);
            if (count > burst + rate * span + 1e-3)
                return false;
        }
    }
    return true;
}

fj::history with_admissions(const std::vector<std::int64_t>& times)
{
    fj::history recorded;
    for (const auto at : times)
        recorded.admitted.push_back({at, "a"});
    return recorded;
}

} // namespace

TEST_CASE("the rate check agrees with a check of every interval", "[history]")
{
    std::mt19937_64 random(5);
    int violations = 0;
    for (int round = 0; round != 400; ++round) {
        std::vector<std::int64_t> times;
        std::int64_t at = second;
        const auto gap = 60'000 + static_cast<std::int64_t>(random() % 60'000);
        for (int i = 0; i != 60; ++i) {
            at += static_cast<std::int64_t>(
                random() % static_cast<std::uint64_t>(2 * gap));
            times.push_back(at);
        }
        auto recorded = with_admissions(times);
        recorded.plans.push_back({0, "a", 10, 5, 0});
        const bool conforms = every_interval_conforms(times, 10, 5);
        CHECK(check_rates(recorded).empty() == conforms);
        violations += !conforms;
    }
    CHECK(violations > 50);
    CHECK(violations < 350);
}

TEST_CASE("the rate check follows plan changes", "[history]")
{
    // Ten requests at once fit a burst of ten, but not a lowered burst.
    auto recorded = with_admissions(std::vector<std::int64_t>(10, 30 * second));
    CHECK(check_rates(recorded).size() == 1);
    recorded.plans.push_back({0, "a", 1, 10, 0});
    CHECK(check_rates(recorded).empty());
    recorded.plans.push_back({20 * second, "a", 1, 5, 5 * second});
    CHECK(check_rates(recorded).size() == 1);
    recorded.plans.back().settles_us = 15 * second;
    CHECK(check_rates(recorded).empty());
    recorded.plans.back().settles_us = 8 * second;
    CHECK(check_rates(recorded).size() == 1);
    // The initial plan may remain in use for 15 s, whatever plan follows.
    recorded.plans.back().settles_us = 15 * second;
    recorded.plans.push_back({29 * second, "a", 0, 0, second / 2});
    CHECK(check_rates(recorded).empty());
    recorded.plans[1].settles_us = 8 * second;
    CHECK(check_rates(recorded).size() == 1);
}

TEST_CASE("a second run of a request is detected", "[history]")
{
    fj::history recorded;
    recorded.runs = {{1, "k1", "a1"}, {2, "k2", "a2"}};
    CHECK(check_history(recorded).empty());
    recorded.runs.push_back({3, "k1", "a3"});
    CHECK(check_runs(recorded).size() == 1);
}

TEST_CASE("a false report of not run is detected", "[history]")
{
    struct sample
    {
        std::int64_t reported_us;
        std::string attempt;
        bool is_false;
    };
    for (const auto& [reported_us, attempt, is_false] : std::vector<sample>{
             {5, "a1", true},  // the same attempt ran later
             {15, "a1", true}, // and before
             {5, "a2", false}, // another attempt ran later
             {15, "a2", true}, // another attempt had started
             {5, "", false}}) {
        fj::history recorded;
        recorded.runs = {{10, "k", "a1"}};
        recorded.not_run = {{reported_us, "k", attempt}};
        CAPTURE(reported_us, attempt);
        CHECK(check_not_run(recorded).empty() != is_false);
    }
}
