/// @file
/// Locations of fields in the text of a settings file.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction::detail {

/// Location of a field; Boost.JSON keeps no positions of parsed values.
struct source_field
{
    /// Path such as `callers.tls.key`.
    std::string path;
    std::size_t line = 0;
};

/// Returns the 1-based number of the line that contains a position.
std::size_t line_at(std::string_view text, std::size_t position);

/// Returns the fields of a text, which must be valid JSON with comments.
std::vector<source_field> find_source_fields(std::string_view text);

} // namespace fulmarjunction::detail
