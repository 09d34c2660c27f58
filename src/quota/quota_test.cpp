#include <fulmarjunction/quota/account_ledger.hpp>

#include <catch2/catch.hpp>

#include <array>

namespace fj = fulmarjunction;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr fj::time_point start{seconds(1000)};

fj::account_plan plan_of(double rate, double burst)
{
    fj::account_plan plan;
    plan.name = "north";
    plan.rate = rate;
    plan.burst = burst;
    return plan;
}

} // namespace

TEST_CASE("a ledger grants no more than the rate and the burst")
{
    fj::account_ledger ledger;
    const auto plan = plan_of(10, 20);
    std::size_t granted = 0;
    for (int ms = 0; ms <= 60'000; ms += 10)
        granted += ledger.take(plan, 5, 1, start + milliseconds(ms)).tokens;
    CHECK(granted <= 60 * 10 + 20);
    CHECK(granted >= 60 * 10);
}

TEST_CASE("a new ledger does not grant the burst at once")
{
    fj::account_ledger ledger;
    const auto grant = ledger.take(plan_of(10, 100), 100, 1, start);
    CHECK(grant.tokens >= 1);
    CHECK(grant.tokens <= 5);
}

TEST_CASE("an empty ledger returns the time until the next token")
{
    fj::account_ledger ledger;
    const auto plan = plan_of(10, 1);
    CHECK(ledger.take(plan, 1, 1, start).tokens == 1);
    const auto grant = ledger.take(plan, 1, 1, start);
    CHECK(grant.tokens == 0);
    CHECK(grant.next_token_in == milliseconds(100));
    CHECK(ledger.take(plan, 1, 1, start + milliseconds(101)).tokens == 1);
}

TEST_CASE("both sides of a partition together grant no more than the plan")
{
    const auto plan = plan_of(100, 10);
    std::array<fj::account_ledger, 2> sides;
    const std::array<double, 2> shares{0.7, 0.3};
    std::size_t granted = 0;
    for (int ms = 0; ms <= 10'000; ms += 10) {
        for (std::size_t i = 0; i < sides.size(); ++i) {
            granted += sides[i]
                           .take(plan, 50, shares[i], start + milliseconds(ms))
                           .tokens;
        }
    }
    CHECK(granted <= 10 * 100 + 2 * 27);
}

TEST_CASE("cached tokens expire")
{
    fj::token_cache cache;
    CHECK_FALSE(cache.use("north", start));
    cache.add("north", 2, start);
    CHECK(cache.use("north", start + milliseconds(100)));
    CHECK_FALSE(cache.use("north", start + milliseconds(500)));
}

TEST_CASE("the batch size follows the request rate of the node")
{
    fj::token_cache cache;
    CHECK(cache.batch_size("north", start) == 1);
    for (int i = 0; i < 100; ++i)
        cache.use("north", start + milliseconds(10 * i));
    const auto size = cache.batch_size("north", start + seconds(1));
    CHECK(size > 5);
    CHECK(size <= 20);
    CHECK(cache.batch_size("north", start + seconds(20)) == 1);
}
