#include "measures.hpp"
#include "simulation.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <string_view>

namespace fj = fulmarjunction;
namespace bench = fulmarjunction::bench;

namespace {

void print(
    std::string_view scenario, std::string_view policy, std::uint64_t seed,
    std::string_view name, double value)
{
    fmt::print(
        "scenario={} policy={} seed={} {}={:.4f}\n", scenario, policy, seed,
        name, value);
}

void run_all(std::uint64_t seed, std::string_view name_filter)
{
    constexpr bench::policy policies[] = {
        bench::policy::fulmar, bench::policy::no_control,
        bench::policy::static_fifo, bench::policy::per_hop_retries};
    for (const auto& plan : bench::scenarios()) {
        if (!name_filter.empty() &&
            plan.name.find(name_filter) == std::string::npos)
            continue;
        for (const auto applied_policy : policies) {
            const auto record = bench::run(plan, applied_policy, seed);
            for (const auto& item : bench::measure_run(plan, record))
                print(
                    plan.name, to_string(applied_policy), seed, item.name,
                    item.value);
        }
        auto critical_only = plan;
        critical_only.only_critical = true;
        const auto record =
            bench::run(critical_only, bench::policy::fulmar, seed);
        for (const auto& item : bench::measure_run(critical_only, record)) {
            if (item.name == "critical_ratio")
                print(plan.name, "critical_alone", seed, item.name, item.value);
        }
    }
}

void run_retry_bound(std::uint64_t seed)
{
    constexpr std::size_t depth = 13;
    constexpr std::uint32_t budget = 2;
    const auto one_child =
        bench::extra_attempts_when_all_fails(depth, 1, budget, false);
    const auto two_children =
        bench::extra_attempts_when_all_fails(depth, 2, budget, false);
    const auto per_hop =
        bench::extra_attempts_when_all_fails(depth, 1, budget, true);
    const auto print_attempts =
        [seed](auto policy, auto name, std::uint64_t value) {
            print(
                "depth_13_all_fail", policy, seed, name,
                static_cast<double>(value));
        };
    print_attempts("fulmar", "tries_max", one_child);
    print_attempts("fulmar", "tries_max_two_children", two_children);
    print_attempts("per_hop_retries", "tries_max", per_hop);
}

} // namespace

// Arguments: the seed, and a substring of the names of the scenarios to run.
int main(int argc, char** argv)
{
    const std::uint64_t seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::string_view name_filter = argc > 2 ? argv[2] : "";
    fmt::print("seed={}\n", seed);
    run_all(seed, name_filter);
    if (name_filter.empty())
        run_retry_bound(seed);
    return 0;
}
