#include "unique_runner.hpp"

#include <fulmarjunction/peer/control.hpp>

#include <fulmarjunction/core/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

constexpr seconds key_expiry_period(1);
constexpr milliseconds piece_timeout(1000);
constexpr std::size_t max_pieces_per_batch = 4;

/// Returns whether a header field is kept with the answer. `connection` and
/// `fj-` fields belong to one delivery of it only.
bool is_end_to_end_field(const header_field& field)
{
    return field.name != "connection" && !field.name.starts_with("fj-");
}

std::string request_digest(const outgoing_call& call)
{
    std::array<unsigned char, 32> digest{};
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, digest.size());
    for (const std::string_view field :
         {std::string_view(call.method), std::string_view(call.target),
          std::string_view(call.body.prefix)}) {
        // The length prefix makes the concatenation of the fields unambiguous.
        const std::uint64_t size = field.size();
        crypto_generichash_update(
            &state, reinterpret_cast<const unsigned char*>(&size),
            sizeof(size));
        crypto_generichash_update(
            &state, reinterpret_cast<const unsigned char*>(field.data()),
            field.size());
    }
    crypto_generichash_final(&state, digest.data(), digest.size());
    std::string text(2 * digest.size() + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    text.pop_back();
    return text;
}

streamed_response replay(const kept_answer& kept)
{
    streamed_response answer;
    answer.status = kept.status;
    answer.headers = kept.headers;
    answer.headers.push_back({"fulmar-replayed", "1"});
    answer.content_length = kept.body.size();
    answer.body = string_body(kept.body);
    return answer;
}

} // namespace

unique_runner::unique_runner(
    const asio::any_io_executor& executor, node_state& state, dispatcher& calls)
    : executor_(executor), state_(state), calls_(calls)
{
    key_expiry_ =
        state_.timers.every(key_expiry_period, [this](time_point now) {
            state_.issuer.expire(now);
        });
}

issued_keys
unique_runner::issue(const client_account& account, std::size_t count)
{
    auto keys = state_.issuer.issue(
        account, static_cast<std::uint32_t>(count), clock::now());
    if (keys)
        return std::move(keys.value());
    const auto reason = keys.error().code == errc::unavailable
                            ? refusal_reason::draining
                            : refusal_reason::rate_exceeded;
    return refusal{outcome::not_run, reason, 1000};
}

awaitable<call_answer> unique_runner::run(
    outgoing_call call, retry_budget& budget, cancel_event canceled)
{
    return run_here(std::move(call), budget, std::move(canceled), true);
}

awaitable<call_answer> unique_runner::run_here(
    outgoing_call call, retry_budget& budget, cancel_event canceled,
    bool may_forward)
{
    if (!call.body.is_whole) {
        // A resend is compared with the first request by a digest of the whole
        // body.
        co_return refusal{outcome::not_run, refusal_reason::body_too_large, 0};
    }
    const auto key = call.context.idempotency_key;
    const auto digest = request_digest(call);
    for (;;) {
        const auto now = clock::now();
        if (now >= call.context.deadline) {
            co_return refusal{
                outcome::unknown, refusal_reason::deadline_expired, 0};
        }
        const auto decision = state_.issuer.begin(
            key, call.context.account, call.context.endpoint, digest, now);
        switch (decision.verdict) {
        case begin_verdict::run: {
            const auto delegated = budget.delegate(budget.left());
            call.context.retries = delegated;
            co_return co_await start(std::move(call), delegated);
        }
        case begin_verdict::answered:
            co_return replay(*decision.answer);
        case begin_verdict::refused:
            co_return decision.refusal_details;
        case begin_verdict::forward:
            if (!may_forward) {
                co_return refusal{
                    outcome::unknown, refusal_reason::issuer_gone, 0};
            }
            co_return co_await forward(
                decision, std::move(call), budget, canceled);
        case begin_verdict::in_progress:
            break;
        }
        const auto found = executions_.find(key);
        if (found == executions_.end()) {
            co_return refusal{
                outcome::unknown, refusal_reason::backend_failed, 0};
        }
        const auto progress = found->second;
        asio::steady_timer limit(executor_, call.context.deadline);
        const cancel_event expired(executor_);
        limit.async_wait([expired](const boost::system::error_code& ec) {
            if (!ec)
                expired.cancel();
        });
        using namespace asio::experimental::awaitable_operators;
        co_await (progress->finished.wait() || expired.wait());
    }
}

awaitable<call_answer>
unique_runner::start(outgoing_call call, std::uint32_t retries)
{
    // The run continues when its caller disconnects: a resend gets its answer.
    const auto key = call.context.idempotency_key;
    const auto progress = std::make_shared<execution>(executor_);
    executions_.insert_or_assign(key, progress);
    asio::co_spawn(
        executor_,
        run_detached(std::move(call), std::make_shared<retry_budget>(retries)),
        asio::detached);
    co_await progress->finished.wait();
    if (!progress->answer) {
        co_return refusal{outcome::unknown, refusal_reason::backend_failed, 0};
    }
    co_return std::move(*std::exchange(progress->answer, std::nullopt));
}

