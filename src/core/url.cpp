#include <fulmarjunction/core/url.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace fulmarjunction {

namespace {

bool is_unreserved(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' ||
           c == '~';
}

int hex_value(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::optional<query_parameter> parse_parameter(std::string_view text)
{
    const auto equals = std::min(text.find('='), text.size());
    const auto remaining = text.substr(std::min(equals + 1, text.size()));
    auto name = percent_decode(text.substr(0, equals));
    auto value = percent_decode(remaining);
    if (!name || !value)
        return std::nullopt;
    return query_parameter{std::move(*name), std::move(*value)};
}

} // namespace

std::string percent_encode(std::string_view text, std::string_view keep)
{
    std::string encoded;
    for (const char c : text) {
        if (is_unreserved(c) || keep.find(c) != std::string_view::npos)
            encoded += c;
        else
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return encoded;
}

std::optional<std::string> percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        if (text.size() - i < 3)
            return std::nullopt;
        const int high = hex_value(text[i + 1]);
        const int low = hex_value(text[i + 2]);
        if (high < 0 || low < 0)
            return std::nullopt;
        decoded += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return decoded;
}

std::optional<std::string_view>
request_target::find(std::string_view name) const
{
    for (const auto& parameter : query) {
        if (parameter.name == name)
            return parameter.value;
    }
    return std::nullopt;
}

std::optional<request_target> parse_target(std::string_view target)
{
    request_target parsed;
    const auto question_mark = std::min(target.find('?'), target.size());
    auto path = percent_decode(target.substr(0, question_mark));
    if (!path)
        return std::nullopt;
    parsed.path = std::move(*path);
    auto remaining = target.substr(std::min(question_mark + 1, target.size()));
    while (!remaining.empty()) {
        const auto end = std::min(remaining.find('&'), remaining.size());
        auto parameter = parse_parameter(remaining.substr(0, end));
        if (!parameter)
            return std::nullopt;
        parsed.query.push_back(std::move(*parameter));
        remaining.remove_prefix(std::min(end + 1, remaining.size()));
    }
    return parsed;
}

} // namespace fulmarjunction
