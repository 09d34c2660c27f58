/// @file
/// Levels below which requests are refused before they wait.
#pragma once

#include "fair_queue.hpp"

#include <fulmarjunction/admission/admission.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace fulmarjunction::detail {

/// Load of the instance at one time.
struct load_sample
{
    std::size_t limit = 0;
    std::size_t in_flight = 0;
    std::size_t waiting = 0;
};

/// Sets, for each class, client account and kind (invested or new), the share
/// of roots to refuse, from measured demand and measured capacity. Roots are
/// uniform in their hash, so the share is also the level inside the class.
class shedding
{
public:
    shedding(const admission_settings& settings, time_point start);

    /// Counts an offered request.
    /// @return whether it is above its flow's level
    bool offered(const admission_request& request);

    /// A request has started after this wait.
    void started(duration wait);

    /// A started request has held its place for this long.
    void finished(duration held);

    /// Sets the levels when the control period has passed.
    void tick(const load_sample& load, time_point now);

    void restart(time_point now);

    /// Returns how many requests may wait at this limit.
    std::size_t queue_bound(std::size_t limit) const;

    admission_level level() const;
    admission_level level(const admission_flow& flow) const;

private:
    /// Measured demand of one flow and the share of it that is refused.
    struct demand
    {
        double weight = 1;
        /// Requests of this period that arrived, and how many roots they
        /// stand for.
        std::size_t arrived = 0;
        double stand_for = 0;
        /// Requests per second, with those refused upstream.
        double rate = 0;
        /// Mean number of requests that arrive in a period.
        double usually_arrived = 0;
        double refused_share = 0;
        double cautious_rate() const;
        std::size_t idle_periods = 0;
    };
    using flows = std::map<admission_flow, demand>;

    struct account_demand
    {
        double weight = 1;
        double rate = 0;
        double granted = 0;
        demand* invested = nullptr;
        demand* fresh = nullptr;
    };

    void measure_demand(double period);
    void measure_capacity(std::size_t limit);
    void correct(const load_sample& load);
    void set_levels();
    static double
    share_out(std::vector<account_demand>& accounts, double capacity);
    static admission_level level_in(std::size_t rank, const demand& measured);

    admission_settings settings_;
    time_point period_start_;
    std::array<flows, importance_classes> classes_;
    double held_sum_ = 0;
    std::size_t held_count_ = 0;
    /// Mean time a place is held, in seconds; 0 while unknown.
    double held_ = 0;
    /// Sum and number of the samples of the part of the limit in use.
    double use_sum_ = 0;
    std::size_t use_count_ = 0;
    /// Whether the limit was hardly in use in the last period.
    bool idle_ = false;
    /// Whether some flow is refused in part.
    bool refusing_ = false;
    double wait_sum_ = 0;
    std::size_t started_count_ = 0;
    /// Requests per second that the limit allows; 0 while unknown.
    double capacity_ = 0;
    /// Factor on the capacity, set by the queue wait and the use of the
    /// limit. It makes up for errors in the measured demand.
    double correction_ = 1;
};

} // namespace fulmarjunction::detail
