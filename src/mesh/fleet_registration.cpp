#include "fleet_registration.hpp"

#include "config_follower.hpp"

#include <fulmarjunction/core/log.hpp>

#include <utility>

namespace fulmarjunction {

fleet_registration::fleet_registration(
    boost::asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), deps_(deps)
{
}

/// Writes the node's row, which starts a new incarnation.
awaitable<result<void>> fleet_registration::write_row()
{
    const auto incarnation =
        co_await deps_.store->put_node(deps_.reports->own_report());
    if (!incarnation)
        co_return incarnation.error();
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

awaitable<void> fleet_registration::leave()
{
    const auto removed =
        co_await deps_.store->remove_node(deps_.reports->own_report());
    if (!removed) {
        log(log_level::warning, "row_not_removed",
            {{"error", to_string(removed.error())}});
    }
}

} // namespace fulmarjunction
