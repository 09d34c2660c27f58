/// @file
/// Decides which requests a backend server instance runs.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace fulmarjunction {

/// Priority of a request in [0, 4): the importance class plus a fraction
/// that is the same for a root at every hop.
using request_priority = double;

/// Returns the priority that levels are compared with.
request_priority priority_of(importance rank, const root_id& root);

/// Threshold below which requests are refused; 0 refuses none.
using admission_level = double;

/// Limits of admission control at one backend server instance.
struct admission_settings
{
    /// Lower bound of the concurrency limit: this many requests in flight are
    /// never refused for the limit alone.
    std::size_t min_limit = 2;
    std::size_t max_limit = 1024;
    /// Limit after a cold start, from which it ramps up.
    std::size_t start_limit = 8;
    /// Maximum number of waiting requests.
    std::size_t max_queue = 512;
    /// Queue wait above which lower priorities are refused.
    duration target_wait = milliseconds(50);
    /// Maximum queue wait; a request that waits longer is refused.
    duration max_wait = milliseconds(500);
};

/// A request offered for admission.
struct admission_request
{
    /// Unique among the requests of this node.
    std::uint64_t id = 0;
    importance rank = importance::normal;
    client_account account;
    double weight = 1;
    root_id root;
    /// Whether it is a child of an admitted request.
    bool invested = false;
    time_point deadline;
    /// Service times are estimated per endpoint.
    endpoint_name endpoint;
    /// Highest level of this service that upstream nodes have applied to this
    /// request's flow. Demand is measured from the requests that arrive; this
    /// level gives the share of similar roots that was refused upstream on
    /// behalf of this service.
    admission_level applied_level = 0;
};

/// Requests of one client account that share an admission level.
struct admission_flow
{
    client_account account;
    bool invested = false;

    bool operator==(const admission_flow&) const = default;
    bool operator<(const admission_flow& other) const
    {
        if (account != other.account)
            return account < other.account;
        return invested < other.invested;
    }
};

/// The request is to be sent to the backend server now.
struct admission_start
{
    std::uint64_t id = 0;
};

/// The request has not run and will not run here.
struct admission_refuse
{
    std::uint64_t id = 0;
    refusal details;
};

/// Admission result of a request; a waiting request has no event yet.
using admission_event = std::variant<admission_start, admission_refuse>;
using admission_events = std::vector<admission_event>;

/// Result of a started request.
enum class completion
{
    succeeded,
    failed,
    /// The backend server refused it before running it.
    refused,
    timed_out,
    canceled
};

/// Admission controller of one backend server instance. Each call returns the
/// events that it caused, for the given request and for waiting ones.
class admission_controller
{
public:
    admission_controller(admission_settings settings, time_point start);
    ~admission_controller();
    admission_controller(admission_controller&&) noexcept;
    admission_controller& operator=(admission_controller&&) noexcept;

    /// Offers a request: it starts, waits (no event), or is refused.
    admission_events offer(const admission_request& request, time_point now);

    /// Reports the end of a started request.
    admission_events
    finish(std::uint64_t id, completion result, time_point now);

    /// Report that a started request begins or stops waiting for the answer to
    /// a downstream call. That time is spent in other services and does not
    /// count as this server's latency.
    void call_started(std::uint64_t id, time_point now);
    void call_ended(std::uint64_t id, time_point now);

    /// Removes a waiting request, or ends a started one as canceled.
    admission_events cancel(std::uint64_t id, time_point now);

    /// Runs periodic work; call about every 10 ms.
    admission_events tick(time_point now);

    /// Restarts the ramp-up after the backend server has announced itself or
    /// restarted.
    void restarted(std::size_t slots, time_point now);

    /// Returns the level below which requests of every client account are
    /// refused.
    admission_level level(time_point now) const;

    /// Returns the level to send upstream with an answer to a request of this
    /// flow. It is at least `level(now)`: an account above its fair share has
    /// a higher level than the others.
    admission_level level(const admission_flow& flow, time_point now) const;
    std::size_t in_flight() const;
    std::size_t waiting() const;
    /// Returns the current concurrency limit.
    std::size_t limit() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
