/// @file
/// Strict reading of JSON objects: unknown and missing fields, wrong types
/// and values out of range are errors.
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

/// Reads the fields of one object. The first problem is kept and returned by
/// `finish`; after it every read gives an empty value.
class object_reader
{
public:
    /// @param step named in the error, for example "parse borrow request"
    object_reader(const boost::json::value& document, std::string step)
        : object_(document.if_object()), step_(std::move(step))
    {
        if (object_ == nullptr)
            problem_ = "not an object";
    }

    /// Reads a whole number from 0 to `largest`.
    std::uint64_t number(
        std::string_view name,
        std::uint64_t largest = std::numeric_limits<std::uint64_t>::max())
    {
        const auto* field = find(name);
        if (field == nullptr)
            return 0;
        std::optional<std::uint64_t> read;
        if (field->is_uint64())
            read = field->get_uint64();
        else if (field->is_int64() && field->get_int64() >= 0)
            read = static_cast<std::uint64_t>(field->get_int64());
        if (read && *read <= largest)
            return *read;
        set_error(name, "is not a whole number in range");
        return 0;
    }

    /// Reads a whole number from 0 to `largest` as a signed number.
    std::int64_t signed_number(
        std::string_view name,
        std::int64_t largest = std::numeric_limits<std::int64_t>::max())
    {
        const auto limit = static_cast<std::uint64_t>(largest);
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

    /// Reads a string of `shortest` to `longest` bytes.
    std::string
    text(std::string_view name, std::size_t longest, std::size_t shortest = 0)
    {
        const auto* field = find(name);
        if (field == nullptr)
            return {};
        const auto* read = field->if_string();
        if (read != nullptr && read->size() <= longest &&
            read->size() >= shortest)
            return std::string(read->data(), read->size());
        set_error(name, "is not a string of allowed length");
        return {};
    }

    /// Reads an array of at most `longest` elements; empty after a problem.
    const boost::json::array& array(std::string_view name, std::size_t longest)
    {
        static const boost::json::array none;
        const auto* field = find(name);
        if (field == nullptr)
            return none;
        const auto* read = field->if_array();
        if (read != nullptr && read->size() <= longest)
            return *read;
        set_error(name, "is not an array of allowed length");
        return none;
    }

    /// Returns the field, which must be there, or null after a problem.
    const boost::json::value* find(std::string_view name)
    {
        if (!problem_.empty())
            return nullptr;
        const auto* field = object_->if_contains(name);
        if (field == nullptr)
            set_error(name, "is missing");
        else
            ++read_;
        return field;
    }

    /// Returns whether a field that may be missing is there.
    bool has(std::string_view name) const
    {
        return problem_.empty() && object_->if_contains(name) != nullptr;
    }

    /// Records a problem that the caller found.
    void set_error(std::string_view name, std::string_view what)
    {
        if (problem_.empty())
            problem_ = std::string(name) + " " + std::string(what);
    }

    /// Ends the reading. Each field must have been read exactly once.
    result<void> finish()
    {
        if (problem_.empty() && read_ != object_->size())
            problem_ = "has unknown fields";
        if (problem_.empty())
            return boost::outcome_v2::success();
        return fail(errc::malformed, step_, {}, problem_);
    }

private:
    const boost::json::object* object_;
    std::string step_;
    std::string problem_;
    std::size_t read_ = 0;
};

/// Parses JSON text of at most `limit` bytes.
inline result<boost::json::value>
parse_json(std::string_view text, std::size_t limit, std::string step)
{
    if (text.size() > limit)
        return fail(errc::too_large, std::move(step));
    boost::json::error_code problem;
    auto document = boost::json::parse(text, problem);
    if (problem)
        return fail(errc::malformed, std::move(step), {}, problem.message());
    return document;
}

} // namespace fulmarjunction
