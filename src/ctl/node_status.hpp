/// @file
/// Queries of nodes at their operators listeners.
#pragma once

#include <fulmarjunction/ctl/commands.hpp>

#include <string>
#include <vector>

namespace fulmarjunction::detail {

/// Name of a node and address of its operators listener.
struct node_address
{
    std::string name;
    std::string address;
};

/// Status that a node reports, or the error that prevented the query.
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

/// Returns the address of an instance's operators listener; empty if the
/// instance has no row.
awaitable<result<std::string>>
find_node(ctl_environment& environment, std::string name);

/// Queries all nodes, with a limited number of concurrent queries.
awaitable<std::vector<node_status>>
query_nodes(ctl_environment& environment, std::vector<node_address> nodes);

/// Returns the rows of the table whose keys start with a prefix.
awaitable<result<std::vector<table_row>>>
list_rows(table_service& table, std::string prefix);

} // namespace fulmarjunction::detail
