/// @file
/// Version of a program; linked into programs by `fulmar_add_version` of the
/// build.
#pragma once

#include <string_view>

namespace fulmarjunction {

/// Returns the version number, for example `0.1.0`.
std::string_view program_version();

/// Returns the id of the sources that the program was built from, as
/// `support/source-id` prints it.
std::string_view source_id();

} // namespace fulmarjunction
