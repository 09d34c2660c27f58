/// @file
/// Structured logging: one line of key=value pairs per event.
#pragma once

#include <fmt/format.h>

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Severity of a log event.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// One key=value pair of a log line.
struct log_field
{
    std::string_view key;
    std::string value;

    /// Formats `content` with fmt.
    template <class T>
    log_field(std::string_view name, const T& content)
        : key(name), value(fmt::format("{}", content))
    {
    }
};

/// Receives complete log lines, without the trailing newline.
using log_sink = std::function<void(std::string_view line)>;

/// Replaces the sink; null restores the default, standard error.
void set_log_sink(log_sink sink);

/// Drops events below `level`; `log_level::info` by default.
void set_log_level(log_level level);

/// Limits the lines per second of each event; 0 disables the limit. The first
/// line of an event after such a second is preceded by a `lines_left_out` line
/// with the number of suppressed lines.
void set_log_budget(unsigned lines_per_second);

/// Writes one event. Values with spaces, quotes, `=` or control characters are
/// quoted and escaped, so that input cannot inject lines or fields.
/// @param level severity
/// @param event fixed name of the event in snake_case
/// @param fields additional pairs; keys are fixed names, never input
void log(
    log_level level, std::string_view event,
    std::initializer_list<log_field> fields = {});

/// Returns `value` as it is written to a log line, quoted if needed.
std::string log_quote(std::string_view value);

} // namespace fulmarjunction
