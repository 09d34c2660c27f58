#include "node_status.hpp"

#include <fulmarjunction/core/field_reader.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/deferred.hpp>
#include <boost/asio/experimental/parallel_group.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace fulmarjunction::detail {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

// Limits the concurrent connections; 2,600 nodes take about 80 rounds.
constexpr std::size_t max_concurrent_queries = 32;

void read_status(const json::value& document, node_status& status)
{
    field_reader fields(document, {}, "parse status");
    fields.ignore_unknown();
    status.version = fields.version("version");
    status.ready = fields.boolean("ready", false);
    if (const auto* freshness = fields.find("freshness"))
        status.freshness = freshness->is_string()
                               ? std::string(freshness->get_string())
                               : format_value(*freshness);
    const auto read = fields.finish();
    status.reachable = read.has_value();
    if (!read)
        status.error = read.error().detail;
}

awaitable<void> query_status(ctl_environment& environment, node_status& status)
{
    const auto answer =
        co_await environment.query_node(status.node.address, "GET", "/status");
    if (answer)
        read_status(answer.value(), status);
    else
        status.error = to_string(answer.error());
}

std::string operator_address_of(const table_row& row)
{
    const auto* fields = row.value.if_object();
    const auto* address =
        fields == nullptr ? nullptr : fields->if_contains("operator");
    if (address == nullptr || !address->is_string())
        return {};
    return std::string(address->get_string());
}

} // namespace

awaitable<result<std::vector<table_row>>>
list_rows(table_service& table, std::string prefix)
{
    // Indexed by key, since a row that changes between two pages is listed
    // twice.
    std::map<std::string, table_row> rows;
    table_version after = 0;
    for (;;) {
        auto page = co_await table.list(after, max_listed_rows);
        if (!page)
            co_return page.error();
        for (auto& row : page.value().rows) {
            if (row.key.starts_with(prefix))
                rows[row.key] = std::move(row);
        }
        if (page.value().complete_to <= after ||
            page.value().complete_to >= page.value().head)
            break;
        after = page.value().complete_to;
    }
    std::vector<table_row> present;
    for (auto& [key, row] : rows) {
        if (!row.deleted)
            present.push_back(std::move(row));
    }
    co_return present;
}

awaitable<result<std::vector<node_address>>>
find_nodes(ctl_environment& environment)
{
    std::vector<node_address> nodes;
    for (const auto& address : environment.options.nodes)
        nodes.push_back({address, address});
    if (!nodes.empty())
        co_return nodes;
    const auto rows = co_await list_rows(environment.table, "instance/");
    if (!rows)
        co_return rows.error();
    constexpr std::size_t prefix = std::string_view("instance/").size();
    for (const auto& row : rows.value())
        nodes.push_back({row.key.substr(prefix), operator_address_of(row)});
    co_return nodes;
}

awaitable<result<std::string>>
find_node(ctl_environment& environment, std::string name)
{
    const auto row = co_await environment.table.get("instance/" + name);
    if (!row)
        co_return row.error();
    if (!row.value())
        co_return std::string();
    co_return operator_address_of(*row.value());
}

awaitable<std::vector<node_status>>
query_nodes(ctl_environment& environment, std::vector<node_address> nodes)
{
    const auto executor = co_await asio::this_coro::executor;
    std::vector<node_status> statuses(nodes.size());
    for (std::size_t i = 0; i != nodes.size(); ++i)
        statuses[i].node = std::move(nodes[i]);
    const auto start = [&](node_status& status) {
        return asio::co_spawn(
            executor, query_status(environment, status), asio::deferred);
    };
    for (std::size_t from = 0; from < statuses.size();
         from += max_concurrent_queries) {
        const auto to =
            std::min(from + max_concurrent_queries, statuses.size());
        std::vector<decltype(start(statuses[0]))> queries;
        for (std::size_t i = from; i != to; ++i)
            queries.push_back(start(statuses[i]));
        co_await asio::experimental::make_parallel_group(std::move(queries))
            .async_wait(
                asio::experimental::wait_for_all(), asio::use_awaitable);
    }
    co_return statuses;
}

} // namespace fulmarjunction::detail
