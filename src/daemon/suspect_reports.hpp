/// @file
/// Reports of requests that crash backend servers, as a section of probes.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <boost/json/value.hpp>

#include <cstddef>
#include <vector>

namespace fulmarjunction {

/// Reports in one probe; a section holds about a kilobyte.
inline constexpr std::size_t suspect_reports_per_probe = 8;

boost::json::value to_json(const std::vector<suspect_report>& reports);

/// Reads the section strictly.
result<std::vector<suspect_report>>
parse_suspect_reports(const boost::json::value& section);

} // namespace fulmarjunction
