#include "command_support.hpp"

#include <fulmarjunction/explain/explain.hpp>

#include <boost/json/array.hpp>
#include <fmt/format.h>

#include <iterator>
#include <utility>

namespace fulmarjunction::detail {

namespace {

namespace json = boost::json;

/// Adds log lines of the explanation under a heading.
void add_log_lines(
    command_output& output, const char* name,
    const std::vector<log_line>& lines)
{
    json::array list;
    if (!lines.empty())
        output.lines.push_back(fmt::format("{}:", name));
    for (const auto& line : lines) {
        auto text = format_line(line);
        list.emplace_back(text);
        output.lines.push_back("  " + std::move(text));
    }
    output.document[name] = std::move(list);
}

} // namespace

awaitable<command_output>
explain_logs(ctl_environment& environment, arguments words)
{
    std::vector<log_line> log;
    for (auto file = words.begin() + 1; file != words.end(); ++file) {
        const auto text = environment.read_file(*file);
        if (!text)
            co_return make_failure(text.error());
        auto lines = parse_log(text.value(), *file);
        log.insert(
            log.end(), std::make_move_iterator(lines.begin()),
            std::make_move_iterator(lines.end()));
    }
    const auto found = explain_request(words.front(), std::move(log));
    command_output output;
    output.document["explanation"] = found.sentence;
    output.lines.push_back(found.sentence);
    add_log_lines(output, "lines", found.lines);
    add_log_lines(output, "surroundings", found.surroundings);
    if (found.lines.empty())
        output.status = exit_status::failed;
    co_return output;
}

awaitable<command_output> show_audit(ctl_environment& environment, arguments)
{
    const auto rows =
        co_await read_audit(environment.table, environment.options.limit);
    if (!rows)
        co_return make_failure(rows.error());
    command_output output;
    json::array changes;
    for (const auto& row : rows.value()) {
        const auto record = parse_audit_record(row.value);
        if (!record)
            co_return make_failure(record.error());
        const auto& audit = record.value();
        output.lines.push_back(fmt::format(
            "{} version={} time_ms={} operator={} change={} {}: {}", row.key,
            row.version, audit.time_ms, audit.operator_name, audit.change_id,
            audit.action, audit.summary));
        auto document = fulmarjunction::to_json(audit);
        document.as_object()["version"] = row.version;
        changes.push_back(std::move(document));
    }
    output.document["changes"] = std::move(changes);
    co_return output;
}

} // namespace fulmarjunction::detail
