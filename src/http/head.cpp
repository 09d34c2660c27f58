#include <http/head.hpp>

#include <boost/beast/http/status.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace fulmarjunction::detail {

namespace {

constexpr int min_interim_status = 100;
constexpr int min_final_status = 200;
constexpr int max_status = 999;

/// 10^18 - 1 fits into 63 bits, so no sum of lengths overflows.
constexpr std::size_t max_length_digits = 18;

bool is_token_char(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return std::isalnum(byte) != 0 ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) !=
               std::string_view::npos;
}

bool is_value_char(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

bool is_target_char(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > 0x20 && byte < 0x7f;
}

template <class Predicate>
bool all_of(std::string_view text, Predicate predicate)
{
    return std::all_of(text.begin(), text.end(), predicate);
}

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    const auto same = [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    };
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(), same);
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool has_bare_line_end(std::string_view bytes)
{
    for (std::size_t i = 0; i != bytes.size(); ++i) {
        if (bytes[i] == '\n' && (i == 0 || bytes[i - 1] != '\r'))
            return true;
        if (bytes[i] == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n')
            return true;
    }
    return false;
}

bool is_version(std::string_view text)
{
    return text == "HTTP/1.1" || text == "HTTP/1.0";
}

bool is_request_line(std::string_view line)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return false;
    const auto target = line.substr(first + 1, last - first - 1);
    return is_token(line.substr(0, first)) && !target.empty() &&
           all_of(target, is_target_char) && is_version(line.substr(last + 1));
}

bool is_status_line(std::string_view line)
{
    constexpr std::size_t code_at = 9;
    constexpr std::size_t code_end = 12;
    if (line.size() < code_end || !is_version(line.substr(0, code_at - 1)) ||
        line[code_at - 1] != ' ')
        return false;
    const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
    const auto code = line.substr(code_at, code_end - code_at);
    if (!all_of(code, is_digit))
        return false;
    int status = 0;
    std::from_chars(code.data(), code.data() + code.size(), status);
    return is_valid_status(status) &&
           (line.size() == code_end || line[code_end] == ' ') &&
           all_of(line.substr(code_end), is_value_char);
}

/// Counts the fields that determine the framing and routing of a message.
struct framing_fields
{
    int lengths = 0;
    int codings = 0;
    int hosts = 0;

    /// Returns whether the field is well formed.
    bool add(std::string_view line)
    {
        const auto colon = line.find(':');
        if (colon == std::string_view::npos ||
            !is_token(line.substr(0, colon)) ||
            !all_of(line.substr(colon + 1), is_value_char))
            return false;
        const auto name = line.substr(0, colon);
        const auto value = trim(line.substr(colon + 1));
        if (equals_ignoring_case(name, "content-length"))
            return ++lengths == 1 && is_length(value);
        if (equals_ignoring_case(name, "transfer-encoding"))
            return ++codings == 1 && equals_ignoring_case(value, "chunked");
        if (equals_ignoring_case(name, "host"))
            return ++hosts == 1;
        return true;
    }

    static bool is_length(std::string_view value)
    {
        const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
        return !value.empty() && value.size() <= max_length_digits &&
               all_of(value, is_digit);
    }
};

bool is_acceptable(std::string_view head, message_kind kind)
{
    constexpr std::string_view line_end = "\r\n";
    const auto start = head.substr(0, head.find(line_end));
    const bool is_request = kind == message_kind::request;
    if (is_request ? !is_request_line(start) : !is_status_line(start))
        return false;
    framing_fields fields;
    head.remove_prefix(start.size() + line_end.size());
    while (!head.starts_with(line_end)) {
        const auto line = head.substr(0, head.find(line_end));
        if (!fields.add(line))
            return false;
        head.remove_prefix(line.size() + line_end.size());
    }
    const bool is_http_1_0 = is_request ? start.ends_with("HTTP/1.0")
                                        : start.starts_with("HTTP/1.0");
    if (fields.codings > 0 && (fields.lengths > 0 || is_http_1_0))
        return false;
    return !is_request || is_http_1_0 || fields.hosts == 1;
}

