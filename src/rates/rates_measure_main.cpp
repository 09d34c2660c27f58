// Measures the rate limiter over a simulated fleet: how many requests are
// refused although a single central bucket would have admitted them, what
// that costs in messages, and whether the limit was ever exceeded.
#include "fleet/simulated_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <vector>

namespace fj = fulmarjunction;

using fj::detail::fleet_settings;
using fj::detail::sim_second;
using fj::detail::sim_time;
using fj::detail::simulated_fleet;

namespace {

const fj::client_account account = "merged";

/// Buckets start empty: at a demand of 0.9 of the rate they fill in
/// burst / (0.1 x rate), which is 20 s for the plans measured here. Requests
/// refused before that are reported separately.
constexpr sim_time warm_up = 20 * sim_second;
constexpr sim_time default_span = 60 * sim_second;

/// High rates mean millions of requests, so a shorter span limits the time of
/// a run.
constexpr sim_time short_span = 5 * sim_second;
constexpr double short_span_min_rate = 10'000;
constexpr double default_demand = 0.9;

enum class request_distribution
{
    uniform,
    skewed,
    one_node,
    moving
};

enum class incident
{
    none,
    crashed_holder,
    plan_change
};

struct scenario
{
    std::size_t nodes = 0;
    double rate = 0;
    double burst = 0;
    request_distribution distribution = request_distribution::uniform;
    incident event = incident::none;
    std::uint64_t seed = 1;
    /// Demand as a fraction of the rate.
    double demand = default_demand;
};

std::string name_of(request_distribution distribution)
{
    switch (distribution) {
    case request_distribution::uniform:
        return "uniform";
    case request_distribution::skewed:
        return "skewed";
    case request_distribution::one_node:
        return "one node";
    case request_distribution::moving:
        return "moving";
    }
    return "?";
}

std::string name_of(incident event)
{
    switch (event) {
    case incident::none:
        return "none";
    case incident::crashed_holder:
        return "crashed holder";
    case incident::plan_change:
        return "plan change";
    }
    return "?";
}

/// A single token bucket for comparison. It starts full.
class reference_bucket
{
public:
    reference_bucket(double rate, double burst)
        : rate_(rate), burst_(burst), level_(burst)
    {
    }

    void set_plan(double rate, double burst)
    {
        rate_ = rate;
        burst_ = burst;
        level_ = std::min(level_, burst_);
    }

    bool take(sim_time at)
    {
        level_ += rate_ * static_cast<double>(at - at_) / sim_second;
        level_ = std::min(level_, burst_);
        at_ = at;
        if (level_ < 1)
            return false;
        level_ -= 1;
        return true;
    }

private:
    double rate_;
    double burst_;
    double level_;
    sim_time at_ = 0;
};

/// Chooses the node at which a request arrives.
class node_selector
{
public:
    node_selector(request_distribution distribution, std::size_t nodes)
        : distribution_(distribution), nodes_(nodes)
    {
        // Weight 1/k for the k-th node (Zipf), as cumulative sums.
        double sum = 0;
        for (std::size_t i = 0; i != nodes; ++i) {
            sum += 1.0 / static_cast<double>(i + 1);
            weights_.push_back(sum);
        }
    }

