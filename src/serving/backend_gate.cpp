#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/serving/backend_gate.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// A backend server announces itself every second; after three missed
/// announcements it is not ready.
constexpr seconds announcement_lifetime(3);
constexpr milliseconds admission_tick_interval(10);
/// Maximum time without progress in the body of a backend server's answer.
constexpr seconds body_idle_limit(10);

entry_root root_of(const request_context& context)
{
    return {
        context.endpoint, context.account,
        priority_of(context.rank, context.root)};
}

bool refused_before_running(const streamed_response& response)
{
    return response.status == 503 &&
           find_header(response.headers, "fulmar-not-run") == "1";
}

} // namespace

/// A request that waits for admission.
struct backend_gate::waiter
{
    explicit waiter(const asio::any_io_executor& executor) : signal(executor) {}

    cancel_event signal;
    std::optional<admission_event> event;
};

/// Ends a started request when its last owner, the call or the answer's body,
/// is destroyed.
class backend_gate::run_guard
{
public:
    run_guard(
        std::shared_ptr<backend_gate> gate, std::uint64_t id,
        const identified_content& content,
        std::shared_ptr<running_request> request)
        : gate_(std::move(gate)), id_(id), content_(content),
          request_(std::move(request)), token_(gate_->running_.add(request_))
    {
        gate_->crashes_->started(id_, content_.print);
    }
    run_guard(const run_guard&) = delete;
    run_guard& operator=(const run_guard&) = delete;

    ~run_guard()
    {
        gate_->running_.remove(token_);
        gate_->crashes_->ended(id_);
        // Others that begin alike may still crash the backend server.
        if (completion_ == completion::succeeded && content_.is_whole)
            gate_->suspects_.finished(content_.print, clock::now());
        request_->canceled.cancel();
        gate_->finish(id_, completion_);
    }

    void ended(completion result) { completion_ = result; }
    const std::string& token() const { return token_; }
    const running_request& request() const { return *request_; }

private:
    std::shared_ptr<backend_gate> gate_;
    std::uint64_t id_;
    identified_content content_;
    std::shared_ptr<running_request> request_;
    std::string token_;
    completion completion_ = completion::canceled;
};

backend_gate::backend_gate(
    const asio::any_io_executor& executor, const admission_settings& settings,
    timer_service& timers, suspect_list& suspects, endpoint_levels& levels)
    : executor_(executor), admission_(settings, clock::now()),
      suspects_(suspects), levels_(levels),
      turns_(executor, suspect_settings{}, [this] { return running_.size(); }),
      crashes_(std::make_shared<crash_detector>(
          executor, [this](const crash_report& report) { crashed(report); }))
{
    tick_subscription_ =
        timers.every(admission_tick_interval, [this](time_point now) {
            apply(admission_.tick(now));
            const bool is_ready = backend() != nullptr;
            if (std::exchange(was_ready_, is_ready) != is_ready &&
                on_announcement)
                on_announcement();
        });
}

backend_gate::~backend_gate() = default;

void backend_gate::record_announcement(const backend_report& announcement)
{
    const auto now = clock::now();
    const bool is_new = !client_ || backend() == nullptr ||
                        announcement.address != announcement_.address;
    announcement_ = announcement;
    announced_at_ = now;
    if (is_new) {
        log(log_level::info, "backend_announced",
            {{"service", announcement.service},
             {"address", announcement.address.address().to_string()},
             {"port", announcement.address.port()},
             {"slots", announcement.slots}});
        client_ = std::make_unique<http_client>(
            executor_, announcement.address, http_limits{});
        admission_.restarted(announcement.slots, now);
        was_ready_ = true;
    }
    if (on_announcement)
        on_announcement();
}

const backend_report* backend_gate::backend() const
{
    const bool is_current =
        client_ && clock::now() - announced_at_ < announcement_lifetime;
    return is_current ? &announcement_ : nullptr;
}

admission_level backend_gate::level_for(const request_context& context) const
{
    return admission_.level(
        admission_flow{context.account, context.invested}, clock::now());
}

