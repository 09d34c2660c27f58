#include <fulmarjunction/platform/bounded_table_service.hpp>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <utility>

namespace fulmarjunction {

namespace {

// Token bucket that limits the rate of calls.
class call_budget
{
public:
    call_budget(const platform_policy& policy, time_point start)
        : rate_(policy.calls_per_s), burst_(policy.call_burst),
          tokens_(policy.call_burst), refilled_at_(start)
    {
    }

    bool take(time_point now)
    {
        tokens_ = std::min(
            burst_,
            tokens_ + rate_ * std::max(0.0, to_seconds(now - refilled_at_)));
        refilled_at_ = std::max(refilled_at_, now);
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double rate_;
    double burst_;
    double tokens_;
    time_point refilled_at_;
};

struct bounded_state
{
    table_service inner;
    platform_policy policy;
    platform_hooks hooks;
    call_budget budget;
};
using state_pointer = std::shared_ptr<bounded_state>;

template <class T>
using attempt = std::function<awaitable<result<T>>()>;

template <class T>
awaitable<result<T>>
attempt_once(state_pointer state, std::string step, attempt<T> start)
{
    using namespace boost::asio::experimental::awaitable_operators;
    if (!state->budget.take(state->hooks.now())) {
        co_return fail(
            errc::budget_exhausted, std::move(step), {},
            "the budget of calls to the platform is exhausted");
    }
    auto first_completed =
        co_await (start() || state->hooks.sleep(state->policy.attempt_timeout));
    if (first_completed.index() == 1)
        co_return fail(errc::timeout, std::move(step));
    co_return std::get<0>(std::move(first_completed));
}

duration backoff(bounded_state& state, std::uint32_t failed_attempts)
{
    const auto& policy = state.policy;
    duration max_wait = policy.first_backoff;
    for (std::uint32_t i = 1;
         i < failed_attempts && max_wait < policy.max_backoff; ++i)
        max_wait *= 2;
    max_wait = std::min<duration>(max_wait, policy.max_backoff);
    return from_seconds(to_seconds(max_wait) * state.hooks.random());
}

bool is_retryable_read(const error& failure)
{
    return failure.code == errc::connection_failed || is_indeterminate(failure);
}

template <class T>
awaitable<result<T>>
read_with_retries(state_pointer state, std::string step, attempt<T> start)
{
    for (std::uint32_t failed_attempts = 1;; ++failed_attempts) {
        auto answer = co_await attempt_once<T>(state, step, start);
        if (answer || !is_retryable_read(answer.error()) ||
            failed_attempts >= state->policy.read_attempts)
            co_return answer;
        co_await state->hooks.sleep(backoff(*state, failed_attempts));
    }
}

awaitable<void> sleep_on_timer(duration span)
{
    boost::asio::steady_timer timer(
        co_await boost::asio::this_coro::executor, span);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace

platform_hooks make_platform_hooks()
{
    auto generator = std::make_shared<std::mt19937_64>(std::random_device{}());
    return {
        [] { return clock::now(); },
        [](duration span) { return sleep_on_timer(span); },
        [generator] {
            return std::uniform_real_distribution<double>()(*generator);
        }};
}

table_service make_bounded_table_service(
    table_service inner, platform_policy policy, platform_hooks hooks)
{
    const call_budget budget(policy, hooks.now());
    auto state = std::make_shared<bounded_state>(
        bounded_state{std::move(inner), policy, std::move(hooks), budget});
    table_service bounded;
    bounded.get = [state](const std::string& key) {
        using row = std::optional<table_row>;
        return read_with_retries<row>(
            state, "table.get", [state, key] { return state->inner.get(key); });
    };
    bounded.list = [state](table_version after, std::size_t limit) {
        return read_with_retries<row_list>(
            state, "table.list",
            [state, after, limit] { return state->inner.list(after, limit); });
    };
    bounded.commit = [state](table_transaction change) {
        return attempt_once<table_version>(
            state, "table.commit", [state, change = std::move(change)] {
                return state->inner.commit(change);
            });
    };
    return bounded;
}

bool is_indeterminate(const error& failure)
{
    return failure.code == errc::timeout ||
           failure.code == errc::connection_broken ||
           failure.code == errc::unavailable;
}

} // namespace fulmarjunction
