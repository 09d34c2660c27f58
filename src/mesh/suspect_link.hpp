/// @file
/// Reports of requests that crash backend servers, between nodes.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/timer_service.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/peer/peer.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Sends the crashes that this node has seen to all other nodes, and all that
/// it knows to a node that has just started. A report is sent again until it
/// has been acknowledged.
class suspect_link
{
public:
    struct dependencies
    {
        fleet_view* fleet = nullptr;
        suspect_list* suspects = nullptr;
        timer_service* timers = nullptr;
        /// Returns the peer client, or null until the node has joined.
        std::function<peer_client*()> peers;
    };

    suspect_link(boost::asio::any_io_executor executor, dependencies deps);

    /// Starts the periodic work.
    void start();

    /// Sends what has changed at once.
    void announce();

    /// Merges a message of another node.
    /// @return the answer, or `errc::malformed`
    result<std::string> receive(std::string_view text);

private:
    /// What one other node has acknowledged.
    struct peer_state
    {
        incarnation_number incarnation = 0;
        std::uint64_t acknowledged = 0;
        bool is_busy = false;
        bool has_everything = false;
    };

    void update(const fleet_member& member);
    awaitable<void>
    send(peer_address to, std::string text, std::uint64_t change);

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    std::map<instance_name, peer_state> states_;
    timer_service::subscription ticks_;
};

} // namespace fulmarjunction