void backend_gate::apply(const admission_events& events)
{
    for (const auto& event : events) {
        const auto id = std::visit(
            [](const auto& alternative) { return alternative.id; }, event);
        const auto found = waiters_.find(id);
        if (found == waiters_.end())
            continue;
        const auto waiting = found->second;
        waiters_.erase(found);
        waiting->event = event;
        waiting->signal.cancel();
    }
}

service_level
backend_gate::downstream_level(const request_context& context) const
{
    return levels_.level(context.endpoint, context.account, clock::now());
}

void backend_gate::call_started(std::uint64_t id)
{
    admission_.call_started(id, clock::now());
}

void backend_gate::call_ended(std::uint64_t id)
{
    admission_.call_ended(id, clock::now());
}

void backend_gate::finish(std::uint64_t id, completion result)
{
    apply(admission_.finish(id, result, clock::now()));
}

awaitable<std::optional<refusal>>
backend_gate::admit(admission_request offered, cancel_event canceled)
{
    const auto id = offered.id;
    const auto waiting = std::make_shared<waiter>(executor_);
    waiters_.emplace(id, waiting);
    apply(admission_.offer(offered, clock::now()));
    if (!waiting->event) {
        canceled.on_cancel([self = weak_from_this(), id, waiting] {
            const auto gate = self.lock();
            if (!gate || waiting->event)
                return;
            gate->waiters_.erase(id);
            gate->apply(gate->admission_.cancel(id, clock::now()));
            waiting->event = admission_refuse{
                id, {outcome::not_run, refusal_reason::deadline_expired, 0}};
            waiting->signal.cancel();
        });
        co_await waiting->signal.wait();
    }
    if (const auto* refused = std::get_if<admission_refuse>(&*waiting->event))
        co_return refused->details;
    co_return std::nullopt;
}

awaitable<streamed_response> backend_gate::serve(
    request_context context, streamed_request request, cancel_event canceled)
{
    const auto self = shared_from_this();
    answer_metadata metadata;
    metadata.retries_unspent = context.retries;
    if (backend() == nullptr) {
        co_return refusal_answer(
            {outcome::not_run, refusal_reason::no_instance, 0}, metadata);
    }
    auto body = co_await buffer_request_body(std::move(request.body));
    if (!body) {
        co_return refusal_answer(
            {outcome::not_run, refusal_reason::malformed, 0}, metadata);
    }
    const identified_content content{
        fingerprint_of(
            context.account, context.endpoint, request.target, body.value()),
        body.value().is_whole};
    const auto decision = suspects_.decide_local(
        content.print, context.after_backend_failure, clock::now());
    if (decision.action == suspect_action::refuse) {
        log(log_level::info, "suspect_refused",
            {{"root", to_string(context.root)},
             {"endpoint", context.endpoint}});
        co_return refusal_answer(
            {outcome::not_run, refusal_reason::suspect_request, 0}, metadata);
    }
    request.body = body.value().open();

    if (!levels_.admit(root_of(context), clock::now())) {
        metadata.level = level_for(context);
        metadata.downstream.level = downstream_level(context);
        co_return refusal_answer(
            {outcome::not_run, refusal_reason::overloaded, 0}, metadata);
    }
    const auto id = next_id_++;
    admission_request offered{
        id,           context.rank,     context.account, context.weight,
        context.root, context.invested, context.deadline};
    if (const auto refused = co_await admit(std::move(offered), canceled)) {
        metadata.level = level_for(context);
        co_return refusal_answer(*refused, metadata);
    }
    const bool alone = decision.action == suspect_action::run_alone;
    if (!co_await turns_.wait(id, alone, context.deadline, canceled)) {
        finish(id, completion::refused);
        log(log_level::info, "no_turn_for_request",
            {{"root", to_string(context.root)},
             {"endpoint", context.endpoint},
             {"runs_alone", alone}});
        co_return refusal_answer(
            {outcome::not_run, refusal_reason::overloaded, 0}, metadata);
    }
    auto response = co_await run(
        std::move(context), std::move(request), std::move(canceled), id,
        content);
    if (alone)
        turns_.ended(id);
    co_return response;
}

