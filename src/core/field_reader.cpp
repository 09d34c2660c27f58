#include <fulmarjunction/core/field_reader.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

bool is_alphanumeric(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           (c >= '0' && c <= '9');
}

bool is_identifier_character(char c)
{
    return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
}

const boost::json::array& empty_array()
{
    static const boost::json::array instance;
    return instance;
}

} // namespace

bool is_identifier(std::string_view text)
{
    constexpr std::size_t max_length = 64;
    return !text.empty() && text.size() <= max_length &&
           is_alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(), is_identifier_character);
}

std::string format_value(const boost::json::value& value)
{
    constexpr std::size_t max_length = 64;
    // Boost.JSON would write 2000.5 as 2.0005E3.
    auto text = value.is_double() ? fmt::format("{}", value.get_double())
                                  : boost::json::serialize(value);
    if (text.size() > max_length)
        text = text.substr(0, max_length) + "...";
    return text;
}

field_reader::field_reader(
    const boost::json::value& document, std::string path, std::string step)
    : fields_(document.if_object()), path_(std::move(path)),
      step_(std::move(step))
{
    if (fields_ == nullptr) {
        set_failure(fmt::format(
            "{}: {} is not allowed (allowed: an object)",
            path_.empty() ? "document" : path_, format_value(document)));
    }
}

void field_reader::set_failure(std::string detail)
{
    if (!failure_)
        failure_ = std::move(detail);
}

std::string field_reader::path_of(std::string_view name) const
{
    return path_.empty() ? std::string(name)
                         : fmt::format("{}.{}", path_, name);
}

void field_reader::refuse(std::string_view name, std::string_view allowed)
{
    const auto* value =
        fields_ == nullptr ? nullptr : fields_->if_contains(name);
    set_failure(
        value == nullptr
            ? fmt::format("{}: missing (allowed: {})", path_of(name), allowed)
            : fmt::format(
                  "{}: {} is not allowed (allowed: {})", path_of(name),
                  format_value(*value), allowed));
}

void field_reader::refuse(const error& failure)
{
    set_failure(failure.detail);
}

const boost::json::value* field_reader::find(std::string_view name)
{
    known_.emplace(name);
    return fields_ == nullptr ? nullptr : fields_->if_contains(name);
}

std::string field_reader::text(std::string_view name)
{
    const auto* value = find(name);
    if (value != nullptr && value->is_string())
        return std::string(value->get_string());
    refuse(name, "a string");
    return {};
}

std::string field_reader::identifier(std::string_view name)
{
    const auto* value = find(name);
    if (value != nullptr && value->is_string() &&
        is_identifier(value->get_string()))
        return std::string(value->get_string());
    refuse(name, "1 to 64 of A-Z a-z 0-9 . _ -, first a letter or digit");
    return {};
}

double field_reader::number(
    std::string_view name, double min, double max,
    std::optional<double> fallback)
{
    const auto* value = find(name);
    if (value == nullptr && fallback)
        return *fallback;
    if (value != nullptr && value->is_number()) {
        const auto content = value->to_number<double>();
        if (content >= min && content <= max)
            return content;
    }
    refuse(name, fmt::format("a number from {} to {}", min, max));
    return min;
}

std::int64_t field_reader::integer(
    std::string_view name, std::int64_t min, std::int64_t max,
    std::optional<std::int64_t> fallback)
{
    const auto* value = find(name);
    if (value == nullptr && fallback)
        return *fallback;
    if (value != nullptr && value->is_int64()) {
        const auto content = value->get_int64();
        if (content >= min && content <= max)
            return content;
    }
    refuse(name, fmt::format("a whole number from {} to {}", min, max));
    return min;
}

std::uint64_t field_reader::version(std::string_view name)
{
    const auto* value = find(name);
    if (value != nullptr && value->is_uint64())
        return value->get_uint64();
    if (value != nullptr && value->is_int64() && value->get_int64() >= 0)
        return static_cast<std::uint64_t>(value->get_int64());
    refuse(name, "a whole number of at least 0");
    return 0;
}

bool field_reader::boolean(std::string_view name, bool fallback)
{
    const auto* value = find(name);
    if (value == nullptr)
        return fallback;
    if (value->is_bool())
        return value->get_bool();
    refuse(name, "true or false");
    return fallback;
}

const boost::json::array& field_reader::array(std::string_view name)
{
    const auto* value = find(name);
    if (value != nullptr && value->is_array())
        return value->get_array();
    refuse(name, "an array");
    return empty_array();
}

result<void> field_reader::finish()
{
    if (fields_ != nullptr && !ignore_unknown_) {
        for (const auto& field : *fields_) {
            if (known_.find(field.key()) == known_.end())
                set_failure(
                    fmt::format("{}: unknown field", path_of(field.key())));
        }
    }
    if (failure_)
        return fail(errc::malformed, step_, {}, *failure_);
    return boost::outcome_v2::success();
}

} // namespace fulmarjunction
