#include "token_gate.hpp"

#include <fulmarjunction/peer/control.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// Waits last at most 100 ms, so a check every 10 ms is precise enough. The
/// period equals that of admission, so the checks add no wake-ups.
constexpr milliseconds poll_period(10);
constexpr milliseconds borrow_timeout(500);

std::optional<refusal>
to_refusal(rate_verdict verdict, milliseconds retry_after)
{
    if (verdict == rate_verdict::admitted)
        return std::nullopt;
    return refusal{
        outcome::not_run, refusal_reason::rate_exceeded,
        std::max<std::int64_t>(1, retry_after.count())};
}

} // namespace

token_gate::token_gate(
    const asio::any_io_executor& executor, node_state& state,
    peer_client& peers)
    : executor_(executor), state_(state), peers_(peers)
{
    poll_timer_ = state_.timers.every(poll_period, [this](time_point now) {
        if (now >= state_.rates.next_poll())
            apply(state_.rates.poll(now));
    });
}

awaitable<std::optional<refusal>>
token_gate::charge(client_account account, time_point)
{
    auto decision = state_.rates.take(account, clock::now());
    if (decision.verdict != rate_verdict::waiting) {
        apply(std::move(decision.effects));
        co_return to_refusal(decision.verdict, decision.retry_after);
    }
    const auto pending = std::make_shared<waiter>(executor_);
    waiters_.emplace(decision.ticket, pending);
    apply(std::move(decision.effects));
    co_await pending->signal.wait();
    co_return to_refusal(
        pending->resolution.verdict, pending->resolution.retry_after);
}

void token_gate::apply(rate_effects effects)
{
    for (auto& borrow : effects.send)
        asio::co_spawn(executor_, send(std::move(borrow)), asio::detached);
    for (const auto& resolution : effects.resolved) {
        const auto found = waiters_.find(resolution.ticket);
        if (found == waiters_.end())
            continue;
        const auto pending = found->second;
        waiters_.erase(found);
        pending->resolution = resolution;
        pending->signal.cancel();
    }
}

awaitable<void> token_gate::send(outgoing_borrow borrow)
{
    apply(co_await exchange(std::move(borrow)));
}

awaitable<rate_effects> token_gate::exchange(outgoing_borrow borrow)
{
    const auto to = state_.locate(borrow.to);
    if (!to)
        co_return state_.rates.delivery_failed(borrow, clock::now());
    const auto text = co_await send_control(
        peers_, *to, "borrow", to_text(borrow.message),
        clock::now() + borrow_timeout);
    if (!text)
        co_return state_.rates.delivery_failed(borrow, clock::now());
    const auto answer = parse_borrow_answer(text.value());
    if (!answer)
        co_return state_.rates.delivery_failed(borrow, clock::now());
    co_return state_.rates.receive(borrow.to, answer.value(), clock::now());
}

result<std::string>
token_gate::answer_borrow(const instance_name& from, std::string_view text)
{
    BOOST_OUTCOME_TRY(auto request, parse_borrow_request(text));
    return to_text(state_.rates.lend(from, request, clock::now()));
}

} // namespace fulmarjunction
