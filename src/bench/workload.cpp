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
           to_seconds(last.before + last.after);
}

namespace {

/// Demand of an ordinary day.
constexpr double ordinary = 0.7;

// Returns `during` from `from` to `to`, and `otherwise` at other times.
std::function<double(double)>
step(double from, double to, double during, double otherwise)
{
    return [=](double second) {
        return second >= from && second < to ? during : otherwise;
    };
}

scenario make(std::string name, std::function<double(double)> demand)
{
    scenario made;
    made.name = std::move(name);
    made.demand = std::move(demand);
    made.account_demand = [](const client_account&, double) { return 1.0; };
    made.slowness = [](double) { return 1.0; };
    return made;
}

scenario one_account_at_10x()
{
    auto made = make("one_account_at_10x", step(0, 100, ordinary, ordinary));
    made.account_demand = [](const client_account& account, double second) {
        return account == "a2" && second >= 5 ? 10.0 : 1.0;
    };
    return made;
}

scenario merged_accounts()
{
    auto made = make("merged_accounts", step(5, 100, 1.3, ordinary));
    made.account_demand = [](const client_account& account, double second) {
        if (second < 5)
            return 1.0;
        if (account == "a2")
            return 0.0;
        // a1 carries its own traffic and that of a2.
        return account == "a1" ? (0.36 + 0.18) / 0.36 : 1.0;
    };
    return made;
}

scenario deep_service_slow()
{
    auto made = make("deep_service_slow", step(0, 100, ordinary, ordinary));
    made.length = seconds(55);
    made.measured_to = seconds(35);
    made.trigger_end = seconds(35);
    made.slowness = step(5, 35, 5, 1);
    return made;
}

scenario clients_resend()
{
    auto made = make("clients_resend", step(5, 15, 2, ordinary));
    made.length = seconds(35);
    made.measured_to = seconds(15);
    made.trigger_end = seconds(15);
    made.resends = 3;
    return made;
}

scenario surge_ends()
{
    auto made = make("surge_ends", step(5, 15, 5, ordinary));
    made.length = seconds(35);
    made.measured_to = seconds(15);
    made.trigger_end = seconds(15);
    return made;
}

scenario half_restart_cold()
{
    auto made = make("half_restart_cold", step(0, 100, ordinary, ordinary));
    made.length = seconds(30);
    made.measured_to = seconds(11);
    made.restart_at = seconds(5);
    made.trigger_end = made.restart_at + restart_down + cold_time;
    return made;
}

scenario with_reports(std::string name, load_report reports)
{
    auto made = make(std::move(name), step(0, 100, ordinary, ordinary));
    made.reports = reports;
    return made;
}

} // namespace

std::vector<scenario> scenarios()
{
    auto unknown_slots = make("slots_unknown_2x", step(5, 100, 2, ordinary));
    unknown_slots.slots_announced = false;
    return {
        make("ordinary", step(0, 100, ordinary, ordinary)),
        make("demand_2x", step(5, 100, 2, ordinary)),
        make("demand_5x", step(5, 100, 5, ordinary)),
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
