#include <fulmarjunction/admission/admission.hpp>

#include "concurrency_limit.hpp"
#include "fair_queue.hpp"
#include "service_times.hpp"
#include "shedding.hpp"

#include <algorithm>
#include <unordered_map>

namespace fulmarjunction {

namespace {

/// A caller that is told nothing better tries again after the levels have
/// had time to change.
constexpr std::int64_t default_retry_after_ms = 1000;

refusal refuse_for(refusal_reason reason)
{
    const bool later = reason == refusal_reason::overloaded;
    return {outcome::not_run, reason, later ? default_retry_after_ms : 0};
}

} // namespace

request_priority priority_of(importance rank, const root_id& root)
{
    // The hash is below 1, so a priority never reaches the next class only
    // by a hash of 0; the difference of 2^-53 is kept out of the next class.
    constexpr double below_one = 1 - 0x1p-50;
    return static_cast<double>(rank) +
           std::min(1 - shedding_hash(root), below_one);
}

class admission_controller::impl
{
public:
    impl(admission_settings settings, time_point start)
        : settings_(settings), limit_(settings, start),
          shedding_(settings, start), last_sweep_(start)
    {
    }

    admission_events offer(const admission_request& request, time_point now);
    admission_events finish(std::uint64_t id, completion how, time_point now);
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
        /// Calls of its own that are not answered.
        std::size_t open_calls = 0;
        time_point waits_since;
        duration waited{};
    };

    std::optional<refusal_reason>
    deadline_refusal(const admission_request& request, time_point now) const;
    void start(
        const admission_request& request, time_point now,
        admission_events& events);
    void fill(time_point now, admission_events& events);
    void sweep(time_point now, admission_events& events);

    admission_settings settings_;
    detail::concurrency_limit limit_;
    detail::shedding shedding_;
    detail::fair_queue queue_;
    detail::service_times service_times_;
    std::unordered_map<std::uint64_t, running_request> running_;
    time_point last_sweep_;
};

std::optional<refusal_reason> admission_controller::impl::deadline_refusal(
    const admission_request& request, time_point now) const
{
    if (request.deadline <= now)
        return refusal_reason::deadline_expired;
    // With nothing in flight one request passes, so that a service that has
    // become faster is noticed.
    if (running_.empty())
        return std::nullopt;
    if (request.deadline - now < service_times_.least(request.endpoint, now))
        return refusal_reason::deadline_too_short;
    return std::nullopt;
}

void admission_controller::impl::start(
    const admission_request& request, time_point now, admission_events& events)
{
    running_[request.id] = {now, request.endpoint, 0, {}, {}};
    events.emplace_back(admission_start{request.id});
}

void admission_controller::impl::fill(time_point now, admission_events& events)
{
    while (running_.size() < limit_.value()) {
        auto next = queue_.pop();
        if (!next)
            return;
        const auto& request = next->request;
        if (const auto reason = deadline_refusal(request, now)) {
            events.emplace_back(
                admission_refuse{request.id, refuse_for(*reason)});
            continue;
        }
        shedding_.started(now - next->arrival);
        start(request, now, events);
    }
}

void admission_controller::impl::sweep(time_point now, admission_events& events)
{
    // Those that wait too long are refused so that their callers can go
    // elsewhere; those without time left are refused before any work.
    const auto gone =
        queue_.remove_if([&](const detail::waiting_request& entry) {
            return now - entry.arrival >= settings_.max_wait ||
                   deadline_refusal(entry.request, now).has_value();
        });
    for (const auto& entry : gone) {
        const auto reason = deadline_refusal(entry.request, now)
                                .value_or(refusal_reason::overloaded);
        events.emplace_back(
            admission_refuse{entry.request.id, refuse_for(reason)});
    }
}

admission_events admission_controller::impl::offer(
    const admission_request& request, time_point now)
{
    admission_events events;
    const auto refuse = [&](std::uint64_t id, refusal_reason reason) {
        events.emplace_back(admission_refuse{id, refuse_for(reason)});
    };
    if (const auto reason = deadline_refusal(request, now)) {
        refuse(request.id, *reason);
        return events;
    }
    if (!shedding_.offered(request)) {
        refuse(request.id, refusal_reason::overloaded);
        return events;
    }
    if (queue_.size() == 0 && running_.size() < limit_.value()) {
        queue_.charge(request);
        shedding_.started(duration::zero());
        start(request, now, events);
        return events;
    }
    queue_.push({request, now});
    fill(now, events);
    const auto bound = shedding_.queue_bound(limit_.value());
    while (queue_.size() > bound)
        refuse(queue_.evict()->request.id, refusal_reason::overloaded);
    return events;
}

admission_events admission_controller::impl::finish(
    std::uint64_t id, completion how, time_point now)
{
    admission_events events;
    const auto found = running_.find(id);
    if (found == running_.end())
        return events;
    auto request = found->second;
    running_.erase(found);
    if (request.open_calls != 0)
        request.waited += now - request.waits_since;
    const auto held = now - request.started;
    limit_.finished(how, request.started, held - request.waited);
    // A refusal by the server says nothing of the time that a request takes.
    if (how != completion::refused)
        shedding_.finished(held);
    if (how == completion::succeeded)
        service_times_.add(request.endpoint, held, now);
    fill(now, events);
    return events;
}

void admission_controller::impl::call_started(std::uint64_t id, time_point now)
{
    const auto found = running_.find(id);
    if (found != running_.end() && found->second.open_calls++ == 0)
        found->second.waits_since = now;
}

void admission_controller::impl::call_ended(std::uint64_t id, time_point now)
{
    const auto found = running_.find(id);
    if (found == running_.end() || found->second.open_calls == 0)
        return;
    auto& request = found->second;
    if (--request.open_calls == 0)
        request.waited += now - request.waits_since;
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
    sweep(now, events);
    limit_.tick(running_.size() >= limit_.value(), now);
    shedding_.tick({limit_.value(), running_.size(), queue_.size()}, now);
    // Idle accounts are looked for rarely; they only hold memory.
    if (now - last_sweep_ > seconds(10)) {
        queue_.forget_idle();
        last_sweep_ = now;
    }
    fill(now, events);
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

admission_events
admission_controller::finish(std::uint64_t id, completion how, time_point now)
{
    return impl_->finish(id, how, now);
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
