/// @file
/// Strict reading of JSON objects: unknown and missing fields, wrong types and
/// values out of range are errors.
#pragma once

#include <fulmarjunction/core/error.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Reads the fields of one object. The first error is kept and returned by
/// `finish`; later reads return empty values.
class object_reader
{
public:
    /// @param step step of the error, for example "parse borrow request"
    object_reader(const boost::json::value& document, std::string step)
        : object_(document.if_object()), step_(std::move(step))
    {
        if (object_ == nullptr)
            error_ = "not an object";
    }

    /// Reads an integer from 0 to `max`.
    std::uint64_t number(
        std::string_view name,
        std::uint64_t max = std::numeric_limits<std::uint64_t>::max())
    {
        const auto* field = find(name);
        if (field == nullptr)
            return 0;
        std::optional<std::uint64_t> read;
        if (field->is_uint64())
            read = field->get_uint64();
        else if (field->is_int64() && field->get_int64() >= 0)
            read = static_cast<std::uint64_t>(field->get_int64());
        if (read && *read <= max)
            return *read;
        set_error(name, "is not a whole number in range");
        return 0;
    }

    /// Reads an integer from 0 to `max` as a signed number.
    std::int64_t signed_number(
        std::string_view name,
        std::int64_t max = std::numeric_limits<std::int64_t>::max())
    {
        const auto limit = static_cast<std::uint64_t>(max);
        return static_cast<std::int64_t>(number(name, limit));
    }

    bool boolean(std::string_view name)
    {
        const auto* field = find(name);
        if (field == nullptr)
            return false;
        if (const auto* read = field->if_bool())
            return *read;
        set_error(name, "is not true or false");
        return false;
    }

    /// Reads a string of `min_size` to `max_size` bytes.
    std::string
    text(std::string_view name, std::size_t max_size, std::size_t min_size = 0)
    {
        const auto* field = find(name);
        if (field == nullptr)
            return {};
        const auto* read = field->if_string();
        if (read != nullptr && read->size() <= max_size &&
            read->size() >= min_size)
            return std::string(read->data(), read->size());
        set_error(name, "is not a string of allowed length");
        return {};
    }

    /// Reads an array of at most `max_size` elements; empty after an error.
    const boost::json::array& array(std::string_view name, std::size_t max_size)
    {
        static const boost::json::array empty;
        const auto* field = find(name);
        if (field == nullptr)
            return empty;
        const auto* read = field->if_array();
        if (read != nullptr && read->size() <= max_size)
            return *read;
        set_error(name, "is not an array of allowed length");
        return empty;
    }

    /// Returns a required field, or null after an error.
    const boost::json::value* find(std::string_view name)
    {
        if (!error_.empty())
            return nullptr;
        const auto* field = object_->if_contains(name);
        if (field == nullptr)
            set_error(name, "is missing");
        else
            ++read_;
        return field;
    }

    /// Returns whether an optional field is present.
    bool has(std::string_view name) const
    {
        return error_.empty() && object_->if_contains(name) != nullptr;
    }

    /// Records an error of a field, unless there is one already.
    void set_error(std::string_view name, std::string_view message)
    {
        if (error_.empty())
            error_ = std::string(name) + " " + std::string(message);
    }

    /// Returns the first error. Each field must have been read exactly once.
    result<void> finish()
    {
        if (error_.empty() && read_ != object_->size())
            error_ = "has unknown fields";
        if (error_.empty())
            return boost::outcome_v2::success();
        return fail(errc::malformed, step_, {}, error_);
    }

private:
    const boost::json::object* object_;
    std::string step_;
    std::string error_;
    std::size_t read_ = 0;
};

/// Parses JSON text of at most `limit` bytes.
inline result<boost::json::value>
parse_json(std::string_view text, std::size_t limit, std::string step)
{
    if (text.size() > limit)
        return fail(errc::too_large, std::move(step));
    boost::json::error_code failure;
    auto document = boost::json::parse(text, failure);
    if (failure)
        return fail(errc::malformed, std::move(step), {}, failure.message());
    return document;
}

} // namespace fulmarjunction
