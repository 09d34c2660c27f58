#include "fleet_registration.hpp"

#include "config_follower.hpp"

#include <fulmarjunction/core/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>
#include <utility>

namespace fulmarjunction {

fleet_registration::fleet_registration(
    boost::asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), deps_(std::move(deps))
{
}

/// Writes the node's row, which starts a new incarnation.
awaitable<result<void>> fleet_registration::write_row()
{
    const auto incarnation =
        co_await deps_.store->put_node(deps_.reports->own_report());
    if (!incarnation)
        co_return incarnation.error();
    row_version_ = incarnation.value();
    deps_.reports->set_incarnation(incarnation.value());
    co_return boost::outcome_v2::success();
}

/// Reads the rows of all nodes and the secret, which it creates if there is
/// none.
awaitable<result<fleet_entry>> fleet_registration::read_rows()
{
    auto rows = co_await deps_.store->read_fleet();
    if (!rows)
        co_return rows.error();
    fleet_entry entry;
    entry.nodes = std::move(rows.value().nodes);
    entry.suspects = std::move(rows.value().suspects);
    entry.departures = std::move(rows.value().departures);
    if (rows.value().secret) {
        entry.secret = std::move(*rows.value().secret);
        co_return entry;
    }
    auto created = co_await deps_.store->create_secret();
    if (!created)
        co_return created.error();
    entry.secret = std::move(created.value());
    co_return entry;
}

awaitable<fleet_entry> fleet_registration::enter()
{
    bool has_written = false;
    for (unsigned failures = 1;; ++failures) {
        if (!has_written) {
            const auto written = co_await write_row();
            has_written = written.has_value();
            if (!written)
                log(log_level::warning, "row_not_written",
                    {{"error", to_string(written.error())}});
        }
        if (has_written) {
            auto entry = co_await read_rows();
            if (entry)
                co_return std::move(entry.value());
            log(log_level::warning, "rows_not_read",
                {{"error", to_string(entry.error())}});
        }
        co_await wait_before_retry(failures, executor_);
    }
}

awaitable<void> fleet_registration::keep(std::function<duration()> period)
{
    boost::asio::steady_timer timer(executor_);
    while (!is_leaving_) {
        timer.expires_after(period());
        boost::system::error_code ignored;
        co_await timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        if (!is_leaving_)
            co_await check_rows();
    }
}

awaitable<void> fleet_registration::check_rows()
{
    const auto rows = co_await deps_.store->read_fleet();
    if (!rows) {
        log(log_level::info, "rows_not_read",
            {{"error", to_string(rows.error())}});
        co_return;
    }
    bool has_own_row = false;
    for (const auto& row : rows.value().nodes) {
        if (row.node == deps_.self)
            has_own_row = true;
        else if (!is_leaving_)
            deps_.row_found(row);
    }
    if (!has_own_row && !is_leaving_)
        co_await restore_row();
    co_await remove_old_departures(rows.value());
}

/// Removes the old departures of nodes that no longer run.
awaitable<void>
fleet_registration::remove_old_departures(const fleet_rows& rows)
{
    std::set<instance_name> running;
    for (const auto& row : rows.nodes)
        running.insert(row.node);
    for (const auto& departures : rows.departures) {
        if (departures.age < departure_retention ||
            running.contains(departures.node))
            continue;
        const auto removed = co_await deps_.store->remove_departures(
            departures.node, departures.version);
        log(log_level::info, "old_departures_removed",
            {{"node", departures.node}, {"removed", removed.has_value()}});
    }
}

awaitable<void> fleet_registration::restore_row()
{
    const auto restored =
        co_await deps_.store->restore_node(deps_.reports->own_report());
    if (!restored) {
        log(log_level::warning, "row_not_written",
            {{"error", to_string(restored.error())}});
        co_return;
    }
    if (!restored.value())
        co_return;
    row_version_ = *restored.value();
    log(log_level::warning, "row_restored", {{"version", row_version_}});
    // The removal of a leave in the meantime has found no row.
    if (is_leaving_)
        co_await remove_row();
}

awaitable<void> fleet_registration::remove_row()
{
    const auto removed =
        co_await deps_.store->remove_node(deps_.self, row_version_);
    if (!removed) {
        log(log_level::warning, "row_not_removed",
            {{"error", to_string(removed.error())}});
    }
}

awaitable<void> fleet_registration::leave()
{
    is_leaving_ = true;
    co_await remove_row();
}

} // namespace fulmarjunction
