/// @file
/// A node's reads from and writes to the platform's table service.
#pragma once

#include "gossip.hpp"
#include "node_state.hpp"

#include <fulmarjunction/platform/table_service.hpp>
#include <fulmarjunction/replica/poll_schedule.hpp>

#include <boost/asio/any_io_executor.hpp>

namespace fulmarjunction {

/// Polls rows, maintains the node's own row, writes share ledgers and deletes
/// rows with expired leases. At most one call of each kind is in flight, so
/// that calls do not accumulate while the store is slow.
class table_link
{
public:
    /// @param poll_table reads rows with a short timeout and without retries
    table_link(
        const boost::asio::any_io_executor& executor, node_state& state,
        gossip& peer_gossip, table_service table, table_service poll_table);

    /// Commits the handover row of a stopping node.
    awaitable<result<table_version>> commit(table_transaction change);

    /// Returns whether another process has taken this instance's name, so that
    /// the node must stop.
    bool is_superseded() const
    {
        return state_.own_instance_row.is_superseded();
    }

private:
    void start_poll(time_point now);
    awaitable<void> poll();
    void start_row_step(time_point now);
    awaitable<void> row_step(own_row_action action);
    void start_ledger_changes(time_point now);
    awaitable<void> write_ledgers(std::vector<ledger_change> changes);
    awaitable<void> write_ledger(ledger_change change);
    void start_deletions(time_point now);
    awaitable<void> delete_expired(std::vector<table_transaction> deletions);

    boost::asio::any_io_executor executor_;
    node_state& state_;
    gossip& gossip_;
    table_service table_;
    table_service poll_table_;
    poll_schedule poll_schedule_;
    reader_election reader_election_;
    bool row_step_in_flight_ = false;
    bool ledger_writes_in_flight_ = false;
    bool deletions_in_flight_ = false;
    std::vector<timer_service::subscription> subscriptions_;
};

} // namespace fulmarjunction
