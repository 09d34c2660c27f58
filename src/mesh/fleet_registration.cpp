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
    const auto written =
        co_await deps_.store->put_node(deps_.reports->own_report());
    if (!written)
        co_return written.error();
    row_version_ = written.value().version;
    row_era_ = deps_.store->era();
    deps_.reports->set_incarnation(written.value().incarnation);
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
            has_written = deps_.store->era() == row_era_;
            if (entry && has_written) {
                secret_ = entry.value().secret;
                co_return std::move(entry.value());
            }
            log(log_level::warning, "rows_not_read",
                {{"error", entry ? std::string("the store has come back")
                                 : to_string(entry.error())}});
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

awaitable<bool> fleet_registration::check_rows()
{
    const auto rows = co_await deps_.store->read_fleet();
    if (!rows) {
        log(log_level::info, "rows_not_read",
            {{"error", to_string(rows.error())}});
        co_return false;
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
    co_return true;
}

awaitable<void> fleet_registration::restore()
{
    if (secret_.empty() || std::exchange(is_restoring_, true))
        co_return;
    for (unsigned failures = 1; row_era_ != deps_.store->era(); ++failures) {
        const auto era = deps_.store->era();
        const bool is_restored = co_await restore_all();
        if (is_restored)
            row_era_ = era;
        else
            co_await wait_before_retry(failures, executor_);
    }
    is_restoring_ = false;
}

awaitable<bool> fleet_registration::restore_all()
{
    if (is_leaving_)
        co_return co_await remove_row();
    const bool has_row = co_await restore_row();
    if (!has_row)
        co_return false;
    const bool has_secret = co_await restore_secret();
    if (!has_secret)
        co_return false;
    co_return co_await check_rows();
}

/// Writes the secret if the store has lost it.
awaitable<bool> fleet_registration::restore_secret()
{
    if (!deps_.is_store_reader())
        co_return true;
    const auto current = co_await deps_.store->restore_secret(secret_);
    if (!current) {
        log(log_level::warning, "secret_not_restored",
            {{"error", to_string(current.error())}});
        co_return false;
    }
    if (current.value() != secret_)
        log(log_level::error, "secret_differs");
    co_return true;
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

/// @return whether the store has a row of this node
awaitable<bool> fleet_registration::restore_row()
{
    const auto restored =
        co_await deps_.store->restore_node(deps_.reports->own_report());
    if (!restored) {
        log(log_level::warning, "row_not_written",
            {{"error", to_string(restored.error())}});
        co_return false;
    }
    if (!restored.value())
        co_return true;
    row_version_ = *restored.value();
    log(log_level::warning, "row_restored", {{"version", row_version_}});
    // The removal of a leave in the meantime has found no row.
    if (is_leaving_)
        co_await remove_row();
    co_return true;
}

awaitable<bool> fleet_registration::remove_row()
{
    const auto removed =
        co_await deps_.store->remove_node(deps_.self, row_version_);
    if (!removed) {
        log(log_level::warning, "row_not_removed",
            {{"error", to_string(removed.error())}});
    }
    co_return removed.has_value();
}

awaitable<void> fleet_registration::leave()
{
    is_leaving_ = true;
    co_await remove_row();
}

} // namespace fulmarjunction
