#include <fulmarjunction/retry/run_cost.hpp>

#include <algorithm>

namespace fulmarjunction {

namespace {

/// Number of runs after which earlier ones count half.
constexpr double half_life_runs = 400;

/// Bounds the cost, which would grow without limit in a loop of calls.
constexpr double max_cost = 100;

} // namespace

void run_cost_meter::count_run()
{
    runs_ += 1;
    if (runs_ >= half_life_runs) {
        runs_ /= 2;
        calls_ /= 2;
    }
}

void run_cost_meter::count_call(double cost)
{
    calls_ += cost;
}

double run_cost_meter::cost() const
{
    return std::min(max_cost, 1 + calls_ / std::max(1.0, runs_));
}

} // namespace fulmarjunction
