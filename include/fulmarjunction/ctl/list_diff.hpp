/// @file
/// Differences between two versions of an account or plan list.
#pragma once

#include <fulmarjunction/catalog/catalog.hpp>

#include <string>
#include <vector>

namespace fulmarjunction {

/// Returns a line for each item that was added (`+`), removed (`-`) or
/// changed (`~`, with each field's old and new value), sorted by name.
std::vector<std::string>
diff_lists(const account_list& from, const account_list& to);
std::vector<std::string> diff_lists(const plan_list& from, const plan_list& to);

/// Joins the lines for an audit row and truncates the text after 2000 bytes.
std::string summarize(const std::vector<std::string>& lines);

} // namespace fulmarjunction
