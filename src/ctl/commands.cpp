#include "command_support.hpp"

#include <fulmarjunction/ctl/commands.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

std::vector<command_definition> make_definitions()
{
    const std::string apply_help =
        "Replaces the list with FILE (JSON with comments). A \"version\" "
        "field, as `show` writes it, makes the change fail if the list has "
        "changed since.";
    return {
        {"accounts apply",
         {"FILE"},
         apply_help,
         command_access::changes,
         detail::apply_accounts},
        {"accounts show",
         {},
         "Shows the list of client accounts.",
         command_access::reads,
         detail::show_accounts},
        {"accounts diff",
         {"FILE"},
         "Shows what `apply` would change.",
         command_access::reads,
         detail::diff_accounts},
        {"plans apply",
         {"FILE"},
         apply_help,
         command_access::changes,
         detail::apply_plans},
        {"plans show",
         {},
         "Shows the list of plans and endpoints.",
         command_access::reads,
         detail::show_plans},
        {"plans diff",
         {"FILE"},
         "Shows what `apply` would change.",
         command_access::reads,
         detail::diff_plans},
        {"keys give",
         {"ACCOUNT"},
         "Creates a key for an account and shows it once. Requires "
         "--pepper-file.",
         command_access::changes,
         detail::give_key},
        {"keys withdraw",
         {"KEY_ID"},
         "Withdraws a key. With --wait SECONDS it waits until all nodes have "
         "confirmed.",
         command_access::changes,
         detail::withdraw_key},
        {"keys list",
         {},
         "Lists the ids of all keys.",
         command_access::reads,
         detail::list_keys},
        {"audit",
         {},
         "Shows the last changes, newest first.",
         command_access::reads,
         detail::show_audit},
        {"status",
         {},
         "Shows the version, freshness and readiness of all nodes.",
         command_access::reads,
         detail::show_status},
        {"drain",
         {},
         "Starts the graceful shutdown of the node at --node.",
         command_access::none,
         detail::drain_node},
        {"shares release",
         {"ACCOUNT", "INDEX"},
         "Releases a share whose holder has stopped permanently.",
         command_access::changes,
         detail::release_share},
        {"explain",
         {"REQUEST", "LOG..."},
         "Explains the outcome of a request from the logs of all nodes that "
         "may have handled it.",
         command_access::none,
         detail::explain_logs},
    };
}

std::size_t word_count(const std::string& name)
{
    return 1 +
           static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

/// Returns whether the last argument may be repeated.
bool is_variadic(const command_definition& command)
{
    return !command.arguments.empty() &&
           command.arguments.back().ends_with("...");
}

bool accepts(const command_definition& command, std::size_t count)
{
    const auto required = command.arguments.size();
    return is_variadic(command) ? count >= required : count == required;
}

} // namespace

const std::vector<command_definition>& command_definitions()
{
    static const auto definitions = make_definitions();
    return definitions;
}

const command_definition* find_command(const std::vector<std::string>& words)
{
    for (const auto& definition : command_definitions()) {
        std::string name;
        const auto count = word_count(definition.name);
        for (std::size_t i = 0; i != std::min(count, words.size()); ++i)
            name += (i == 0 ? "" : " ") + words[i];
        if (name == definition.name)
            return &definition;
    }
    return nullptr;
}

awaitable<command_output>
run_command(ctl_environment& environment, std::vector<std::string> words)
{
    const auto* command = find_command(words);
    if (command == nullptr)
        co_return detail::make_failure(
            exit_status::usage, "unknown command; see fulmarctl --help");
    words.erase(
        words.begin(),
        words.begin() + static_cast<std::ptrdiff_t>(word_count(command->name)));
    if (!accepts(*command, words.size()))
        co_return detail::make_failure(
            exit_status::usage, fmt::format(
                                    "{} takes {} arguments{}", command->name,
                                    command->arguments.size(),
                                    is_variadic(*command) ? " or more" : ""));
    if (command->access == command_access::changes &&
        environment.options.operator_name.empty())
        co_return detail::make_failure(
            exit_status::usage, "a change requires --operator NAME");
    co_return co_await command->run(environment, std::move(words));
}

} // namespace fulmarjunction
