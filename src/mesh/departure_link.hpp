/// @file
/// Departures of backend servers, between nodes.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/timer_service.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/mesh/backend_monitor.hpp>
#include <fulmarjunction/peer/peer.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Names of the control messages: a node tells its departures, or asks for
/// those that it has told before its start.
inline constexpr std::string_view departures_message = "departures";
inline constexpr std::string_view departures_query = "departures-query";

/// Copies the departures that a node has acknowledged to some other nodes, and
/// asks for the copies when the node starts.
///
/// `departure_archive` keeps them as well, but not while the store is
/// unavailable.
class departure_link
{
public:
    struct dependencies
    {
        fleet_view* fleet = nullptr;
        backend_monitor* monitor = nullptr;
        timer_service* timers = nullptr;
        /// Returns the peer client, or null until the node has joined.
        std::function<peer_client*()> peers;
    };

    departure_link(boost::asio::any_io_executor executor, dependencies deps);

    /// Starts the periodic work.
    void start();

    /// Sends departures that have not been acknowledged yet at once.
    void announce();

    /// Passes the copies that other nodes have to the monitor. Ends when all
    /// nodes that may have some have answered or failed once, or after some
    /// time; later answers are passed on as well.
    awaitable<void> read_copies();

    /// Stores a copy of the departures of another node.
    /// @return the answer, or `errc::malformed`
    result<std::string>
    receive(const instance_name& from, std::string_view text);

    /// Answers a node that asks for the copies of its departures.
    std::string copies_of(const instance_name& node) const;

private:
    /// What one other node has acknowledged.
    struct holder_state
    {
        incarnation_number incarnation = 0;
        /// See `departures_digest`.
        std::string acknowledged;
        bool is_busy = false;
    };
    struct query_state
    {
        bool is_busy = false;
        bool has_failed = false;
        bool has_answered = false;
    };

    std::vector<instance_name>
    ranked_members(std::size_t count, bool only_reachable) const;
    void tick(time_point now);
    void update(const fleet_member& holder, const std::string& digest);
    awaitable<void> send(peer_address to, std::string text, std::string digest);
    void send_queries();
    awaitable<void> query(peer_address to);
    bool restore(const instance_name& from, std::string_view text);
    void check_answers();

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    /// Departures of other nodes.
    departure_copies copies_;
    std::map<instance_name, holder_state> holders_;
    std::map<instance_name, query_state> queries_;
    time_point query_until_{};
    cancel_event all_answered_;
    timer_service::subscription ticks_;
};

} // namespace fulmarjunction
