/// @file
/// Levels below which requests are refused before they wait.
#pragma once

#include "fair_queue.hpp"

#include <fulmarjunction/admission/admission.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace fulmarjunction::detail {

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
    /// @param limit present concurrency limit
    /// @param waiting requests that wait now
    void tick(std::size_t limit, std::size_t waiting, time_point now);

    void restart(time_point now);

    admission_level level() const;
    admission_level level(const admission_flow& flow) const;

private:
    /// Measured demand of one flow and the share of it that is refused.
    struct demand
    {
        double weight = 1;
        /// Requests of this period from `sampled_from` on.
        std::size_t sampled = 0;
        /// Requests per second, with those refused upstream.
        double rate = 0;
        double refused_share = 0;
        /// Highest refused share of the present and the last memory period.
        double recent_highest = 0;
        double earlier_highest = 0;

        double sampled_from() const
        {
            return std::max(recent_highest, earlier_highest);
        }
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

    void measure_demand(double period, bool memory_due);
    void measure_capacity(std::size_t limit);
    void correct(std::size_t waiting);
    void set_levels();
    static double
    share_out(std::vector<account_demand>& accounts, double capacity);
    static admission_level level_in(std::size_t rank, const demand& measured);

    admission_settings settings_;
    time_point period_start_;
    time_point memory_start_;
    std::array<flows, importance_classes> classes_;
    double held_sum_ = 0;
    std::size_t held_count_ = 0;
    /// Mean time a place is held, in seconds; 0 while unknown.
    double held_ = 0;
    double wait_sum_ = 0;
    std::size_t started_count_ = 0;
    /// Requests per second that the limit allows; 0 while unknown.
    double capacity_ = 0;
    /// Factor on the capacity, set by the queue wait.
    double correction_ = 1;
};

} // namespace fulmarjunction::detail
