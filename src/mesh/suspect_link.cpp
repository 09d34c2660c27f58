#include "suspect_link.hpp"

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/peer/control.hpp>
#include <fulmarjunction/suspects/suspect_reports.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// Pause before a report that was not acknowledged is sent again.
constexpr milliseconds tick_period(500);
constexpr milliseconds message_timeout(500);

} // namespace

suspect_link::suspect_link(asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), deps_(std::move(deps))
{
}

void suspect_link::start()
{
    ticks_ = deps_.timers->every(tick_period, [this](time_point now) {
        deps_.suspects->expire(now);
        announce();
    });
}

void suspect_link::announce()
{
    if (deps_.peers() == nullptr)
        return;
    std::erase_if(states_, [this](const auto& entry) {
        return !entry.second.is_busy &&
               deps_.fleet->find(entry.first) == nullptr;
    });
    for (const auto& [name, member] : deps_.fleet->members()) {
        if (member.is_reachable)
            update(member);
    }
}

void suspect_link::update(const fleet_member& member)
{
    auto& state = states_[member.report.node];
    if (state.is_busy)
        return;
    if (state.incarnation != member.report.incarnation)
        state = {member.report.incarnation};
    const auto last = deps_.suspects->last_change();
    if (state.has_everything && state.acknowledged == last)
        return;
    const auto now = clock::now();
    const auto reports =
        state.has_everything
            ? deps_.suspects->own_changes(
                  state.acknowledged, max_suspect_reports, now)
            : deps_.suspects->changes(0, max_suspect_reports, now);
    if (reports.empty()) {
        state.acknowledged = last;
        state.has_everything = true;
        return;
    }
    state.is_busy = true;
    asio::co_spawn(
        executor_,
        send(
            {member.report.node, member.address},
            boost::json::serialize(to_json(reports)), last),
        asio::detached);
}

awaitable<void>
suspect_link::send(peer_address to, std::string text, std::uint64_t change)
{
    const auto sent = co_await send_control(
        *deps_.peers(), to, std::string(suspects_message), std::move(text),
        clock::now() + message_timeout);
    auto& state = states_[to.name];
    state.is_busy = false;
    if (sent) {
        state.acknowledged = change;
        state.has_everything = true;
        co_return;
    }
    log(log_level::info, "suspects_not_delivered",
        {{"peer", to.name}, {"error", to_string(sent.error())}});
}

result<std::string> suspect_link::receive(std::string_view text)
{
    boost::system::error_code problem;
    const auto document = boost::json::parse(
        boost::json::string_view(text.data(), text.size()), problem);
    if (problem)
        return fail(errc::malformed, "suspects", {}, problem.message());
    BOOST_OUTCOME_TRY(const auto reports, parse_suspect_reports(document));
    std::size_t news = 0;
    for (const auto& report : reports)
        news += deps_.suspects->merge(report, clock::now()) ? 1 : 0;
    if (news > 0) {
        log(log_level::info, "suspects_received",
            {{"reports", reports.size()}, {"new", news}});
    }
    return std::string("{}");
}

} // namespace fulmarjunction
