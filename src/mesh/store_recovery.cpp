#include "store_recovery.hpp"

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/object_reader.hpp>
#include <fulmarjunction/peer/control.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// Spreads the writes of a large fleet, which would exceed the store's rate.
constexpr milliseconds restore_spread_per_node(5);
constexpr milliseconds message_timeout(500);
constexpr std::size_t max_message_bytes = 256;
/// Store readers that tell the same node, so that one may be lost.
constexpr std::size_t readers_per_node = 2;

awaitable<void> send_era(peer_client& peers, peer_address to, std::string text)
{
    const auto told = co_await send_control(
        peers, to, std::string(store_era_message), std::move(text),
        clock::now() + message_timeout);
    // A node of an earlier version refuses the message.
    if (!told)
        log(log_level::info, "store_era_not_delivered",
            {{"peer", to.name}, {"error", to_string(told.error())}});
}

} // namespace

store_recovery::store_recovery(
    asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), deps_(std::move(deps))
{
    deps_.store->on_new_era = [this](store_era newest) {
        handle_new_era(newest);
    };
}

void store_recovery::handle_new_era(store_era newest)
{
    log(log_level::warning, "store_came_back", {{"era", newest}});
    deps_.metrics->count_store_era();
    deps_.store_acknowledged();
    tell_others(newest);
    asio::co_spawn(executor_, restore(), asio::detached);
}

/// Each store reader tells a part of the nodes.
void store_recovery::tell_others(store_era newest)
{
    const auto readers = deps_.fleet->store_readers();
    const auto self =
        std::find(readers.begin(), readers.end(), deps_.fleet->self());
    if (self == readers.end() || deps_.peers() == nullptr)
        return;
    const auto own_index = static_cast<std::size_t>(self - readers.begin());
    const auto text =
        boost::json::serialize(boost::json::object{{"era", newest}});
    std::size_t index = 0;
    for (const auto& [name, member] : deps_.fleet->members()) {
        const auto distance =
            (index++ + readers.size() - own_index) % readers.size();
        if (member.is_reachable && distance < readers_per_node) {
            asio::co_spawn(
                executor_,
                send_era(*deps_.peers(), {name, member.address}, text),
                asio::detached);
        }
    }
}

awaitable<void> store_recovery::restore()
{
    const auto nodes = static_cast<std::int64_t>(deps_.fleet->members().size());
    const auto spread = restore_spread_per_node * (nodes + 1);
    const auto delay = milliseconds(static_cast<std::int64_t>(
        deps_.random() % static_cast<std::uint64_t>(spread.count())));
    asio::steady_timer timer(executor_, delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    co_await deps_.restore_row();
}

result<std::string> store_recovery::receive(std::string_view text)
{
    constexpr std::string_view step = "read store era";
    BOOST_OUTCOME_TRY(
        const auto document,
        parse_json(text, max_message_bytes, std::string(step)));
    object_reader fields(document, std::string(step));
    const store_era named = fields.number("era");
    BOOST_OUTCOME_TRY(fields.finish());
    if (named > deps_.store->era() && !std::exchange(is_reading_era_, true))
        asio::co_spawn(executor_, read_era(), asio::detached);
    return std::string("{}");
}

awaitable<void> store_recovery::read_era()
{
    const auto read = co_await deps_.store->read_era();
    is_reading_era_ = false;
    if (!read)
        log(log_level::info, "store_era_not_read",
            {{"error", to_string(read.error())}});
}

} // namespace fulmarjunction
