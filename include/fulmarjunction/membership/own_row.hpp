/// @file
/// This node's row in the table, and the rows of instances that are gone.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/membership/instance_record.hpp>
#include <fulmarjunction/platform/table_service.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarjunction {

/// What `own_row` asks for next.
enum class own_row_step
{
    none,
    /// Read the row `key`, then call `read`.
    read,
    /// Commit `change`, then call `committed`.
    commit
};

/// One step to take against the table.
struct own_row_action
{
    own_row_step step = own_row_step::none;
    std::string key;
    table_transaction change;
};

/// Keeps this node's row: announces it, renews its lease, marks it as
/// leaving and deletes it. A write whose answer was lost is read back before
/// anything is written again.
class own_row
{
public:
    /// @param record what the row is to say; renewals start at 1
    /// @param retry_after first wait after a failure; doubles up to a minute
    own_row(
        instance_record record, time_point start,
        std::function<std::uint64_t()> random,
        duration retry_after = seconds(1));

    /// Returns the next step that is due; at most one is in flight.
    own_row_action next(time_point now);

    /// Result of a read step.
    void read(const result<std::optional<table_row>>& row, time_point now);

    /// Result of a commit step.
    void committed(const result<table_version>& outcome, time_point now);

    /// The backend server's service or slots became known or changed. The
    /// first announcement waits for this for up to 2 s.
    void set_backend(const service_name& service, std::size_t slots);

    /// The node is leaving: the row is to say so.
    void mark_leaving();

    /// The node has stopped its work: the row is to be deleted.
    void remove();

    /// The incarnation in use: the one given, raised above the row's where
    /// the row could be read before the first announcement.
    incarnation_number incarnation() const { return wanted_.incarnation; }

    /// Until when the lease is valid, counted from before the last renewal
    /// that took effect was sent. Empty before the first.
    std::optional<time_point> lease_until() const { return lease_until_; }
    bool is_lease_valid(time_point now) const;

    /// Another process has announced itself under this name with a higher
    /// incarnation: this node must stop.
    bool is_superseded() const { return superseded_; }

    /// The row says what it should, or is deleted after `remove`.
    bool is_settled() const;

private:
    enum class flight
    {
        none,
        read,
        commit
    };

    bool is_renewal_due(time_point now) const;
    own_row_action read_step();
    own_row_action write_step(time_point now);
    void take_row(const std::optional<table_row>& row, time_point now);
    void take_present_row(const instance_record& record, time_point now);
    void confirm(table_version version);
    void back_off(time_point now);

    instance_record wanted_;
    std::function<std::uint64_t()> random_;
    duration first_wait_;
    duration wait_;
    time_point due_;
    /// The first write waits until then for the backend server's service.
    time_point service_due_;
    flight flight_ = flight::none;
    bool must_read_ = true;
    bool announced_ = false;
    bool removing_ = false;
    bool removed_ = false;
    bool superseded_ = false;
    table_version row_version_ = 0;
    std::optional<instance_record> in_row_;
    /// What the write in flight or in doubt says, and when it was sent.
    std::optional<instance_record> in_doubt_;
    time_point sent_at_;
    std::optional<time_point> renewed_at_;
    std::optional<time_point> lease_until_;
};

/// Finds instance rows whose lease has lapsed.
class lease_expiry_monitor
{
public:
    /// Observes an applied row; others than `instance/` rows are ignored.
    void apply_row(const table_row& row, time_point now);

    /// Returns deletions of rows that have lapsed, whose instance is not
    /// alive, and for which `self` comes first among the live instances.
    /// Each names the row's version, so a renewed row is never deleted.
    /// @param limit most transactions to return
    std::vector<table_transaction> due_deletions(
        time_point now, const instance_name& self,
        const std::vector<instance_name>& live, std::size_t limit = 4);

    /// Whether the lease of an instance has lapsed: its term, counted from
    /// when this node first read the present renewal count, plus 1% for
    /// differences in clock rates. An absent row counts as lapsed.
    bool is_expired(
        const instance_name& name, incarnation_number incarnation,
        time_point now) const;

private:
    struct entry
    {
        instance_name name;
        incarnation_number incarnation = 0;
        std::uint64_t renewals = 0;
        table_version version = 0;
        duration lease{};
        time_point first_read;
        /// When the row lapses, or its deletion is to be tried again.
        time_point next_try;
    };

    std::map<std::string, entry, std::less<>> entries_;
    /// Before this time no row is due.
    time_point next_look_ = time_point::max();
};

} // namespace fulmarjunction
