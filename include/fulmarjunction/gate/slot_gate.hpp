/// @file
/// Decides which requests a backend server runs now, later or not at all.
#pragma once

#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/gate/start_rate.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace fulmarjunction {

/// A request that arrives at the gate of a backend server.
struct gate_offer
{
    std::uint64_t id = 0;
    /// Whether another backend server sent it. Its caller already holds a
    /// slot, so refusing it wastes work that was done.
    bool is_call = false;
    /// 0 is the most important.
    unsigned priority = 0;
    /// An answer after this time is of no use to the caller.
    time_point deadline{};
    /// Latency objective, counted from the arrival at the entry node. Answers
    /// within this time are worth the most.
    duration objective{};
    /// Time since that arrival.
    duration waited{};
};

/// What to do with an offered request.
enum class gate_verdict
{
    run,
    wait,
    refuse
};

/// Settings of `slot_gate`.
struct slot_gate_settings
{
    /// Fraction of the announced slots that is used. A backend server that is
    /// filled to its last slot slows down, and its own queue ignores
    /// priorities.
    double slot_share = 0.95;
    /// Fraction of the objective that a request may wait for a slot.
    double wait_share = 0.15;
    /// Fraction of the time left that a call may wait for a slot.
    double call_wait_share = 0.5;
    /// Service time assumed until a request has finished.
    milliseconds initial_service_time{50};
};

/// Limits the number of running requests to the slots of the backend server,
/// and the requests that it starts per second to a rate, if one is set.
///
/// Under overload, calls from other backend servers run before root requests,
/// then requests run by priority, then by arrival. A request that is not
/// expected to start in time is refused on arrival, so that its caller can
/// react at once.
class slot_gate
{
public:
    explicit slot_gate(slot_gate_settings settings = {});

    /// Sets the slots that the backend server announces; 0 refuses all
    /// requests.
    void set_slots(std::size_t slots);

    /// Sets the maximum number of requests that start per second, if any.
    void set_rate(std::optional<double> per_second, time_point now);

    /// Decides on a request that arrives and queues it when it has to wait.
    gate_verdict offer(const gate_offer& request, time_point now);

    /// Ends a running request.
    /// @param service_time time that it held a slot; none when it is no valid
    ///        sample
    void finish(std::optional<duration> service_time);

    /// Removes a waiting request.
    /// @return whether it was waiting
    bool cancel(std::uint64_t id);

    /// Requests to start now and requests to refuse because they waited too
    /// long.
    struct changes
    {
        std::vector<std::uint64_t> start;
        std::vector<std::uint64_t> refuse;
    };
    changes advance(time_point now);

    /// Returns when `advance` may next have a request to start or to refuse,
    /// apart from requests that end.
    std::optional<time_point> next_due(time_point now) const;

    std::size_t running() const { return running_; }
    std::size_t waiting() const { return queue_.size(); }
    std::size_t limit() const { return limit_; }
    const std::optional<double>& rate() const { return rate_.per_second(); }

    /// Returns the number of requests that can run at once, given the slots,
    /// the rate and the service time.
    std::size_t usable_slots() const;

    /// Returns the moving average of the time that a request holds a slot.
    duration mean_service_time() const;

    /// Returns the expected time until such a request can start.
    duration
    expected_wait(bool is_call, unsigned priority, time_point now) const;

private:
    /// Order of service: calls first, then priority, then arrival.
    using queue_position = std::tuple<int, unsigned, std::uint64_t>;
    struct waiter
    {
        std::uint64_t id = 0;
        time_point latest_start{};
    };

    static int group_of(bool is_call) { return is_call ? 0 : 1; }
    duration max_wait_for(const gate_offer& request, time_point now) const;

    slot_gate_settings settings_;
    start_rate rate_;
    std::size_t limit_ = 0;
    std::size_t running_ = 0;
    std::uint64_t arrivals_ = 0;
    double mean_service_s_;
    std::map<queue_position, waiter> queue_;
    std::map<std::uint64_t, queue_position> positions_;
};

} // namespace fulmarjunction
