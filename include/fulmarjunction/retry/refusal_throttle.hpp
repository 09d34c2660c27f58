/// @file
/// Refuses requests to a service that refuses most of what it receives.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <unordered_map>

namespace fulmarjunction {

/// Settings of `refusal_throttle`.
struct refusal_throttle_settings
{
    /// Requests are counted over this time and the one before it.
    milliseconds window{500};
    /// Requests sent for each accepted one. Calls carry work that was already
    /// done, so more of them are sent on.
    double root_ratio = 1.25;
    double call_ratio = 1.5;
    /// Maximum fraction that is refused without being sent, so that a service
    /// that has recovered is noticed.
    double max_refused_fraction = 0.8;
    /// Fraction of refused requests among those sent above which trying another
    /// instance is not worth its cost.
    double max_retried_fraction = 0.5;
    /// Recorded requests below which nothing is refused.
    std::size_t min_requests = 20;
};

/// Keeps refused requests from using up the processors of the nodes beside a
/// service.
///
/// A node spends on a refusal a good part of what it spends on a request that
/// it serves. When it is short of processor time, refusals therefore displace
/// answers, the more so as each refused request is sent to further instances.
/// Each sending node refuses the excess itself, judging by the fraction of its
/// own requests that the service has accepted lately.
class refusal_throttle
{
public:
    explicit refusal_throttle(refusal_throttle_settings settings = {});

    /// Decides whether to refuse a request for a service.
    bool
    should_refuse(const service_name& service, bool is_call, time_point now);

    /// Records whether the last instance that a request was sent to refused it.
    /// Requests that end without a decision, such as canceled ones, are not
    /// recorded.
    void record(const service_name& service, bool was_refused, time_point now);

    /// The service with the most requests refused by `should_refuse`.
    struct summary
    {
        service_name service;
        double refused_per_s = 0;
    };
    summary most_throttled(time_point now);

    /// Returns whether a request that one instance has refused should be sent
    /// to another one.
    bool may_try_another(const service_name& service, time_point now);

private:
    struct counts
    {
        double accepted = 0;
        double refused = 0;
        /// Refused without being sent.
        double throttled = 0;
    };
    struct history
    {
        time_point window_start{};
        counts current;
        counts previous;
        /// Fraction of a refusal that is due.
        double pending_refusals = 0;
    };

    counts sum(const service_name& service, time_point now);
    history& update(const service_name& service, time_point now);

    refusal_throttle_settings settings_;
    std::unordered_map<service_name, history> services_;
};

} // namespace fulmarjunction
