#include <fulmarjunction/admission/admission.hpp>

#include "concurrency_limit.hpp"
#include "fair_queue.hpp"
#include "service_times.hpp"
#include "shedding.hpp"

#include <algorithm>
#include <unordered_map>

namespace fulmarjunction {

namespace {

/// Default delay before a retry, which gives the levels time to change.
constexpr std::int64_t default_retry_after_ms = 1000;

refusal make_refusal(refusal_reason reason)
{
    const bool retryable = reason == refusal_reason::overloaded;
    return {outcome::not_run, reason, retryable ? default_retry_after_ms : 0};
}

} // namespace

request_priority priority_of(importance rank, const root_id& root)
{
    // A hash of 0 would raise the priority to the next class. The margin is
    // 2^-50 because a difference of 2^-53 is lost to rounding when the rank is
    // added.
    constexpr double max_fraction = 1 - 0x1p-50;
    return static_cast<double>(rank) +
           std::min(1 - shedding_hash(root), max_fraction);
}

class admission_controller::impl
{
public:
    impl(admission_settings settings, time_point start)
        : settings_(settings), limit_(settings, start),
          shedding_(settings, start), last_idle_cleanup_(start)
    {
    }

    admission_events offer(const admission_request& request, time_point now);
    admission_events
    finish(std::uint64_t id, completion result, time_point now);
    admission_events cancel(std::uint64_t id, time_point now);
    admission_events tick(time_point now);
    void restarted(std::size_t slots, time_point now);
    void call_started(std::uint64_t id, time_point now);
    void call_ended(std::uint64_t id, time_point now);

    const detail::shedding& levels() const { return shedding_; }
    std::size_t in_flight() const { return running_.size(); }
    std::size_t waiting() const { return queue_.size(); }
    std::size_t limit() const { return limit_.value(); }

private:
    struct running_request
    {
        time_point started;
        endpoint_name endpoint;
        /// Downstream calls that are not answered yet.
        std::size_t open_calls = 0;
        time_point wait_started;
        duration call_wait{};
    };

    std::optional<refusal_reason>
    deadline_refusal(const admission_request& request, time_point now) const;
    void start(
        const admission_request& request, time_point now,
        admission_events& events);
    void start_waiting(time_point now, admission_events& events);
    void refuse_expired(time_point now, admission_events& events);

