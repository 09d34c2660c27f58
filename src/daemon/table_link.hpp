/// @file
/// What a node reads from and writes to the platform's table.
#pragma once

#include "gossip.hpp"
#include "node_state.hpp"

#include <fulmarjunction/platform/table_service.hpp>
#include <fulmarjunction/replica/poll_schedule.hpp>

#include <boost/asio/any_io_executor.hpp>

namespace fulmarjunction {

/// Polls rows, keeps the node's own row and writes share ledgers. Each kind
/// of call has at most one in flight, so a slow store is not piled upon.
class table_link
{
public:
    /// @param polled reads rows with a short limit and no second attempt
    table_link(
        const boost::asio::any_io_executor& executor, node_state& state,
        gossip& peers, table_service table, table_service polled);

    /// Commits the handover row of a stopping node.
    awaitable<result<table_version>> commit(table_transaction change);

    /// Why the node must stop, if it must: another process has taken its
    /// name.
    bool is_superseded() const { return state_.row.is_superseded(); }

private:
    void start_poll(time_point now);
    awaitable<void> poll();
    void start_row_step(time_point now);
    awaitable<void> row_step(own_row_action action);
    void start_ledger_changes(time_point now);
    awaitable<void> write_ledgers(std::vector<ledger_change> changes);
    awaitable<void> write_ledger(ledger_change change);
    void start_deletions(time_point now);
    awaitable<void> delete_lapsed(std::vector<table_transaction> deletions);

    boost::asio::any_io_executor executor_;
    node_state& state_;
    gossip& peers_;
    table_service table_;
    table_service polled_;
    poll_schedule polls_;
    reader_election readers_;
    bool row_busy_ = false;
    bool ledgers_busy_ = false;
    bool deletions_busy_ = false;
    std::vector<timer_service::subscription> subscriptions_;
};

} // namespace fulmarjunction