awaitable<void> unique_runner::run_detached(
    outgoing_call call, std::shared_ptr<retry_budget> budget)
{
    const auto key = call.context.idempotency_key;
    auto answer =
        co_await calls_.call(std::move(call), *budget, cancel_event(executor_));
    std::string body;
    bool is_whole = true;
    if (answer.response) {
        auto read =
            co_await buffer_request_body(std::move(answer.response->body));
        if (read) {
            is_whole = read.value().is_whole;
            body = is_whole ? read.value().prefix : std::string();
            answer.response->body = read.value().open();
        } else {
            call_answer broken(
                refusal{outcome::unknown, refusal_reason::backend_failed, 0});
            broken.downstream = answer.downstream;
            answer = std::move(broken);
        }
    }
    state_.issuer.finish(
        key, make_run_result(answer, body, is_whole), clock::now());
    const auto found = executions_.find(key);
    if (found == executions_.end())
        co_return;
    const auto progress = found->second;
    executions_.erase(found);
    progress->answer = std::move(answer);
    progress->finished.cancel();
}

run_result unique_runner::make_run_result(
    const call_answer& answer, const std::string& body, bool is_whole) const
{
    run_result run;
    if (!answer.response) {
        run.request_outcome = answer.refusal_details.outcome;
        run.reason = answer.refusal_details.reason;
        return run;
    }
    run.request_outcome = outcome::answered;
    if (!is_whole)
        return run;
    kept_answer kept;
    kept.status = answer.response->status;
    std::copy_if(
        answer.response->headers.begin(), answer.response->headers.end(),
        std::back_inserter(kept.headers), is_end_to_end_field);
    kept.body = body;
    run.answer = std::move(kept);
    return run;
}

awaitable<call_answer> unique_runner::forward(
    const begin_decision& decision, outgoing_call call, retry_budget& budget,
    cancel_event canceled)
{
    // Only the issuer knows whether an earlier request with this key has run,
    // so the outcome is "unknown" while the issuer is unavailable.
    const refusal issuer_unavailable{
        outcome::unknown, refusal_reason::issuer_gone, 0};
    auto name = decision.issuer;
    auto incarnation = decision.incarnation;
    if (const auto* row = state_.successor_of(name, incarnation)) {
        name = row->successor;
        incarnation = row->successor_incarnation;
    }
    const auto view = state_.members.find(name);
    const auto to = state_.locate(name);
    if (!view || !to || view->record.incarnation != incarnation || view->down)
        co_return issuer_unavailable;
    const auto delegated = budget.delegate(budget.left());
    call.context.retries = delegated;
    streamed_request request{
        call.method, call.target, call.headers, call.content_length,
        call.body.open()};
    strip_internal_fields(request.headers);
    write_context(request.headers, call.context, clock::now());
    request.headers.push_back({"fj-kind", "execute"});
    std::uint32_t unspent = 0;
    auto answer = co_await calls_.send_to_peer(
        *to, std::move(request), call.context.deadline, canceled, &unspent);
    budget.reclaim(delegated, unspent);
    if (!answer.response &&
        answer.refusal_details.reason == refusal_reason::no_instance &&
        answer.refusal_details.outcome == outcome::not_run)
        co_return issuer_unavailable;
    co_return answer;
}

awaitable<streamed_response>
unique_runner::run_for_peer(request_context context, streamed_request request)
{
    answer_metadata notes;
    notes.retries_unspent = context.retries;
    auto body = co_await buffer_request_body(std::move(request.body));
    if (!body) {
        co_return refusal_answer(
            {outcome::not_run, refusal_reason::malformed, 0}, notes);
    }
    retry_budget budget(context.retries);
    outgoing_call call;
    call.context = std::move(context);
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    call.headers = std::move(request.headers);
    call.content_length = request.content_length;
    call.body = std::move(body.value());
    auto answer = co_await run_here(
        std::move(call), budget, cancel_event(executor_), false);
    notes.retries_unspent = budget.left();
    notes.downstream = answer.downstream;
    if (!answer.response)
        co_return refusal_answer(answer.refusal_details, notes);
    strip_internal_fields(answer.response->headers);
    write_answer_metadata(answer.response->headers, notes);
    co_return std::move(*answer.response);
}

awaitable<bool> unique_runner::hand_over(
    peer_client& peers, time_point deadline,
    std::function<awaitable<result<table_version>>(table_transaction)> commit)
{
    for (const auto& name : state_.members.live()) {
        const auto view = state_.members.find(name);
        const auto to = state_.locate(name);
        if (name == state_.self.name || !view || !to)
            continue;
        if (clock::now() >= deadline)
            co_return false;
        if (!state_.issuer.freeze(name, view->record.incarnation, clock::now()))
            co_return false;
        bool is_sent = true;
        for (auto batch = state_.issuer.pieces(max_pieces_per_batch);
             is_sent && !batch.empty();
             batch = state_.issuer.pieces(max_pieces_per_batch)) {
            for (const auto& piece : batch) {
                const auto text = co_await send_control(
                    peers, *to, "handover", to_text(piece.message),
                    clock::now() + piece_timeout);
                const auto receipt =
                    text ? parse_handover_receipt(text.value())
                         : result<handover_receipt>(text.error());
                is_sent = is_sent && receipt.has_value();
                if (receipt)
                    state_.issuer.confirm(name, receipt.value());
            }
        }
        if (!is_sent)
            continue;
        auto change = state_.issuer.write_handover();
        if (!change)
            continue;
        const auto written = co_await commit(std::move(*change));
        if (written)
            state_.issuer.handover_written();
        log(log_level::info, "idempotency_keys_handed_over",
            {{"successor", name},
             {"result", written ? "written" : to_string(written.error())}});
        co_return written.has_value();
    }
    co_return false;
}

result<std::string>
unique_runner::answer_handover(const instance_name& from, std::string_view text)
{
    BOOST_OUTCOME_TRY(auto piece, parse_handover_piece(text));
    BOOST_OUTCOME_TRY(
        auto receipt, state_.issuer.adopt_piece(from, piece, clock::now()));
    return to_text(receipt);
}

} // namespace fulmarjunction
