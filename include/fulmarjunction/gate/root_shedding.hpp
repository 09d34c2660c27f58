/// @file
/// Refuses requests at the entry that a downstream service has no capacity for.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace fulmarjunction {

/// Pressure level of each service whose level is above 0.
using pressure_levels = std::map<service_name, double>;

/// Averages the pressure levels of all gates of each service. Gates at level 0
/// count too, since calls are spread over all gates of the service.
class pressure_summary
{
public:
    void add(const service_name& service, double level);

    /// Returns the mean level of each service where it is above 0.
    pressure_levels combine() const;

private:
    struct service_sum
    {
        double gates = 0;
        double level = 0;
    };

    std::map<service_name, service_sum> services_;
};

/// Settings of `root_shedding`.
struct root_shedding_settings
{
    /// A route is taken to lead to a service once at least this many of its
    /// requests, and this fraction of them, have failed within the window
    /// because the service had no free slot.
    std::size_t min_failures = 3;
    double min_failed_fraction = 0.02;
    milliseconds learning_window{10'000};
    /// Maximum fraction of the requests of a route that is refused. The
    /// admitted rest shows when there is capacity again, and keeps routes from
    /// being starved.
    double max_shed_fraction = 0.8;
};

/// Decides which requests are refused at the entry.
///
/// This sheds requests whose calls would find no free slot in a downstream
/// service. The least important requests that lead there are refused first,
/// evenly spread over the requests of each route. Which routes lead to which
/// service is learned from requests that failed because a call was refused
/// there.
class root_shedding
{
public:
    explicit root_shedding(root_shedding_settings settings = {});

    /// Replaces the pressure levels of the services.
    void set_levels(pressure_levels levels);

    /// Records a request that failed because one of its calls, direct or
    /// nested, was refused at a service without a free slot.
    void record_downstream_refusal(
        const std::string& route_name, unsigned priority,
        const service_name& service, time_point now);

    /// Decides on a request.
    /// @param priority 0 is the most important
    /// @return whether it is refused
    bool should_refuse(
        const std::string& route_name, unsigned priority, time_point now);

    /// Returns the fraction of such requests that is currently refused.
    double
    shed_fraction(const std::string& route_name, unsigned priority) const;

private:
    /// State of the requests of one route and priority.
    struct request_class
    {
        std::size_t requests = 0;
        std::map<service_name, std::size_t> failures;
        time_point window_start{};
        /// Services that calls of its requests reach.
        std::set<service_name> downstream_services;
        /// Fractional number of requests still to be refused.
        double pending_refusals = 0;
    };
    using class_key = std::pair<std::string, unsigned>;

    static void reset_counts(request_class& current, time_point now);
    std::size_t count_lower_priorities(
        const service_name& service, unsigned priority) const;

    root_shedding_settings settings_;
    pressure_levels levels_;
    std::map<class_key, request_class> classes_;
};

/// Remembers for a short time that a call from the local backend server was
/// refused because a downstream service had no free slot. The backend server
/// then fails the request that made the call at once, so a failure within this
/// time is attributed to that service.
class recent_refusal
{
public:
    void record(const service_name& service, time_point now);

    /// Returns the service that recently refused a call; empty when none did.
    service_name service(time_point now) const;

private:
    service_name service_;
    time_point recorded_at_{};
};

} // namespace fulmarjunction
