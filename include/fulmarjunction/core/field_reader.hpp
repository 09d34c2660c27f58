/// @file
/// Strict reading of JSON objects whose fields are known in advance.
#pragma once

#include <fulmarjunction/core/error.hpp>

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Returns whether `text` is a valid name of an account, a plan, an endpoint,
/// a service or an instance: 1 to 64 characters of `A-Z a-z 0-9 . _ -`, the
/// first a letter or a digit. Names appear in row keys and header values.
bool is_identifier(std::string_view text);

/// Serializes a JSON value for an error message, truncated to 64 bytes.
std::string format_value(const boost::json::value& value);

/// Reads the fields of one JSON object. The first failure is kept and later
/// reads still return usable values, so that a caller reads all fields and then
/// checks `finish` once.
class field_reader
{
public:
    /// @param path prefix of field names in errors, such as `plans[2]`
    /// @param step step of the error that `finish` returns
    field_reader(
        const boost::json::value& document, std::string path, std::string step);

    /// Returns a field, or null if it is absent, and marks its name as known.
    const boost::json::value* find(std::string_view name);

    /// Returns a required string.
    std::string text(std::string_view name);

    /// Returns a required string that `is_identifier` accepts.
    std::string identifier(std::string_view name);

    /// Returns a number from `min` to `max`.
    /// @param fallback value of an absent field; without it the field is
    ///                 required
    double number(
        std::string_view name, double min, double max,
        std::optional<double> fallback = {});

    /// Returns an integer from `min` to `max`.
    /// @param fallback value of an absent field; without it the field is
    ///                 required
    std::int64_t integer(
        std::string_view name, std::int64_t min, std::int64_t max,
        std::optional<std::int64_t> fallback = {});

    /// Returns a required unsigned 64-bit integer.
    std::uint64_t version(std::string_view name);

    bool boolean(std::string_view name, bool fallback);

    /// Returns a required array, or an empty one if it is missing or invalid.
    const boost::json::array& array(std::string_view name);

    /// Returns the path of a field for error messages.
    std::string path_of(std::string_view name) const;

    /// Records that a field is missing or that its value is not allowed.
    void refuse(std::string_view name, std::string_view allowed);

    /// Records the failure of a nested object.
    void refuse(const error& failure);

    /// Accepts unknown fields: later versions of an external system may add
    /// fields to its answers.
    void ignore_unknown() { ignore_unknown_ = true; }

    /// Returns the first failure, or an error for an unknown field.
    result<void> finish();

private:
    void set_failure(std::string detail);

    const boost::json::object* fields_ = nullptr;
    std::string path_;
    std::string step_;
    std::set<std::string, std::less<>> known_;
    std::optional<std::string> failure_;
    bool ignore_unknown_ = false;
};

} // namespace fulmarjunction
