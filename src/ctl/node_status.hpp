/// @file
/// What nodes say at their operators' listeners.
#pragma once

#include <fulmarjunction/ctl/commands.hpp>

#include <string>
#include <vector>

namespace fulmarjunction::detail {

/// A node to ask.
struct node_address
{
    std::string name;
    std::string address;
};

/// What a node answered.
struct node_status
{
    node_address node;
    bool reachable = false;
    table_version version = 0;
    std::string freshness;
    bool ready = false;
    std::string error;
};

/// Returns the nodes of `--nodes`, or those of the instance rows.
awaitable<result<std::vector<node_address>>>
find_nodes(ctl_environment& environment);

/// Returns the address of one instance's operators' listener; empty when it
/// has no row.
awaitable<result<std::string>>
find_node(ctl_environment& environment, std::string name);

/// Asks all nodes, some at a time.
awaitable<std::vector<node_status>>
ask_all(ctl_environment& environment, std::vector<node_address> nodes);

/// Returns the table's rows whose keys have a prefix.
awaitable<result<std::vector<table_row>>>
list_rows(table_service& table, std::string prefix);

} // namespace fulmarjunction::detail
