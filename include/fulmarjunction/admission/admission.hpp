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

/// Requests with a lower priority are being refused; 0 refuses none.
using admission_level = double;

/// Bounds of admission at one backend server instance.
struct admission_settings
{
    /// Requests in flight that are never refused for the limit alone.
    std::size_t min_limit = 2;
    std::size_t max_limit = 1024;
    /// First limit after a cold start; the limit ramps up from here.
    std::size_t start_limit = 8;
    /// Requests that may wait.
    std::size_t max_queue = 512;
    /// Queue wait above which lower priorities are refused.
    duration target_wait = milliseconds(50);
    /// Longest wait before a request is refused.
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
    /// Service times are estimated for each endpoint apart.
    endpoint_name endpoint;
    /// Highest level of this service for this request's flow that nodes on
    /// the way here have applied. It tells how many roots like this one were
    /// refused upstream for the sake of this service, so that demand can be
    /// measured from those that arrive.
    admission_level applied_level = 0;
};

/// Requests of one client account that are refused alike.
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

/// What became of a request; a request that waits has no event yet.
using admission_event = std::variant<admission_start, admission_refuse>;
using admission_events = std::vector<admission_event>;

/// How a started request ended.
enum class completion
{
    succeeded,
    failed,
    /// The backend server refused it before running it.
    refused,
    timed_out,
    canceled
};

/// Admission at one backend server instance. Every call returns the events
/// that it caused, for this request and for waiting ones.
class admission_controller
{
public:
    admission_controller(admission_settings settings, time_point start);
    ~admission_controller();
    admission_controller(admission_controller&&) noexcept;
    admission_controller& operator=(admission_controller&&) noexcept;

    /// Offers a request: it starts, waits (no event), or is refused.
    admission_events offer(const admission_request& request, time_point now);

    /// Tells that a started request has ended.
    admission_events finish(std::uint64_t id, completion how, time_point now);

    /// Tells that a started request begins, or has ceased, to wait for the
    /// answer of a call of its own. That time is the time of other services,
    /// and does not count as this server's latency.
    void call_started(std::uint64_t id, time_point now);
    void call_ended(std::uint64_t id, time_point now);

    /// Withdraws a waiting request, or ends a started one as canceled.
    admission_events cancel(std::uint64_t id, time_point now);

    /// Runs periodic work; to be called about each 10 ms.
    admission_events tick(time_point now);

    /// A backend server announced itself or restarted: ramp up again.
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
    /// Returns the present concurrency limit.
    std::size_t limit() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
