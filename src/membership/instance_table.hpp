// The known instances, the failure reports about them, and the log of changes
// that probe neighbours have not received yet.
#pragma once

#include <fulmarjunction/membership/instance_record.hpp>
#include <fulmarjunction/membership/membership.hpp>
#include <fulmarjunction/membership/probe_messages.hpp>
#include <fulmarjunction/membership/ring.hpp>
#include <fulmarjunction/platform/table_service.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmarjunction::detail {

// Number that `membership` assigned to a peer; 0 is this node itself.
using peer_id = std::uint32_t;

// Progress of a neighbour in the change log.
struct log_cursor
{
    peer_id id = 0;
    // Position up to which the neighbour has confirmed the log.
    std::uint64_t acknowledged = 0;
    // Up to this position, statuses that the row implies are omitted: they
    // were in the log before this peer became a neighbour.
    std::uint64_t implied_to = 0;
};

class instance_table
{
public:
    explicit instance_table(instance_name self);

    // Clears the log; later positions are above `base`.
    void start_log(std::int64_t base);
    std::uint64_t log_end() const { return log_end_; }

    // `publish`: whether the status is added to the log.
    void set_own(const instance_status& status, time_point now, bool publish);
    bool has_own_row(incarnation_number incarnation) const;
    void apply_row(const table_row& row, time_point now);

    // Returns whether the status was newer than the known one.
    bool
    apply_status(const instance_status& status, peer_id from, time_point now);
    void
    apply_report(const failure_report& report, peer_id from, time_point now);

    // Adds the changes that the neighbour lacks, oldest first, up to `limit`
    // bytes.
    void collect(
        probe_message& message, const log_cursor& cursor, std::size_t limit,
        time_point now) const;

    // Returns the status of an instance, with its record unless the table has
    // a row of the same incarnation.
    std::optional<instance_status>
    status_to_send(const instance_name& name) const;

    // Whether `expire`, which runs twice a second, is due.
    bool is_expiry_due(time_point now) const;

    // Removes expired reports, and instances without a row that have been down
    // or without a record for longer than `forget_after`. Determines which
    // instances are down.
    // `reachable`: instances that answer this node's own probes.
    void expire(
        time_point now, duration forget_after,
        const std::set<instance_name>& reachable);

    const std::vector<instance_name>& neighbours() const;
    // Whether an instance probes this node or is probed by it.
    bool is_probe_peer(const instance_name& name) const;
    bool take_ring_change();
    std::set<service_name> take_changed_services();

    incarnation_number incarnation_of(const instance_name& name) const;
    std::string address_of(const instance_name& name) const;
    bool is_down(const instance_name& name) const;
    std::optional<instance_view> find(const instance_name& name) const;

    // Rank of this node among those monitors of an instance that are not
    // reported as failing themselves.
    std::size_t monitor_rank(const instance_name& name, time_point now) const;
    // Current reports about an instance by other monitors.
    std::size_t
    reports_by_others(const instance_name& name, time_point now) const;
    std::size_t current_reports() const { return current_reports_; }

    std::vector<service_candidate>
    candidates(const service_name& service) const;
    std::vector<service_name> services() const;
    // Live instances of a zone, or all when it is empty.
    const std::vector<instance_name>& live(const availability_zone& zone) const;
    const std::set<availability_zone>& zones() const;
    std::size_t size() const { return ring_.size(); }
    std::size_t state_bytes() const;

private:
    // Position of an item in the log, and the peers that already have it.
    struct log_reference
    {
        std::uint64_t position = 0;
        std::vector<peer_id> known_by;
    };
    struct report_state
    {
        incarnation_number incarnation = 0;
        std::uint64_t sequence = 0;
        bool failing = false;
        time_point expires;
        log_reference log_ref;
    };
    struct instance_entry
    {
        instance_record record;
        // Version and incarnation of the row; 0 without one.
        table_version row_version = 0;
        incarnation_number row_incarnation = 0;
        // Whether the record came from a row or an announcement.
        bool exists = false;
        std::optional<instance_status> status;
        log_reference status_log_ref;
        std::map<instance_name, report_state> reports;
        bool down = false;
        time_point changed_at;
        service_name indexed_service;
    };
    struct log_item
    {
        instance_name about;
        // Empty for a status.
        instance_name reporter;
    };
    using entry_map = std::map<instance_name, instance_entry>;

    void invalidate_live();
    void rebuild_live() const;
    bool is_live(const instance_entry& entry) const;
    void record_change(
        log_reference& reference, const instance_name& about,
        const instance_name& reporter, peer_id from);
    void erase_from_log(const log_reference& reference);
    void mark_existing(const instance_name& name, instance_entry& entry);
    void erase(entry_map::iterator position);
    void reindex(const instance_name& name, instance_entry& entry);
    std::size_t valid_reports(const instance_name& name, time_point now) const;
    bool is_valid(
        const instance_entry& entry, const report_state& report,
        time_point now) const;
    // Whether the reports of another instance are ignored, because enough
    // monitors report that it is failing itself.
    bool is_discredited(const instance_name& reporter, time_point now) const;
    bool is_reported_down(
        const instance_name& name, const instance_entry& entry,
        time_point now) const;
    void drop_expired_reports(
        const instance_name& name, instance_entry& entry, time_point now);
    bool is_implied(const instance_entry& entry) const;
    bool add_item(
        probe_message& message, const log_item& item, const log_cursor& cursor,
        std::uint64_t position, std::size_t& remaining_bytes,
        time_point now) const;

    instance_name self_;
    entry_map entries_;
    instance_ring ring_;
    mutable std::optional<std::vector<instance_name>> neighbours_;
    bool ring_changed_ = true;
    std::map<std::uint64_t, log_item> log_;
    std::uint64_t log_end_ = 0;
    // Live instances by zone, and all of them under the empty name; rebuilt on
    // demand.
    mutable std::map<availability_zone, std::vector<instance_name>> live_;
    mutable std::set<availability_zone> zones_;
    mutable bool live_is_current_ = false;
    // Instances without a row, and those about which reports exist.
    std::set<instance_name> without_row_;
    std::set<instance_name> reported_;
    std::size_t current_reports_ = 0;
    std::map<service_name, std::set<instance_name>> by_service_;
    std::set<service_name> changed_services_;
    time_point last_expiry_;
};

} // namespace fulmarjunction::detail
