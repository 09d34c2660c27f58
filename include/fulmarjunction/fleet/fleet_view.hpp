/// @file
/// The view that a node has of the other nodes and their backend servers.
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
    /// None has announced itself, or its announcements have stopped.
    absent,
    ready,
    /// It finishes running requests and takes no new ones.
    draining
};
std::string_view to_string(backend_state value);
std::optional<backend_state> parse_backend_state(std::string_view name);

/// Report of a node about itself and its local backend server.
struct node_report
{
    instance_name node;
    incarnation_number incarnation = 0;
    /// Increases with each report of one incarnation.
    std::uint64_t sequence = 0;
    std::string peer_address;
    availability_zone zone;
    service_name service;
    /// Id of the current backend server process; empty when absent.
    std::string backend_id;
    backend_state state = backend_state::absent;
    /// Maximum number of concurrent requests at the backend server.
    std::size_t limit = 0;
    /// Requests running and waiting.
    std::size_t load = 0;
    /// Mean number of requests to backend servers that one request here
    /// causes, itself included.
    double run_cost = 1;
    /// How far calls exceed the capacity of the backend server; see
    /// `call_pressure`.
    double pressure = 0;
    /// Service for which this node refuses the most requests itself, without
    /// sending them, and how many per second; see `refusal_throttle`.
    service_name throttled_service;
    double throttled_per_s = 0;
};

/// Formats a report for the wire between nodes.
std::string format_report(const node_report& report);

/// Reads a report.
/// @return `errc::malformed` when a field is missing or out of range
result<node_report> parse_report(std::string_view text);

/// How an exchange with another node failed.
enum class peer_failure
{
    /// The connection was refused: no process listens, so the node has ended.
    refused,
    /// No answer. The node may still run on the other side of a partition.
    unresponsive
};

/// Last known state of another node.
struct fleet_member
{
    node_report report;
    boost::asio::ip::tcp::endpoint address;
    /// Time of its last report; the epoch when none has arrived.
    time_point received_at{};
    time_point learned_at{};
    bool is_reachable = true;
    bool has_ended = false;
    time_point unreachable_since{};
};

/// Keeps the newest report of each node and whether the node is reachable.
///
/// Nodes discover each other through the rows that each writes at start. After
/// that they exchange reports, and failed exchanges show which are gone.
class fleet_view
{
public:
    /// @param forget_after an unresponsive node may still serve for this long,
    ///        and keeps its share of the fleet-wide limits
    fleet_view(instance_name self, duration forget_after);

    /// Adds a node that was found in a row of the store.
    void learn(const node_report& row, time_point now);

    /// Adds a node that a later read of the rows has found, unless it is known.
    /// Its row may have outlived it, so it counts as ended until it reports.
    void recall(const node_report& row, time_point now);

    /// Processes a report that a node sent about itself. Reports of an
    /// incarnation that has left are ignored, however late they arrive.
    /// @return whether its backend server, incarnation or reachability changed
    bool receive(const node_report& report, time_point now);

    void mark_unreachable(
        const instance_name& node, peer_failure failure, time_point now);

    /// Removes a node that has announced its leave.
    void remove(
        const instance_name& node, incarnation_number incarnation,
        time_point now);

    /// Removes nodes that have been unreachable for `forget_after`.
    void expire(time_point now);

    /// Excludes this node from keeping ledgers, as the others do once they know
    /// that it leaves.
    void begin_leave() { is_leaving_ = true; }

    const instance_name& self() const { return self_; }
    const fleet_member* find(const instance_name& node) const;
    const std::map<instance_name, fleet_member>& members() const
    {
        return members_;
    }

    /// Returns the share of the nodes not known to have ended, this node
    /// included, that this node can reach. Each side of a partition grants only
    /// this share of the fleet-wide limits.
    double reachable_share() const;

    /// Returns the node that keeps the ledger of an account, chosen by
    /// rendezvous hashing over the reachable nodes.
    instance_name ledger_node(const client_account& account) const;

    /// Returns the nodes that poll the store for a newer configuration. All
    /// other nodes query these, so that the number of calls to the store grows
    /// slowly with the fleet.
    std::vector<instance_name> store_readers() const;

    /// Returns the store readers that this node queries.
    std::vector<instance_name> own_store_readers() const;
    bool is_store_reader() const;

    /// Called when the set of reachable nodes or a backend server changed.
    std::function<void()> on_change;
    /// Called with each report that was accepted.
    std::function<void(const node_report&)> on_report;

private:
    /// The last incarnation of a node that has announced its leave.
    struct departed_node
    {
        incarnation_number incarnation = 0;
        time_point left_at{};
    };

    void notify_changed() const;
    bool has_departed(const node_report& report) const;

    instance_name self_;
    duration forget_after_;
    bool is_leaving_ = false;
    std::map<instance_name, fleet_member> members_;
    std::map<instance_name, departed_node> departed_;
};

} // namespace fulmarjunction
