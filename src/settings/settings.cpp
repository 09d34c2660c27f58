#include "definitions.hpp"
#include "source_fields.hpp"

#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/core/field_reader.hpp>
#include <fulmarjunction/settings/settings.hpp>

#include <boost/json/stream_parser.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>

namespace fulmarjunction {

namespace {

namespace json = boost::json;
using detail::setting_definition;
using detail::source_field;

constexpr std::size_t max_file_size = 1024 * 1024;

auto settings_error(std::string detail)
{
    return fail(errc::invalid_settings, "read settings", {}, std::move(detail));
}

const setting_definition* find_definition(std::string_view path)
{
    for (const auto& definition : detail::setting_definitions()) {
        if (definition.name == path)
            return &definition;
    }
    return nullptr;
}

bool is_section(std::string_view path)
{
    const auto prefix = fmt::format("{}.", path);
    const auto& all = detail::setting_definitions();
    return std::any_of(all.begin(), all.end(), [&](const auto& definition) {
        return definition.name.starts_with(prefix);
    });
}

// Reads one settings file. Keeps the values by path and their locations.
class settings_reader
{
public:
    settings_reader(std::string_view text, std::string_view file)
        : text_(text), file_(file)
    {
    }

    result<node_settings> read()
    {
        BOOST_OUTCOME_TRY(auto document, parse());
        if (!document.is_object())
            return settings_error(fmt::format("{}: allowed: an object", file_));
        fields_ = detail::find_source_fields(text_);
        BOOST_OUTCOME_TRYV(check_duplicates());
        BOOST_OUTCOME_TRYV(collect(document, {}));
        node_settings settings;
        for (const auto& definition : detail::setting_definitions()) {
            BOOST_OUTCOME_TRYV(store(settings, definition));
        }
        BOOST_OUTCOME_TRYV(check_constraints(settings));
        return settings;
    }

private:
    result<json::value> parse() const
    {
        json::parse_options options;
        options.allow_comments = true;
        options.allow_trailing_commas = true;
        json::stream_parser parser({}, options);
        boost::system::error_code failure;
        // The number of consumed bytes is the position of a syntax error.
        const auto consumed =
            parser.write_some(text_.data(), text_.size(), failure);
        if (!failure && consumed < text_.size() &&
            text_.find_first_not_of(" \t\r\n", consumed) !=
                std::string_view::npos)
            failure = json::error::extra_data;
        if (!failure && !parser.done())
            failure = json::error::incomplete;
        if (failure) {
            return settings_error(fmt::format(
                "{}:{}: not JSON: {}", file_, detail::line_at(text_, consumed),
                failure.message()));
        }
        return parser.release();
    }

    // Boost.JSON keeps the last of two equal fields, which would hide a mistake
    // in the file.
    result<void> check_duplicates() const
    {
        std::set<std::string_view> seen;
        for (const auto& field : fields_) {
            if (!seen.insert(field.path).second) {
                return settings_error(fmt::format(
                    "{}:{}: {}: occurs twice", file_, field.line, field.path));
            }
        }
        return boost::outcome_v2::success();
    }

    result<void> collect(const json::value& value, const std::string& path)
    {
        for (const auto& field : value.get_object()) {
            const auto field_path =
                path.empty() ? std::string(field.key())
                             : fmt::format("{}.{}", path, field.key());
            if (find_definition(field_path) != nullptr)
                values_[field_path] = &field.value();
            else if (!is_section(field_path))
                return settings_error(fmt::format(
                    "{}: {}: unknown field", location(field_path), field_path));
            else if (!field.value().is_object())
                return value_error(field_path, field.value(), "an object");
            else {
                BOOST_OUTCOME_TRYV(collect(field.value(), field_path));
            }
        }
        return boost::outcome_v2::success();
    }

    result<void>
    store(node_settings& settings, const setting_definition& definition) const
    {
        const auto found = values_.find(definition.name);
        if (found != values_.end()) {
            if (!definition.store(settings, *found->second))
                return value_error(
                    definition.name, *found->second, definition.allowed);
        } else if (definition.required) {
            return settings_error(fmt::format(
                "{}: {}: missing (allowed: {})", file_, definition.name,
                definition.allowed));
        }
        return boost::outcome_v2::success();
    }

