#include "command_support.hpp"

#include <fulmarjunction/core/field_reader.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <charconv>
#include <optional>
#include <utility>

namespace fulmarjunction::detail {

namespace {

namespace json = boost::json;

json::object to_json(const node_status& status, table_version version)
{
    return {
        {"name", status.node.name},
        {"address", status.node.address},
        {"reachable", status.reachable},
        {"version", status.version},
        {"freshness", status.freshness},
        {"ready", status.ready},
        {"confirmed", has_confirmed(status, version)},
        {"error", status.error}};
}

std::string describe(const node_status& status, table_version version)
{
    if (!status.reachable)
        return fmt::format(
            "{} {} not reachable: {}", status.node.name, status.node.address,
            status.error);
    return fmt::format(
        "{} {} version={} freshness={} ready={}{}", status.node.name,
        status.node.address, status.version, status.freshness, status.ready,
        has_confirmed(status, version) ? "" : " NOT CONFIRMED");
}

json::value* find_share(json::value& ledger, std::uint64_t index)
{
    auto* fields = ledger.if_object();
    auto* shares = fields == nullptr ? nullptr : fields->if_contains("shares");
    if (shares == nullptr || !shares->is_array())
        return nullptr;
    for (auto& entry : shares->get_array()) {
        field_reader reader(entry, {}, "read share");
        reader.ignore_unknown();
        if (reader.version("index") == index && reader.finish())
            return &entry;
    }
    return nullptr;
}

// Returns why a share of the holder cannot be released, if so. A running holder
// may still spend from its share: releasing it would let another node spend
// the same tokens.
awaitable<std::optional<std::string>>
find_running_holder(ctl_environment& environment, std::string holder)
{
    const auto address = co_await find_node(environment, holder);
    if (!address)
        co_return to_string(address.error());
    if (address.value().empty())
        co_return std::nullopt;
    const auto answer =
        co_await environment.query_node(address.value(), "GET", "/status");
    if (!answer && answer.error().code == errc::connection_failed)
        co_return std::nullopt;
    co_return fmt::format(
        "the holder {} at {} may be running; stop it first", holder,
        address.value());
}

} // namespace

bool has_confirmed(const node_status& status, table_version version)
{
    return status.reachable && status.version >= version;
}

void add_statuses(
    command_output& output, const std::vector<node_status>& statuses,
    table_version version)
{
    json::array nodes;
    for (const auto& status : statuses) {
        nodes.push_back(to_json(status, version));
        output.lines.push_back(describe(status, version));
        if (!has_confirmed(status, version))
            output.status = exit_status::not_confirmed;
    }
    output.document["nodes"] = std::move(nodes);
    output.document["newest_version"] = version;
}

awaitable<command_output> show_status(ctl_environment& environment, arguments)
{
    const auto nodes = co_await find_nodes(environment);
    if (!nodes)
        co_return make_failure(nodes.error());
    // The head row has the version of the last operator's change; the version
    // of the table also increases with changes of instances and shares.
    const auto head = co_await environment.table.get("head");
    if (!head && environment.options.nodes.empty())
        co_return make_failure(head.error());
    const auto version = head && head.value() ? head.value()->version : 0;
    command_output output;
    output.lines.push_back(
        head ? fmt::format("newest version {}", version)
             : "newest version unknown: " + to_string(head.error()));
    const auto statuses = co_await query_nodes(environment, nodes.value());
    add_statuses(output, statuses, version);
    // Nodes cannot be compared with an unknown version.
    if (!head)
        output.status = exit_status::not_confirmed;
    co_return output;
}

awaitable<command_output> drain_node(ctl_environment& environment, arguments)
{
    const auto answer = co_await environment.query_node(
        environment.options.node, "POST", "/drain");
    if (!answer)
        co_return make_failure(answer.error());
    command_output output;
    output.document["answer"] = answer.value();
    output.lines.push_back(
        fmt::format("{} is draining", environment.options.node));
    co_return output;
}

awaitable<command_output>
release_share(ctl_environment& environment, arguments words)
{
    std::uint64_t index = 0;
    const auto& text = words.at(1);
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), index);
    if (ec != std::errc() || end != text.data() + text.size())
        co_return make_failure(
            exit_status::usage, "INDEX must be a whole number");
    const auto row_key = "shares/" + words.at(0);
    auto row = co_await environment.table.get(row_key);
    if (!row)
        co_return make_failure(row.error());
    auto ledger = row.value() ? row.value()->value : json::value();
    auto* entry = find_share(ledger, index);
    if (entry == nullptr)
        co_return make_failure(
            exit_status::failed,
            fmt::format("{} has no share {}", row_key, index));
    const auto* holder = entry->as_object().if_contains("holder");
    const std::string name = holder != nullptr && holder->is_string()
                                 ? std::string(holder->get_string())
                                 : std::string();
    const auto running = co_await find_running_holder(environment, name);
    if (running)
        co_return make_failure(exit_status::conflict, *running);
    auto& shares = ledger.as_object().at("shares").as_array();
    shares.erase(shares.begin() + (entry - shares.data()));
    auto change = make_change(environment, "shares release", row_key);
    change.expected_version = row.value()->version;
    change.value = std::move(ledger);
    change.audit.summary =
        fmt::format("- share {} of {} held by {}", index, words.at(0), name);
    co_return co_await apply(environment, std::move(change));
}

} // namespace fulmarjunction::detail
