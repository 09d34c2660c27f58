/// @file
/// The node's row in the shared store.
#pragma once

#include "fleet_reports.hpp"

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/store/fleet_store.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <string>
#include <vector>

namespace fulmarjunction {

/// What a node learns from the shared store when it enters the fleet.
struct fleet_entry
{
    /// Secret with which nodes authenticate each other.
    std::string secret;
    /// Rows of all nodes, including this one's.
    std::vector<node_report> nodes;
    /// Requests that have crashed backend servers before.
    std::vector<stored_suspects> suspects;
    /// Departures of backend servers that nodes have acknowledged before.
    std::vector<stored_departures> departures;
};

/// Enters the node into the shared store, finds the other nodes there, keeps
/// its row, and removes the node when it stops.
class fleet_registration
{
public:
    struct dependencies
    {
        fleet_store* store = nullptr;
        fleet_reports* reports = nullptr;
        instance_name self;
        /// Called with each row that a later read has found.
        std::function<void(const node_report& row)> row_found;
        /// Returns whether this node restores what belongs to the whole fleet.
        std::function<bool()> is_store_reader;
    };

    fleet_registration(
        boost::asio::any_io_executor executor, dependencies deps);

    /// Writes the node's row, then reads those of the others, until both have
    /// succeeded in the same era of the store. In this order, at least one of
    /// two nodes that start at the same time finds the other.
    awaitable<fleet_entry> enter();

    /// Does the same again after the store has come back from a copy, which may
    /// lack the rows of some nodes. The incarnation stays the same. While the
    /// node leaves, it removes the row instead.
    awaitable<void> restore();

    /// Reads the rows again from time to time, until the node leaves: nodes
    /// that a long partition has made each other forget find each other again,
    /// and a row that has been lost is restored.
    /// @param period returns the time between two reads
    awaitable<void> keep(std::function<duration()> period);

    /// Removes the node's row.
    awaitable<void> leave();

private:
    awaitable<bool> check_rows();
    awaitable<bool> restore_all();
    awaitable<void> remove_old_departures(const fleet_rows& rows);
    awaitable<bool> restore_row();
    awaitable<bool> restore_secret();
    awaitable<bool> remove_row();
    awaitable<result<void>> write_row();
    awaitable<result<fleet_entry>> read_rows();

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    /// Version of the node's row.
    store_position row_version_ = 0;
    /// Era of the store in which the node's row was last written or found.
    store_era row_era_ = unknown_era;
    /// Secret of the fleet, once the node has entered it.
    std::string secret_;
    bool is_restoring_ = false;
    bool is_leaving_ = false;
};

} // namespace fulmarjunction
