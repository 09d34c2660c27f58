/// @file
/// Load shedding levels, below which requests are refused before they wait.
#pragma once

#include "fair_queue.hpp"

#include <fulmarjunction/admission/admission.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace fulmarjunction::detail {

/// Load of the instance at one point in time.
struct load_sample
{
    std::size_t limit = 0;
    std::size_t in_flight = 0;
    std::size_t waiting = 0;
};

/// Sets, for each class, client account and kind (invested or new), the share
/// of roots to refuse, from measured demand and measured capacity. Root hashes
/// are uniformly distributed, so the share is also the level within the class.
class shedding
{
public:
    shedding(const admission_settings& settings, time_point start);

    /// Counts an offered request.
    /// @return whether it is not below its flow's level
    bool admit(const admission_request& request);

    /// Records the queue wait of a started request.
    void record_wait(duration wait);

    /// Records how long an ended request has occupied its slot.
    void record_hold_time(duration hold_time);

    /// Updates the levels when the control period has passed.
    void tick(const load_sample& load, time_point now);

    void restart(time_point now);

    /// Returns how many requests may wait at this limit.
    std::size_t max_queue_length(std::size_t limit) const;

    admission_level level() const;
    admission_level level(const admission_flow& flow) const;

private:
    /// Measured demand of one flow and the share of it that is refused.
    struct demand
    {
        double weight = 1;
        /// Requests that arrived in this period, and the number of roots that
        /// they represent with those refused upstream.
        std::size_t arrived = 0;
        double represented_roots = 0;
        /// Requests per second, including those refused upstream.
        double rate = 0;
        /// Mean number of requests that arrive per period.
        double mean_arrived = 0;
        double refused_share = 0;
        double conservative_rate() const;
        std::size_t idle_periods = 0;
    };
    using flows = std::map<admission_flow, demand>;

    struct account_demand
    {
        double weight = 1;
        double rate = 0;
        double granted = 0;
        demand* invested = nullptr;
        demand* new_roots = nullptr;
    };

    void measure_demand(double period);
    void measure_capacity(std::size_t limit);
    void update_correction(const load_sample& load);
    void set_levels();
    static double
    allocate_max_min(std::vector<account_demand>& accounts, double capacity);
    static admission_level
    level_in_class(std::size_t rank, const demand& measured);

    admission_settings settings_;
    time_point period_start_;
    std::array<flows, importance_classes> classes_;
    double hold_time_sum_ = 0;
    std::size_t hold_time_count_ = 0;
    /// Mean time that a request occupies a slot, in seconds; 0 while unknown.
    double mean_hold_time_ = 0;
    /// Sum and number of the samples of utilization, the fraction of the limit
    /// in use.
    double utilization_sum_ = 0;
    std::size_t utilization_count_ = 0;
    /// Whether utilization was low and no request waited in the last period.
    bool idle_ = false;
    /// Whether some flow is refused in part.
    bool refusing_ = false;
    double wait_sum_ = 0;
    std::size_t started_count_ = 0;
    /// Requests per second that the limit allows; 0 while unknown.
    double capacity_ = 0;
    /// Factor on the capacity, set from the queue wait and the utilization. It
    /// compensates for errors in the measured demand.
    double correction_ = 1;
};

} // namespace fulmarjunction::detail
