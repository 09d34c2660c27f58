#include "measures.hpp"
#include "world.hpp"

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

void run_all(std::uint64_t seed, std::string_view only)
{
    constexpr bench::policy policies[] = {
        bench::policy::fulmar, bench::policy::no_control,
        bench::policy::static_fifo, bench::policy::per_hop_retries};
    for (const auto& plan : bench::scenarios()) {
        if (!only.empty() && plan.name.find(only) == std::string::npos)
            continue;
        for (const auto how : policies) {
            const auto record = bench::run(plan, how, seed);
            for (const auto& item : bench::measure_run(plan, record))
                print(plan.name, to_string(how), seed, item.name, item.value);
        }
        auto alone = plan;
        alone.only_critical = true;
        const auto record = bench::run(alone, bench::policy::fulmar, seed);
        for (const auto& item : bench::measure_run(alone, record)) {
            if (item.name == "critical_ratio")
                print(plan.name, "critical_alone", seed, item.name, item.value);
        }
    }
}

void run_retry_bound(std::uint64_t seed)
{
    constexpr std::size_t depth = 13;
    constexpr std::uint32_t stamp = 2;
    const auto tree =
        bench::extra_attempts_when_all_fails(depth, 1, stamp, false);
    const auto parallel =
        bench::extra_attempts_when_all_fails(depth, 2, stamp, false);
    const auto hops =
        bench::extra_attempts_when_all_fails(depth, 1, stamp, true);
    const auto show = [seed](auto policy, auto name, std::uint64_t value) {
        print(
            "depth_13_all_fail", policy, seed, name,
            static_cast<double>(value));
    };
    show("fulmar", "tries_max", tree);
    show("fulmar", "tries_max_two_children", parallel);
    show("per_hop_retries", "tries_max", hops);
}

} // namespace

// Arguments: the seed, and a part of the names of the scenarios to run.
int main(int argc, char** argv)
{
    const std::uint64_t seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::string_view only = argc > 2 ? argv[2] : "";
    fmt::print("seed={}\n", seed);
    run_all(seed, only);
    if (only.empty())
        run_retry_bound(seed);
    return 0;
}