awaitable<streamed_response> backend_gate::run(
    request_context context, streamed_request request, cancel_event canceled,
    std::uint64_t id, const identified_content& content)
{
    const auto deadline = context.deadline;
    auto running =
        std::make_shared<running_request>(std::move(context), canceled);
    // The downstream calls of the request are canceled when it ends, not only
    // when its caller cancels it, so they have their own event.
    running->id = id;
    running->canceled = cancel_event(executor_);
    canceled.on_cancel([children = running->canceled] { children.cancel(); });
    const auto guard =
        std::make_shared<run_guard>(shared_from_this(), id, content, running);

    const auto remaining_ms = to_milliseconds(deadline - clock::now());
    if (remaining_ms <= 0) {
        guard->ended(completion::refused);
        co_return refusal_answer(
            {outcome::not_run, refusal_reason::deadline_expired, 0},
            metadata_of(guard->request()));
    }
    strip_reserved_fields(request.headers);
    request.headers.push_back({"fulmar-parent", guard->token()});
    request.headers.push_back(
        {"fulmar-timeout-ms", std::to_string(remaining_ms)});
    request.headers.push_back(
        {"fulmar-account", guard->request().context.account});
    if (!client_) {
        guard->ended(completion::refused);
        co_return refusal_answer(
            {outcome::not_run, refusal_reason::no_instance, 0},
            metadata_of(guard->request()));
    }
    auto response = co_await run_cancelable(
        client_->send(std::move(request), deadline), canceled, "call backend");
    if (!response)
        co_return failed_answer(*guard, response.error());
    if (refused_before_running(response.value())) {
        guard->ended(completion::refused);
        co_return refusal_answer(
            {outcome::not_run, refusal_reason::overloaded, 0},
            metadata_of(guard->request()));
    }
    auto answer = std::move(response.value());
    levels_.ended(
        root_of(guard->request().context), guard->request().downstream,
        clock::now());
    // A backend server must not be able to set an outcome.
    strip_reserved_fields(answer.headers);
    write_answer_metadata(answer.headers, metadata_of(guard->request()));
    auto limited = with_idle_limit(
        std::move(answer.body), executor_, body_idle_limit, "backend");
    answer.body = with_end_hook(
        std::move(limited), answer.content_length, [guard](bool complete) {
            guard->ended(complete ? completion::succeeded : completion::failed);
        });
    co_return answer;
}

streamed_response
backend_gate::failed_answer(run_guard& guard, const error& problem)
{
    auto metadata = metadata_of(guard.request());
    if (problem.code == errc::connection_failed) {
        guard.ended(completion::failed);
        check_for_crash();
        return refusal_answer(
            {outcome::not_run, refusal_reason::no_instance, 0}, metadata);
    }
    if (problem.code == errc::timeout) {
        guard.ended(completion::timed_out);
        return refusal_answer(
            {outcome::unknown, refusal_reason::deadline_expired, 0}, metadata);
    }
    if (problem.code == errc::canceled) {
        guard.ended(completion::canceled);
        return refusal_answer(
            {outcome::unknown, refusal_reason::backend_failed, 0}, metadata);
    }
    guard.ended(completion::failed);
    if (problem.code == errc::connection_broken)
        check_for_crash();
    return refusal_answer(
        {outcome::unknown, refusal_reason::backend_failed, 0}, metadata);
}

answer_metadata backend_gate::metadata_of(const running_request& request) const
{
    answer_metadata metadata;
    metadata.retries_unspent = request.budget.left();
    metadata.level = level_for(request.context);
    metadata.downstream = request.downstream;
    metadata.load = std::clamp(announcement_.load, 0.0, 1.0);
    return metadata;
}

void backend_gate::crashed(const crash_report& report)
{
    log(log_level::warning, "backend_crashed",
        {{"in_flight", report.in_flight.size()}});
    suspects_.crashed(report.in_flight, report.alone, clock::now());
    announced_at_ = {};
}

void backend_gate::check_for_crash()
{
    const auto check =
        [](std::shared_ptr<backend_gate> self) -> awaitable<void> {
        co_await self->crashes_->check(
            self->announcement_.address, self->turns_.running());
    };
    asio::co_spawn(executor_, check(shared_from_this()), asio::detached);
}

} // namespace fulmarjunction
