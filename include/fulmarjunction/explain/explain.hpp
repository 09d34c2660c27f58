/// @file
/// Explains the outcome of one request from log lines.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmarjunction {

/// One line of a node's log.
struct log_line
{
    /// Node that wrote the line: the last word before the first field, if a log
    /// collector has added one, else the name of the log.
    std::string source;
    std::string time;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// Returns the value of a field; empty where there is none.
    std::string_view field(std::string_view name) const;
};

/// Parses one line of key=value pairs.
/// @param source source of a line that names none
/// @return a line without an event if the text holds none
log_line parse_log_line(std::string_view text, std::string_view source);

/// Returns all lines of a log that hold an event. A line that names no source
/// has the source of the line before it.
/// @param source source of the lines before the first one that names a source
std::vector<log_line> parse_log(std::string_view text, std::string_view source);

/// Outcome of a request and its reason.
struct explanation
{
    /// One sentence: the outcome, the node that decided it and the reason.
    std::string sentence;
    /// Lines of the request, sorted by time.
    std::vector<log_line> lines;
    /// The last lines that the deciding node logged before about its own state,
    /// its peers and the store.
    std::vector<log_line> surroundings;
};

/// Explains a request from the lines of all nodes that may have handled it.
explanation
explain_request(std::string_view request_id, std::vector<log_line> log);

/// Formats a line for display: time, source, event and fields.
std::string format_line(const log_line& line);

} // namespace fulmarjunction
