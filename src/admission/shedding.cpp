#include "shedding.hpp"

#include <algorithm>

namespace fulmarjunction::detail {

namespace {

/// Short enough to act within a queue's worth of requests, long enough to
/// count some of them.
constexpr duration control_period = milliseconds(100);
/// Part of a new measurement of the time held in the running mean.
constexpr double smoothing = 0.3;
/// A measurement of n requests has the part n / (n + this) in the running
/// mean of demand, so that few requests do not move it much.
constexpr double smoothing_requests = 15;
/// Upstream nodes may hold a level for a second, and an answer takes time.
constexpr duration level_memory = milliseconds(700);
constexpr double greatest_correction = 1.2;
constexpr double least_correction = 0.5;
constexpr double raise_step = 1.02;
constexpr double lower_step = 0.95;
/// Less than this is left to the queue: a cut on noise refuses needlessly.
constexpr double least_refused_share = 0.02;
/// Some roots always pass, or demand could not be measured.
constexpr double greatest_refused_share = 0.98;
constexpr std::size_t longest_idle = 50;

/// Position of a root in its class: a root with a lower one is shed first.
double rank_in_class(const root_id& root)
{
    return 1 - shedding_hash(root);
}

} // namespace

shedding::shedding(const admission_settings& settings, time_point start)
    : settings_(settings), period_start_(start), memory_start_(start)
{
}

bool shedding::offered(const admission_request& request)
{
    auto& flows_of_class = classes_[class_index(request.rank)];
    auto& flow = flows_of_class[{request.account, request.invested}];
    flow.weight = request.weight > 0 ? request.weight : 1e-3;
    flow.idle_periods = 0;
    const double rank = rank_in_class(request.root);
    // Roots below a level of the last second may be refused upstream, so
    // demand is taken from those above it.
    if (rank >= flow.sampled_from())
        ++flow.sampled;
    return rank >= flow.refused_share;
}

void shedding::started(duration wait)
{
    wait_sum_ += to_seconds(wait);
    ++started_count_;
}

void shedding::finished(duration held)
{
    held_sum_ += to_seconds(held);
    ++held_count_;
}

void shedding::restart(time_point now)
{
    period_start_ = now;
    held_ = 0;
    held_sum_ = 0;
    held_count_ = 0;
    capacity_ = 0;
    correction_ = 1;
}

void shedding::tick(std::size_t limit, std::size_t waiting, time_point now)
{
    if (now - period_start_ < control_period)
        return;
    const bool memory_due = now - memory_start_ >= level_memory;
    if (memory_due)
        memory_start_ = now;
    measure_demand(to_seconds(now - period_start_), memory_due);
    measure_capacity(limit);
    correct(waiting);
    set_levels();
    period_start_ = now;
}

void shedding::measure_demand(double period, bool memory_due)
{
    for (auto& flows_of_class : classes_) {
        for (auto& [name, flow] : flows_of_class) {
            const double part = 1 - flow.sampled_from();
            const auto sampled = static_cast<double>(flow.sampled);
            const double weight =
                std::max(sampled, flow.rate * period * part);
            flow.rate += weight / (weight + smoothing_requests) *
                         (sampled / period / part - flow.rate);
            flow.sampled = 0;
            if (memory_due) {
                flow.earlier_highest = flow.recent_highest;
                flow.recent_highest = flow.refused_share;
            }
            ++flow.idle_periods;
        }
        std::erase_if(flows_of_class, [](const auto& item) {
            return item.second.idle_periods > longest_idle;
        });
    }
}

void shedding::measure_capacity(std::size_t limit)
{
    if (held_count_ != 0) {
        const double held = held_sum_ / static_cast<double>(held_count_);
        held_ = held_ == 0 ? held : held_ + smoothing * (held - held_);
    }
    held_sum_ = 0;
    held_count_ = 0;
    capacity_ = held_ == 0 ? 0 : static_cast<double>(limit) / held_;
}

void shedding::correct(std::size_t waiting)
{
    const double wait = started_count_ == 0
                            ? 0
                            : wait_sum_ / static_cast<double>(started_count_);
    const bool stuck = started_count_ == 0 && waiting != 0;
    const double target = to_seconds(settings_.target_wait);
    if (stuck || wait > target)
        correction_ = std::max(least_correction, correction_ * lower_step);
    else if (wait < target / 2)
        correction_ = std::min(greatest_correction, correction_ * raise_step);
    wait_sum_ = 0;
    started_count_ = 0;
}

void shedding::set_levels()
{
    double left = capacity_ * correction_;
    const bool known = capacity_ > 0;
    for (std::size_t rank = importance_classes; rank-- != 0;) {
        std::map<client_account, account_demand> by_account;
        for (auto& [name, flow] : classes_[rank]) {
            auto& account = by_account[name.account];
            account.weight = flow.weight;
            account.rate += flow.rate;
            (name.invested ? account.invested : account.fresh) = &flow;
        }
        std::vector<account_demand> accounts;
        accounts.reserve(by_account.size());
        for (auto& [name, account] : by_account)
            accounts.push_back(account);
        const double used = known ? share_out(accounts, left) : 0;
        left = std::max(0.0, left - used);
        for (auto& account : accounts) {
            double granted = known ? account.granted : account.rate;
            for (auto* flow : {account.invested, account.fresh}) {
                if (flow == nullptr)
                    continue;
                const double share =
                    flow->rate <= granted ? 0 : 1 - granted / flow->rate;
                granted = std::max(0.0, granted - flow->rate);
                flow->refused_share =
                    share < least_refused_share
                        ? 0
                        : std::min(share, greatest_refused_share);
                flow->recent_highest =
                    std::max(flow->recent_highest, flow->refused_share);
            }
        }
    }
}

double
shedding::share_out(std::vector<account_demand>& accounts, double capacity)
{
    // Weighted max-min: the account with the least demand for its weight
    // first, each time with an even share of what is left.
    std::sort(
        accounts.begin(), accounts.end(),
        [](const account_demand& a, const account_demand& b) {
            return a.rate / a.weight < b.rate / b.weight;
        });
    double weights = 0;
    for (const auto& account : accounts)
        weights += account.weight;
    double left = capacity;
    for (auto& account : accounts) {
        const double share = left * account.weight / weights;
        account.granted = std::min(account.rate, share);
        left = std::max(0.0, left - account.granted);
        weights -= account.weight;
    }
    return capacity - left;
}

admission_level shedding::level_in(std::size_t rank, const demand& measured)
{
    return static_cast<double>(rank) + measured.refused_share;
}

admission_level shedding::level(const admission_flow& flow) const
{
    // The highest class in which this flow is cut decides; lower classes of
    // the flow get nothing while a higher one is cut.
    for (std::size_t rank = importance_classes; rank-- != 0;) {
        const auto found = classes_[rank].find(flow);
        if (found != classes_[rank].end() && found->second.refused_share > 0)
            return level_in(rank, found->second);
    }
    return 0;
}

admission_level shedding::level() const
{
    for (std::size_t rank = importance_classes; rank-- != 0;) {
        if (classes_[rank].empty())
            continue;
        const auto least = std::min_element(
            classes_[rank].begin(), classes_[rank].end(),
            [](const auto& a, const auto& b) {
                return a.second.refused_share < b.second.refused_share;
            });
        if (least->second.refused_share > 0)
            return level_in(rank, least->second);
    }
    return 0;
}

} // namespace fulmarjunction::detail