    std::size_t choose(sim_time at, std::mt19937_64& random) const
    {
        std::uniform_real_distribution<double> unit(0, 1);
        const auto any = static_cast<std::size_t>(
            unit(random) * static_cast<double>(nodes_));
        switch (distribution_) {
        case request_distribution::uniform:
            return any;
        case request_distribution::skewed: {
            const auto point = unit(random) * weights_.back();
            const auto found =
                std::upper_bound(weights_.begin(), weights_.end(), point);
            return static_cast<std::size_t>(found - weights_.begin()) % nodes_;
        }
        case request_distribution::one_node:
            return 0;
        case request_distribution::moving: {
            // One node in twenty; the group changes every 5 s.
            const auto group = std::max<std::size_t>(1, nodes_ / 20);
            const auto period = static_cast<std::size_t>(at / (5 * sim_second));
            return (period * group * 7 + any % group) % nodes_;
        }
        }
        return 0;
    }

private:
    request_distribution distribution_;
    std::size_t nodes_;
    std::vector<double> weights_;
};

struct measurement_result
{
    std::size_t requests = 0;
    std::size_t within_limit = 0;
    std::size_t refused_within_limit = 0;
    std::size_t admitted = 0;
    std::size_t waited = 0;
    std::size_t static_refused = 0;
    double messages_per_admitted = 0;
    double busiest_per_second = 0;
    double bytes_per_admitted = 0;
    std::uint64_t writes = 0;
    double max_wait_ms = 0;
    std::size_t refused_at_start = 0;
    std::size_t violations = 0;
};

class measurement
{
public:
    explicit measurement(const scenario& tested)
        : scenario_(tested), random_(tested.seed * 7919),
          selector_(tested.distribution, tested.nodes),
          fleet_(settings_of(tested)),
          central_bucket_(tested.rate, tested.burst),
          static_buckets_(
              tested.nodes,
              reference_bucket(
                  tested.rate / static_cast<double>(tested.nodes),
                  tested.burst / static_cast<double>(tested.nodes))),
          rate_(tested.rate),
          measured_span_(
              tested.rate > short_span_min_rate ? short_span : default_span)
    {
        fleet_.settle_time = 5 * sim_second;
        fleet_.count_bytes = tested.rate < 1000;
        fleet_.set_plan(account, tested.rate, tested.burst);
    }

    measurement_result run()
    {
        schedule_incident();
        arrive(1);
        fleet_.schedule(warm_up, [this] {
            messages_before_ = fleet_.messages();
            bytes_before_ = fleet_.message_bytes();
        });
        fleet_.run_until(warm_up + measured_span_ + sim_second);
        return collect();
    }

private:
    static fleet_settings settings_of(const scenario& tested)
    {
        fleet_settings settings;
        settings.nodes = tested.nodes;
        settings.zones = tested.nodes > 1000 ? 7 : 3;
        settings.seed = tested.seed;
        return settings;
    }

    void schedule_incident()
    {
        const auto begin = warm_up + measured_span_ / 4;
        if (scenario_.event == incident::crashed_holder) {
            fleet_.schedule(
                begin, [this] { fleet_.crash(fleet_.find_holder(account)); });
        }
        if (scenario_.event == incident::plan_change) {
            fleet_.schedule(begin, [this] { set_plan_fraction(0.5); });
            fleet_.schedule(
                begin + measured_span_ / 3, [this] { set_plan_fraction(1.0); });
        }
    }

    void set_plan_fraction(double fraction)
    {
        rate_ = scenario_.rate * fraction;
        fleet_.set_plan(account, rate_, scenario_.burst * fraction);
        central_bucket_.set_plan(rate_, scenario_.burst * fraction);
        const auto count = static_cast<double>(scenario_.nodes);
        for (auto& bucket : static_buckets_)
            bucket.set_plan(rate_ / count, scenario_.burst * fraction / count);
    }

    void arrive(sim_time when)
    {
        if (when > warm_up + measured_span_)
            return;
        fleet_.schedule(when, [this] {
            const auto now = fleet_.now();
            const auto node = selector_.choose(now, random_);
            within_limit_.push_back(central_bucket_.take(now));
            static_admitted_.push_back(static_buckets_[node].take(now));
            fleet_.request(node, account);
            std::exponential_distribution<double> gap(scenario_.demand * rate_);
            const auto next = gap(random_) * static_cast<double>(sim_second);
            arrive(now + std::max<sim_time>(1, std::llround(next)));
        });
    }

