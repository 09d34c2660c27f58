#include "command_support.hpp"

#include <fulmarjunction/settings/settings.hpp>

#include <boost/json/array.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fulmarjunction::detail {

namespace {

namespace json = boost::json;

bool has_account(const account_list& list, std::string_view name)
{
    return std::any_of(
        list.accounts.begin(), list.accounts.end(),
        [&](const account_definition& account) {
            return account.name == name;
        });
}

awaitable<void> wait_for_confirmations(
    ctl_environment& environment, command_output& output, table_version version)
{
    constexpr milliseconds step(500);
    const auto nodes = co_await find_nodes(environment);
    if (!nodes) {
        output.status = exit_status::not_confirmed;
        output.lines.push_back(to_string(nodes.error()));
        co_return;
    }
    const auto deadline = environment.hooks.now() + environment.options.wait;
    for (;;) {
        const auto statuses = co_await query_nodes(environment, nodes.value());
        const bool all = std::all_of(
            statuses.begin(), statuses.end(),
            [&](const auto& status) { return has_confirmed(status, version); });
        if (all || environment.hooks.now() + step > deadline) {
            add_statuses(output, statuses, version);
            co_return;
        }
        co_await environment.hooks.sleep(step);
    }
}

} // namespace

awaitable<command_output>
give_key(ctl_environment& environment, arguments words)
{
    const auto pepper = load_secret(environment.options.pepper_file);
    if (!pepper)
        co_return make_failure(pepper.error());
    const auto lists = co_await read_lists(environment.table);
    if (!lists)
        co_return make_failure(lists.error());
    if (!has_account(lists.value().accounts, words.at(0)))
        co_return make_failure(
            exit_status::failed,
            fmt::format("account \"{}\" does not exist", words.at(0)));
    const auto created = make_key(words.at(0), pepper.value());
    auto change =
        make_change(environment, "keys give", "key/" + created.record.id);
    change.value = to_json(created.record);
    change.preconditions.push_back(
        {std::string(accounts_key), lists.value().accounts_version});
    change.audit.summary = fmt::format(
        "+ key {} of account {}", created.record.id, created.record.account);
    auto output = co_await apply(environment, std::move(change));
    output.document["key_id"] = created.record.id;
    // A key with an unknown outcome is not shown, as it may never be valid.
    if (output.status == exit_status::ok) {
        output.document["key"] = created.text;
        output.lines.push_back(created.text);
    }
    co_return output;
}

awaitable<command_output>
withdraw_key(ctl_environment& environment, arguments words)
{
    const auto row_key = "key/" + words.at(0);
    const auto row = co_await environment.table.get(row_key);
    if (!row)
        co_return make_failure(row.error());
    if (!row.value())
        co_return make_failure(
            exit_status::failed,
            fmt::format("key \"{}\" does not exist", words.at(0)));
    auto record = parse_key_record(row.value()->value);
    if (!record)
        co_return make_failure(record.error());
    record.value().withdrawn = true;
    auto change = make_change(environment, "keys withdraw", row_key);
    change.expected_version = row.value()->version;
    change.value = to_json(record.value());
    change.audit.summary = fmt::format(
        "- key {} of account {}", record.value().id, record.value().account);
    const auto report = co_await apply_change(
        environment.table, std::move(change), environment.hooks.sleep);
    auto output = make_output(report);
    if (output.status == exit_status::ok &&
        environment.options.wait > seconds(0))
        co_await wait_for_confirmations(environment, output, report.version);
    co_return output;
}

awaitable<command_output> list_keys(ctl_environment& environment, arguments)
{
    const auto rows = co_await list_rows(environment.table, "key/");
    if (!rows)
        co_return make_failure(rows.error());
    command_output output;
    json::array keys;
    for (const auto& row : rows.value()) {
        const auto record = parse_key_record(row.value);
        if (!record)
            co_return make_failure(record.error());
        const auto* state = record.value().withdrawn ? "withdrawn" : "active";
        output.lines.push_back(fmt::format(
            "{} account={} state={} version={}", record.value().id,
            record.value().account, state, row.version));
        keys.push_back(json::object{
            {"id", record.value().id},
            {"account", record.value().account},
            {"state", state},
            {"version", row.version}});
    }
    output.document["keys"] = std::move(keys);
    co_return output;
}

} // namespace fulmarjunction::detail
