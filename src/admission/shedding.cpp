#include "shedding.hpp"

#include <algorithm>
#include <cmath>

namespace fulmarjunction::detail {

namespace {

/// Short enough to react within the requests of one queue, long enough to count
/// some of them.
constexpr duration control_period = milliseconds(100);
/// Weight of a new measurement in the running mean of the hold time.
constexpr double hold_time_smoothing = 0.3;
/// A measurement of n requests has the weight n / (n + this) in the running
/// mean of demand, so that few requests change it little.
constexpr double demand_smoothing_requests = 15;
/// Arrivals in excess of the mean plus three standard deviations that make a
/// surge.
constexpr double min_surge = 5;
/// Weight of a period in the mean number of arrivals.
constexpr double arrival_smoothing = 0.1;
/// Number of requests that may always wait, whatever the throughput.
constexpr double min_queue_length = 8;
constexpr double max_correction = 1.5;
constexpr double min_correction = 0.7;
/// Fraction of the unused share of the limit, and of the excess queue wait,
/// that one step corrects. Levels take two or three periods to take effect.
constexpr double raise_gain = 0.1;
constexpr double max_raise = 1.05;
constexpr double lower_gain = 0.05;
constexpr double max_reduction = 0.1;
/// Utilization of the limit that needs no correction.
constexpr double full_utilization = 0.97;
/// Below this utilization, with nothing waiting, there is no overload, whatever
/// the estimates say: after long requests the mean hold time takes a second to
/// follow short ones.
constexpr double idle_utilization = 0.5;
/// Smaller shares are left to the queue: refusing on noise would reject
/// requests needlessly.
constexpr double min_refused_share = 0.02;
/// Some roots are always admitted; otherwise demand could not be measured.
constexpr double max_refused_share = 0.98;
constexpr std::size_t max_idle_periods = 50;

/// Returns the position of a root in its class; roots with lower positions are
/// shed first.
double position_in_class(const root_id& root)
{
    return 1 - shedding_hash(root);
}

} // namespace

shedding::shedding(const admission_settings& settings, time_point start)
    : settings_(settings), period_start_(start)
{
}

bool shedding::admit(const admission_request& request)
{
    auto& flows_of_class = classes_[class_index(request.rank)];
    auto& flow = flows_of_class[{request.account, request.invested}];
    flow.weight = request.weight > 0 ? request.weight : 1e-3;
    flow.idle_periods = 0;
    const double position = position_in_class(request.root);
    const double refused_upstream = std::clamp(
        request.applied_level - static_cast<double>(request.rank), 0.0,
        max_refused_share);
    // A root below the applied level is a probe and represents no other roots.
    if (position >= refused_upstream) {
        ++flow.arrived;
        flow.represented_roots += 1 / (1 - refused_upstream);
    }
    return position >= flow.refused_share;
}

void shedding::record_wait(duration wait)
{
    wait_sum_ += to_seconds(wait);
    ++started_count_;
}

void shedding::record_hold_time(duration hold_time)
{
    hold_time_sum_ += to_seconds(hold_time);
    ++hold_time_count_;
}

void shedding::restart(time_point now)
{
    period_start_ = now;
    mean_hold_time_ = 0;
    hold_time_sum_ = 0;
    hold_time_count_ = 0;
    capacity_ = 0;
    correction_ = 1;
}

void shedding::tick(const load_sample& load, time_point now)
{
    utilization_sum_ += std::min(
        1.0,
        static_cast<double>(load.in_flight) / static_cast<double>(load.limit));
    ++utilization_count_;
    if (now - period_start_ < control_period)
        return;
    measure_demand(to_seconds(now - period_start_));
    measure_capacity(load.limit);
    update_correction(load);
    set_levels();
    period_start_ = now;
}

void shedding::measure_demand(double period)
{
    for (auto& flows_of_class : classes_) {
        for (auto& [name, flow] : flows_of_class) {
            const auto arrived = static_cast<double>(flow.arrived);
            // The weight of a measurement must not depend on the measurement
            // itself, or the mean would be too high. Only a clear surge is
            // weighted by its own size, so that it takes effect at once.
            const double mean = flow.mean_arrived;
            const bool surge = arrived > mean + 3 * std::sqrt(mean) + min_surge;
            const double weight = surge ? arrived : mean;
            flow.rate += weight / (weight + demand_smoothing_requests) *
                         (flow.represented_roots / period - flow.rate);
            flow.mean_arrived +=
                arrival_smoothing * (arrived - flow.mean_arrived);
            flow.arrived = 0;
            flow.represented_roots = 0;
            ++flow.idle_periods;
        }
        std::erase_if(flows_of_class, [](const auto& item) {
            return item.second.idle_periods > max_idle_periods;
        });
    }
}

void shedding::measure_capacity(std::size_t limit)
{
    if (hold_time_count_ != 0) {
        const double hold_time =
            hold_time_sum_ / static_cast<double>(hold_time_count_);
        mean_hold_time_ =
            mean_hold_time_ == 0
                ? hold_time
                : mean_hold_time_ +
                      hold_time_smoothing * (hold_time - mean_hold_time_);
    }
    hold_time_sum_ = 0;
    hold_time_count_ = 0;
    capacity_ =
        mean_hold_time_ == 0 ? 0 : static_cast<double>(limit) / mean_hold_time_;
}

void shedding::update_correction(const load_sample& load)
{
    const double utilization =
        utilization_sum_ / static_cast<double>(utilization_count_);
    const double wait = started_count_ == 0
                            ? 0
                            : wait_sum_ / static_cast<double>(started_count_);
    idle_ = utilization < idle_utilization && load.waiting == 0;
    const bool stalled = started_count_ == 0 && load.waiting != 0;
    const double target = to_seconds(settings_.target_wait);
    if (stalled || wait > target) {
        const double excess = stalled ? 1 : wait / target - 1;
        correction_ *= 1 - std::min(max_reduction, lower_gain * excess);
    } else if (!refusing_) {
        correction_ += 0.1 * (1 - correction_);
    } else if (wait < target / 2 && utilization < full_utilization) {
        const double unused = 1 / std::max(utilization, 0.1) - 1;
        correction_ *= std::min(max_raise, 1 + raise_gain * unused);
    }
    correction_ = std::clamp(correction_, min_correction, max_correction);
    utilization_sum_ = 0;
    utilization_count_ = 0;
    wait_sum_ = 0;
    started_count_ = 0;
}

// Returns a rate that the flow is unlikely to fall below. The measured rate of
// a flow with few requests is uncertain, and the flow must not be refused
// because of noise.
double shedding::demand::conservative_rate() const
{
    // The running mean covers the arrivals of about one second.
    const double recent_arrivals = 10 * mean_arrived;
    return rate * (1 - 1 / (1 + std::sqrt(recent_arrivals)));
}

void shedding::set_levels()
{
    double remaining = capacity_ * correction_;
    const bool capacity_known = capacity_ > 0 && !idle_;
    refusing_ = false;
    for (std::size_t rank = importance_classes; rank-- != 0;) {
        std::map<client_account, account_demand> by_account;
        for (auto& [name, flow] : classes_[rank]) {
            auto& account = by_account[name.account];
            account.weight = flow.weight;
            account.rate += flow.conservative_rate();
            (name.invested ? account.invested : account.new_roots) = &flow;
        }
        std::vector<account_demand> accounts;
        accounts.reserve(by_account.size());
        for (auto& [name, account] : by_account)
            accounts.push_back(account);
        const double allocated =
            capacity_known ? allocate_max_min(accounts, remaining) : 0;
        remaining = std::max(0.0, remaining - allocated);
        for (auto& account : accounts) {
            double granted = capacity_known ? account.granted : account.rate;
            for (auto* flow : {account.invested, account.new_roots}) {
                if (flow == nullptr)
                    continue;
                const double rate = flow->conservative_rate();
                const double share = rate <= granted ? 0 : 1 - granted / rate;
                granted = std::max(0.0, granted - rate);
                flow->refused_share = share < min_refused_share
                                          ? 0
                                          : std::min(share, max_refused_share);
                refusing_ = refusing_ || flow->refused_share > 0;
            }
        }
    }
}

double shedding::allocate_max_min(
    std::vector<account_demand>& accounts, double capacity)
{
    // Weighted max-min fairness: accounts in order of demand relative to
    // weight, each with its weighted share of the remaining capacity.
    std::sort(
        accounts.begin(), accounts.end(),
        [](const account_demand& a, const account_demand& b) {
            return a.rate / a.weight < b.rate / b.weight;
        });
    double weights = 0;
    for (const auto& account : accounts)
        weights += account.weight;
    double remaining = capacity;
    for (auto& account : accounts) {
        const double share = remaining * account.weight / weights;
        account.granted = std::min(account.rate, share);
        remaining = std::max(0.0, remaining - account.granted);
        weights -= account.weight;
    }
    return capacity - remaining;
}

std::size_t shedding::max_queue_length(std::size_t limit) const
{
    if (mean_hold_time_ == 0)
        return settings_.max_queue;
    // A longer queue only occupies slots of the callers, who wait for the
    // answers; half a service time is allowed for slow services.
    const double waits_per_slot =
        std::max(2 * to_seconds(settings_.target_wait) / mean_hold_time_, 0.5);
    const double max_length =
        std::max(min_queue_length, static_cast<double>(limit) * waits_per_slot);
    return std::min(settings_.max_queue, static_cast<std::size_t>(max_length));
}

admission_level
shedding::level_in_class(std::size_t rank, const demand& measured)
{
    return static_cast<double>(rank) + measured.refused_share;
}

admission_level shedding::level(const admission_flow& flow) const
{
    // The highest class in which this flow is refused in part decides; lower
    // classes of the flow get no capacity then.
    for (std::size_t rank = importance_classes; rank-- != 0;) {
        const auto found = classes_[rank].find(flow);
        if (found != classes_[rank].end() && found->second.refused_share > 0)
            return level_in_class(rank, found->second);
    }
    return 0;
}

admission_level shedding::level() const
{
    for (std::size_t rank = importance_classes; rank-- != 0;) {
        if (classes_[rank].empty())
            continue;
        const auto lowest = std::min_element(
            classes_[rank].begin(), classes_[rank].end(),
            [](const auto& a, const auto& b) {
                return a.second.refused_share < b.second.refused_share;
            });
        if (lowest->second.refused_share > 0)
            return level_in_class(rank, lowest->second);
    }
    return 0;
}

} // namespace fulmarjunction::detail
