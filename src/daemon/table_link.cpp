#include "table_link.hpp"

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/platform/bounded_table_service.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

constexpr milliseconds poll_check_interval(50);
constexpr milliseconds write_check_interval(200);
constexpr seconds deletion_check_interval(5);
constexpr std::size_t rows_per_poll = 1000;

poll_settings to_polls(const node_settings& settings)
{
    poll_settings converted;
    converted.interval = settings.poll_interval;
    converted.fallback_after = settings.freshness.limit / 2;
    return converted;
}

} // namespace

table_link::table_link(
    const asio::any_io_executor& executor, node_state& state,
    gossip& peer_gossip, table_service table, table_service poll_table)
    : executor_(executor), state_(state), gossip_(peer_gossip),
      table_(std::move(table)), poll_table_(std::move(poll_table)),
      poll_schedule_(
          to_polls(state.settings), clock::now(), make_random_generator()),
      reader_election_{state.settings.readers_per_zone}
{
    auto& timers = state_.timers;
    subscriptions_.push_back(timers.every(
        poll_check_interval, [this](time_point now) { start_poll(now); }));
    subscriptions_.push_back(
        timers.every(write_check_interval, [this](time_point now) {
            start_row_step(now);
            start_ledger_changes(now);
        }));
    subscriptions_.push_back(
        timers.every(deletion_check_interval, [this](time_point now) {
            start_deletions(now);
        }));
}

void table_link::start_poll(time_point now)
{
    const bool is_reader = reader_election_.is_reader(
        state_.self.name, state_.members.live_in(state_.self.zone));
    if (!poll_schedule_.should_poll(
            now, is_reader, state_.freshness_monitor.newest_evidence()))
        return;
    poll_schedule_.sent(now);
    asio::co_spawn(executor_, poll(), asio::detached);
}

awaitable<void> table_link::poll()
{
    const auto sent = clock::now();
    const auto after = state_.table_replica.poll_after();
    const auto listed = co_await poll_table_.list(after, rows_per_poll);
    const auto now = clock::now();
    if (!listed) {
        poll_schedule_.failed(now);
        state_.freshness_monitor.poll_failed(state_.self.zone, sent);
        log(log_level::debug, "poll_failed",
            {{"error", to_string(listed.error())}});
        co_return;
    }
    poll_schedule_.succeeded(now);
    const auto& list = listed.value();
    const auto update = state_.table_replica.apply_list(list, after);
    state_.freshness_monitor.poll_succeeded(state_.self.zone, list.head, sent);
    state_.refresh(now);
    if (list.complete_to < list.head)
        poll_schedule_.poll_again(now);
    if (update.advanced)
        gossip_.push_rows();
}

void table_link::start_row_step(time_point now)
{
    if (row_step_in_flight_)
        return;
    auto action = state_.own_instance_row.next(now);
    if (action.step == own_row_step::none)
        return;
    row_step_in_flight_ = true;
    asio::co_spawn(executor_, row_step(std::move(action)), asio::detached);
}

awaitable<void> table_link::row_step(own_row_action action)
{
    if (action.step == own_row_step::read) {
        const auto row = co_await table_.get(action.key);
        state_.own_instance_row.read(row, clock::now());
    } else {
        const auto committed = co_await table_.commit(action.change);
        const auto now = clock::now();
        state_.own_instance_row.committed(committed, now);
        if (!committed) {
            log(log_level::warning, "own_row_not_written",
                {{"error", to_string(committed.error())}});
        }
    }
    if (const auto until = state_.own_instance_row.lease_until())
        state_.rates.renew_lease(*until, clock::now());
    row_step_in_flight_ = false;
}

void table_link::start_ledger_changes(time_point now)
{
    // A holder lowers or releases its share before it writes the change to the
    // ledger, so planning changes while the store is down only loses tokens.
    const bool is_store_reachable =
        state_.freshness_monitor.decide(now) == freshness_decision::fresh;
    if (ledger_writes_in_flight_ || !is_store_reachable)
        return;
    auto changes = state_.rates.plan_changes(now);
    if (changes.empty())
        return;
    ledger_writes_in_flight_ = true;
    asio::co_spawn(
        executor_, write_ledgers(std::move(changes)), asio::detached);
}

awaitable<void> table_link::write_ledgers(std::vector<ledger_change> changes)
{
    for (auto& change : changes)
        co_await write_ledger(std::move(change));
    ledger_writes_in_flight_ = false;
}

awaitable<void> table_link::write_ledger(ledger_change change)
{
    const auto committed = co_await table_.commit(change.transaction);
    const auto key = share_row_key(change.account);
    if (committed) {
        for (const auto& write : change.transaction.writes) {
            if (write.key != key || !write.value)
                continue;
            const auto applied = state_.rates.apply_ledger_row(
                change.account, *write.value, committed.value(), clock::now());
            if (!applied) {
                log(log_level::error, "row_refused",
                    {{"row", key}, {"error", to_string(applied.error())}});
            }
        }
    } else {
        // The row shows whether the change was applied.
        const auto row = co_await table_.get(key);
        if (row && row.value()) {
            const auto applied = state_.rates.apply_ledger_row(
                change.account, row.value()->value, row.value()->version,
                clock::now());
            if (!applied) {
                log(log_level::error, "row_refused",
                    {{"row", key}, {"error", to_string(applied.error())}});
            }
        }
    }
    state_.rates.change_done(change.id, committed, clock::now());
    log(log_level::info, "share_ledger_written",
        {{"account", change.account},
         {"step", to_string(change.step)},
         {"result", committed ? "written" : to_string(committed.error())}});
}

void table_link::start_deletions(time_point now)
{
    if (deletions_in_flight_)
        return;
    auto deletions = state_.lease_monitor.due_deletions(
        now, state_.self.name, state_.members.live());
    if (deletions.empty())
        return;
    deletions_in_flight_ = true;
    asio::co_spawn(
        executor_, delete_expired(std::move(deletions)), asio::detached);
}

awaitable<void>
table_link::delete_expired(std::vector<table_transaction> deletions)
{
    for (auto& deletion : deletions) {
        const auto key = deletion.writes.front().key;
        const auto deleted = co_await table_.commit(std::move(deletion));
        log(log_level::info, "lapsed_row_deleted",
            {{"row", key},
             {"result", deleted ? "deleted" : to_string(deleted.error())}});
    }
    deletions_in_flight_ = false;
}

awaitable<result<table_version>> table_link::commit(table_transaction change)
{
    return commit_idempotent(table_, std::move(change));
}

} // namespace fulmarjunction
