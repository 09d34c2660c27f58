#include "measures.hpp"

#include <algorithm>
#include <array>

namespace fulmarjunction::bench {

namespace {

constexpr double recovery_bucket_s = 0.25;

double arrival_second(const client_request& request)
{
    return to_seconds(request.arrival.time_since_epoch());
}

bool is_measured(const scenario& plan, const client_request& request)
{
    const auto arrival = request.arrival.time_since_epoch();
    return arrival >= plan.measured_from && arrival < plan.measured_to;
}

bool reaches_last_service(const client_request& request)
{
    return endpoints()[request.endpoint].depth == services().size();
}

// Returns how many requests the last service can answer in the measured time.
double last_service_capacity(const scenario& plan)
{
    double total = 0;
    const double step = 0.01;
    const double end_s = to_seconds(plan.measured_to);
    for (double time_s = to_seconds(plan.measured_from); time_s < end_s;
         time_s += step) {
        double fraction = 1;
        if (plan.restart_at != duration::zero()) {
            // Every second instance restarts. The last service has instances 6
            // to 8, so two of its three restart.
            const double age = time_s - to_seconds(plan.restart_at);
            const double downtime = to_seconds(restart_downtime);
            const double warmup = to_seconds(warmup_time);
            const double left =
                std::clamp(1 - (age - downtime) / warmup, 0.0, 1.0);
            const double speed =
                age < downtime ? 0 : 1 / (1 + (cold_slowdown - 1) * left);
            fraction = (1 + 2 * speed) / 3;
        }
        total += step * fraction * chain_capacity() / plan.slowdown(time_s);
    }
    return total;
}

struct share
{
    double weight = 1;
    double demand = 0;
    double granted = 0;
};

// Allocates capacity by weighted max-min fairness and returns the remainder.
double allocate_max_min(std::vector<share>& shares, double capacity)
{
    std::vector<share*> order;
    double weights = 0;
    for (auto& item : shares) {
        order.push_back(&item);
        weights += item.weight;
    }
    std::sort(order.begin(), order.end(), [](const share* a, const share* b) {
        return a->demand / a->weight < b->demand / b->weight;
    });
    for (auto* item : order) {
        item->granted =
            std::min(item->demand, capacity * item->weight / weights);
        capacity -= item->granted;
        weights -= item->weight;
    }
    return capacity;
}

// Returns the lowest ratio of answered requests to min(demand, fair share) over
// all accounts. Capacity is allocated class by class, the highest class first.
double worst_account_ratio(const scenario& plan, const run_record& run)
{
    constexpr std::size_t priority_classes = 4;
    std::array<std::vector<share>, priority_classes> by_class;
    std::vector<double> answered(accounts().size());
    std::vector<double> fair_share(accounts().size());
    for (auto& shares : by_class) {
        for (const auto& account : accounts())
            shares.push_back({account.weight, 0, 0});
    }
    for (const auto& request : run.requests) {
        if (!is_measured(plan, request) || !reaches_last_service(request))
            continue;
        const auto rank =
            static_cast<std::size_t>(endpoints()[request.endpoint].rank);
        by_class[rank][request.account].demand += 1;
        answered[request.account] += request.succeeded ? 1 : 0;
    }
    double left = last_service_capacity(plan);
    for (std::size_t rank = priority_classes; rank-- != 0;) {
        left = allocate_max_min(by_class[rank], left);
        for (std::size_t a = 0; a != accounts().size(); ++a)
            fair_share[a] += by_class[rank][a].granted;
    }
    double worst = 1;
    for (std::size_t a = 0; a != accounts().size(); ++a) {
        if (fair_share[a] > 0)
            worst = std::min(worst, answered[a] / fair_share[a]);
    }
    return worst;
}

double goodput_ratio(const scenario& plan, const run_record& run)
{
    double full_chain = 0;
    double partial_chain = 0;
    double answered = 0;
    for (const auto& request : run.requests) {
        if (!is_measured(plan, request))
            continue;
        (reaches_last_service(request) ? full_chain : partial_chain) += 1;
        answered += request.succeeded ? 1 : 0;
    }
    return answered /
           (std::min(full_chain, last_service_capacity(plan)) + partial_chain);
}

double critical_ratio(const scenario& plan, const run_record& run)
{
    double offered = 0;
    double answered = 0;
    for (const auto& request : run.requests) {
        if (!is_measured(plan, request) ||
            endpoints()[request.endpoint].rank != importance::critical)
            continue;
        offered += 1;
        answered += request.succeeded ? 1 : 0;
    }
    return offered == 0 ? 1 : answered / offered;
}

double failed_ratio(const scenario& plan, const run_record& run)
{
    double offered = 0;
    double failed = 0;
    for (const auto& request : run.requests) {
        if (!is_measured(plan, request))
            continue;
        offered += 1;
        failed += request.succeeded ? 0 : 1;
    }
    return offered == 0 ? 0 : failed / offered;
}

// Returns the time from the end of the trigger to the end of the last bucket
// in which less than 95% of the offered requests were answered.
double recovery_time(const scenario& plan, const run_record& run)
{
    const double end = to_seconds(plan.trigger_end);
    const auto count = static_cast<std::size_t>(
        (to_seconds(plan.length) - end) / recovery_bucket_s);
    std::vector<double> offered(count);
    std::vector<double> answered(count);
    for (const auto& request : run.requests) {
        const double age = arrival_second(request) - end;
        const auto index = static_cast<std::size_t>(age / recovery_bucket_s);
        if (age < 0 || index >= count)
            continue;
        offered[index] += 1;
        answered[index] += request.succeeded ? 1 : 0;
    }
    for (std::size_t i = count; i-- != 0;) {
        if (answered[i] < 0.95 * offered[i])
            return recovery_bucket_s * static_cast<double>(i + 1);
    }
    return 0;
}

} // namespace

std::vector<measure> measure_run(const scenario& plan, const run_record& run)
{
    std::vector<measure> measures = {
        {"goodput_ratio", goodput_ratio(plan, run)},
        {"critical_ratio", critical_ratio(plan, run)},
        {"worst_account_ratio", worst_account_ratio(plan, run)},
        {"wasted_work", run.work > 0 ? run.wasted_work / run.work : 0},
    };
    const bool has_free_capacity =
        plan.name == "ordinary" || plan.reports != load_report::accurate;
    if (has_free_capacity)
        measures.push_back({"refused_inside_rate", failed_ratio(plan, run)});
    if (plan.trigger_end != duration::zero())
        measures.push_back({"recovery_s", recovery_time(plan, run)});
    return measures;
}

namespace {

std::uint64_t fail_call(
    std::size_t depth, std::size_t children, retry_budget& budget,
    std::uint32_t hop_budget, bool per_hop)
{
    std::uint64_t extra = 0;
    for (;;) {
        for (std::size_t left = depth == 1 ? 0 : children; left != 0; --left) {
            const auto delegated =
                per_hop ? hop_budget
                        : budget.delegate(retry_share(budget.left(), left));
            retry_budget child(delegated);
            extra += fail_call(depth - 1, children, child, hop_budget, per_hop);
            if (!per_hop)
                budget.reclaim(delegated, child.left());
        }
        if (!budget.spend())
            return extra;
        ++extra;
    }
}

} // namespace

std::uint64_t extra_attempts_when_all_fails(
    std::size_t depth, std::size_t children, std::uint32_t budget, bool per_hop)
{
    retry_budget root(budget);
    return fail_call(depth, children, root, budget, per_hop);
}

} // namespace fulmarjunction::bench
