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

/// Returns whether `text` may name an account, a plan, an endpoint, a service
/// or an instance: 1 to 64 characters of `A-Z a-z 0-9 . _ -`, the first a
/// letter or a digit. Names are parts of row keys and header values.
bool is_identifier(std::string_view text);

/// Returns a JSON value for an error text, cut to a readable length.
std::string format_value(const boost::json::value& value);

/// Reads the fields of one JSON object. The first failure is kept, and later
/// reads return fallbacks, so that a caller reads everything and then checks
/// `finish` once.
class field_reader
{
public:
    /// @param path prefix of field names in errors, such as `plans[2]`
    /// @param step step of the error that `finish` returns
    field_reader(
        const boost::json::value& document, std::string path, std::string step);

    /// Returns a field, or null when it is absent; the field is known then.
    const boost::json::value* find(std::string_view name);

    /// Returns a required string.
    std::string text(std::string_view name);

    /// Returns a required string that `is_identifier` accepts.
    std::string identifier(std::string_view name);

    /// Returns a number from `min` to `max`.
    /// @param fallback value of an absent field; required without it
    double number(
        std::string_view name, double min, double max,
        std::optional<double> fallback = {});

    /// Returns a whole number from `min` to `max`.
    /// @param fallback value of an absent field; required without it
    std::int64_t integer(
        std::string_view name, std::int64_t min, std::int64_t max,
        std::optional<std::int64_t> fallback = {});

    /// Returns a required whole number of 64 bits without a sign.
    std::uint64_t version(std::string_view name);

    bool boolean(std::string_view name, bool fallback);

    /// Returns a required array; an empty one after a failure.
    const boost::json::array& array(std::string_view name);

    /// Returns the path of a field in errors.
    std::string path_of(std::string_view name) const;

    /// Records a failure of a field: its value and what is allowed.
    void refuse(std::string_view name, std::string_view allowed);

    /// Records the failure of a nested object.
    void refuse(const error& failure);

    /// Accepts fields that are not read: answers of an outside system may
    /// gain fields.
    void ignore_unknown() { ignore_unknown_ = true; }

    /// Returns the first failure, or one for a field that was not read.
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
