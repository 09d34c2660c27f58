/// @file
/// Communication with the other nodes: reports, tokens of accounts, leaves.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/timer_service.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/mesh/config_copy.hpp>
#include <fulmarjunction/peer/peer.hpp>
#include <fulmarjunction/quota/account_ledger.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Result of a request for tokens of an account.
struct token_answer
{
    /// Whether a ledger answered, even if it granted no tokens.
    bool has_grant = false;
    token_grant grant;
};

/// Exchanges reports with every other node, so that each knows the state of
/// all backend servers, which nodes are reachable and which configuration is
/// the newest.
///
/// Of two nodes the one with the lower name starts the exchange. The other does
/// so only when it has received no report for too long.
class fleet_link
{
public:
    struct dependencies
    {
        fleet_view* fleet = nullptr;
        config_copy* config = nullptr;
        account_ledger* ledger = nullptr;
        /// Returns the peer client, or null until the node has joined.
        std::function<peer_client*()> peers;
        timer_service* timers = nullptr;
        /// Called when another node reports a newer configuration.
        std::function<void()> newer_config_seen;
        /// Returns the current report of this node.
        std::function<node_report()> own_report;
        /// Returns nodes that have had calls of this one in flight and have
        /// answered none for `limit`.
        std::function<std::vector<instance_name>(duration limit)>
            unresponsive_nodes;
    };

    fleet_link(boost::asio::any_io_executor executor, dependencies deps);

    /// Starts the periodic exchanges.
    void start();

    /// Sends the current report to all reachable nodes at once.
    void announce();

    /// Tells all reachable nodes that this one stops.
    void announce_leave();

    /// Takes tokens of an account from the node that keeps its ledger.
    awaitable<token_answer>
    take_tokens(account_plan plan, std::size_t wanted, time_point deadline);

    /// Processes a control message of another node and returns the answer.
    result<std::string>
    handle_message(std::string_view name, std::string_view text);

    /// Processes the failure of a request that could not be sent to a node.
    void handle_call_failure(const instance_name& node, const error& problem);

private:
    struct exchange_state
    {
        bool is_busy = false;
        time_point next_at{};
        unsigned missed_exchanges = 0;
        time_point answered_at{};
    };

    void probe_unresponsive_nodes(time_point now);
    void tick(time_point now);
    bool is_due(
        const fleet_member& member, const exchange_state& exchange,
        bool is_store_reader, time_point now) const;
    duration period() const;
    void start_exchange(const fleet_member& member);
    awaitable<void>
    run_exchange(instance_name node, boost::asio::ip::tcp::endpoint address);
    void
    handle_exchange_failure(const instance_name& node, const error& problem);
    std::string make_message() const;
    result<void>
    process_message(std::string_view text, std::optional<duration> sent_at);
    result<std::string> handle_token_request(std::string_view text);

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    std::map<instance_name, exchange_state> exchanges_;
    timer_service::subscription ticks_;
};

} // namespace fulmarjunction
