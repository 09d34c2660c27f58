/// @file
/// Runs unique requests at the node that issued their idempotency keys.
#pragma once

#include "node_state.hpp"

#include <fulmarjunction/peer/peer.hpp>
#include <fulmarjunction/serving/dispatcher.hpp>
#include <fulmarjunction/serving/entry.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <string>

namespace fulmarjunction {

/// Connects the key issuer to calls, to resends that wait for a run in
/// progress and to peers.
class unique_runner
{
public:
    unique_runner(
        const boost::asio::any_io_executor& executor, node_state& state,
        dispatcher& calls);

    /// Runs a unique request on this node or its issuer, or answers a resend.
    awaitable<call_answer>
    run(outgoing_call call, retry_budget& budget, cancel_event canceled);

    /// Runs a unique request that a peer has sent to its issuer.
    awaitable<streamed_response>
    run_for_peer(request_context context, streamed_request request);

    issued_keys issue(const client_account& account, std::size_t count);

    /// Hands the open keys over to a successor before a graceful shutdown.
    /// @param commit writes the handover row
    /// @return whether a successor has taken over the keys
    awaitable<bool> hand_over(
        peer_client& peers, time_point deadline,
        std::function<awaitable<result<table_version>>(table_transaction)>
            commit);

    /// Answers the control message `handover`.
    result<std::string>
    answer_handover(const instance_name& from, std::string_view text);

private:
    awaitable<call_answer> run_here(
        outgoing_call call, retry_budget& budget, cancel_event canceled,
        bool may_forward);
    awaitable<call_answer> start(outgoing_call call, std::uint32_t retries);
    awaitable<void>
    run_detached(outgoing_call call, std::shared_ptr<retry_budget> budget);
    awaitable<call_answer> forward(
        const begin_decision& decision, outgoing_call call,
        retry_budget& budget, cancel_event canceled);
    run_result make_run_result(
        const call_answer& answer, const std::string& body,
        bool is_whole) const;

    /// A run in progress, on which its caller and resends wait.
    struct execution
    {
        explicit execution(const boost::asio::any_io_executor& executor)
            : finished(executor)
        {
        }

        cancel_event finished;
        /// The answer, until the call that started the run takes it.
        std::optional<call_answer> answer;
        std::uint32_t retries_left = 0;
    };

    boost::asio::any_io_executor executor_;
    node_state& state_;
    dispatcher& calls_;
    std::map<std::string, std::shared_ptr<execution>, std::less<>> executions_;
    timer_service::subscription key_expiry_;
};

} // namespace fulmarjunction
