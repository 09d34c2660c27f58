/// @file
/// The commands of `fulmarctl` and the functions that they share.
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

/// Returns the output of a command that has failed.
command_output make_failure(exit_status status, std::string detail);
command_output make_failure(const error& failure);

/// Returns the output that reports the outcome of a change.
command_output make_output(const change_report& report);

/// Returns a change with the operator's name, the id and the time filled in.
operator_change make_change(
    const ctl_environment& environment, std::string action,
    std::string row_key);

/// Applies the change and reports its outcome.
awaitable<command_output>
apply(ctl_environment& environment, operator_change change);

/// The current lists of the table; a list without a row is empty.
struct current_lists
{
    account_list accounts;
    plan_list plans;
    table_version accounts_version = 0;
    table_version plans_version = 0;
};

awaitable<result<current_lists>> read_lists(table_service& table);

/// Adds the nodes to the output, and sets its status to `not_confirmed` if one
/// of them has not confirmed the version.
void add_statuses(
    command_output& output, const std::vector<node_status>& statuses,
    table_version version);

/// Returns whether a node is reachable and has at least the version.
bool has_confirmed(const node_status& status, table_version version);

// Implementations of the commands.
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
