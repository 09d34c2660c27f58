/// @file
/// Control messages `probe` and `leave`.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/membership/instance_record.hpp>
#include <fulmarjunction/replica/freshness.hpp>

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Largest probe message that is read.
inline constexpr std::size_t max_probe_message_bytes = 64 * 1024;

/// A monitor's statement that probes of an instance fail, or that they
/// succeed again.
struct failure_report
{
    instance_name about;
    /// Incarnation of the instance at which the probes were aimed.
    incarnation_number incarnation = 0;
    instance_name reporter;
    /// Orders the statements of one reporter about one instance.
    std::uint64_t sequence = 0;
    /// False withdraws the report.
    bool failing = true;
    /// Time until the report expires if it is not repeated.
    milliseconds expires_in{0};
};

/// A probe, and equally its answer.
struct probe_message
{
    instance_name from;
    incarnation_number incarnation = 0;
    /// Version of the sender's replica.
    table_version version = 0;
    /// Position in the sender's log of changes that this message reaches.
    std::uint64_t upto = 0;
    /// Position in the receiver's log that the sender has received.
    std::uint64_t acknowledged = 0;
    /// The sender's clock when it sent the message, in its own milliseconds.
    std::int64_t timestamp = 0;
    /// The stamp of the receiver's last message, and for how long the sender
    /// had held it. Gives the receiver a bound on the message's delay.
    std::optional<std::int64_t> echo;
    milliseconds hold_time{0};
    evidence_list evidence;
    std::vector<instance_status> statuses;
    std::vector<failure_report> reports;
    /// Sections of other slices by name; opaque here.
    boost::json::object sections;
};

/// Statuses that spread at once: leaving or draining instances.
struct leave_message
{
    instance_name from;
    std::vector<instance_status> statuses;
};

std::string to_text(const probe_message& message);
std::string to_text(const leave_message& message);

/// Read strictly: wrong types, missing members and sizes over the limit are
/// refused.
result<probe_message> parse_probe_message(std::string_view text);
result<leave_message> parse_leave_message(std::string_view text);

} // namespace fulmarjunction
