/// @file
/// Maintenance of this node's table row and deletion of expired rows.
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

/// Table operation that `own_row` requests next.
enum class own_row_step
{
    none,
    /// Read the row `key`, then call `read`.
    read,
    /// Commit `change`, then call `committed`.
    commit
};

/// One operation to perform on the table.
struct own_row_action
{
    own_row_step step = own_row_step::none;
    std::string key;
    table_transaction change;
};

/// Maintains this node's row: writes it, renews its lease, marks it as
/// leaving and deletes it. After a write whose answer was lost, the row is
/// read before anything is written again.
class own_row
{
public:
    /// @param record desired content of the row; renewals start at 1
    /// @param initial_backoff wait after a first failure; doubles up to a
    ///        minute
    own_row(
        instance_record record, time_point start,
        std::function<std::uint64_t()> random,
        duration initial_backoff = seconds(1));

    /// Returns the next step, if any; at most one is in flight.
    own_row_action next(time_point now);

    /// Processes the result of a read step.
    void read(const result<std::optional<table_row>>& row, time_point now);

    /// Processes the result of a commit step.
    void committed(const result<table_version>& outcome, time_point now);

    /// Sets the service and slots of the backend server. The first write of
    /// the row waits for them for up to 2 s.
    void set_backend(const service_name& service, std::size_t slots);

    /// Marks the row as leaving.
    void mark_leaving();

    /// Deletes the row, after the node has stopped its work.
    void remove();

    /// The incarnation in use: the one given, raised above that of a row that
    /// was read before the first write.
    incarnation_number incarnation() const { return desired_.incarnation; }

    /// End of the lease, counted from when the last renewal that took effect
    /// was sent. Empty before the first.
    std::optional<time_point> lease_until() const { return lease_until_; }
    bool is_lease_valid(time_point now) const;

    /// Whether another process has written this row with a higher incarnation,
    /// so that this node must stop.
    bool is_superseded() const { return superseded_; }

    /// Whether the row has the desired content, or is deleted after
    /// `remove`.
    bool is_settled() const;

private:
    enum class pending_operation
    {
        none,
        read,
        commit
    };

    bool is_renewal_due(time_point now) const;
    own_row_action read_step();
    own_row_action write_step(time_point now);
    void process_row(const std::optional<table_row>& row, time_point now);
    void process_existing_row(const instance_record& record, time_point now);
    void record_renewal(table_version version);
    void back_off(time_point now);

    instance_record desired_;
    std::function<std::uint64_t()> random_;
    duration initial_backoff_;
    duration backoff_;
    time_point next_step_at_;
    /// The first write waits until then for the backend server's service.
    time_point service_wait_until_;
    pending_operation pending_ = pending_operation::none;
    bool must_read_ = true;
    bool written_ = false;
    bool removing_ = false;
    bool removed_ = false;
    bool superseded_ = false;
    table_version row_version_ = 0;
    std::optional<instance_record> stored_;
    /// Content of the write that is in flight or whose result is unknown, and
    /// when it was sent.
    std::optional<instance_record> unconfirmed_;
    time_point sent_at_;
    std::optional<time_point> renewed_at_;
    std::optional<time_point> lease_until_;
};

/// Finds instance rows whose lease has expired.
class lease_expiry_monitor
{
public:
    /// Processes an applied row; other rows than `instance/` are ignored.
    void apply_row(const table_row& row, time_point now);

    /// Returns deletions of expired rows whose instance is not alive and for
    /// which `self` ranks first among the live instances by rendezvous
    /// hashing. Each is conditional on the row's version, so a renewed row is
    /// never deleted.
    /// @param limit maximum number of transactions to return
    std::vector<table_transaction> due_deletions(
        time_point now, const instance_name& self,
        const std::vector<instance_name>& live, std::size_t limit = 4);

    /// Whether the lease of an instance has expired. Its term counts from when
    /// this node first read the current renewal count, plus 1% for differences
    /// in clock rates. An absent row counts as expired.
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
        time_point first_seen;
        /// When the row expires, or when its deletion is retried.
        time_point next_attempt;
    };

    std::map<std::string, entry, std::less<>> entries_;
    /// No row expires and no deletion is retried before this time.
    time_point next_check_ = time_point::max();
};

} // namespace fulmarjunction
