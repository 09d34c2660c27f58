/// @file
/// What a node knows of the other nodes and their backend servers.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Whether a backend server takes requests.
enum class backend_state
{
    /// None has announced itself, or it has stopped doing so.
    absent,
    ready,
    /// It finishes what it has and takes nothing new.
    draining
};
std::string_view to_string(backend_state value);
std::optional<backend_state> parse_backend_state(std::string_view name);

/// What a node says about itself and the backend server beside it.
struct node_report
{
    instance_name node;
    incarnation_number incarnation = 0;
    /// Grows with each report of one incarnation.
    std::uint64_t sequence = 0;
    std::string peer_address;
    availability_zone zone;
    service_name service;
    /// Id of the current run of the backend server; empty when absent.
    std::string backend_id;
    backend_state state = backend_state::absent;
    /// Requests that the node lets the backend server run at once.
    std::size_t limit = 0;
    /// Requests running and waiting.
    std::size_t load = 0;
    /// Requests to backend servers that one run here leads to, itself
    /// included.
    double run_cost = 1;
    /// How far calls exceed the room of the backend server; see
    /// `call_pressure`.
    double pressure = 0;
};

/// Formats a report for the wire between nodes.
std::string format_report(const node_report& report);

/// Reads a report.
/// @return `errc::malformed` when a field is missing or out of range
result<node_report> parse_report(std::string_view text);

/// How an exchange with another node failed.
enum class peer_failure
{
    /// Its host answered that no process listens: the node has ended.
    refused,
    /// Nothing came back: it may be alive on the far side of a partition.
    unresponsive
};

/// A node as this node knows it.
struct fleet_member
{
    node_report report;
    boost::asio::ip::tcp::endpoint address;
    /// When it was last heard; the epoch when it never was.
    time_point received_at{};
    time_point learned_at{};
    bool is_reachable = true;
    bool has_ended = false;
    time_point unreachable_since{};
};

/// Keeps the newest report of each node and who can be reached.
///
/// Nodes learn of each other from the rows that each writes when it starts;
/// after that they tell each other, and failed exchanges show who is gone.
class fleet_view
{
public:
    /// @param forget_after a silent node may still serve for this long, and
    ///        keeps its part of what the fleet shares
    fleet_view(instance_name self, duration forget_after);

    /// Takes note of a node that a row names.
    void learn(const node_report& row, time_point now);

    /// Takes note of a report from the node itself.
    /// @return whether its backend server or incarnation changed
    bool receive(const node_report& report, time_point now);

    void mark_unreachable(
        const instance_name& node, peer_failure how, time_point now);

    /// Forgets a node that says that it stops.
    void remove(const instance_name& node, incarnation_number incarnation);

    /// Forgets nodes that have been gone for long.
    void expire(time_point now);

    const instance_name& self() const { return self_; }
    const fleet_member* find(const instance_name& node) const;
    const std::map<instance_name, fleet_member>& members() const
    {
        return members_;
    }

    /// Returns the part of the nodes, this one included, that this node can
    /// reach or knows to have ended. Each side of a partition grants only
    /// its part of what the fleet shares.
    double reachable_share() const;

    /// Returns the node that keeps the ledger of an account: by rendezvous
    /// hashing over the nodes that can be reached.
    instance_name ledger_node(const client_account& account) const;

    /// Returns the nodes that ask the store themselves whether the
    /// configuration is the newest. The others ask them: the calls to the
    /// store grow slowly with the fleet.
    std::vector<instance_name> store_readers() const;

    /// Returns the witnesses that this node asks.
    std::vector<instance_name> own_store_readers() const;
    bool is_store_reader() const;

    /// Called when the set of reachable nodes or a backend server changed.
    std::function<void()> on_change;
    /// Called with each report that was taken.
    std::function<void(const node_report&)> on_report;

private:
    void changed() const;

    instance_name self_;
    duration forget_after_;
    std::map<instance_name, fleet_member> members_;
};

} // namespace fulmarjunction
