/// @file
/// Failure detection by probes and dissemination of instance status.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/membership/instance_record.hpp>
#include <fulmarjunction/membership/probe_messages.hpp>
#include <fulmarjunction/membership/ring.hpp>
#include <fulmarjunction/platform/table_service.hpp>
#include <fulmarjunction/replica/freshness.hpp>

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Settings of failure detection and dissemination.
struct membership_settings
{
    duration probe_interval = seconds(1);
    /// Consecutive missed probes after which a monitor reports an instance.
    std::size_t failure_threshold = 3;
    /// A report that is not repeated expires.
    duration report_expiry = seconds(10);
    /// Interval at which a monitor repeats its report.
    duration report_repeat_interval = seconds(4);
    /// Above this number of current reports, their repeat interval and expiry
    /// grow in proportion. This bounds the traffic after the loss of a zone.
    std::size_t max_unscaled_reports = 32;
    /// Above this number of instances, both grow in proportion as well; the
    /// larger factor applies.
    std::size_t max_unscaled_instances = 300;
    /// Additional delay of each monitor after the first two before it reports,
    /// so that one failure does not cause six reports. Multiplied in fleets
    /// with more than three probe neighbours.
    duration report_stagger = seconds(1);
    /// A backend server without an announcement for this long is not ready.
    duration announce_timeout = seconds(3);
    /// An instance known only by its status, without a row, is removed after
    /// it has been down for this long.
    duration forget_after = seconds(60);
    /// Statuses and reports in one probe, in bytes. With 12 messages a second
    /// at 2,600 nodes, this keeps a node below 17 KB/s while many instances
    /// change at once.
    std::size_t max_probe_items_bytes = 1024;
    /// Size of a section that another module attaches to a probe, in bytes.
    std::size_t max_section_bytes = 1024;
    /// Statuses relayed immediately per second; probes carry the others.
    std::size_t max_relays_per_second = 200;
};

/// A probe to send; its outcome is passed to `probe_answered` or
/// `probe_failed`.
struct outgoing_probe
{
    instance_name to;
    std::string address;
    probe_message message;
};

/// A `leave` message to send; its outcome is ignored.
struct outgoing_leave
{
    instance_name to;
    std::string address;
    leave_message message;
};

/// Messages that the caller has to send.
struct outgoing_messages
{
    std::vector<outgoing_probe> probes;
    std::vector<outgoing_leave> leaves;
};

/// State of the sender's replica, as carried by a probe or its answer.
struct probe_result
{
    /// Version of the peer's replica, for `replica::pull_if_behind`.
    table_version version = 0;
    /// Evidence and the time from which its ages count, for
    /// `freshness::merge`. Empty when the delay of the message is unknown.
    evidence_list evidence;
    time_point counted_from;
};

/// Answer to a received probe, and the state that the probe carried.
struct probe_reply
{
    probe_message message;
    probe_result learned;
};

/// An instance to which calls may be routed.
struct service_candidate
{
    instance_name name;
    availability_zone zone;
    std::size_t slots = 0;
    incarnation_number incarnation = 0;
    std::string peer_address;
};

/// This node's view of one instance.
struct instance_view
{
    instance_record record;
    instance_status status;
    /// Version of the row; 0 for an instance without one.
    table_version row_version = 0;
    bool down = false;
};

/// Tracks the instances of the fleet and produces the probes that detect
/// failures and disseminate status. Sends nothing itself.
class membership
{
public:
    /// Returns the section for a probe to a peer, if there is one.
    using section_source = std::function<std::optional<boost::json::value>(
        const instance_name& to)>;
    /// Receives a section from a peer.
    using section_sink = std::function<void(
        const instance_name& from, const boost::json::value& section)>;
    /// Called after the instances of a service may have changed.
    using service_observer = std::function<void(const service_name& service)>;

    /// @param self this node's record; its name, incarnation, addresses,
    ///        zone, region and lease are used
    membership(
        membership_settings settings, instance_record self, time_point start);
    ~membership();
    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    /// Attaches a section to all probes. Sections over the size limit are
    /// omitted.
    void
    attach_section(std::string name, section_source source, section_sink sink);

    void observe_services(service_observer observer);

    /// Adds a peer from the settings, probed while no neighbour answers.
    void add_seed(std::string address);

    /// Raises this node's incarnation because its row holds one that is not
    /// lower. Must be called before anything was sent.
    void raise_incarnation(incarnation_number incarnation);

    /// Processes an applied row; other rows than `instance/` are ignored.
    void apply_row(const table_row& row, time_point now);

    /// Processes an announcement of the backend server.
    void
    backend_announced(const backend_announcement& announcement, time_point now);
    /// Marks the backend server as not ready after its connection closed.
    void backend_lost(time_point now);
    /// Whether the backend server is ready and not draining.
    bool is_backend_ready(time_point now) const;

    /// Marks this node as leaving and relays its status at once.
    void leave(time_point now);

    /// Returns the messages to send. Call it about every 100 ms, and at once
    /// after `leave`, `backend_announced` and `leave_received`.
    /// @param version version of the replica
    /// @param evidence from `freshness`
    outgoing_messages
    tick(time_point now, table_version version, const evidence_list& evidence);

    /// Processes a probe from an authenticated peer.
    probe_reply probe_received(
        const probe_message& message, time_point now, table_version version,
        const evidence_list& evidence);

    /// Processes the answer to a probe.
    /// @param to as in the `outgoing_probe`
    /// @param sent when the probe was sent
    probe_result probe_answered(
        const instance_name& to, const probe_message& answer, time_point sent,
        time_point now);

    /// Counts a probe that was not answered within the probe interval or
    /// could not be sent.
    void probe_failed(const instance_name& to, time_point now);

    /// Processes a `leave` message from an authenticated peer.
    void leave_received(const leave_message& message, time_point now);

    /// Instances of a service that are alive, ready and not leaving.
    std::vector<service_candidate>
    candidates(const service_name& service) const;

    /// Names of the services that have instances.
    std::vector<service_name> services() const;

    /// Live instances, this node included: neither down nor leaving. The
    /// reference is valid until the next non-const call.
    const std::vector<instance_name>& live() const;
    /// Live instances of one availability zone, for `reader_election`.
    const std::vector<instance_name>&
    live_in(const availability_zone& zone) const;

    /// Availability zones of all instances that exist, this node's included,
    /// for `freshness::set_zones`.
    const std::set<availability_zone>& zones() const;

    bool is_down(const instance_name& name) const;
    /// Returns the view of an instance, if it exists.
    std::optional<instance_view> find(const instance_name& name) const;
    /// Peer address of an instance that exists, or empty.
    std::string address_of(const instance_name& name) const;

    /// Instances that this node probes, nearest first; rows are pushed to
    /// them too.
    std::vector<instance_name> neighbours() const;

    const instance_record& self() const;
    /// This node's current status.
    const instance_status& own_status() const;

    /// Number of instances, and the estimated size of their state in bytes.
    std::size_t size() const;
    std::size_t state_bytes() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
