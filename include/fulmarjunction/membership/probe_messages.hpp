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

/// Maximum size of a probe message; larger ones are refused.
inline constexpr std::size_t max_probe_message_bytes = 64 * 1024;

/// A monitor's report that probes of an instance fail, or that they succeed
/// again.
struct failure_report
{
    instance_name about;
    /// Incarnation of the probed instance.
    incarnation_number incarnation = 0;
    instance_name reporter;
    /// Orders the reports of one reporter about one instance.
    std::uint64_t sequence = 0;
    /// False withdraws the report.
    bool failing = true;
    /// Time until the report expires if it is not repeated.
    milliseconds expires_in{0};
};

/// A probe or its answer; both have the same format.
struct probe_message
{
    instance_name from;
    incarnation_number incarnation = 0;
    /// Version of the sender's replica.
    table_version version = 0;
    /// Position in the sender's change log up to which this message goes.
    std::uint64_t upto = 0;
    /// Position in the receiver's change log up to which the sender has
    /// received it.
    std::uint64_t acknowledged = 0;
    /// Send time by the sender's clock, in milliseconds from its own origin.
    std::int64_t timestamp = 0;
    /// Timestamp of the receiver's last message, and for how long the sender
    /// had held it. Lets the receiver bound the delay of this message.
    std::optional<std::int64_t> echo;
    milliseconds hold_time{0};
    evidence_list evidence;
    std::vector<instance_status> statuses;
    std::vector<failure_report> reports;
    /// Sections of other modules by name; opaque here.
    boost::json::object sections;
};

/// Statuses relayed at once: instances that stop accepting work.
struct leave_message
{
    instance_name from;
    std::vector<instance_status> statuses;
};

std::string to_text(const probe_message& message);
std::string to_text(const leave_message& message);

/// Strict parsers: wrong types, missing members and sizes over the limit are
/// errors.
result<probe_message> parse_probe_message(std::string_view text);
result<leave_message> parse_leave_message(std::string_view text);

} // namespace fulmarjunction
