#include "borrower.hpp"
#include "share_bucket.hpp"

#include <fulmarjunction/rates/rate_limiter.hpp>

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <set>

namespace fj = fulmarjunction;

using fj::milliseconds;
using fj::detail::share_bucket;

namespace {

const fj::time_point start{std::chrono::hours(1)};

fj::time_point at(int ms)
{
    return start + milliseconds(ms);
}

fj::account_plan plan_of(double rate, double burst)
{
    return {rate, burst, 0, 1};
}

/// A node that holds the only share of account "a" (rate 100/s, burst 12).
struct holder_node
{
    explicit holder_node(milliseconds lease = milliseconds(60'000))
        : limiter(settings_with(lease), {"h", "z1", 7}, 1)
    {
        limiter.renew_lease(start + lease, start);
        limiter.set_plan("a", plan_of(100, 12), start);
        apply_row(1, 7, 0, 12'000);
    }

    static fj::rate_settings settings_with(milliseconds lease)
    {
        fj::rate_settings settings;
        settings.lease = lease;
        return settings;
    }

    void apply_row(
        fj::table_version version, fj::incarnation_number incarnation,
        std::uint64_t epoch, std::int64_t burst, fj::time_point now = start)
    {
        fj::share_ledger ledger;
        ledger.shares.push_back(
            {0,
             "h",
             incarnation,
             epoch,
             milliseconds(60'000),
             {100'000, burst}});
        REQUIRE(limiter.apply_ledger_row("a", to_json(ledger), version, now));
    }

    std::size_t take_all(fj::time_point now)
    {
        std::size_t taken = 0;
        while (limiter.take("a", now).verdict == fj::rate_verdict::admitted)
            ++taken;
        return taken;
    }

    fj::borrow_answer lend(
        std::uint64_t id, std::uint32_t needed, fj::time_point now,
        std::vector<fj::settled_loan> settled = {})
    {
        return limiter.lend(
            "b", {id, "b", 1, "a", needed, 0, std::move(settled)}, now);
    }

    fj::rate_limiter limiter;
};

} // namespace

TEST_CASE("share count follows the burst", "[rates]")
{
    struct sample
    {
        double rate, burst;
        std::uint32_t shares;
    };
    for (const auto& [rate, burst, shares] : std::vector<sample>{
             {100, 200, 16},
             {100, 100, 12},
             {100, 15, 1},
             {100, 16, 2},
             {100, 1, 1},
             {100, 0.5, 0},
             {0, 100, 0},
             {-1, 100, 0},
             {100, 1e12, 16}}) {
        CAPTURE(rate, burst);
        CHECK(fj::share_count(plan_of(rate, burst)) == shares);
        const auto share = fj::share_of(plan_of(rate, burst));
        const auto whole = fj::to_amount(plan_of(rate, burst));
        CHECK(share.rate * shares <= whole.rate);
        CHECK(share.burst * shares <= whole.burst);
    }
}

TEST_CASE("parsers refuse what is not exactly the format", "[rates]")
{
    const std::string request =
        R"({"id":1,"borrower":"b","incarnation":2,"account":"a",)"
        R"("needed":1,"ahead":0,"settled":[{"id":3,"unspent":1}]})";
    REQUIRE(fj::parse_borrow_request(request));
    const auto parsed = fj::parse_borrow_request(request).value();
    CHECK(fj::parse_borrow_request(to_text(parsed)).value() == parsed);
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{
             {"\"id\":1", "\"id\":-1"},
             {"\"id\":1", "\"id\":1.0"},
             {"\"id\":1", "\"id\":\"1\""},
             {"\"id\":1,", ""},
             {"\"id\":1", "\"id\":1,\"more\":1"},
             {"\"needed\":1", "\"needed\":1000001"},
             {"\"borrower\":\"b\"", "\"borrower\":\"\""},
             {"{\"id\":3,", "{"},
             {"]}", "]}x"}}) {
        auto text = request;
        text.replace(text.find(from), from.size(), to);
        CAPTURE(text);
        CHECK_FALSE(fj::parse_borrow_request(text));
    }
    const std::string row =
        R"({"shares":[{"index":1,"holder":"h","incarnation":1,"epoch":0,)"
        R"("lease_ms":1000,"rate":1,"burst":1}]})";
    REQUIRE(fj::parse_share_ledger(boost::json::parse(row)));
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{
             {"\"rate\":1", "\"rate\":-1"},
             {"\"index\":1", "\"index\":256"},
             {"\"lease_ms\":1000", "\"lease_ms\":86400001"},
             {"\"holder\":\"h\"", "\"holder\":\"\""}}) {
        auto text = row;
        text.replace(text.find(from), from.size(), to);
        CAPTURE(text);
        CHECK_FALSE(fj::parse_share_ledger(boost::json::parse(text)));
    }
}

TEST_CASE("preferred holders take availability zones in turn", "[rates]")
{
    std::vector<fj::rate_member> members;
    for (int i = 0; i != 12; ++i)
        members.push_back(
            {"n" + std::to_string(i), "z" + std::to_string(i % 3), 1});
    const auto holders = fj::preferred_holders("a", members, 6);
    REQUIRE(holders.size() == 6);
    std::set<std::string> names(holders.begin(), holders.end());
    CHECK(names.size() == 6);
    for (std::size_t i = 0; i != 6; i += 3) {
        std::set<int> zones;
        for (std::size_t k = i; k != i + 3; ++k)
            zones.insert(std::stoi(holders[k].substr(1)) % 3);
        CHECK(zones.size() == 3);
    }
    CHECK(fj::preferred_holders("a", {}, 6).empty());
}

// Guards against a bucket that refills the tokens it has lent out, or takes a
// loan back twice.
TEST_CASE("a bucket never holds and lends more than its burst", "[rates]")
{
    share_bucket bucket(1.0, start);
    bucket.set_amount({10'000, 5'000}, start);
    CHECK_FALSE(bucket.spend(start));
    bucket.refill(at(10'000));
    CHECK(bucket.level() == Approx(5));
    const auto held = milliseconds(300);
    CHECK(bucket.lend({"b", 1, 1}, 4, 0, held, held, at(10'000)) == 4);
    bucket.refill(at(10'200));
    CHECK(bucket.level() + bucket.lent() == Approx(5));
    bucket.refill(at(10'300));
    CHECK(bucket.lent() == 0);
    bucket.refill(at(20'000));
    CHECK(bucket.level() == Approx(5));
    // A loan is settled only once, and not after it has expired.
    CHECK(bucket.lend({"b", 1, 2}, 4, 0, held, held, at(20'000)) == 4);
    CHECK(bucket.settle({"b", 1, 2}, 3, at(20'100)) == 3);
    CHECK(bucket.settle({"b", 1, 2}, 3, at(20'100)) == 0);
    CHECK(bucket.lend({"b", 1, 3}, 2, 0, held, held, at(20'110)) == 2);
    CHECK(bucket.settle({"b", 1, 3}, 2, at(20'410)) == 0);
}

// Guards against using a share that another node may have taken over.
TEST_CASE("a holder whose lease has lapsed spends and lends nothing", "[rates]")
{
    holder_node node;
    CHECK(node.lend(1, 1, at(1000)).tokens == 1);
    // A loan must end before the lease does.
    CHECK(node.lend(2, 1, at(59'990)).tokens == 0);
    CHECK(node.take_all(at(59'999)) > 0);
    CHECK(node.take_all(at(60'000)) == 0);
    // The renewal came too late: another node may have taken the share over.
    node.limiter.renew_lease(at(130'000), at(70'000));
    CHECK(node.take_all(at(80'000)) == 0);
    CHECK(node.lend(3, 1, at(80'000)).tokens == 0);
    node.apply_row(2, 7, 1, 12'000, at(80'000));
    CHECK(node.take_all(at(90'000)) == 12);
}

TEST_CASE("an entry of another incarnation is not usable", "[rates]")
{
    holder_node node;
    node.apply_row(2, 6, 0, 12'000);
    CHECK(node.take_all(at(5000)) == 0);
}

// Guards against admitting more than the row allows while the result of a
// write that lowers it is unknown.
TEST_CASE("a lower plan is applied before it is written", "[rates]")
{
    holder_node node;
    node.limiter.set_members(
        std::make_shared<std::vector<fj::rate_member>>(
            std::vector<fj::rate_member>{{"h", "z1", 7}}),
        start);
    CHECK(node.lend(1, 8, at(1000)).tokens == 8);
    node.limiter.set_plan("a", plan_of(50, 4), at(1000));
    // The write waits until the loan of eight tokens has expired.
    CHECK(node.limiter.plan_changes(at(1001)).empty());
    CHECK(node.take_all(at(1001)) == 0);
    auto changes = node.limiter.plan_changes(at(1400));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].step == fj::ledger_step::lower);
    // The result is unknown and the plan is raised again. The earlier write may
    // still take effect, so the lower value applies until the row has changed.
    node.limiter.change_done(
        changes[0].id, fj::fail(fj::errc::timeout, "table.commit"), at(2400));
    node.limiter.set_plan("a", plan_of(100, 12), at(2400));
    CHECK(node.take_all(at(8000)) == 4);
    node.apply_row(2, 7, 0, 12'000, at(8000));
    CHECK(node.take_all(at(9000)) == 12);
}

TEST_CASE("a higher value is applied once the row was seen", "[rates]")
{
    holder_node node;
    node.limiter.set_members(
        std::make_shared<std::vector<fj::rate_member>>(
            std::vector<fj::rate_member>{{"h", "z1", 7}}),
        start);
    node.limiter.set_plan("a", plan_of(100, 15), start);
    const auto changes = node.limiter.plan_changes(at(1000));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].step == fj::ledger_step::raise);
    CHECK(node.take_all(at(5000)) == 12);
    node.limiter.change_done(changes[0].id, fj::table_version{2}, at(5000));
    CHECK(node.take_all(at(9000)) == 15);
}

// Guards against tokens that are created by answers which the lender did not
// give, gave twice, or gave too long ago.
TEST_CASE("late, duplicate and foreign answers give no tokens", "[rates]")
{
    fj::rate_limiter node({}, {"b", "z1", 1}, 1);
    node.set_plan("a", plan_of(100, 12), start);
    fj::share_ledger ledger;
    ledger.shares.push_back(
        {0, "h", 7, 0, milliseconds(60'000), {100'000, 12'000}});
    REQUIRE(node.apply_ledger_row("a", to_json(ledger), 1, start));
    const auto first = node.take("a", start);
    REQUIRE(first.verdict == fj::rate_verdict::waiting);
    REQUIRE(first.effects.send.size() == 1);
    const auto id = first.effects.send[0].message.id;
    fj::borrow_answer answer{id, "a", 2, milliseconds(300), 5, {}, true};
    CHECK(node.receive("other", answer, at(5)).resolved.empty());
    const auto ended = node.receive("h", answer, at(5));
    REQUIRE(ended.resolved.size() == 1);
    CHECK(ended.resolved[0].verdict == fj::rate_verdict::admitted);
    CHECK(node.receive("h", answer, at(6)).resolved.empty());
    CHECK(node.account_state("a", at(6)).borrowed == 1);
    // Expiry is checked when a token is used: the second one has expired.
    CHECK(node.take("a", at(300)).verdict != fj::rate_verdict::admitted);
    // The lifetime is measured from before the request was sent.
    node.poll(at(1000));
    const auto second = node.take("a", at(3000));
    REQUIRE(second.effects.send.size() == 1);
    answer.id = second.effects.send[0].message.id;
    node.receive("h", answer, at(3300));
    CHECK(node.account_state("a", at(3300)).borrowed == 0);
}

TEST_CASE(
    "waiting requests share one borrow request for each holder", "[rates]")
{
    fj::rate_limiter node({}, {"b", "z1", 1}, 1);
    node.set_plan("a", plan_of(100, 12), start);
    fj::share_ledger ledger;
    ledger.shares.push_back(
        {0, "h", 7, 0, milliseconds(60'000), {100'000, 12'000}});
    REQUIRE(node.apply_ledger_row("a", to_json(ledger), 1, start));
    std::size_t borrow_requests = 0;
    for (int i = 0; i != 20; ++i)
        borrow_requests += node.take("a", start).effects.send.size();
    CHECK(borrow_requests == 1);
    // No request waits for longer than the limit.
    const auto ended = node.poll(at(1000));
    CHECK(ended.resolved.size() == 20);
}

TEST_CASE("a duplicate borrow request takes no second loan", "[rates]")
{
    holder_node node;
    CHECK(node.lend(1, 4, at(1000)).tokens == 4);
    CHECK(node.lend(1, 4, at(1001)).tokens == 4);
    CHECK(node.limiter.account_state("a", at(1001)).lent == Approx(4));
    // A request whose borrower is not its sender is denied.
    CHECK(
        node.limiter.lend("x", {2, "b", 1, "a", 1, 0, {}}, at(1001)).tokens ==
        0);
}

TEST_CASE("accounts without a usable plan are refused", "[rates]")
{
    fj::rate_limiter node({}, {"b", "z1", 1}, 1);
    CHECK(node.take("a", start).verdict == fj::rate_verdict::refused);
    node.set_plan("a", plan_of(0, 10), start);
    CHECK(node.take("a", start).verdict == fj::rate_verdict::refused);
    node.set_plan("a", plan_of(10, 10), start);
    // There is no ledger row yet: refused with a time after which to retry.
    const auto early = node.take("a", start);
    CHECK(early.verdict == fj::rate_verdict::refused);
    CHECK(early.retry_after.count() > 0);
    node.remove_plan("a", start);
    CHECK(node.take("a", start).verdict == fj::rate_verdict::refused);
}

// Guards against taking over a share whose holder still has a valid lease.
TEST_CASE(
    "a takeover waits for the lease to expire and names the row", "[rates]")
{
    fj::rate_limiter node({}, {"n", "z1", 1}, 1);
    node.set_members(
        std::make_shared<std::vector<fj::rate_member>>(
            std::vector<fj::rate_member>{{"n", "z1", 1}}),
        start);
    node.renew_lease(start + std::chrono::hours(6), start);
    node.set_plan("a", plan_of(100, 12), start);
    node.observe_instance({"h", true, 7, 3, 40}, start);
    fj::share_ledger ledger;
    ledger.shares.push_back(
        {0, "h", 7, 0, milliseconds(60'000), {100'000, 12'000}});
    REQUIRE(node.apply_ledger_row("a", to_json(ledger), 41, start));
    CHECK(node.plan_changes(at(60'500)).empty());
    // A renewal restarts the time until the lapse.
    node.observe_instance({"h", true, 7, 4, 42}, at(60'600));
    CHECK(node.plan_changes(at(62'000)).empty());
    CHECK(node.plan_changes(at(121'000)).empty());
    const auto changes = node.plan_changes(at(122'500));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].step == fj::ledger_step::takeover);
    bool has_row_condition = false;
    for (const auto& condition : changes[0].transaction.conditions)
        has_row_condition =
            has_row_condition ||
            (condition.key == "instance/h" && condition.expected == 42);
    CHECK(has_row_condition);
}
