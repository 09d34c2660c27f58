/// @file
/// The commands of `fulmarctl`.
#pragma once

#include <fulmarjunction/platform/bounded_table_service.hpp>
#include <fulmarjunction/platform/table_service.hpp>

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fulmarjunction {

/// Exit statuses of `fulmarctl`.
enum class exit_status
{
    ok = 0,
    failed = 1,
    usage = 2,
    /// Another operator's change was applied first.
    conflict = 3,
    /// It is unknown whether the change was applied.
    outcome_unknown = 4,
    /// The change is applied, but not all nodes have confirmed it in time.
    not_confirmed = 5
};

/// Options of the command line.
struct ctl_options
{
    std::string pepper_file;
    std::string operator_name;
    std::string change_id;
    /// Addresses of the nodes' operators listeners; when empty, those in the
    /// instance rows are used.
    std::vector<std::string> nodes;
    std::string node;
    std::size_t limit = 20;
    seconds wait{0};
};

/// Dependencies of the commands, which tests replace.
struct ctl_environment
{
    ctl_options options;
    table_service table;
    platform_hooks hooks;
    /// Returns milliseconds since 1970.
    std::function<std::int64_t()> wall_time_ms;
    /// Returns the content of a file.
    std::function<result<std::string>(const std::string& path)> read_file;
    /// Sends a request to a node's operators listener and returns the JSON
    /// document that it answers.
    std::function<awaitable<result<boost::json::value>>(
        std::string address, std::string method, std::string target)>
        query_node;
};

/// Output of a command: lines, or with `--json` the document.
struct command_output
{
    exit_status status = exit_status::ok;
    std::vector<std::string> lines;
    boost::json::object document;
};

/// How a command accesses the platform's table.
enum class command_access
{
    /// It queries one node or reads files only, so it works while the platform
    /// is down.
    none,
    reads,
    /// It makes a change, which requires an operator's name.
    changes
};

/// Describes one command.
struct command_definition
{
    /// Words that select the command, such as "accounts apply".
    std::string name;
    /// Names of its arguments, such as "FILE". The last one may be given more
    /// than once where its name ends in "...".
    std::vector<std::string> arguments;
    std::string help;
    command_access access = command_access::reads;
    std::function<awaitable<command_output>(
        ctl_environment& environment, std::vector<std::string> arguments)>
        run;
};

/// Returns all commands in the order in which the help lists them.
const std::vector<command_definition>& command_definitions();

/// Returns the command that the words select, or null. The caller checks the
/// number of arguments.
const command_definition* find_command(const std::vector<std::string>& words);

/// Checks the arguments and runs the command that the words select.
awaitable<command_output>
run_command(ctl_environment& environment, std::vector<std::string> words);

} // namespace fulmarjunction
