/// @file
/// Probes, leave messages and rows between nodes.
#pragma once

#include "node_state.hpp"

#include <fulmarjunction/peer/peer.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <string>
#include <string_view>

namespace fulmarjunction {

/// Sends and answers the messages that keep membership and rows current.
class gossip
{
public:
    gossip(
        const boost::asio::any_io_executor& executor, node_state& state,
        peer_client& peers);

    /// Sends what membership has due now.
    void send_due();

    /// Tells neighbours that the rows have advanced.
    void push_rows();

    result<std::string>
    answer_probe(const instance_name& from, std::string_view text);
    result<std::string>
    answer_leave(const instance_name& from, std::string_view text);
    result<std::string> answer_suspects(std::string_view text);
    result<std::string>
    answer_rows(const instance_name& from, std::string_view text);

private:
    awaitable<void> send_probe(outgoing_probe order);
    awaitable<result<std::string>>
    exchange_probe(const outgoing_probe& order, time_point sent);
    awaitable<void> send_leave(outgoing_leave order);
    void push_suspects();
    awaitable<void> send_suspects(peer_address to, std::string text);
    awaitable<void> send_push(peer_address to, rows_delta delta);
    awaitable<void> pull(peer_address from, rows_request request);
    void learn(peer_address from, const probe_result& learned);
    void start_pull(const peer_address& from, const rows_request& request);

    boost::asio::any_io_executor executor_;
    node_state& state_;
    peer_client& peers_;
    bool pulling_ = false;
    /// Change of the suspects up to which neighbours were told.
    std::uint64_t suspects_told_ = 0;
    timer_service::subscription ticks_;
    timer_service::subscription suspect_checks_;
};

} // namespace fulmarjunction
