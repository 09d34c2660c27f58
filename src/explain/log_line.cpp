#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/explain/explain.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace fulmarjunction {

namespace {

constexpr std::string_view first_field = "time=";

/// Extracts key=value pairs from a text; values with spaces are quoted.
class pair_reader
{
public:
    explicit pair_reader(std::string_view text) : rest_(text) {}

    std::optional<std::pair<std::string, std::string>> next()
    {
        const auto begin = rest_.find_first_not_of(' ');
        if (begin == std::string_view::npos)
            return std::nullopt;
        rest_.remove_prefix(begin);
        const auto equals = rest_.find('=');
        if (equals == std::string_view::npos)
            return std::nullopt;
        std::string key(rest_.substr(0, equals));
        rest_.remove_prefix(equals + 1);
        return std::pair(std::move(key), value());
    }

private:
    std::string value()
    {
        if (!rest_.starts_with('"')) {
            const auto end = std::min(rest_.find(' '), rest_.size());
            std::string plain(rest_.substr(0, end));
            rest_.remove_prefix(end);
            return plain;
        }
        rest_.remove_prefix(1);
        std::string text;
        while (!rest_.empty() && rest_.front() != '"')
            text += character();
        rest_.remove_prefix(rest_.empty() ? 0 : 1);
        return text;
    }

    char character()
    {
        constexpr std::size_t escaped_byte_size = 4;
        if (rest_.starts_with("\\x") && rest_.size() >= escaped_byte_size) {
            unsigned byte = 0;
            const char* const digits = rest_.data() + 2;
            std::from_chars(digits, digits + 2, byte, 16);
            rest_.remove_prefix(escaped_byte_size);
            return static_cast<char>(byte);
        }
        if (rest_.front() == '\\' && rest_.size() > 1)
            rest_.remove_prefix(1);
        const char plain = rest_.front();
        rest_.remove_prefix(1);
        return plain;
    }

    std::string_view rest_;
};

/// Returns the last word that a log collector wrote before the line itself,
/// which is the name of the node.
std::string_view collector_source(std::string_view text)
{
    auto prefix = text.substr(0, std::min(text.find(first_field), text.size()));
    while (prefix.ends_with(' ') || prefix.ends_with(':'))
        prefix.remove_suffix(1);
    return prefix.substr(prefix.rfind(' ') + 1);
}

} // namespace

std::string_view log_line::field(std::string_view name) const
{
    for (const auto& [key, value] : fields) {
        if (key == name)
            return value;
    }
    return {};
}

log_line parse_log_line(std::string_view text, std::string_view source)
{
    log_line line;
    const auto begin = text.find(first_field);
    if (begin == std::string_view::npos)
        return line;
    const auto named = collector_source(text);
    line.source = named.empty() ? source : named;
    pair_reader pairs(text.substr(begin));
    while (auto pair = pairs.next()) {
        if (pair->first == "time")
            line.time = std::move(pair->second);
        else if (pair->first == "event")
            line.event = std::move(pair->second);
        else if (pair->first != "level")
            line.fields.push_back(std::move(*pair));
    }
    return line;
}

std::vector<log_line> parse_log(std::string_view text, std::string_view source)
{
    std::vector<log_line> lines;
    std::string last_source(source);
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        auto line = parse_log_line(text.substr(0, end), last_source);
        if (!line.event.empty()) {
            last_source = line.source;
            lines.push_back(std::move(line));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::string format_line(const log_line& line)
{
    std::string text = line.time + " " + line.source + " " + line.event;
    for (const auto& [key, value] : line.fields)
        text += " " + key + "=" + log_quote(value);
    return text;
}

} // namespace fulmarjunction
