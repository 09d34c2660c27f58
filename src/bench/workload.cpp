#include "workload.hpp"

namespace fulmarjunction::bench {

const std::vector<service_model>& services()
{
    static const std::vector<service_model> list = {
        {"notes", 3, 80, milliseconds(10), milliseconds(10)},
        {"transfers", 3, 80, milliseconds(15), milliseconds(15)},
        {"origins", 3, 20, milliseconds(60), milliseconds(0)},
    };
    return list;
}

const std::vector<endpoint_model>& endpoints()
{
    static const std::vector<endpoint_model> list = {
        {"weighbridge", importance::critical, 3, 100},
        {"booking", importance::high, 3, 200},
        {"certificate", importance::normal, 3, 500},
        {"export", importance::low, 3, 200},
        {"note", importance::normal, 1, 300},
    };
    return list;
}

const std::vector<account_model>& accounts()
{
    static const std::vector<account_model> list = {
        {"a1", 8, 0.36}, {"a2", 4, 0.18}, {"a3", 3, 0.14}, {"a4", 2, 0.09},
        {"a5", 2, 0.09}, {"a6", 1, 0.05}, {"a7", 1, 0.05}, {"a8", 1, 0.04},
    };
    return list;
}

double chain_capacity()
{
    const auto& last = services().back();
    return static_cast<double>(last.instances * last.slots) /
           to_seconds(last.work_before_call + last.work_after_call);
}

namespace {

/// Demand in normal operation.
constexpr double ordinary = 0.7;

// Returns a function that is `during` from `from` to `to` and `otherwise` at
// other times.
std::function<double(double)>
step(double from, double to, double during, double otherwise)
{
    return [=](double second) {
        return second >= from && second < to ? during : otherwise;
    };
}

scenario make_scenario(std::string name, std::function<double(double)> demand)
{
    scenario result;
    result.name = std::move(name);
    result.demand = std::move(demand);
    result.account_demand = [](const client_account&, double) { return 1.0; };
    result.slowdown = [](double) { return 1.0; };
    return result;
}

scenario one_account_at_10x()
{
    auto result =
        make_scenario("one_account_at_10x", step(0, 100, ordinary, ordinary));
    result.account_demand = [](const client_account& account, double second) {
        return account == "a2" && second >= 5 ? 10.0 : 1.0;
    };
    return result;
}

scenario merged_accounts()
{
    auto result = make_scenario("merged_accounts", step(5, 100, 1.3, ordinary));
    result.account_demand = [](const client_account& account, double second) {
        if (second < 5)
            return 1.0;
        if (account == "a2")
            return 0.0;
        // a1 sends its own traffic and that of a2.
        return account == "a1" ? (0.36 + 0.18) / 0.36 : 1.0;
    };
    return result;
}

scenario deep_service_slow()
{
    auto result =
        make_scenario("deep_service_slow", step(0, 100, ordinary, ordinary));
    result.length = seconds(55);
    result.measured_to = seconds(35);
    result.trigger_end = seconds(35);
    result.slowdown = step(5, 35, 5, 1);
    return result;
}

scenario clients_resend()
{
    auto result = make_scenario("clients_resend", step(5, 15, 2, ordinary));
    result.length = seconds(35);
    result.measured_to = seconds(15);
    result.trigger_end = seconds(15);
    result.resends = 3;
    return result;
}

scenario surge_ends()
{
    auto result = make_scenario("surge_ends", step(5, 15, 5, ordinary));
    result.length = seconds(35);
    result.measured_to = seconds(15);
    result.trigger_end = seconds(15);
    return result;
}

scenario half_restart_cold()
{
    auto result =
        make_scenario("half_restart_cold", step(0, 100, ordinary, ordinary));
    result.length = seconds(30);
    result.measured_to = seconds(11);
    result.restart_at = seconds(5);
    result.trigger_end = result.restart_at + restart_downtime + warmup_time;
    return result;
}

scenario with_reports(std::string name, load_report reports)
{
    auto result =
        make_scenario(std::move(name), step(0, 100, ordinary, ordinary));
    result.reports = reports;
    return result;
}

} // namespace

std::vector<scenario> scenarios()
{
    auto unknown_slots =
        make_scenario("slots_unknown_2x", step(5, 100, 2, ordinary));
    unknown_slots.slots_announced = false;
    return {
        make_scenario("ordinary", step(0, 100, ordinary, ordinary)),
        make_scenario("demand_2x", step(5, 100, 2, ordinary)),
        make_scenario("demand_5x", step(5, 100, 5, ordinary)),
        one_account_at_10x(),
        merged_accounts(),
        deep_service_slow(),
        clients_resend(),
        surge_ends(),
        half_restart_cold(),
        with_reports("reports_frozen", load_report::frozen),
        with_reports("reports_inverted", load_report::inverted),
        unknown_slots,
    };
}

} // namespace fulmarjunction::bench
