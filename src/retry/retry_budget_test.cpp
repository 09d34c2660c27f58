#include <fulmarjunction/retry/retry_budget.hpp>

#include <catch2/catch.hpp>

#include <random>

namespace fj = fulmarjunction;

namespace {

// Simulates a tree of calls that all fail and returns the number of extra
// attempts spent. One in four answers of children is lost.
std::uint32_t
spend_in_tree(fj::retry_budget& budget, int depth, std::mt19937_64& random)
{
    std::uint32_t spent = 0;
    do {
        const std::size_t children = depth == 13 ? 0 : 1 + random() % 2;
        for (std::size_t remaining = children; remaining != 0; --remaining) {
            const auto delegated =
                budget.delegate(fj::retry_share(budget.left(), remaining));
            fj::retry_budget child(delegated);
            spent += spend_in_tree(child, depth + 1, random);
            if (random() % 4 != 0)
                budget.reclaim(delegated, child.left());
        }
    } while (budget.spend() && ++spent != 0);
    return spent;
}

} // namespace

TEST_CASE("a tree of depth 13 in which all calls fail never exceeds the budget")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        fj::retry_budget root(2);
        CAPTURE(seed);
        CHECK(spend_in_tree(root, 1, random) <= 2);
    }
}

TEST_CASE("a child cannot return more than was delegated to it")
{
    fj::retry_budget budget(3);
    const auto delegated = budget.delegate(2);
    budget.reclaim(delegated, 100);
    CHECK(budget.left() == 3);
    CHECK(budget.delegate(100) == 3);
    CHECK_FALSE(budget.spend());
}

TEST_CASE("parallel children split the remaining attempts")
{
    CHECK(fj::retry_share(2, 3) == 1);
    CHECK(fj::retry_share(1, 2) == 1);
    CHECK(fj::retry_share(0, 2) == 0);
    CHECK(fj::retry_share(7, 1) == 7);
    CHECK(fj::retry_share(4, 0) == 0);
}

TEST_CASE("may_retry allows a retry only where running twice does no harm")
{
    using fj::execution;
    using fj::outcome;
    using reason = fj::refusal_reason;
    struct row
    {
        fj::failed_attempt attempt;
        bool allowed;
    };
    const auto idempotent = execution::idempotent;
    const auto unique = execution::unique;
    const row rows[] = {
        {{outcome::not_run, reason::overloaded, unique, false, true}, true},
        {{outcome::not_run, reason::draining, unique, false, true}, true},
        {{outcome::unknown, reason::backend_failed, unique, false, true},
         false},
        {{outcome::unknown, reason::backend_failed, idempotent, false, true},
         true},
        {{outcome::unknown, reason::backend_failed, idempotent, true, true},
         false},
        {{outcome::not_run, reason::overloaded, idempotent, false, false},
         false},
        {{outcome::not_run, reason::suspect_request, idempotent, false, true},
         false},
        {{outcome::not_run, reason::deadline_expired, idempotent, false, true},
         false},
        {{outcome::not_run, reason::rate_exceeded, idempotent, false, true},
         false},
        {{outcome::answered, reason::overloaded, idempotent, false, true},
         false},
    };
    for (const auto& row : rows) {
        CAPTURE(to_string(row.attempt.result), to_string(row.attempt.reason));
        CHECK(fj::may_retry(row.attempt) == row.allowed);
    }
}
