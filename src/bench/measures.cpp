#include "measures.hpp"

#include <algorithm>
#include <array>

namespace fulmarjunction::bench {

namespace {

constexpr double bucket = 0.25;

double second_of(const client_request& request)
{
    return to_seconds(request.arrival.time_since_epoch());
}

bool is_measured(const scenario& plan, const client_request& request)
{
    const auto arrival = request.arrival.time_since_epoch();
    return arrival >= plan.measured_from && arrival < plan.measured_to;
}

bool is_deep(const client_request& request)
{
    return endpoints()[request.endpoint].depth == services().size();
}

// Returns the requests that the last service can answer in the measured time.
double deep_capacity(const scenario& plan)
{
    double all = 0;
    const double step = 0.01;
    const double to = to_seconds(plan.measured_to);
    for (double at = to_seconds(plan.measured_from); at < to; at += step) {
        double part = 1;
        if (plan.restart_at != duration::zero()) {
            // Instances 6 and 8 of nine restart: two of the last three.
            const double age = at - to_seconds(plan.restart_at);
            const double back = to_seconds(restart_down);
            const double cold = to_seconds(cold_time);
            const double left = std::clamp(1 - (age - back) / cold, 0.0, 1.0);
            const double speed =
                age < back ? 0 : 1 / (1 + (cold_slowness - 1) * left);
            part = (1 + 2 * speed) / 3;
        }
        all += step * part * chain_capacity() / plan.slowness(at);
    }
    return all;
}

struct share
{
    double weight = 1;
    double demand = 0;
    double granted = 0;
};

// Shares out capacity by weighted max-min and returns what is left.
double share_out(std::vector<share>& shares, double capacity)
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

// Returns what the worst-served account gets of min(demand, fair share). The
// share is taken in each class, the highest class first.
double worst_account(const scenario& plan, const run_record& run)
{
    constexpr std::size_t classes = 4;
    std::array<std::vector<share>, classes> by_class;
    std::vector<double> answered(accounts().size());
    std::vector<double> due(accounts().size());
    for (auto& list : by_class) {
        for (const auto& account : accounts())
            list.push_back({account.weight, 0, 0});
    }
    for (const auto& request : run.requests) {
        if (!is_measured(plan, request) || !is_deep(request))
            continue;
        const auto rank =
            static_cast<std::size_t>(endpoints()[request.endpoint].rank);
        by_class[rank][request.account].demand += 1;
        answered[request.account] += request.succeeded ? 1 : 0;
    }
    double left = deep_capacity(plan);
    for (std::size_t rank = classes; rank-- != 0;) {
        left = share_out(by_class[rank], left);
        for (std::size_t a = 0; a != accounts().size(); ++a)
            due[a] += by_class[rank][a].granted;
    }
    double worst = 1;
    for (std::size_t a = 0; a != accounts().size(); ++a) {
        if (due[a] > 0)
            worst = std::min(worst, answered[a] / due[a]);
    }
    return worst;
}

double goodput_ratio(const scenario& plan, const run_record& run)
{
    double deep = 0;
    double shallow = 0;
    double answered = 0;
    for (const auto& request : run.requests) {
        if (!is_measured(plan, request))
            continue;
        (is_deep(request) ? deep : shallow) += 1;
        answered += request.succeeded ? 1 : 0;
    }
    return answered / (std::min(deep, deep_capacity(plan)) + shallow);
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
double recovery(const scenario& plan, const run_record& run)
{
    const double end = to_seconds(plan.trigger_end);
    const auto count =
        static_cast<std::size_t>((to_seconds(plan.length) - end) / bucket);
    std::vector<double> offered(count);
    std::vector<double> answered(count);
    for (const auto& request : run.requests) {
        const double age = second_of(request) - end;
        const auto index = static_cast<std::size_t>(age / bucket);
        if (age < 0 || index >= count)
            continue;
        offered[index] += 1;
        answered[index] += request.succeeded ? 1 : 0;
    }
    for (std::size_t i = count; i-- != 0;) {
        if (answered[i] < 0.95 * offered[i])
            return bucket * static_cast<double>(i + 1);
    }
    return 0;
}

} // namespace

std::vector<measure> measure_run(const scenario& plan, const run_record& run)
{
    std::vector<measure> list = {
        {"goodput_ratio", goodput_ratio(plan, run)},
        {"critical_ratio", critical_ratio(plan, run)},
        {"worst_account_ratio", worst_account(plan, run)},
        {"wasted_work", run.work > 0 ? run.wasted_work / run.work : 0},
    };
    const bool free_capacity =
        plan.name == "ordinary" || plan.reports != load_report::honest;
    if (free_capacity)
        list.push_back({"refused_inside_rate", failed_ratio(plan, run)});
    if (plan.trigger_end != duration::zero())
        list.push_back({"recovery_s", recovery(plan, run)});
    return list;
}

namespace {

std::uint64_t fail_call(
    std::size_t depth, std::size_t children, retry_budget& budget,
    std::uint32_t hop_budget, bool per_hop)
{
    std::uint64_t extra = 0;
    for (;;) {
        for (std::size_t left = depth == 1 ? 0 : children; left != 0; --left) {
            const auto handed =
                per_hop ? hop_budget
                        : budget.delegate(retry_share(budget.left(), left));
            retry_budget child(handed);
            extra += fail_call(depth - 1, children, child, hop_budget, per_hop);
            if (!per_hop)
                budget.reclaim(handed, child.left());
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