    admission_settings settings_;
    detail::concurrency_limit limit_;
    detail::shedding shedding_;
    detail::fair_queue queue_;
    detail::service_times service_times_;
    std::unordered_map<std::uint64_t, running_request> running_;
    time_point last_idle_cleanup_;
};

std::optional<refusal_reason> admission_controller::impl::deadline_refusal(
    const admission_request& request, time_point now) const
{
    if (request.deadline <= now)
        return refusal_reason::deadline_expired;
    // With nothing in flight, one request is admitted, so that a service that
    // has become faster is detected.
    if (running_.empty())
        return std::nullopt;
    if (request.deadline - now <
        service_times_.low_quantile(request.endpoint, now))
        return refusal_reason::deadline_too_short;
    return std::nullopt;
}

void admission_controller::impl::start(
    const admission_request& request, time_point now, admission_events& events)
{
    running_[request.id] = {now, request.endpoint, 0, {}, {}};
    events.emplace_back(admission_start{request.id});
}

void admission_controller::impl::start_waiting(
    time_point now, admission_events& events)
{
    while (running_.size() < limit_.value()) {
        auto next = queue_.pop();
        if (!next)
            return;
        const auto& request = next->request;
        if (const auto reason = deadline_refusal(request, now)) {
            events.emplace_back(
                admission_refuse{request.id, make_refusal(*reason)});
            continue;
        }
        shedding_.record_wait(now - next->arrival);
        start(request, now, events);
    }
}

void admission_controller::impl::refuse_expired(
    time_point now, admission_events& events)
{
    // Requests that wait too long are refused so that their callers can try
    // elsewhere; those without enough time left are refused before any work is
    // done.
    const auto removed =
        queue_.remove_if([&](const detail::waiting_request& entry) {
            return now - entry.arrival >= settings_.max_wait ||
                   deadline_refusal(entry.request, now).has_value();
        });
    for (const auto& entry : removed) {
        const auto reason = deadline_refusal(entry.request, now)
                                .value_or(refusal_reason::overloaded);
        events.emplace_back(
            admission_refuse{entry.request.id, make_refusal(reason)});
    }
}

admission_events admission_controller::impl::offer(
    const admission_request& request, time_point now)
{
    admission_events events;
    const auto refuse = [&](std::uint64_t id, refusal_reason reason) {
        events.emplace_back(admission_refuse{id, make_refusal(reason)});
    };
    if (const auto reason = deadline_refusal(request, now)) {
        refuse(request.id, *reason);
        return events;
    }
    if (!shedding_.admit(request)) {
        refuse(request.id, refusal_reason::overloaded);
        return events;
    }
    if (queue_.size() == 0 && running_.size() < limit_.value()) {
        queue_.charge(request);
        shedding_.record_wait(duration::zero());
        start(request, now, events);
        return events;
    }
    queue_.push({request, now});
    start_waiting(now, events);
    const auto max_length = shedding_.max_queue_length(limit_.value());
    while (queue_.size() > max_length)
        refuse(queue_.evict()->request.id, refusal_reason::overloaded);
    return events;
}

admission_events admission_controller::impl::finish(
    std::uint64_t id, completion result, time_point now)
{
    admission_events events;
    const auto found = running_.find(id);
    if (found == running_.end())
        return events;
    auto request = found->second;
    running_.erase(found);
    if (request.open_calls != 0)
        request.call_wait += now - request.wait_started;
    const auto hold_time = now - request.started;
    limit_.finished(result, request.started, hold_time - request.call_wait);
    // A refusal by the server does not show how long a request takes.
    if (result != completion::refused)
        shedding_.record_hold_time(hold_time);
    if (result == completion::succeeded)
        service_times_.add(request.endpoint, hold_time, now);
    start_waiting(now, events);
    return events;
}

void admission_controller::impl::call_started(std::uint64_t id, time_point now)
{
    const auto found = running_.find(id);
    if (found != running_.end() && found->second.open_calls++ == 0)
        found->second.wait_started = now;
}

void admission_controller::impl::call_ended(std::uint64_t id, time_point now)
{
    const auto found = running_.find(id);
    if (found == running_.end() || found->second.open_calls == 0)
        return;
    auto& request = found->second;
    if (--request.open_calls == 0)
        request.call_wait += now - request.wait_started;
}

admission_events
admission_controller::impl::cancel(std::uint64_t id, time_point now)
{
    if (running_.count(id) != 0)
        return finish(id, completion::canceled, now);
    queue_.remove(id);
    return {};
}

admission_events admission_controller::impl::tick(time_point now)
{
    admission_events events;
    refuse_expired(now, events);
    limit_.tick(running_.size() >= limit_.value(), now);
    shedding_.tick({limit_.value(), running_.size(), queue_.size()}, now);
    // Idle accounts only use memory, so they are removed rarely.
    if (now - last_idle_cleanup_ > seconds(10)) {
        queue_.remove_idle_accounts();
        last_idle_cleanup_ = now;
    }
    start_waiting(now, events);
    return events;
}

void admission_controller::impl::restarted(std::size_t slots, time_point now)
{
    limit_.restart(slots, now);
    shedding_.restart(now);
    service_times_.clear();
}

admission_controller::admission_controller(
    admission_settings settings, time_point start)
    : impl_(std::make_unique<impl>(settings, start))
{
}

admission_controller::~admission_controller() = default;
admission_controller::admission_controller(admission_controller&&) noexcept =
    default;
admission_controller&
admission_controller::operator=(admission_controller&&) noexcept = default;

admission_events
admission_controller::offer(const admission_request& request, time_point now)
{
    return impl_->offer(request, now);
}

admission_events admission_controller::finish(
    std::uint64_t id, completion result, time_point now)
{
    return impl_->finish(id, result, now);
}

admission_events admission_controller::cancel(std::uint64_t id, time_point now)
{
    return impl_->cancel(id, now);
}

void admission_controller::call_started(std::uint64_t id, time_point now)
{
    impl_->call_started(id, now);
}

void admission_controller::call_ended(std::uint64_t id, time_point now)
{
    impl_->call_ended(id, now);
}

admission_events admission_controller::tick(time_point now)
{
    return impl_->tick(now);
}

void admission_controller::restarted(std::size_t slots, time_point now)
{
    impl_->restarted(slots, now);
}

admission_level admission_controller::level(time_point) const
{
    return impl_->levels().level();
}

admission_level
admission_controller::level(const admission_flow& flow, time_point now) const
{
    return std::max(level(now), impl_->levels().level(flow));
}

std::size_t admission_controller::in_flight() const
{
    return impl_->in_flight();
}

std::size_t admission_controller::waiting() const
{
    return impl_->waiting();
}

std::size_t admission_controller::limit() const
{
    return impl_->limit();
}

} // namespace fulmarjunction
