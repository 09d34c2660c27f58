/// @file
/// Explains from log lines what became of one request.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmarjunction {

/// One line of a node's log.
struct log_line
{
    /// Node that wrote it: the last word before the first field, where a
    /// collector of logs has put one.
    std::string source;
    std::string time;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// Returns the value of a field; empty where there is none.
    std::string_view field(std::string_view name) const;
};

/// Reads one line of key=value pairs.
/// @param source name of the log, for lines that name none themselves
/// @return a line without an event where the text holds none
log_line parse_log_line(std::string_view text, std::string_view source);

/// Returns all lines of a log that hold an event. A line that names no source
/// comes from the same one as the line before it.
/// @param source name of the log, for lines before any that names a source
std::vector<log_line> parse_log(std::string_view text, std::string_view source);

/// What became of a request, and why.
struct explanation
{
    /// One sentence: what was decided, where, and for which reason.
    std::string sentence;
    /// Lines of the request in the order of their times.
    std::vector<log_line> lines;
    /// What the node that decided had noted of itself, its peers and the store
    /// shortly before.
    std::vector<log_line> surroundings;
};

/// Explains a request from the lines of all nodes that may have seen it.
explanation
explain_request(std::string_view request_id, std::vector<log_line> log);

/// Formats a line for people: source, time, event and fields.
std::string format_line(const log_line& line);

} // namespace fulmarjunction
