/// @file
/// Talks to the other nodes: who is there, tokens of accounts, calls.
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

/// Where an account's tokens come from and what was got.
struct token_answer
{
    /// Whether the ledger was reached.
    bool is_known = false;
    token_grant grant;
};

/// Exchanges reports with every other node, so that each knows the state of
/// all backend servers, who can be reached and which configuration is the
/// newest.
///
/// Of two nodes the one with the lower name starts the exchange; the other
/// does so only when it has not heard for too long.
class fleet_link
{
public:
    struct parts
    {
        fleet_view* fleet = nullptr;
        config_copy* config = nullptr;
        account_ledger* ledger = nullptr;
        /// Returns the client, which is there once the node has joined.
        std::function<peer_client*()> peers;
        timer_service* timers = nullptr;
        /// Called when another node has a newer configuration.
        std::function<void()> newer_config_seen;
        /// Returns the report of this node as it stands.
        std::function<node_report()> own_report;
        /// Returns nodes that have calls of this one and have answered none
        /// for a while.
        std::function<std::vector<instance_name>(duration limit)> quiet_nodes;
    };

    fleet_link(boost::asio::any_io_executor executor, parts wiring);

    /// Starts the periodic exchanges.
    void start();

    /// Tells every node at once what has changed here.
    void announce();

    /// Tells every node that this one stops.
    void say_goodbye();

    /// Takes tokens of an account from its ledger, wherever that is.
    awaitable<token_answer>
    take_tokens(account_plan plan, std::size_t wanted, time_point deadline);

    /// Answers a control message of another node.
    result<std::string> answer(std::string_view name, std::string_view text);

    /// Takes note that a call could not be passed on to a node.
    void call_failed(const instance_name& node, const error& problem);

private:
    struct partner
    {
        bool is_busy = false;
        time_point next_at{};
        unsigned silent_exchanges = 0;
        time_point answered_at{};
    };

    void ask_quiet_nodes(time_point now);
    void tick(time_point now);
    bool is_due(
        const fleet_member& member, const partner& with, bool is_witness,
        time_point now) const;
    duration period() const;
    void begin_exchange(const fleet_member& member);
    awaitable<void>
    run_exchange(instance_name node, boost::asio::ip::tcp::endpoint address);
    void exchange_failed(const instance_name& node, const error& problem);
    std::string make_message() const;
    result<void>
    take_message(std::string_view text, std::optional<duration> asked_at);
    result<std::string> answer_tokens(std::string_view text);

    boost::asio::any_io_executor executor_;
    parts parts_;
    std::map<instance_name, partner> partners_;
    timer_service::subscription ticks_;
};

} // namespace fulmarjunction
