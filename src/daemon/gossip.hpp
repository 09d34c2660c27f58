/// @file
/// Exchange of probes, leave messages, table rows and suspect reports between
/// nodes.
#pragma once

#include "node_state.hpp"

#include <fulmarjunction/peer/peer.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <string>
#include <string_view>

namespace fulmarjunction {

/// Sends and answers the messages that keep the membership and the table
/// replica up to date.
class gossip
{
public:
    gossip(
        const boost::asio::any_io_executor& executor, node_state& state,
        peer_client& peers);

    /// Sends the probes and leave messages that are due.
    void send_due_messages();

    /// Pushes rows to the neighbours whose replica is older than this one.
    void push_rows();

    result<std::string>
    answer_probe(const instance_name& from, std::string_view text);
    result<std::string>
    answer_leave(const instance_name& from, std::string_view text);
    result<std::string> answer_suspects(std::string_view text);
    result<std::string>
    answer_rows(const instance_name& from, std::string_view text);

private:
    awaitable<void> send_probe(outgoing_probe probe);
    awaitable<result<std::string>>
    exchange_probe(const outgoing_probe& probe, time_point sent);
    awaitable<void> send_leave(outgoing_leave leave);
    void push_suspects();
    awaitable<void> send_suspects(peer_address to, std::string text);
    awaitable<void> send_push(peer_address to, rows_delta delta);
    awaitable<void> pull(peer_address from, rows_request request);
    void apply_probe_result(peer_address from, const probe_result& received);
    void start_pull(const peer_address& from, const rows_request& request);

    boost::asio::any_io_executor executor_;
    node_state& state_;
    peer_client& peers_;
    bool is_pulling_ = false;
    /// Number of the last suspect change that was pushed to the neighbours.
    std::uint64_t last_pushed_suspect_change_ = 0;
    timer_service::subscription ticks_;
    timer_service::subscription suspect_checks_;
};

} // namespace fulmarjunction
