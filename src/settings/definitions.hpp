/// @file
/// The table of settings: the parser and the reference are made from it.
#pragma once

#include <fulmarjunction/settings/settings.hpp>

#include <boost/json/value.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction::detail {

/// One field of the settings file.
struct setting_definition
{
    /// Path such as `callers.listen`.
    std::string name;
    /// Unit of the value, empty where it has none.
    std::string unit;
    /// Allowed values, for errors and for the reference.
    std::string allowed;
    /// Default as it would stand in a file; empty where there is none.
    std::string default_text;
    bool required = false;
    std::string meaning;
    /// Stores a value; returns false when it is not allowed.
    std::function<bool(node_settings&, const boost::json::value&)> store;
};

/// Returns all fields in the order of the reference.
const std::vector<setting_definition>& setting_definitions();

} // namespace fulmarjunction::detail
