// Strict readers for JSON objects and for arrays with positional fields.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarjunction::detail {

// Returns a non-negative integer that fits 64 bits.
inline std::optional<std::uint64_t> to_unsigned(const boost::json::value* value)
{
    if (value == nullptr)
        return std::nullopt;
    if (const auto* number = value->if_uint64())
        return *number;
    const auto* number = value->if_int64();
    if (number == nullptr || *number < 0)
        return std::nullopt;
    return static_cast<std::uint64_t>(*number);
}

// Converts field values and records whether any was missing or had the wrong
// type. The values come from the derived readers, null for a missing field.
class field_reader
{
public:
    bool is_valid() const { return valid_; }

protected:
    void require(bool condition) { valid_ = valid_ && condition; }

    std::uint64_t read_unsigned(const boost::json::value* value)
    {
        const auto number = to_unsigned(value);
        require(number.has_value());
        return number.value_or(0);
    }

    bool read_bool(const boost::json::value* value)
    {
        const auto* flag = value == nullptr ? nullptr : value->if_bool();
        require(flag != nullptr);
        return flag != nullptr && *flag;
    }

    std::string read_string(const boost::json::value* value, std::size_t limit)
    {
        const auto* text = value == nullptr ? nullptr : value->if_string();
        require(text != nullptr && text->size() <= limit);
        return valid_ ? std::string(*text) : std::string();
    }

private:
    bool valid_ = true;
};

// Reads the members of an object. `is_complete` returns whether all of them
// were read and valid.
class object_reader : public field_reader
{
public:
    explicit object_reader(const boost::json::value& value)
        : object_(value.if_object())
    {
        require(object_ != nullptr);
    }

    const boost::json::value* find(std::string_view name)
    {
        const auto* value =
            object_ == nullptr ? nullptr : object_->if_contains(name);
        read_ += value == nullptr ? 0 : 1;
        return value;
    }

    std::uint64_t number(std::string_view name)
    {
        return read_unsigned(find(name));
    }
    std::uint64_t number_or(std::string_view name, std::uint64_t fallback)
    {
        const auto* value = find(name);
        return value == nullptr ? fallback : read_unsigned(value);
    }
    bool flag_or(std::string_view name, bool fallback)
    {
        const auto* value = find(name);
        return value == nullptr ? fallback : read_bool(value);
    }
    std::string text(std::string_view name, std::size_t limit)
    {
        return read_string(find(name), limit);
    }

    // Returns an array, or null when the member is absent.
    const boost::json::array* array_or_null(std::string_view name)
    {
        const auto* value = find(name);
        if (value == nullptr)
            return nullptr;
        require(value->is_array());
        return value->if_array();
    }

    bool is_complete() const
    {
        return is_valid() && object_ != nullptr && read_ == object_->size();
    }

private:
    const boost::json::object* object_;
    std::size_t read_ = 0;
};

// Reads the elements of an array in order. `is_complete` returns whether all of
// them were read and valid.
class array_reader : public field_reader
{
public:
    explicit array_reader(const boost::json::value& value)
        : array_(value.if_array())
    {
        require(array_ != nullptr);
    }

    std::size_t remaining() const
    {
        return array_ == nullptr ? 0 : array_->size() - position_;
    }

    const boost::json::value* next()
    {
        return remaining() == 0 ? nullptr : &(*array_)[position_++];
    }

    std::uint64_t number() { return read_unsigned(next()); }
    std::string text(std::size_t limit) { return read_string(next(), limit); }

    // Reads a number or null.
    std::optional<std::uint64_t> number_or_null()
    {
        const auto* value = next();
        if (value != nullptr && value->is_null())
            return std::nullopt;
        return read_unsigned(value);
    }

    bool is_complete() const { return is_valid() && remaining() == 0; }

private:
    const boost::json::array* array_;
    std::size_t position_ = 0;
};

} // namespace fulmarjunction::detail