    measurement_result collect()
    {
        measurement_result result;
        const auto& requests = fleet_.requests();
        for (std::size_t i = 0; i != requests.size(); ++i) {
            if (requests[i].arrived < warm_up) {
                result.refused_at_start +=
                    within_limit_[i] && !requests[i].admitted;
                continue;
            }
            ++result.requests;
            result.admitted += requests[i].admitted;
            result.waited += requests[i].waited;
            result.within_limit += within_limit_[i];
            result.refused_within_limit +=
                within_limit_[i] && !requests[i].admitted;
            result.static_refused += within_limit_[i] && !static_admitted_[i];
            const auto wait = requests[i].ended - requests[i].arrived;
            result.max_wait_ms =
                std::max(result.max_wait_ms, static_cast<double>(wait) / 1000);
        }
        const auto messages =
            static_cast<double>(fleet_.messages() - messages_before_);
        const auto bytes =
            static_cast<double>(fleet_.message_bytes() - bytes_before_);
        const auto admitted =
            static_cast<double>(std::max<std::size_t>(1, result.admitted));
        result.messages_per_admitted = messages / admitted;
        result.bytes_per_admitted = bytes / admitted;
        result.writes = fleet_.table_writes();
        // Instance rows are written once for each node at the start.
        result.writes -= scenario_.nodes;
        const double tolerance = 1e-3 + 2e-6 * scenario_.rate;
        result.violations = check_rates(fleet_.recorded(), tolerance).size();
        return result;
    }

    scenario scenario_;
    std::mt19937_64 random_;
    node_selector selector_;
    simulated_fleet fleet_;
    reference_bucket central_bucket_;
    std::vector<reference_bucket> static_buckets_;
    double rate_;
    sim_time measured_span_;
    std::vector<bool> within_limit_;
    std::vector<bool> static_admitted_;
    std::uint64_t messages_before_ = 0;
    std::uint64_t bytes_before_ = 0;
};

double ratio(std::size_t count, std::size_t whole)
{
    return whole == 0 ? 0
                      : static_cast<double>(count) / static_cast<double>(whole);
}

void report(
    const scenario& tested, const measurement_result& result, double elapsed)
{
    fmt::print(
        "| {} | {:g} | {:g} | {} | {} | {:g} | {} | {} | {:.5f} | {:.3f} | "
        "{:.3f} | {:.2f} | {:.0f} | {:.0f} | {} | {} | {:.3f} | {} |\n",
        tested.nodes, tested.rate, tested.burst, name_of(tested.distribution),
        name_of(tested.event), tested.demand, tested.seed, result.requests,
        ratio(result.refused_within_limit, result.within_limit),
        ratio(result.static_refused, result.within_limit),
        ratio(result.waited, result.requests), result.messages_per_admitted,
        result.bytes_per_admitted, result.max_wait_ms, result.writes,
        result.refused_at_start, ratio(result.admitted, result.within_limit),
        result.violations);
    fmt::print(stderr, "took {:.1f} s\n", elapsed);
    std::fflush(stdout);
}

void measure(const scenario& tested)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto result = measurement(tested).run();
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - begin;
    report(tested, result, elapsed.count());
}

void print_header()
{
    fmt::print(
        "| nodes | rate | burst | demand at | incident | demand / rate | "
        "seed | requests | refused inside | static split | waited | "
        "messages / admitted | bytes / admitted | worst wait ms | "
        "table writes | refused at start | admitted / inside | "
        "over the plan |\n"
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|-"
        "--|\n");
}

} // namespace

int main(int argc, char** argv)
{
    const std::string selected = argc > 1 ? argv[1] : "all";
    const std::uint64_t seeds = argc > 2 ? std::stoull(argv[2]) : 3;
    std::vector<scenario> sizes{
        {60, 100, 200},
        {180, 100, 200},
        {2600, 200, 400},
        {2600, 50000, 20000}};
    print_header();
    for (const auto& size : sizes) {
        if (selected != "all" && selected != std::to_string(size.nodes) + "-" +
                                                 fmt::format("{:g}", size.rate))
            continue;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            auto tested = size;
            tested.seed = seed;
            for (const auto distribution :
                 {request_distribution::uniform, request_distribution::skewed,
                  request_distribution::one_node,
                  request_distribution::moving}) {
                tested.distribution = distribution;
                measure(tested);
            }
            tested.distribution = request_distribution::uniform;
            tested.event = incident::crashed_holder;
            measure(tested);
            tested.event = incident::plan_change;
            measure(tested);
            tested.event = incident::none;
            tested.demand = 3;
            measure(tested);
        }
    }
    return 0;
}
