/// @file
/// Decides which requests a backend server runs now, later or not at all.
#pragma once

#include <fulmarjunction/core/time.hpp>

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
    /// Whether another backend server waits for it: its caller already holds
    /// a slot, so refusing it wastes work that was done.
    bool is_call = false;
    /// 0 is the most important.
    unsigned priority = 0;
    /// The caller has no use for an answer after this time.
    time_point deadline{};
    /// Within this time from its arrival at the system an answer is worth
    /// the most.
    duration objective{};
    /// How long ago that was.
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
    /// Part of the announced slots that is used. A backend server that is
    /// filled to its last slot slows down, and its own queue knows no
    /// importance.
    double slot_share = 0.95;
    /// Part of the objective that a request may wait for a slot.
    double wait_share = 0.15;
    /// Part of the time left that a call may wait for a slot.
    double call_wait_share = 0.5;
    /// Service time that is assumed before any request has ended.
    milliseconds initial_service_time{50};
};

/// Holds the number of running requests to the slots of the backend server.
///
/// Answers the load of more requests than slots: calls of other backend
/// servers run before new work, then the more important before the less
/// important, then by arrival. A request whose turn cannot come in time is
/// refused when it arrives, so that its caller learns it at once.
class slot_gate
{
public:
    explicit slot_gate(slot_gate_settings settings = {});

    /// Sets the slots that the backend server announces. 0 refuses all.
    void set_slots(std::size_t slots);

    /// Takes note of a request.
    gate_verdict offer(const gate_offer& request, time_point now);

    /// Ends a running request.
    /// @param served_in time that it held a slot; none when it tells nothing
    void finish(std::optional<duration> served_in);

    /// Removes a waiting request.
    /// @return whether it was waiting
    bool cancel(std::uint64_t id);

    /// Requests to start now, and requests that waited too long.
    struct changes
    {
        std::vector<std::uint64_t> start;
        std::vector<std::uint64_t> refuse;
    };
    changes advance(time_point now);

    /// Returns when a waiting request must be refused at the latest.
    std::optional<time_point> next_expiry() const;

    std::size_t running() const { return running_; }
    std::size_t waiting() const { return queue_.size(); }
    std::size_t limit() const { return limit_; }

    /// Returns how long a request that holds a slot is served, on average.
    duration mean_service_time() const;

    /// Returns the time until a slot is free for a request of this kind.
    duration expected_wait(bool is_call, unsigned priority) const;

private:
    /// Order of service: calls first, then rank, then arrival.
    using place = std::tuple<int, unsigned, std::uint64_t>;
    struct waiter
    {
        std::uint64_t id = 0;
        time_point latest_start{};
    };

    static int group_of(bool is_call) { return is_call ? 0 : 1; }
    duration patience_of(const gate_offer& request, time_point now) const;

    slot_gate_settings settings_;
    std::size_t limit_ = 0;
    std::size_t running_ = 0;
    std::uint64_t arrivals_ = 0;
    double mean_service_s_;
    std::map<place, waiter> queue_;
    std::map<std::uint64_t, place> places_;
};

} // namespace fulmarjunction
