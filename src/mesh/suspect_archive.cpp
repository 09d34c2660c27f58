#include "suspect_archive.hpp"

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/object_reader.hpp>
#include <fulmarjunction/suspects/suspect_reports.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <utility>

namespace fulmarjunction {

namespace {

/// Pause before reports that could not be stored are stored again.
constexpr milliseconds tick_period(500);
/// Bounds the row of a node to some 10 KiB. Few requests crash two servers.
constexpr std::size_t max_stored_reports = 32;
constexpr std::size_t max_reports_bytes = 64 * 1024;

/// Returns the reports without their remaining times, which always change.
std::string content_of(std::vector<suspect_report> reports)
{
    if (reports.empty())
        return {};
    for (auto& report : reports) {
        for (auto& crash : report.crashes)
            crash.remaining = {};
    }
    return boost::json::serialize(to_json(reports));
}

result<std::vector<suspect_report>> parse_stored(const stored_suspects& row)
{
    BOOST_OUTCOME_TRY(
        const auto document,
        parse_json(row.reports, max_reports_bytes, "read stored suspects"));
    return parse_suspect_reports(document);
}

} // namespace

suspect_archive::suspect_archive(
    boost::asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), deps_(std::move(deps))
{
}

void suspect_archive::load(const std::vector<stored_suspects>& rows)
{
    const auto now = clock::now();
    std::size_t loaded = 0;
    for (const auto& row : rows) {
        auto reports = parse_stored(row);
        if (!reports) {
            log(log_level::warning, "stored_suspects_unreadable",
                {{"node", row.node}, {"error", to_string(reports.error())}});
            continue;
        }
        for (auto& report : reports.value()) {
            for (auto& crash : report.crashes)
                crash.remaining -= row.age;
            loaded += deps_.suspects->merge(report, now) ? 1 : 0;
        }
    }
    if (loaded > 0)
        log(log_level::info, "suspects_loaded", {{"reports", loaded}});
}

void suspect_archive::start()
{
    ticks_ = deps_.timers->every(tick_period, [this](time_point) { update(); });
}

void suspect_archive::update()
{
    const bool may_be_lost = has_row_ && stored_era_ != deps_.store->era();
    // Both are empty nearly always.
    if (is_busy_ || (deps_.suspects->size() == 0 && stored_content_.empty() &&
                     !may_be_lost))
        return;
    const auto reports =
        deps_.suspects->refused_here(max_stored_reports, clock::now());
    auto content = content_of(reports);
    if (content == stored_content_ && !may_be_lost)
        return;
    is_busy_ = true;
    auto text = reports.empty() ? std::string()
                                : boost::json::serialize(to_json(reports));
    boost::asio::co_spawn(
        executor_, store_reports(std::move(text), std::move(content)),
        boost::asio::detached);
}

awaitable<void>
suspect_archive::store_reports(std::string text, std::string content)
{
    const auto era = deps_.store->era();
    const auto stored = co_await deps_.store->put_suspects(deps_.self, text);
    is_busy_ = false;
    if (stored) {
        stored_content_ = std::move(content);
        stored_era_ = era;
        has_row_ = true;
        co_return;
    }
    log(log_level::info, "suspects_not_stored",
        {{"error", to_string(stored.error())}});
}

} // namespace fulmarjunction
