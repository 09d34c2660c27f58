/// @file
/// What the commands of `fulmarctl` share, and the commands themselves.
#pragma once

#include "node_status.hpp"

#include <fulmarjunction/catalog/catalog.hpp>
#include <fulmarjunction/ctl/change.hpp>
#include <fulmarjunction/ctl/commands.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction::detail {

using arguments = std::vector<std::string>;

constexpr std::string_view accounts_key = "catalog/accounts";
constexpr std::string_view plans_key = "catalog/plans";

/// Makes the output of a command that has failed.
command_output make_failure(exit_status status, std::string detail);
command_output make_failure(const error& failure);

/// Makes the output that tells what became of a change.
command_output make_output(const change_report& report);

/// Makes a change with the operator's name, the id and the time filled in.
operator_change make_change(
    const ctl_environment& environment, std::string action,
    std::string row_key);

/// Makes the change and tells what became of it.
awaitable<command_output>
apply(ctl_environment& environment, operator_change change);

/// Both lists as they are in the table; a list without a row is empty.
struct present_lists
{
    account_list accounts;
    plan_list plans;
    table_version accounts_version = 0;
    table_version plans_version = 0;
};

awaitable<result<present_lists>> read_lists(table_service& table);

/// Adds the nodes to the output; its status tells whether all confirmed.
void add_statuses(
    command_output& output, const std::vector<node_status>& statuses,
    table_version version);

/// Whether a node has the version; one that is not reachable has confirmed
/// nothing.
bool has_confirmed(const node_status& status, table_version version);

// The commands, by the word of the command line that they answer.
awaitable<command_output>
show_accounts(ctl_environment& environment, arguments words);
awaitable<command_output>
diff_accounts(ctl_environment& environment, arguments words);
awaitable<command_output>
apply_accounts(ctl_environment& environment, arguments words);
awaitable<command_output>
show_plans(ctl_environment& environment, arguments words);
awaitable<command_output>
diff_plans(ctl_environment& environment, arguments words);
awaitable<command_output>
apply_plans(ctl_environment& environment, arguments words);
awaitable<command_output>
give_key(ctl_environment& environment, arguments words);
awaitable<command_output>
withdraw_key(ctl_environment& environment, arguments words);
awaitable<command_output>
list_keys(ctl_environment& environment, arguments words);
awaitable<command_output>
show_audit(ctl_environment& environment, arguments words);
awaitable<command_output>
show_status(ctl_environment& environment, arguments words);
awaitable<command_output>
drain_node(ctl_environment& environment, arguments words);
awaitable<command_output>
release_share(ctl_environment& environment, arguments words);
awaitable<command_output>
explain_logs(ctl_environment& environment, arguments words);

} // namespace fulmarjunction::detail
