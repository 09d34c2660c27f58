/// @file
/// The table row and the status of an instance.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Prefix of the keys of instance rows.
inline constexpr std::string_view instance_row_prefix = "instance/";

/// Value of the table row `instance/<name>`.
struct instance_record
{
    /// From the row's key; not part of its value.
    instance_name name;
    incarnation_number incarnation = 0;
    /// Address for peers, `ip:port`.
    std::string peer_address;
    /// Address for operators and metrics, `ip:port`.
    std::string operator_address;
    availability_zone zone;
    std::string region;
    /// Empty until the backend server has announced itself.
    service_name service;
    std::size_t slots = 0;
    seconds lease{0};
    /// Counts the renewals of the lease.
    std::uint64_t renewals = 0;
    bool leaving = false;

    bool operator==(const instance_record&) const = default;
};

/// Returns the key of an instance's row.
std::string instance_row_key(const instance_name& name);

/// Returns the value of an instance's row.
boost::json::value to_json(const instance_record& record);

/// Reads an instance's row strictly.
result<instance_record> parse_instance_record(
    std::string_view row_key, const boost::json::value& value);

/// Readiness of an instance, disseminated by probes and not through the table.
/// Statuses of one instance are ordered by incarnation, then by counter.
struct instance_status
{
    instance_name name;
    incarnation_number incarnation = 0;
    std::uint64_t counter = 0;
    service_name service;
    std::size_t slots = 0;
    /// The backend server announces itself and accepts work.
    bool ready = false;
    /// The backend server is draining and accepts no new work.
    bool draining = false;
    /// The node is stopping and accepts no new work.
    bool leaving = false;
    /// The record, for an instance whose row cannot be read from the table.
    std::optional<instance_record> record;

    bool operator==(const instance_status&) const = default;
};

/// Announcement that a backend server sends to its node once a second.
struct backend_announcement
{
    service_name service;
    std::size_t slots = 0;
    bool draining = false;
};

} // namespace fulmarjunction
