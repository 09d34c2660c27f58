#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/time.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <unordered_map>
#include <utility>

namespace fulmarjunction {

namespace {

constexpr auto level_names = make_enum_table<log_level>({
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
});

void write_to_stderr(std::string_view line)
{
    fmt::print(stderr, "{}\n", line);
}

/// Number of lines of one event in the current one-second window.
struct event_budget
{
    time_point window_start{};
    unsigned lines = 0;
    unsigned suppressed = 0;
};

struct log_state
{
    log_sink sink = write_to_stderr;
    log_level level = log_level::info;
    unsigned lines_per_second = 0;
    std::unordered_map<std::string, event_budget> budgets;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

bool is_unquoted(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > 0x20 && byte < 0x7f && c != '"' && c != '=' && c != '\\';
}

std::string utc_now()
{
    using namespace std::chrono;
    const auto now = system_clock::now().time_since_epoch();
    const auto ms = duration_cast<milliseconds>(now).count();
    const std::time_t seconds = static_cast<std::time_t>(ms / 1000);
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    return fmt::format(
        "{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", utc.tm_year + 1900,
        utc.tm_mon + 1, utc.tm_mday, utc.tm_hour, utc.tm_min, utc.tm_sec,
        ms % 1000);
}

/// Counts a line against the budget of the event.
/// @return whether the line may be written
bool consume_budget(std::string_view event)
{
    auto& shared = state();
    if (shared.lines_per_second == 0)
        return true;
    const auto now = clock::now();
    auto& budget = shared.budgets[std::string(event)];
    if (now - budget.window_start >= seconds(1)) {
        const auto suppressed = budget.suppressed;
        budget = {now, 0, 0};
        if (suppressed > 0) {
            shared.sink(fmt::format(
                "time={} level=info event=lines_left_out of={} count={}",
                utc_now(), event, suppressed));
        }
    }
    if (budget.lines >= shared.lines_per_second) {
        ++budget.suppressed;
        return false;
    }
    ++budget.lines;
    return true;
}

} // namespace

void set_log_budget(unsigned lines_per_second)
{
    state().lines_per_second = lines_per_second;
}

void set_log_sink(log_sink sink)
{
    state().sink = sink ? std::move(sink) : log_sink(write_to_stderr);
}

void set_log_level(log_level level)
{
    state().level = level;
}

std::string log_quote(std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), is_unquoted))
        return std::string(value);
    std::string quoted = "\"";
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
            quoted += {'\\', c};
        else if (byte < 0x20 || byte >= 0x7f)
            quoted += fmt::format("\\x{:02x}", byte);
        else
            quoted += c;
    }
    quoted += '"';
    return quoted;
}

void log(
    log_level level, std::string_view event,
    std::initializer_list<log_field> fields)
{
    if (level < state().level || !consume_budget(event))
        return;
    std::string line = fmt::format(
        "time={} level={} event={}", utc_now(), level_names.name(level), event);
    for (const auto& field : fields)
        line += fmt::format(" {}={}", field.key, log_quote(field.value));
    state().sink(line);
}

} // namespace fulmarjunction
