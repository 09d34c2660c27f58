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

/// Buckets start empty: at 0.9 of the rate they fill in burst / (0.1 x rate),
/// 20 s for the plans measured here. What is refused before is shown apart.
constexpr sim_time warm_up = 20 * sim_second;
constexpr sim_time usual_span = 60 * sim_second;

/// Millions of requests: a shorter span, for the time that a run takes.
constexpr sim_time short_span = 5 * sim_second;
constexpr double short_above_rate = 10'000;
constexpr double load = 0.9;

enum class placing
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
    placing place = placing::uniform;
    incident event = incident::none;
    std::uint64_t seed = 1;
    /// Demand as a part of the rate.
    double demand = load;
};

std::string name_of(placing place)
{
    switch (place) {
    case placing::uniform:
        return "uniform";
    case placing::skewed:
        return "skewed";
    case placing::one_node:
        return "one node";
    case placing::moving:
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

/// A token bucket that starts full.
class plain_bucket
{
public:
    plain_bucket(double rate, double burst)
        : rate_(rate), burst_(burst), level_(burst)
    {
    }

    void change(double rate, double burst)
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
class placement
{
public:
    placement(placing place, std::size_t nodes) : place_(place), nodes_(nodes)
    {
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
        switch (place_) {
        case placing::uniform:
            return any;
        case placing::skewed: {
            const auto spot = unit(random) * weights_.back();
            const auto found =
                std::upper_bound(weights_.begin(), weights_.end(), spot);
            return static_cast<std::size_t>(found - weights_.begin()) % nodes_;
        }
        case placing::one_node:
            return 0;
        case placing::moving: {
            // One node in twenty; the group changes every 5 s.
            const auto group = std::max<std::size_t>(1, nodes_ / 20);
            const auto turn = static_cast<std::size_t>(at / (5 * sim_second));
            return (turn * group * 7 + any % group) % nodes_;
        }
        }
        return 0;
    }

private:
    placing place_;
    std::size_t nodes_;
    std::vector<double> weights_;
};

struct figures
{
    std::size_t requests = 0;
    std::size_t inside = 0;
    std::size_t refused_inside = 0;
    std::size_t admitted = 0;
    std::size_t waited = 0;
    std::size_t static_refused = 0;
    double messages_for_each = 0;
    double busiest_per_second = 0;
    double bytes_for_each = 0;
    std::uint64_t writes = 0;
    double worst_wait_ms = 0;
    std::size_t refused_at_start = 0;
    std::size_t violations = 0;
};

class measurement
{
public:
    explicit measurement(const scenario& plan)
        : plan_(plan), random_(plan.seed * 7919),
          place_(plan.place, plan.nodes), fleet_(settings_of(plan)),
          central_(plan.rate, plan.burst),
          split_(
              plan.nodes, plain_bucket(
                              plan.rate / static_cast<double>(plan.nodes),
                              plan.burst / static_cast<double>(plan.nodes))),
          rate_(plan.rate),
          measured_(plan.rate > short_above_rate ? short_span : usual_span)
    {
        fleet_.settles = 5 * sim_second;
        fleet_.count_bytes = plan.rate < 1000;
        fleet_.set_plan(account, plan.rate, plan.burst);
    }

    figures run()
    {
        schedule_incident();
        arrive(1);
        fleet_.at(warm_up, [this] {
            messages_before_ = fleet_.messages();
            bytes_before_ = fleet_.message_bytes();
        });
        fleet_.run_until(warm_up + measured_ + sim_second);
        return collect();
    }

private:
    static fleet_settings settings_of(const scenario& plan)
    {
        fleet_settings settings;
        settings.nodes = plan.nodes;
        settings.zones = plan.nodes > 1000 ? 7 : 3;
        settings.seed = plan.seed;
        return settings;
    }

    void schedule_incident()
    {
        const auto begin = warm_up + measured_ / 4;
        if (plan_.event == incident::crashed_holder) {
            fleet_.at(
                begin, [this] { fleet_.crash(fleet_.find_holder(account)); });
        }
        if (plan_.event == incident::plan_change) {
            fleet_.at(begin, [this] { change(0.5); });
            fleet_.at(begin + measured_ / 3, [this] { change(1.0); });
        }
    }

    void change(double part)
    {
        rate_ = plan_.rate * part;
        fleet_.set_plan(account, rate_, plan_.burst * part);
        central_.change(rate_, plan_.burst * part);
        const auto count = static_cast<double>(plan_.nodes);
        for (auto& bucket : split_)
            bucket.change(rate_ / count, plan_.burst * part / count);
    }

    void arrive(sim_time when)
    {
        if (when > warm_up + measured_)
            return;
        fleet_.at(when, [this] {
            const auto now = fleet_.now();
            const auto node = place_.choose(now, random_);
            inside_.push_back(central_.take(now));
            split_admitted_.push_back(split_[node].take(now));
            fleet_.request(node, account);
            std::exponential_distribution<double> gap(plan_.demand * rate_);
            const auto next = gap(random_) * static_cast<double>(sim_second);
            arrive(now + std::max<sim_time>(1, std::llround(next)));
        });
    }

    figures collect()
    {
        figures found;
        const auto& requests = fleet_.requests();
        for (std::size_t i = 0; i != requests.size(); ++i) {
            if (requests[i].at < warm_up) {
                found.refused_at_start += inside_[i] && !requests[i].admitted;
                continue;
            }
            ++found.requests;
            found.admitted += requests[i].admitted;
            found.waited += requests[i].waited;
            found.inside += inside_[i];
            found.refused_inside += inside_[i] && !requests[i].admitted;
            found.static_refused += inside_[i] && !split_admitted_[i];
            const auto wait = requests[i].ended - requests[i].at;
            found.worst_wait_ms =
                std::max(found.worst_wait_ms, static_cast<double>(wait) / 1000);
        }
        const auto messages =
            static_cast<double>(fleet_.messages() - messages_before_);
        const auto bytes =
            static_cast<double>(fleet_.message_bytes() - bytes_before_);
        const auto admitted =
            static_cast<double>(std::max<std::size_t>(1, found.admitted));
        found.messages_for_each = messages / admitted;
        found.bytes_for_each = bytes / admitted;
        found.writes = fleet_.table_writes();
        // Instance rows are written once for each node at the start.
        found.writes -= plan_.nodes;
        const double tolerance = 1e-3 + 2e-6 * plan_.rate;
        found.violations = check_rates(fleet_.recorded(), tolerance).size();
        return found;
    }

    scenario plan_;
    std::mt19937_64 random_;
    placement place_;
    simulated_fleet fleet_;
    plain_bucket central_;
    std::vector<plain_bucket> split_;
    double rate_;
    sim_time measured_;
    std::vector<bool> inside_;
    std::vector<bool> split_admitted_;
    std::uint64_t messages_before_ = 0;
    std::uint64_t bytes_before_ = 0;
};

double part(std::size_t count, std::size_t whole)
{
    return whole == 0 ? 0
                      : static_cast<double>(count) / static_cast<double>(whole);
}

void report(const scenario& plan, const figures& found, double took)
{
    fmt::print(
        "| {} | {:g} | {:g} | {} | {} | {:g} | {} | {} | {:.5f} | {:.3f} | "
        "{:.3f} | {:.2f} | {:.0f} | {:.0f} | {} | {} | {:.3f} | {} |\n",
        plan.nodes, plan.rate, plan.burst, name_of(plan.place),
        name_of(plan.event), plan.demand, plan.seed, found.requests,
        part(found.refused_inside, found.inside),
        part(found.static_refused, found.inside),
        part(found.waited, found.requests), found.messages_for_each,
        found.bytes_for_each, found.worst_wait_ms, found.writes,
        found.refused_at_start, part(found.admitted, found.inside),
        found.violations);
    fmt::print(stderr, "took {:.1f} s\n", took);
    std::fflush(stdout);
}

void measure(const scenario& plan)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto found = measurement(plan).run();
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - begin;
    report(plan, found, took.count());
}

void print_head()
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
    const std::string only = argc > 1 ? argv[1] : "all";
    const std::uint64_t seeds = argc > 2 ? std::stoull(argv[2]) : 3;
    std::vector<scenario> sizes{
        {60, 100, 200},
        {180, 100, 200},
        {2600, 200, 400},
        {2600, 50000, 20000}};
    print_head();
    for (const auto& size : sizes) {
        if (only != "all" && only != std::to_string(size.nodes) + "-" +
                                         fmt::format("{:g}", size.rate))
            continue;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            auto plan = size;
            plan.seed = seed;
            for (const auto place :
                 {placing::uniform, placing::skewed, placing::one_node,
                  placing::moving}) {
                plan.place = place;
                measure(plan);
            }
            plan.place = placing::uniform;
            plan.event = incident::crashed_holder;
            measure(plan);
            plan.event = incident::plan_change;
            measure(plan);
            plan.event = incident::none;
            plan.demand = 3;
            measure(plan);
        }
    }
    return 0;
}
