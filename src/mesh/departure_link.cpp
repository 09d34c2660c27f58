#include "departure_link.hpp"

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/placement.hpp>
#include <fulmarjunction/peer/control.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// Nodes that keep copies. Their number bounds the cost in a large fleet.
constexpr std::size_t holder_count = 8;
/// Nodes that are asked for copies. More than keep some, since some of them may
/// have been unreachable when the departure was announced.
constexpr std::size_t queried_count = 16;

/// Pause before a message that was not answered is sent again.
constexpr milliseconds tick_period(500);
constexpr milliseconds message_timeout(500);
/// A node that starts waits no longer for nodes that don't answer.
constexpr milliseconds max_query_wait(300);
/// Covers the time for which a node may seem to be unreachable.
constexpr seconds query_period(30);

} // namespace

departure_link::departure_link(
    asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), deps_(std::move(deps)),
      all_answered_(executor_)
{
}

void departure_link::start()
{
    ticks_ =
        deps_.timers->every(tick_period, [this](time_point now) { tick(now); });
}

void departure_link::tick(time_point now)
{
    copies_.expire(now);
    announce();
    if (now < query_until_)
        send_queries();
}

/// Returns the first nodes in the order in which they keep copies. It depends
/// on the names only, so that it is the same after a restart.
std::vector<instance_name>
departure_link::ranked_members(std::size_t count, bool only_reachable) const
{
    const auto& self = deps_.fleet->self();
    std::vector<std::pair<std::uint64_t, instance_name>> ranked;
    for (const auto& [name, member] : deps_.fleet->members()) {
        if (member.is_reachable || !only_reachable)
            ranked.emplace_back(rendezvous_weight(self, name), name);
    }
    count = std::min(count, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::vector<instance_name> names;
    for (auto at = ranked.begin(); at != end; ++at)
        names.push_back(std::move(at->second));
    return names;
}

void departure_link::announce()
{
    const auto digest =
        departures_digest(deps_.monitor->departures(clock::now()));
    if (digest.empty() || deps_.peers() == nullptr)
        return;
    std::erase_if(holders_, [this](const auto& entry) {
        return !entry.second.is_busy &&
               deps_.fleet->find(entry.first) == nullptr;
    });
    for (const auto& name : ranked_members(holder_count, true))
        update(*deps_.fleet->find(name), digest);
}

void departure_link::update(
    const fleet_member& holder, const std::string& digest)
{
    auto& state = holders_[holder.report.node];
    if (state.is_busy)
        return;
    // A node that has restarted has lost its copies.
    if (state.incarnation != holder.report.incarnation)
        state = {holder.report.incarnation};
    if (state.acknowledged == digest)
        return;
    state.is_busy = true;
    const auto now = clock::now();
    asio::co_spawn(
        executor_,
        send(
            {holder.report.node, holder.address},
            format_departures(deps_.monitor->departures(now), now), digest),
        asio::detached);
}

awaitable<void>
departure_link::send(peer_address to, std::string text, std::string digest)
{
    const auto sent = co_await send_control(
        *deps_.peers(), to, std::string(departures_message), std::move(text),
        clock::now() + message_timeout);
    auto& state = holders_[to.name];
    state.is_busy = false;
    if (sent) {
        state.acknowledged = std::move(digest);
        // More may have been announced meanwhile.
        announce();
        co_return;
    }
    log(log_level::info, "departures_not_delivered",
        {{"peer", to.name}, {"error", to_string(sent.error())}});
}

result<std::string>
departure_link::receive(const instance_name& from, std::string_view text)
{
    BOOST_OUTCOME_TRY(
        const auto departures, parse_departures(text, clock::now()));
    copies_.record(from, departures);
    return std::string("{}");
}

std::string departure_link::copies_of(const instance_name& node) const
{
    const auto now = clock::now();
    return format_departures(copies_.of(node, now), now);
}

awaitable<void> departure_link::read_copies()
{
    using namespace asio::experimental::awaitable_operators;
    query_until_ = clock::now() + query_period;
    for (const auto& name : ranked_members(queried_count, false))
        queries_[name] = {};
    send_queries();
    asio::steady_timer limit(executor_, max_query_wait);
    co_await (all_answered_.wait() || limit.async_wait(asio::use_awaitable));
}

/// Ends the wait of `read_copies` once every query has been answered or has
/// failed.
void departure_link::check_answers()
{
    const bool has_result =
        std::all_of(queries_.begin(), queries_.end(), [](const auto& entry) {
            return entry.second.has_answered || entry.second.has_failed;
        });
    if (has_result)
        all_answered_.cancel();
}

void departure_link::send_queries()
{
    for (auto& [name, state] : queries_) {
        const auto* member = deps_.fleet->find(name);
        if (state.is_busy || state.has_answered)
            continue;
        if (member == nullptr) {
            state.has_failed = true;
            continue;
        }
        state.is_busy = true;
        asio::co_spawn(
            executor_, query({name, member->address}), asio::detached);
    }
    check_answers();
}

awaitable<void> departure_link::query(peer_address to)
{
    const auto answer = co_await send_control(
        *deps_.peers(), to, std::string(departures_query), "{}",
        clock::now() + message_timeout);
    auto& state = queries_[to.name];
    state.is_busy = false;
    state.has_answered = answer && restore(to.name, answer.value());
    state.has_failed = !state.has_answered;
    check_answers();
}

/// Passes the copies that another node keeps to the monitor.
/// @return whether they could be read
bool departure_link::restore(const instance_name& from, std::string_view text)
{
    const auto now = clock::now();
    const auto departures = parse_departures(text, now);
    if (!departures) {
        log(log_level::warning, "departures_malformed",
            {{"peer", from}, {"error", to_string(departures.error())}});
        return false;
    }
    for (const auto& departure : departures.value()) {
        log(log_level::info, "departure_recalled",
            {{"peer", from},
             {"backend", departure.id},
             {"has_left", !departure.sequence},
             {"age_ms", to_milliseconds(now - departure.announced_at)}});
    }
    deps_.monitor->restore(departures.value(), now);
    return true;
}

} // namespace fulmarjunction
