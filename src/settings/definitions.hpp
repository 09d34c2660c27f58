/// @file
/// Table of settings, from which the parser and the reference are built.
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
    /// Unit of the value, empty if it has none.
    std::string unit;
    /// Allowed values, for error messages and the reference.
    std::string allowed;
    /// Default as written in a settings file; empty if there is none.
    std::string default_text;
    bool required = false;
    std::string description;
    /// Stores a value; returns false if it is not allowed.
    std::function<bool(node_settings&, const boost::json::value&)> store;
};

/// Returns all fields in the order of the reference.
const std::vector<setting_definition>& setting_definitions();

} // namespace fulmarjunction::detail
