/// @file
/// Which instances exist, are alive and ready, and whom a node probes.
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

/// Settings of membership.
struct membership_settings
{
    duration probe_interval = seconds(1);
    /// Probes missed in a row before a monitor reports an instance.
    std::size_t misses = 3;
    /// A report that is not repeated expires.
    duration report_expiry = seconds(10);
    /// A monitor repeats its report after this time.
    duration report_repeat = seconds(4);
    /// Reports that may be current before repeats and expiry are stretched
    /// in proportion: bounds the traffic after the loss of a zone.
    std::size_t reports_unstretched = 32;
    /// Instances that may exist before both are stretched in proportion.
    std::size_t instances_unstretched = 300;
    /// Monitors after the first two wait for this much longer each before
    /// they report, so that one failure does not cause six reports. It is
    /// multiplied in fleets with more than three probe neighbours.
    duration report_stagger = seconds(1);
    /// A backend server silent for this long is not ready.
    duration announce_timeout = seconds(3);
    /// An instance known only by announcement is forgotten after it has been
    /// down for this long.
    duration forget_after = seconds(60);
    /// Bytes of statuses and reports in one probe. With 12 messages a second
    /// at 2,600 nodes it keeps a node below 17 KB/s while many instances
    /// change at once.
    std::size_t probe_items_bytes = 1024;
    /// Largest section that another slice may attach to a probe.
    std::size_t section_bytes = 1024;
    /// Statuses relayed at once in each second; more spread by probes.
    std::size_t relays_per_second = 200;
};

/// A probe to be sent now; its outcome goes to `probe_answered` or
/// `probe_failed`.
struct probe_order
{
    instance_name to;
    std::string address;
    probe_message message;
};

/// A `leave` message to be sent now; its outcome does not matter.
struct leave_order
{
    instance_name to;
    std::string address;
    leave_message message;
};

/// What is to be sent.
struct membership_orders
{
    std::vector<probe_order> probes;
    std::vector<leave_order> leaves;
};

/// What a probe or its answer told about the rows.
struct probe_result
{
    /// Version of the peer's replica: to `replica::pull_if_behind`.
    table_version version = 0;
    /// Evidence and the time from which its ages count: to
    /// `freshness::merge`. Empty when the delay of the message is unknown.
    evidence_list evidence;
    time_point counted_from;
};

/// The result of a received probe.
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

/// What is known of one instance.
struct instance_view
{
    instance_record record;
    instance_status status;
    /// Version of the row; 0 for an instance known by announcement only.
    table_version row_version = 0;
    bool down = false;
};

/// The view of all instances, and the probes that keep it.
class membership
{
public:
    /// Supplies a section for a probe to a peer, if there is something.
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

    /// Attaches a section to all probes. Larger ones than the limit are
    /// left out.
    void
    attach_section(std::string name, section_source source, section_sink sink);

    void observe_services(service_observer watch);

    /// Adds a peer named in the settings: probed until rows are known.
    void add_seed(std::string address);

    /// Raises this node's incarnation, before anything was sent: the row
    /// holds one that is not lower.
    void raise_incarnation(incarnation_number incarnation);

    /// An applied row; rows that are not `instance/` rows are ignored.
    void apply_row(const table_row& row, time_point now);

    /// The backend server announced itself.
    void backend_announced(const backend_announcement& news, time_point now);
    /// The backend server is gone, as seen by a closed connection.
    void backend_lost(time_point now);
    /// Whether the backend server is ready and does not drain.
    bool is_backend_ready(time_point now) const;

    /// This node begins to leave; spreads at once.
    void leave(time_point now);

    /// Returns what is due: to be called about each 100 ms, and at once
    /// after `leave`, `backend_announced` and `leave_received`.
    /// @param version of the replica, @param evidence from `freshness`
    membership_orders
    tick(time_point now, table_version version, const evidence_list& evidence);

    /// A probe arrived from an authenticated peer.
    probe_reply probe_received(
        const probe_message& message, time_point now, table_version version,
        const evidence_list& evidence);

    /// A probe was answered.
    /// @param to as in the order @param sent when the probe was sent
    probe_result probe_answered(
        const instance_name& to, const probe_message& answer, time_point sent,
        time_point now);

    /// A probe was not answered within the probe interval, or could not be
    /// sent.
    void probe_failed(const instance_name& to, time_point now);

    /// A `leave` message arrived from an authenticated peer.
    void leave_received(const leave_message& message, time_point now);

    /// Instances of a service that are alive, ready and not leaving.
    std::vector<service_candidate>
    candidates(const service_name& service) const;

    /// Names of the services that have instances.
    std::vector<service_name> services() const;

    /// Live instances, this node included: neither down nor leaving. Valid
    /// until the next call that is not const.
    const std::vector<instance_name>& live() const;
    /// Live instances of one availability zone, for `reader_election`.
    const std::vector<instance_name>&
    live_in(const availability_zone& zone) const;

    /// Availability zones of all instances that exist, this node's included:
    /// to `freshness::set_zones`.
    const std::set<availability_zone>& zones() const;

    bool is_down(const instance_name& name) const;
    /// Returns what is known of an instance, if it exists.
    std::optional<instance_view> find(const instance_name& name) const;
    /// Peer address of an instance that exists, or empty.
    std::string address_of(const instance_name& name) const;

    /// Instances that this node probes, nearest first; rows are pushed to
    /// them too.
    std::vector<instance_name> neighbours() const;

    const instance_record& self() const;
    /// This node's present status.
    const instance_status& own_status() const;

    /// Number of instances, and the bytes of state held for them, estimated.
    std::size_t size() const;
    std::size_t state_bytes() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
