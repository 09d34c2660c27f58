/// @file
/// Percent-encoding and parsing of request targets.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Percent-encodes all bytes except unreserved ones and those in `keep`.
std::string percent_encode(std::string_view text, std::string_view keep = {});

/// Returns the decoded text, or nothing if an escape is malformed.
std::optional<std::string> percent_decode(std::string_view text);

/// One decoded `name=value` pair of a query.
struct query_parameter
{
    std::string name;
    std::string value;
};

/// A decoded request target.
struct request_target
{
    std::string path;
    std::vector<query_parameter> query;

    /// Returns the first value of a parameter, if there is one.
    std::optional<std::string_view> find(std::string_view name) const;
};

/// Parses a request target; returns nothing if an escape is malformed.
std::optional<request_target> parse_target(std::string_view target);

} // namespace fulmarjunction
