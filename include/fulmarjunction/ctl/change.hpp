/// @file
/// Changes by operators. Each one is a transaction that writes the head row,
/// the changed row and an audit row.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/platform/table_core.hpp>
#include <fulmarjunction/platform/table_service.hpp>

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmarjunction {

/// Value of an `audit/<sequence>` row; it is written once and never changed.
struct audit_record
{
    std::string change_id;
    std::string operator_name;
    /// Milliseconds since 1970 by the clock where `fulmarctl` ran.
    std::int64_t time_ms = 0;
    /// The command, such as "accounts apply".
    std::string action;
    /// Key of the changed row.
    std::string row_key;
    /// Human-readable description of the change.
    std::string summary;
};

/// Value of the `head` row.
struct head_record
{
    /// Sequence of the last change; 0 before the first.
    std::uint64_t sequence = 0;
    /// Ids of the last changes, oldest first.
    std::vector<std::string> last_changes;
};

/// Returns `audit/` and 20 digits, so that keys sort by sequence.
std::string audit_row_key(std::uint64_t sequence);

result<audit_record> parse_audit_record(const boost::json::value& document);
result<head_record> parse_head_record(const boost::json::value& document);
boost::json::value to_json(const audit_record& record);
boost::json::value to_json(const head_record& record);

/// One change that an operator requests.
struct operator_change
{
    audit_record audit;
    /// Version of the row on which the change is based; 0 if it is absent.
    table_version expected_version = 0;
    /// New value; empty deletes the row.
    std::optional<boost::json::value> value;
    /// Versions of other rows against which the change was validated.
    std::vector<row_condition> preconditions;
};

/// Outcome of a change.
enum class change_outcome
{
    applied,
    /// An earlier run with the same change id applied it.
    already_applied,
    /// Another operator's change was applied first; nothing was written.
    conflict,
    /// Nothing was written.
    failed,
    /// The store did not answer whether the change was written.
    unknown
};
std::string_view to_string(change_outcome value);

/// Outcome of a change, with details for the operator.
struct change_report
{
    change_outcome outcome = change_outcome::failed;
    std::uint64_t sequence = 0;
    /// Table version that a node must have reached to use the change.
    table_version version = 0;
    std::string detail;
};

/// Applies a change. After an ambiguous answer it looks for the change id in
/// the audit row that the change would have written, and retries only while
/// that row is absent and the head unchanged. A concurrent change of another
/// row is no conflict: the change is rebased on it.
awaitable<change_report>
apply_change(table_service& table, operator_change change, sleep_hook sleep);

/// Returns the latest audit rows, newest first.
awaitable<result<std::vector<table_row>>>
read_audit(table_service& table, std::size_t limit);

} // namespace fulmarjunction
