/// @file
/// JSON form of reports of requests that crash backend servers. It is sent as a
/// section of probes and as a control message.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <boost/json/value.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Name of the control message whose body is a list of reports.
inline constexpr std::string_view suspects_message = "suspects";
/// Maximum number of reports in one message.
inline constexpr std::size_t max_suspect_reports = 512;
/// Maximum number of reports in one probe, whose sections hold about 1 KiB.
inline constexpr std::size_t suspect_reports_per_probe = 8;

boost::json::value to_json(const std::vector<suspect_report>& reports);

/// Parses a section; refuses unknown fields and values out of range.
result<std::vector<suspect_report>>
parse_suspect_reports(const boost::json::value& section);

} // namespace fulmarjunction
