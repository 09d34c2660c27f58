/// @file
/// Timer service with an external clock.
#pragma once

#include <fulmarjunction/core/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace fulmarjunction {

/// Runs periodic and delayed callbacks. It has no clock of its own: the daemon
/// advances it from an Asio timer, tests advance it explicitly.
class timer_service
{
public:
    using callback = std::function<void(time_point now)>;

    /// Handle of a callback; cancels it on destruction.
    class subscription
    {
    public:
        subscription() = default;
        subscription(const subscription&) = delete;
        subscription& operator=(const subscription&) = delete;
        subscription(subscription&& other) noexcept
            : service_(std::exchange(other.service_, nullptr)), id_(other.id_)
        {
        }
        subscription& operator=(subscription&& other) noexcept
        {
            cancel();
            service_ = std::exchange(other.service_, nullptr);
            id_ = other.id_;
            return *this;
        }
        ~subscription() { cancel(); }

        /// Cancels the callback; no effect if it has already ended.
        void cancel();

    private:
        friend class timer_service;
        subscription(timer_service& service, std::uint64_t id)
            : service_(&service), id_(id)
        {
        }

        timer_service* service_ = nullptr;
        std::uint64_t id_ = 0;
    };

    explicit timer_service(time_point start) : now_(start) {}

    /// Returns the time of the last `advance`.
    time_point now() const { return now_; }

    /// Calls `action` every `period`, first after one period. Periods missed
    /// during a pause are skipped.
    [[nodiscard]] subscription every(duration period, callback action);

    /// Calls `action` once after `delay`.
    [[nodiscard]] subscription after(duration delay, callback action);

    /// Returns the due time of the next callback, if any.
    std::optional<time_point> next_due() const;

    /// Sets the time and runs all due callbacks in order of due time. An
    /// exception that a callback throws is logged.
    void advance(time_point now);

    /// Called when a new subscription is due before all others, so that a
    /// driver that sleeps until `next_due` can wake up.
    std::function<void()> on_earlier_due;

private:
    struct entry
    {
        duration period{};
        callback action;
    };
    using due_key = std::pair<time_point, std::uint64_t>;

    subscription add(duration delay, duration period, callback action);
    void remove(std::uint64_t id);

    time_point now_;
    std::uint64_t next_id_ = 1;
    std::map<due_key, entry> entries_;
    std::map<std::uint64_t, time_point> due_by_id_;
};

} // namespace fulmarjunction
