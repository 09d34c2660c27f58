/// @file
/// Refuses requests at the entry that a service further down has no room for.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace fulmarjunction {

/// Pressure level of each service that asks for less work.
using pressure_levels = std::map<service_name, double>;

/// Puts together what the gates of each service ask for. One that asks for
/// nothing counts too, since calls spread over all gates of the service.
class pressure_summary
{
public:
    void add(const service_name& service, double level);

    /// Returns the mean level of each service that asks for anything.
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
    /// A route leads to a service once this many of its requests have failed
    /// for want of room there, and this part of all that it sent in the time.
    std::size_t min_failures = 3;
    double min_failed_fraction = 0.02;
    milliseconds learning_window{10'000};
    /// Part of the requests of a route that is refused at most: what is let
    /// in shows when there is room again, and no route is starved.
    double max_shed_fraction = 0.8;
};

/// Decides which requests are refused at the entry.
///
/// Answers the load of requests whose calls find no room in a service further
/// down: the least important requests that lead there are refused first, each
/// route's evenly spread. Which routes lead to which service is learned from
/// requests that failed because a call was refused there.
class root_shedding
{
public:
    explicit root_shedding(root_shedding_settings settings = {});

    /// Takes over what the services ask for.
    void set_levels(pressure_levels levels);

    /// Takes note of a request that failed since a call of it, or of a call
    /// of that, found no room at a service.
    void record_downstream_refusal(
        const std::string& route_name, unsigned priority,
        const service_name& service, time_point now);

    /// Decides on a request.
    /// @param priority 0 is the most important
    /// @return whether it is refused
    bool should_refuse(
        const std::string& route_name, unsigned priority, time_point now);

    /// Returns the part of such requests that is refused at present.
    double
    shed_fraction(const std::string& route_name, unsigned priority) const;

private:
    /// What is known of requests of one route and priority.
    struct kind
    {
        std::size_t requests = 0;
        std::map<service_name, std::size_t> failures;
        time_point counted_since{};
        /// Services that its requests lead to.
        std::set<service_name> leads_to;
        /// Refusals due, in parts of one request.
        double due = 0;
    };
    using kind_key = std::pair<std::string, unsigned>;

    static void restart_count(kind& one, time_point now);
    std::size_t
    less_important(const service_name& service, unsigned priority) const;

    root_shedding_settings settings_;
    pressure_levels levels_;
    std::map<kind_key, kind> kinds_;
};

/// Remembers that a call of the backend server beside the node was refused for
/// want of room further down, until the request that made it fails: the
/// backend server answers that one with a failure at once.
class recent_refusal
{
public:
    void record(const service_name& service, time_point now);

    /// Returns the service that lately refused a call; empty when none did.
    service_name service(time_point now) const;

private:
    service_name service_;
    time_point noted_at_{};
};

} // namespace fulmarjunction