bool append_field(
    std::string& text, std::string_view name, std::string_view value)
{
    if (!is_token(name) || !all_of(value, is_value_char))
        return false;
    text += fmt::format("{}: {}\r\n", name, value);
    return true;
}

bool append_fields(std::string& text, const header_fields& fields)
{
    return std::all_of(
        fields.begin(), fields.end(), [&text](const header_field& field) {
            return is_connection_field(field.name) ||
                   append_field(text, field.name, field.value);
        });
}

void append_framing(
    std::string& text, body_framing framing,
    std::optional<std::uint64_t> content_length)
{
    if (framing == body_framing::content_length)
        text += fmt::format("content-length: {}\r\n", content_length.value());
    else if (framing == body_framing::chunked)
        text += "transfer-encoding: chunked\r\n";
}

} // namespace

bool is_interim_status(int status)
{
    return status >= min_interim_status && status < min_final_status;
}

bool is_final_status(int status)
{
    return status >= min_final_status && status <= max_status;
}

bool is_valid_status(int status)
{
    return is_interim_status(status) || is_final_status(status);
}

bool is_token(std::string_view text)
{
    return !text.empty() && all_of(text, is_token_char);
}

head_check
check_head(std::string_view bytes, std::size_t limit, message_kind kind)
{
    constexpr std::string_view head_end = "\r\n\r\n";
    const auto end = bytes.find(head_end);
    const bool complete = end != std::string_view::npos;
    const auto size = complete ? end + head_end.size() : bytes.size();
    const auto head = bytes.substr(0, std::min(size, limit));
    if (has_bare_line_end(head) || head.starts_with("\r"))
        return {head_verdict::malformed, 0};
    if (size > limit)
        return {head_verdict::too_large, 0};
    if (!complete)
        return {head_verdict::incomplete, 0};
    if (!is_acceptable(head, kind))
        return {head_verdict::malformed, 0};
    return {head_verdict::acceptable, size};
}

bool is_connection_field(std::string_view name)
{
    constexpr std::array<std::string_view, 10> names = {
        "connection", "keep-alive",     "proxy-connection",
        "te",         "trailer",        "transfer-encoding",
        "upgrade",    "content-length", "http2-settings",
        "expect"};
    return std::any_of(
        names.begin(), names.end(), [name](std::string_view known) {
            return equals_ignoring_case(name, known);
        });
}

void remove_connection_fields(header_fields& fields)
{
    std::vector<std::string> named;
    for (const auto& field : fields) {
        if (field.name != "connection")
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            named.emplace_back(trim(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    std::erase_if(fields, [&named](const header_field& field) {
        if (is_connection_field(field.name))
            return true;
        return field.name != "host" &&
               std::any_of(
                   named.begin(), named.end(), [&](const std::string& name) {
                       return equals_ignoring_case(name, field.name);
                   });
    });
}

std::optional<std::string> format_request_head(
    const streamed_request& request, std::string_view default_host,
    body_framing framing)
{
    if (!is_token(request.method) || request.target.empty() ||
        !all_of(request.target, is_target_char))
        return std::nullopt;
    std::string text =
        fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    if (!find_header(request.headers, "host"))
        text += fmt::format("host: {}\r\n", default_host);
    if (!append_fields(text, request.headers))
        return std::nullopt;
    append_framing(text, framing, request.content_length);
    return text + "\r\n";
}

std::optional<std::string> format_response_head(
    const streamed_response& response, body_framing framing, bool keep_alive)
{
    if (!is_final_status(response.status))
        return std::nullopt;
    const auto reason =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(
            static_cast<unsigned>(response.status)));
    std::string text = fmt::format(
        "HTTP/1.1 {} {}\r\n", response.status,
        std::string_view(reason.data(), reason.size()));
    if (!append_fields(text, response.headers))
        return std::nullopt;
    append_framing(text, framing, response.content_length);
    if (!keep_alive)
        text += "connection: close\r\n";
    return text + "\r\n";
}

} // namespace fulmarjunction::detail
