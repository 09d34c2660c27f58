#include <fulmarjunction/retry/run_cost.hpp>
#include <fulmarjunction/retry/service_budget.hpp>

#include <catch2/catch.hpp>

namespace fj = fulmarjunction;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr fj::time_point start{seconds(1000)};

} // namespace

TEST_CASE("a new incarnation starts without retries")
{
    fj::service_budget budget({0.1, 20, seconds(10)});
    CHECK_FALSE(budget.spend("books", 1, start));
}

TEST_CASE("the retries of all nodes together stay within ratio and slack")
{
    constexpr int nodes = 10;
    std::vector<fj::service_budget> budgets(
        nodes, fj::service_budget({0.1, 20, seconds(10)}));
    int retries = 0;
    // Each node sends 20 requests/s, all of which fail.
    for (int ms = 0; ms < 10'000; ms += 50) {
        for (auto& budget : budgets) {
            budget.set_nodes(nodes);
            const auto now = start + milliseconds(ms);
            budget.count_first_attempt("books", now);
            while (budget.spend("books", 1, now))
                ++retries;
        }
    }
    CHECK(retries <= 0.1 * 2000 + 20);
    CHECK(retries >= 0.1 * 2000 - nodes);
}

TEST_CASE("the debt of a costly retry is paid before the next one")
{
    fj::service_budget budget({0.1, 0, seconds(10)});
    for (int i = 0; i < 15; ++i)
        budget.count_first_attempt("books", start);
    CHECK(budget.spend("books", 7, start));
    CHECK_FALSE(budget.spend("books", 7, start));
    for (int i = 0; i < 60; ++i)
        budget.count_first_attempt("books", start);
    CHECK_FALSE(budget.spend("books", 7, start));
    for (int i = 0; i < 10; ++i)
        budget.count_first_attempt("books", start);
    CHECK(budget.spend("books", 7, start));
}

TEST_CASE("the cost of a run includes all downstream calls")
{
    fj::run_cost_meter meter;
    CHECK(meter.cost() == Approx(1));
    for (int i = 0; i < 1000; ++i) {
        meter.count_run();
        meter.count_call(5);
        meter.count_call(1);
    }
    CHECK(meter.cost() == Approx(7).epsilon(0.01));
}
