#include "fleet/simulated_fleet.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace fj = fulmarjunction;

using fj::detail::fleet_settings;
using fj::detail::sim_second;
using fj::detail::sim_time;
using fj::detail::simulated_fleet;

namespace {

const std::string account = "merged";
constexpr double rate = 20;
constexpr double burst = 40;
constexpr sim_time fault_begin = 8 * sim_second;
constexpr sim_time fault_end = 30 * sim_second;
constexpr sim_time run_end = 60 * sim_second;

/// Time after which a lowered plan is in force everywhere: the lease (10 s) of
/// a holder that cannot receive it, the last loan and the clock error.
constexpr sim_time settle_time = 12 * sim_second;

/// A fault during which the rate limit must hold.
struct fault_case
{
    std::string name;
    std::function<void(fleet_settings&)> configure;
    std::function<void(simulated_fleet&)> inject;
};

void schedule_fault(
    simulated_fleet& fleet, std::function<void(simulated_fleet&)> begin,
    std::function<void(simulated_fleet&)> end)
{
    fleet.schedule(fault_begin, [&fleet, begin] { begin(fleet); });
    fleet.schedule(fault_end, [&fleet, end] { end(fleet); });
}

std::size_t any_holder(const simulated_fleet& fleet)
{
    return fleet.find_holder(account) % fleet.size();
}

std::vector<fault_case> fault_cases()
{
    const auto no_configuration = [](fleet_settings&) {};
    const auto no_action = [](simulated_fleet&) {};
    return {
        {"loss", [](fleet_settings& s) { s.faults.lost = 0.2; }, no_action},
        {"duplicates", [](fleet_settings& s) { s.faults.duplicated = 0.5; },
         no_action},
        {"late messages",
         [](fleet_settings& s) {
             s.faults.late = 0.3;
             s.faults.max_delay = sim_second / 2;
         },
         no_action},
        {"lost answers of the table",
         [](fleet_settings& s) {
             s.faults.lost_answer = 0.4;
             s.faults.late_write = 0.3;
         },
         no_action},
        {"clock error",
         [](fleet_settings& s) {
             s.clock_error = 0.01;
             s.rates.clock_rate_error = 0.011;
         },
         no_action},
        {"crash and restart", no_configuration,
         [](simulated_fleet& fleet) {
             const auto victim = std::make_shared<std::size_t>(0);
             schedule_fault(
                 fleet,
                 [victim](simulated_fleet& f) {
                     *victim = any_holder(f);
                     f.crash(*victim);
                 },
                 [victim](simulated_fleet& f) { f.restart(*victim); });
         }},
        {"pause past the lease", no_configuration,
         [](simulated_fleet& fleet) {
             schedule_fault(
                 fleet,
                 [](simulated_fleet& f) {
                     f.pause(any_holder(f), 16 * sim_second);
                 },
                 [](simulated_fleet&) {});
         }},
        {"split", no_configuration,
         [](simulated_fleet& fleet) {
             schedule_fault(
                 fleet,
                 [](simulated_fleet& f) {
                     f.partition({0, 0, 0, 1, 1, 1});
                 },
                 [](simulated_fleet& f) { f.partition({}); });
         }},
        {"plan lowered and raised", no_configuration,
         [](simulated_fleet& fleet) {
             schedule_fault(
                 fleet, [](simulated_fleet& f) { f.set_plan(account, 8, 10); },
                 [](simulated_fleet& f) { f.set_plan(account, rate, burst); });
         }},
        {"plan removed and given again", no_configuration,
         [](simulated_fleet& fleet) {
             schedule_fault(
                 fleet, [](simulated_fleet& f) { f.remove_plan(account); },
                 [](simulated_fleet& f) { f.set_plan(account, rate, burst); });
         }},
        {"store outage", no_configuration,
         [](simulated_fleet& fleet) {
             schedule_fault(
                 fleet, [](simulated_fleet& f) { f.set_table_up(false); },
                 [](simulated_fleet& f) { f.set_table_up(true); });
         }},
        {"planned stop", no_configuration,
         [](simulated_fleet& fleet) {
             schedule_fault(
                 fleet, [](simulated_fleet& f) { f.stop(any_holder(f)); },
                 [](simulated_fleet&) {});
         }},
    };
}

/// Offers twice the rate during the whole run, most of it to two nodes.
void offer_load(simulated_fleet& fleet, std::mt19937_64& random)
{
    const auto gap = static_cast<sim_time>(sim_second / (2 * rate));
    for (sim_time at = sim_second; at < run_end; at += gap) {
        const auto node =
            random() % 2 == 0 ? random() % 2 : random() % fleet.size();
        fleet.schedule(at, [&fleet, node] { fleet.request(node, account); });
    }
}

std::size_t
admitted_between(const simulated_fleet& fleet, sim_time from, sim_time to)
{
    std::size_t count = 0;
    for (const auto& event : fleet.recorded().admitted)
        count += event.at_us >= from && event.at_us < to;
    return count;
}

void run_faults(
    const std::vector<const fault_case*>& faults, std::uint64_t seed)
{
    fleet_settings settings;
    settings.nodes = 6;
    settings.seed = seed;
    settings.rates.lease = fj::milliseconds(10'000);
    std::string names;
    for (const auto* fault : faults) {
        fault->configure(settings);
        names += fault->name + "; ";
    }
    CAPTURE(names, seed);
    simulated_fleet fleet(settings);
    fleet.settle_time = settle_time;
    fleet.set_plan(account, rate, burst);
    std::mt19937_64 random(seed);
    offer_load(fleet, random);
    for (const auto* fault : faults)
        fault->inject(fleet);
    fleet.run_until(run_end);
    for (const auto& violation : fj::check_history(fleet.recorded()))
        FAIL_CHECK(violation.check << " " << violation.detail);
    // After the faults the account gets its rate again. Message faults last
    // until the end of the run, so some tokens are lost in messages.
    const auto admitted_at_end =
        admitted_between(fleet, 50 * sim_second, run_end);
    CHECK(admitted_at_end >= static_cast<std::size_t>(0.4 * rate * 10));
}

} // namespace

// Guards against a fault after which the fleet admits more than the plan, or
// does not get back to the rate of the plan.
TEST_CASE("the limit holds through each fault", "[rates][contract]")
{
    const auto cases = fault_cases();
    for (const auto& fault : cases) {
        for (std::uint64_t seed = 1; seed <= 6; ++seed)
            run_faults({&fault}, seed);
    }
}

// The same for faults that coincide.
TEST_CASE("the limit holds through each pair of faults", "[rates][contract]")
{
    const auto cases = fault_cases();
    for (std::size_t a = 0; a != cases.size(); ++a) {
        for (std::size_t b = a + 1; b != cases.size(); ++b)
            run_faults({&cases[a], &cases[b]}, 100 + a * 16 + b);
    }
}

// Guards against refusing requests within the plan while the table cannot be
// reached for less than the length of a lease.
TEST_CASE(
    "requests are admitted during a store outage of several hours",
    "[rates][contract]")
{
    fleet_settings settings;
    settings.nodes = 6;
    simulated_fleet fleet(settings);
    fleet.set_plan(account, 2, 40);
    const sim_time hours = 5 * 3600 * sim_second;
    fleet.run_until(60 * sim_second);
    fleet.set_table_up(false);
    std::size_t sent = 0;
    for (auto at = fleet.now(); at < hours; at += sim_second) {
        fleet.schedule(at, [&fleet, at] {
            fleet.request(
                static_cast<std::size_t>(at / sim_second) % 6, account);
        });
        ++sent;
    }
    fleet.run_until(hours + sim_second);
    CHECK(fleet.recorded().admitted.size() == sent);
    CHECK(fj::check_history(fleet.recorded()).empty());
}

// Guards against conflicting claims: nodes that start together must not
// compete for the same shares.
TEST_CASE("few writes claim the shares of a new deployment", "[rates]")
{
    fleet_settings settings;
    settings.nodes = 40;
    simulated_fleet fleet(settings);
    fleet.set_plan(account, 100, 200);
    fleet.run_until(10 * sim_second);
    CHECK(fleet.ledger(account).shares.size() == 16);
    // One for the plan, one for each instance row and one for each share.
    CHECK(fleet.table_writes() <= 1 + 40 + 16);
}