    // Checks constraints between two fields.
    result<void> check_constraints(const node_settings& settings) const
    {
        const auto& admission = settings.admission;
        if (settings.callers.tls &&
            (settings.callers.tls->certificate.empty() ||
             settings.callers.tls->key.empty()))
            return conflict_error(
                "callers.tls", "both certificate and key, or neither");
        if (settings.peers.listen.address().is_unspecified() &&
            !settings.peers.advertise)
            return conflict_error(
                "peers.listen", "a wildcard address only with peers.advertise");
        if (settings.poll_interval >= settings.freshness.limit)
            return conflict_error(
                "poll_interval_ms", "less than freshness.limit_ms");
        if (admission.min_limit > admission.max_limit)
            return conflict_error(
                "admission.min_limit", "at most admission.max_limit");
        if (admission.start_limit < admission.min_limit ||
            admission.start_limit > admission.max_limit)
            return conflict_error(
                "admission.start_limit",
                "from admission.min_limit to admission.max_limit");
        if (admission.target_wait > admission.max_wait)
            return conflict_error(
                "admission.target_wait_ms", "at most admission.max_wait_ms");
        return boost::outcome_v2::success();
    }

    std::string location(std::string_view path) const
    {
        for (const auto& field : fields_) {
            if (field.path == path)
                return fmt::format("{}:{}", file_, field.line);
        }
        return std::string(file_);
    }

    result<void> value_error(
        std::string_view path, const json::value& value,
        std::string_view allowed) const
    {
        return settings_error(fmt::format(
            "{}: {}: {} is not allowed (allowed: {})", location(path), path,
            format_value(value), allowed));
    }

    result<void>
    conflict_error(const std::string& path, std::string_view allowed) const
    {
        const auto found = values_.find(path);
        const auto formatted = found == values_.end()
                                   ? std::string("its default")
                                   : format_value(*found->second);
        return settings_error(fmt::format(
            "{}: {}: {} is not allowed (allowed: {})", location(path), path,
            formatted, allowed));
    }

    std::string_view text_;
    std::string_view file_;
    std::vector<source_field> fields_;
    std::map<std::string, const json::value*, std::less<>> values_;
};

result<std::string> read_file(const std::string& path, std::size_t limit)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return settings_error(fmt::format("{}: cannot be opened", path));
    std::string text(limit + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (file.bad())
        return settings_error(fmt::format("{}: cannot be read", path));
    if (text.size() > limit)
        return settings_error(
            fmt::format("{}: longer than {} bytes", path, limit));
    return text;
}

} // namespace

result<node_settings>
parse_settings(std::string_view text, std::string_view file)
{
    return settings_reader(text, file).read();
}

result<node_settings> load_settings(const std::string& path)
{
    BOOST_OUTCOME_TRY(const auto text, read_file(path, max_file_size));
    return parse_settings(text, path);
}

result<std::string> load_secret(const std::string& path)
{
    // libsodium's keyed hashes take keys of at least 16 bytes.
    constexpr std::size_t min_size = 16;
    constexpr std::size_t max_size = 4096;
    BOOST_OUTCOME_TRY(auto secret, read_file(path, max_size));
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    if (secret.size() < min_size) {
        return settings_error(
            fmt::format("{}: shorter than {} bytes", path, min_size));
    }
    return secret;
}

std::string settings_reference()
{
    std::string page =
        "# Settings\n\n"
        "`fulmard` reads one file of JSON with comments. Fields that are "
        "unknown or\noccur twice, values of another type and values out of "
        "range are refused. This\npage is generated from the table in "
        "`src/settings/definitions.cpp`.\n\n"
        "| field | allowed | unit | default | meaning |\n"
        "|---|---|---|---|---|\n";
    for (const auto& definition : detail::setting_definitions()) {
        const auto fallback =
            definition.required ? std::string("required")
            : definition.default_text.empty()
                ? std::string("none")
                : fmt::format("`{}`", definition.default_text);
        page += fmt::format(
            "| `{}` | {} | {} | {} | {} |\n", definition.name,
            definition.allowed, definition.unit, fallback,
            definition.description);
    }
    page += "\nRules that concern two fields: `callers.tls` has both files or "
            "neither; a\nwildcard `peers.listen` needs `peers.advertise`; "
            "`poll_interval_ms` is less than\n`freshness.limit_ms`; "
            "`admission.min_limit` <= `admission.start_limit` <=\n"
            "`admission.max_limit`; `admission.target_wait_ms` <= "
            "`admission.max_wait_ms`.\n";
    return page;
}

} // namespace fulmarjunction
