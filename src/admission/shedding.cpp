#include "shedding.hpp"

#include <algorithm>
#include <cmath>

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
/// Requests above three standard deviations that make a surge.
constexpr double least_surge = 5;
/// Part of a period in the mean number of arrivals.
constexpr double arrival_smoothing = 0.1;
/// Requests that may always wait, whatever the throughput.
constexpr double least_queue = 8;
constexpr double greatest_correction = 1.5;
constexpr double least_correction = 0.7;
/// Part of an unused share of the limit, and of an excess of the queue wait,
/// that one step makes up for. Levels take two or three periods to act.
constexpr double raise_gain = 0.1;
constexpr double greatest_raise = 1.05;
constexpr double lower_gain = 0.05;
constexpr double greatest_lowering = 0.1;
/// Use of the limit that needs no correction.
constexpr double full_use = 0.97;
/// Below this use of the limit with nothing waiting there is no overload,
/// whatever the estimates say: after long requests the mean time that a place
/// is held takes a second to follow short ones.
constexpr double idle_use = 0.5;
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
    : settings_(settings), period_start_(start)
{
}

bool shedding::offered(const admission_request& request)
{
    auto& flows_of_class = classes_[class_index(request.rank)];
    auto& flow = flows_of_class[{request.account, request.invested}];
    flow.weight = request.weight > 0 ? request.weight : 1e-3;
    flow.idle_periods = 0;
    const double position = rank_in_class(request.root);
    const double refused_upstream = std::clamp(
        request.applied_level - static_cast<double>(request.rank), 0.0,
        greatest_refused_share);
    // A root below the level that was applied is a probe, and stands for none.
    if (position >= refused_upstream) {
        ++flow.arrived;
        flow.stand_for += 1 / (1 - refused_upstream);
    }
    return position >= flow.refused_share;
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

void shedding::tick(const load_sample& load, time_point now)
{
    use_sum_ += std::min(
        1.0,
        static_cast<double>(load.in_flight) / static_cast<double>(load.limit));
    ++use_count_;
    if (now - period_start_ < control_period)
        return;
    measure_demand(to_seconds(now - period_start_));
    measure_capacity(load.limit);
    correct(load);
    set_levels();
    period_start_ = now;
}

void shedding::measure_demand(double period)
{
    for (auto& flows_of_class : classes_) {
        for (auto& [name, flow] : flows_of_class) {
            const auto arrived = static_cast<double>(flow.arrived);
            // The part of a measurement must not depend on the measurement
            // itself, or the mean would be too high; only a clear surge is
            // taken in at once.
            const double usual = flow.usually_arrived;
            const bool surge =
                arrived > usual + 3 * std::sqrt(usual) + least_surge;
            const double weight = surge ? arrived : usual;
            flow.rate += weight / (weight + smoothing_requests) *
                         (flow.stand_for / period - flow.rate);
            flow.usually_arrived +=
                arrival_smoothing * (arrived - flow.usually_arrived);
            flow.arrived = 0;
            flow.stand_for = 0;
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

void shedding::correct(const load_sample& load)
{
    const double use = use_sum_ / static_cast<double>(use_count_);
    const double wait = started_count_ == 0
                            ? 0
                            : wait_sum_ / static_cast<double>(started_count_);
    idle_ = use < idle_use && load.waiting == 0;
    const bool stuck = started_count_ == 0 && load.waiting != 0;
    const double target = to_seconds(settings_.target_wait);
    if (stuck || wait > target) {
        const double excess = stuck ? 1 : wait / target - 1;
        correction_ *= 1 - std::min(greatest_lowering, lower_gain * excess);
    } else if (!refusing_) {
        correction_ += 0.1 * (1 - correction_);
    } else if (wait < target / 2 && use < full_use) {
        const double unused = 1 / std::max(use, 0.1) - 1;
        correction_ *= std::min(greatest_raise, 1 + raise_gain * unused);
    }
    correction_ =
        std::clamp(correction_, least_correction, greatest_correction);
    use_sum_ = 0;
    use_count_ = 0;
    wait_sum_ = 0;
    started_count_ = 0;
}

// Returns a rate that the flow hardly falls below. What is known of a flow of
// which few requests are seen is uncertain, and it must not be cut on noise.
double shedding::demand::cautious_rate() const
{
    // About a second's worth of arrivals is in the running mean.
    const double seen = 10 * usually_arrived;
    return rate * (1 - 1 / (1 + std::sqrt(seen)));
}

void shedding::set_levels()
{
    double left = capacity_ * correction_;
    const bool known = capacity_ > 0 && !idle_;
    refusing_ = false;
    for (std::size_t rank = importance_classes; rank-- != 0;) {
        std::map<client_account, account_demand> by_account;
        for (auto& [name, flow] : classes_[rank]) {
            auto& account = by_account[name.account];
            account.weight = flow.weight;
            account.rate += flow.cautious_rate();
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
                const double rate = flow->cautious_rate();
                const double share = rate <= granted ? 0 : 1 - granted / rate;
                granted = std::max(0.0, granted - rate);
                flow->refused_share =
                    share < least_refused_share
                        ? 0
                        : std::min(share, greatest_refused_share);
                refusing_ = refusing_ || flow->refused_share > 0;
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

std::size_t shedding::queue_bound(std::size_t limit) const
{
    if (held_ == 0)
        return settings_.max_queue;
    // A longer queue only holds the places of the callers, who wait for the
    // answers; half a service time is let in for slow services.
    const double waits =
        std::max(2 * to_seconds(settings_.target_wait) / held_, 0.5);
    const double bound =
        std::max(least_queue, static_cast<double>(limit) * waits);
    return std::min(settings_.max_queue, static_cast<std::size_t>(bound));
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
