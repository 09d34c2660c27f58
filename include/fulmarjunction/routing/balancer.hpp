/// @file
/// Chooses the backend server instance for a call.
#pragma once

#include <fulmarjunction/admission/admission.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace fulmarjunction {

/// An instance that may be chosen.
struct routing_candidate
{
    instance_name name;
    availability_zone zone;
    /// Announced slots; only a hint.
    std::size_t slots = 0;
    /// A new incarnation goes through a slow start.
    incarnation_number incarnation = 0;
};

/// Result of a call to an instance, as observed by its sender.
struct routing_observation
{
    outcome result = outcome::answered;
    /// Set when the answer was a refusal or a failure.
    std::optional<refusal_reason> reason;
    /// Time until the head of the answer was received.
    duration latency{};
    /// The instance's admission level, if the answer carried it.
    std::optional<admission_level> level;
    /// Reported load in [0, 1], if the answer carried it; a hint.
    std::optional<double> reported_load;
    /// Flow to which the level applies.
    admission_flow flow;
};

/// Properties of a request on which the choice depends.
struct routing_request
{
    service_name service;
    request_priority priority = 0;
    admission_flow flow;
    /// Set when an instance has refused this request as overloaded. Only an
    /// instance that has recently answered others is then chosen, because the
    /// same root is shed at every instance of an overloaded service.
    bool after_overload = false;
};

/// Chosen instance, or the refusal if there is none.
struct routing_choice
{
    std::optional<instance_name> instance;
    refusal details;
    /// Level of the chosen instance that was applied to the request's flow,
    /// to be sent with the call.
    admission_level applied_level = 0;
};

/// Load balancer that relies on this node's own observations.
class balancer
{
public:
    /// @param zone availability zone of this node
    /// @param random returns uniform 64-bit numbers; seeded in tests
    balancer(availability_zone zone, std::function<std::uint64_t()> random);
    ~balancer();

    /// Replaces the instances of a service that are alive, ready and not
    /// leaving. Observations of remaining instances are kept.
    void set_instances(
        const service_name& service, std::vector<routing_candidate> instances,
        time_point now);

    /// Chooses an instance.
    /// @param excluded instances that this request has tried already
    routing_choice choose(
        const service_name& service, request_priority priority,
        const std::set<instance_name>& excluded, time_point now);

    /// Chooses an instance by the levels of the request's own flow.
    /// @param excluded instances that this request has tried already
    routing_choice choose(
        const routing_request& request, const std::set<instance_name>& excluded,
        time_point now);

    /// Returns the level below which the instances of the service refuse the
    /// flow: the mean over those that have recently reported one, or 0.
    admission_level level(
        const service_name& service, const admission_flow& flow,
        time_point now) const;

    /// Records that a call was sent to the instance.
    void sent(const instance_name& instance, time_point now);

    /// Records the result of a call that was sent.
    void ended(
        const instance_name& instance, const routing_observation& observation,
        time_point now);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
