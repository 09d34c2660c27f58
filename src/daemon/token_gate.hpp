/// @file
/// Charges requests to client accounts, and waits for token loans from peers
/// where needed.
#pragma once

#include "node_state.hpp"

#include <fulmarjunction/peer/peer.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <unordered_map>

namespace fulmarjunction {

/// Connects the rate limiter to waiting requests and to lending peers.
class token_gate
{
public:
    token_gate(
        const boost::asio::any_io_executor& executor, node_state& state,
        peer_client& peers);

    /// Charges one request.
    /// @return nothing when the request was charged, else the refusal
    awaitable<std::optional<refusal>>
    charge(client_account account, time_point deadline);

    /// Answers the control message `borrow`.
    result<std::string>
    answer_borrow(const instance_name& from, std::string_view text);

private:
    struct waiter
    {
        explicit waiter(const boost::asio::any_io_executor& executor)
            : signal(executor)
        {
        }

        cancel_event signal;
        resolved_ticket resolution;
    };

    void apply(rate_effects effects);
    awaitable<void> send(outgoing_borrow borrow);
    awaitable<rate_effects> exchange(outgoing_borrow borrow);

    boost::asio::any_io_executor executor_;
    node_state& state_;
    peer_client& peers_;
    std::unordered_map<rate_ticket, std::shared_ptr<waiter>> waiters_;
    timer_service::subscription poll_timer_;
};

} // namespace fulmarjunction
