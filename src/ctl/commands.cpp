#include "node_status.hpp"

#include <fulmarjunction/catalog/catalog.hpp>
#include <fulmarjunction/core/field_reader.hpp>
#include <fulmarjunction/ctl/change.hpp>
#include <fulmarjunction/ctl/commands.hpp>
#include <fulmarjunction/ctl/list_diff.hpp>
#include <fulmarjunction/explain/explain.hpp>
#include <fulmarjunction/settings/settings.hpp>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <utility>

namespace fulmarjunction {

namespace {

namespace json = boost::json;
using arguments = std::vector<std::string>;
using detail::node_status;

constexpr std::string_view accounts_key = "catalog/accounts";
constexpr std::string_view plans_key = "catalog/plans";

command_output make_failure(exit_status status, std::string detail)
{
    command_output output;
    output.status = status;
    output.document["error"] = detail;
    output.lines.push_back(std::move(detail));
    return output;
}

command_output make_failure(const error& failure)
{
    return make_failure(exit_status::failed, to_string(failure));
}

exit_status status_of(change_outcome outcome)
{
    switch (outcome) {
    case change_outcome::applied:
    case change_outcome::already_applied:
        return exit_status::ok;
    case change_outcome::conflict:
        return exit_status::conflict;
    case change_outcome::unknown:
        return exit_status::outcome_unknown;
    case change_outcome::failed:
        break;
    }
    return exit_status::failed;
}

command_output make_output(const change_report& report)
{
    command_output output;
    output.status = status_of(report.outcome);
    output.document["outcome"] = to_string(report.outcome);
    output.document["detail"] = report.detail;
    if (output.status == exit_status::ok) {
        output.document["sequence"] = report.sequence;
        output.document["version"] = report.version;
        output.lines.push_back(fmt::format(
            "{} as change {} at version {}", to_string(report.outcome),
            report.sequence, report.version));
    } else {
        output.lines.push_back(std::string(to_string(report.outcome)));
    }
    output.lines.push_back(report.detail);
    return output;
}

operator_change make_change(
    const ctl_environment& environment, std::string action, std::string row_key)
{
    operator_change change;
    change.audit.change_id = environment.options.change_id;
    change.audit.operator_name = environment.options.operator_name;
    change.audit.time_ms = environment.wall_time_ms();
    change.audit.action = std::move(action);
    change.audit.row_key = std::move(row_key);
    return change;
}

awaitable<command_output>
apply(ctl_environment& environment, operator_change change)
{
    const auto report = co_await apply_change(
        environment.table, std::move(change), environment.hooks.sleep);
    co_return make_output(report);
}

// Both lists as they are in the table; a list without a row is empty.
struct present_lists
{
    account_list accounts;
    plan_list plans;
    table_version accounts_version = 0;
    table_version plans_version = 0;
};

template <class List, class Parse>
result<void> take_row(
    const std::optional<table_row>& row, Parse parse, List& list,
    table_version& version)
{
    if (!row)
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRY(list, parse(row->value));
    version = row->version;
    return boost::outcome_v2::success();
}

awaitable<result<present_lists>> read_lists(table_service& table)
{
    present_lists lists;
    const auto accounts = co_await table.get(std::string(accounts_key));
    if (!accounts)
        co_return accounts.error();
    const auto plans = co_await table.get(std::string(plans_key));
    if (!plans)
        co_return plans.error();
    const auto first = take_row(
        accounts.value(), parse_account_list, lists.accounts,
        lists.accounts_version);
    if (!first)
        co_return first.error();
    const auto second = take_row(
        plans.value(), parse_plan_list, lists.plans, lists.plans_version);
    if (!second)
        co_return second.error();
    co_return lists;
}

// An operator's file: the list, and the version it was edited from.
struct list_file
{
    json::value document;
    std::optional<table_version> version;
};

result<list_file>
read_list_file(const ctl_environment& environment, const std::string& path)
{
    BOOST_OUTCOME_TRY(const auto text, environment.read_file(path));
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    boost::system::error_code failure;
    list_file file;
    file.document = json::parse(text, failure, {}, options);
    if (failure) {
        return fail(
            errc::malformed, "read list", {},
            fmt::format("{}: not JSON: {}", path, failure.message()));
    }
    // `show` writes the version, so that an edited copy carries it.
    auto* fields = file.document.if_object();
    if (fields != nullptr && fields->contains("version")) {
        field_reader reader(file.document, {}, "read list");
        reader.ignore_unknown();
        file.version = reader.version("version");
        BOOST_OUTCOME_TRYV(reader.finish());
        fields->erase("version");
    }
    return file;
}

// The parts of a list command that differ between accounts and plans.
struct account_rules
{
    static constexpr std::string_view noun = "accounts";
    static std::string row_key() { return std::string(accounts_key); }
    static auto parse(const json::value& value)
    {
        return parse_account_list(value);
    }
    static account_list& list(present_lists& lists) { return lists.accounts; }
    static table_version seen(const present_lists& lists)
    {
        return lists.accounts_version;
    }
    static row_condition other(const present_lists& lists)
    {
        return {std::string(plans_key), lists.plans_version};
    }
};

struct plan_rules
{
    static constexpr std::string_view noun = "plans";
    static std::string row_key() { return std::string(plans_key); }
    static auto parse(const json::value& value)
    {
        return parse_plan_list(value);
    }
    static plan_list& list(present_lists& lists) { return lists.plans; }
    static table_version seen(const present_lists& lists)
    {
        return lists.plans_version;
    }
    static row_condition other(const present_lists& lists)
    {
        return {std::string(accounts_key), lists.accounts_version};
    }
};

template <class Rules>
awaitable<command_output> show_list(ctl_environment& environment, arguments)
{
    auto lists = co_await read_lists(environment.table);
    if (!lists)
        co_return make_failure(lists.error());
    command_output output;
    output.document["version"] = Rules::seen(lists.value());
    const auto list = to_json(Rules::list(lists.value()));
    for (const auto& field : list.as_object())
        output.document[field.key()] = field.value();
    output.lines.push_back(json::serialize(output.document));
    co_return output;
}

// A file compared with the table.
template <class Rules>
struct list_comparison
{
    present_lists lists;
    list_file file;
    std::vector<std::string> lines;
    json::value wanted;
};

template <class Rules>
awaitable<result<list_comparison<Rules>>>
compare_list(ctl_environment& environment, std::string path)
{
    list_comparison<Rules> comparison;
    auto file = read_list_file(environment, path);
    if (!file)
        co_return file.error();
    comparison.file = std::move(file.value());
    auto wanted = Rules::parse(comparison.file.document);
    if (!wanted)
        co_return wanted.error();
    auto lists = co_await read_lists(environment.table);
    if (!lists)
        co_return lists.error();
    comparison.lists = lists.value();
    auto& present = Rules::list(comparison.lists);
    comparison.lines = diff_lists(present, wanted.value());
    comparison.wanted = to_json(wanted.value());
    present = std::move(wanted.value());
    co_return comparison;
}

template <class Rules>
awaitable<command_output>
diff_list(ctl_environment& environment, arguments words)
{
    const auto compared =
        co_await compare_list<Rules>(environment, words.at(0));
    if (!compared)
        co_return make_failure(compared.error());
    command_output output;
    output.lines = compared.value().lines;
    json::array lines;
    for (const auto& line : output.lines)
        lines.emplace_back(line);
    output.document["differences"] = std::move(lines);
    co_return output;
}

template <class Rules>
awaitable<command_output>
apply_list(ctl_environment& environment, arguments words)
{
    const auto compared =
        co_await compare_list<Rules>(environment, words.at(0));
    if (!compared)
        co_return make_failure(compared.error());
    const auto& [lists, file, lines, wanted] = compared.value();
    const auto checked = check_lists(lists.accounts, lists.plans);
    if (!checked)
        co_return make_failure(checked.error());
    auto change = make_change(
        environment, fmt::format("{} apply", Rules::noun), Rules::row_key());
    change.seen = file.version.value_or(Rules::seen(lists));
    change.value = wanted;
    change.checked_against.push_back(Rules::other(lists));
    change.audit.summary = lines.empty() ? "no difference" : summarize(lines);
    co_return co_await apply(environment, std::move(change));
}

bool has_account(const account_list& list, std::string_view name)
{
    return std::any_of(
        list.accounts.begin(), list.accounts.end(),
        [&](const account_definition& account) {
            return account.name == name;
        });
}

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
    const auto made = make_key(words.at(0), pepper.value());
    auto change =
        make_change(environment, "keys give", "key/" + made.record.id);
    change.value = to_json(made.record);
    change.checked_against.push_back(
        {std::string(accounts_key), lists.value().accounts_version});
    change.audit.summary = fmt::format(
        "+ key {} of account {}", made.record.id, made.record.account);
    auto output = co_await apply(environment, std::move(change));
    output.document["key_id"] = made.record.id;
    // Without a clear outcome the key is not shown: it may never be valid.
    if (output.status == exit_status::ok) {
        output.document["key"] = made.text;
        output.lines.push_back(made.text);
    }
    co_return output;
}

// A node that is not reachable has not confirmed anything.
bool has_confirmed(const node_status& status, table_version version)
{
    return status.reachable && status.version >= version;
}

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

// Adds the nodes to the output; the status tells whether all confirmed.
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

awaitable<void> wait_for_confirmations(
    ctl_environment& environment, command_output& output, table_version version)
{
    constexpr milliseconds step(500);
    const auto nodes = co_await detail::find_nodes(environment);
    if (!nodes) {
        output.status = exit_status::not_confirmed;
        output.lines.push_back(to_string(nodes.error()));
        co_return;
    }
    const auto deadline = environment.hooks.now() + environment.options.wait;
    for (;;) {
        const auto statuses =
            co_await detail::ask_all(environment, nodes.value());
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
    change.seen = row.value()->version;
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
    const auto rows = co_await detail::list_rows(environment.table, "key/");
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

awaitable<command_output> show_audit(ctl_environment& environment, arguments)
{
    const auto rows =
        co_await read_audit(environment.table, environment.options.limit);
    if (!rows)
        co_return make_failure(rows.error());
    command_output output;
    json::array changes;
    for (const auto& row : rows.value()) {
        const auto record = parse_audit_record(row.value);
        if (!record)
            co_return make_failure(record.error());
        const auto& audit = record.value();
        output.lines.push_back(fmt::format(
            "{} version={} time_ms={} operator={} change={} {}: {}", row.key,
            row.version, audit.time_ms, audit.operator_name, audit.change_id,
            audit.action, audit.summary));
        auto document = fulmarjunction::to_json(audit);
        document.as_object()["version"] = row.version;
        changes.push_back(std::move(document));
    }
    output.document["changes"] = std::move(changes);
    co_return output;
}

awaitable<command_output> show_status(ctl_environment& environment, arguments)
{
    const auto nodes = co_await detail::find_nodes(environment);
    if (!nodes)
        co_return make_failure(nodes.error());
    // The version of the head row is that of the last operator's change; the
    // table's own version also moves with instances and shares.
    const auto head = co_await environment.table.get("head");
    if (!head && environment.options.nodes.empty())
        co_return make_failure(head.error());
    const auto version = head && head.value() ? head.value()->version : 0;
    command_output output;
    output.lines.push_back(
        head ? fmt::format("newest version {}", version)
             : "newest version unknown: " + to_string(head.error()));
    const auto statuses = co_await detail::ask_all(environment, nodes.value());
    add_statuses(output, statuses, version);
    // Nodes cannot be compared with a version that is not known.
    if (!head)
        output.status = exit_status::not_confirmed;
    co_return output;
}

awaitable<command_output> drain_node(ctl_environment& environment, arguments)
{
    const auto answer = co_await environment.ask_node(
        environment.options.node, "POST", "/drain");
    if (!answer)
        co_return make_failure(answer.error());
    command_output output;
    output.document["answer"] = answer.value();
    output.lines.push_back(fmt::format("{} drains", environment.options.node));
    co_return output;
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

// A running holder may still spend from its share: releasing it would let
// another node spend the same tokens.
awaitable<std::optional<std::string>>
find_running_holder(ctl_environment& environment, std::string holder)
{
    const auto address = co_await detail::find_node(environment, holder);
    if (!address)
        co_return to_string(address.error());
    if (address.value().empty())
        co_return std::nullopt;
    const auto answer =
        co_await environment.ask_node(address.value(), "GET", "/status");
    if (!answer && answer.error().code == errc::connection_failed)
        co_return std::nullopt;
    co_return fmt::format(
        "the holder {} at {} may be running; stop it first", holder,
        address.value());
}

awaitable<command_output>
release_share(ctl_environment& environment, arguments words)
{
    std::uint64_t index = 0;
    const auto& text = words.at(1);
    const auto [stop, bad] =
        std::from_chars(text.data(), text.data() + text.size(), index);
    if (bad != std::errc() || stop != text.data() + text.size())
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
    change.seen = row.value()->version;
    change.value = std::move(ledger);
    change.audit.summary =
        fmt::format("- share {} of {} held by {}", index, words.at(0), name);
    co_return co_await apply(environment, std::move(change));
}

/// Adds the lines of a list of the explanation under a heading.
void add_log_lines(
    command_output& output, const char* name,
    const std::vector<log_line>& lines)
{
    json::array list;
    if (!lines.empty())
        output.lines.push_back(fmt::format("{}:", name));
    for (const auto& line : lines) {
        auto text = format_line(line);
        list.emplace_back(text);
        output.lines.push_back("  " + std::move(text));
    }
    output.document[name] = std::move(list);
}

awaitable<command_output>
explain_logs(ctl_environment& environment, arguments words)
{
    std::vector<log_line> log;
    for (auto file = words.begin() + 1; file != words.end(); ++file) {
        const auto text = environment.read_file(*file);
        if (!text)
            co_return make_failure(text.error());
        auto lines = parse_log(text.value(), *file);
        log.insert(
            log.end(), std::make_move_iterator(lines.begin()),
            std::make_move_iterator(lines.end()));
    }
    const auto found = explain_request(words.front(), std::move(log));
    command_output output;
    output.document["explanation"] = found.sentence;
    output.lines.push_back(found.sentence);
    add_log_lines(output, "lines", found.lines);
    add_log_lines(output, "surroundings", found.surroundings);
    if (found.lines.empty())
        output.status = exit_status::failed;
    co_return output;
}

std::vector<command_definition> make_definitions()
{
    const std::string apply_help =
        "Replaces the list by FILE (JSON with comments). A \"version\" field, "
        "as `show` writes it, makes the change fail when the list has changed "
        "since.";
    return {
        {"accounts apply",
         {"FILE"},
         apply_help,
         command_access::changes,
         apply_list<account_rules>},
        {"accounts show",
         {},
         "Shows the list of client accounts.",
         command_access::reads,
         show_list<account_rules>},
        {"accounts diff",
         {"FILE"},
         "Shows what `apply` would change.",
         command_access::reads,
         diff_list<account_rules>},
        {"plans apply",
         {"FILE"},
         apply_help,
         command_access::changes,
         apply_list<plan_rules>},
        {"plans show",
         {},
         "Shows the list of plans and endpoints.",
         command_access::reads,
         show_list<plan_rules>},
        {"plans diff",
         {"FILE"},
         "Shows what `apply` would change.",
         command_access::reads,
         diff_list<plan_rules>},
        {"keys give",
         {"ACCOUNT"},
         "Makes a key for an account and shows it once. Needs --pepper-file.",
         command_access::changes,
         give_key},
        {"keys withdraw",
         {"KEY_ID"},
         "Withdraws a key. With --wait SECONDS it waits until all nodes have "
         "confirmed.",
         command_access::changes,
         withdraw_key},
        {"keys list",
         {},
         "Lists the ids of all keys.",
         command_access::reads,
         list_keys},
        {"audit",
         {},
         "Shows the last changes, the newest first.",
         command_access::reads,
         show_audit},
        {"status",
         {},
         "Asks all nodes for their version, freshness and readiness.",
         command_access::reads,
         show_status},
        {"drain",
         {},
         "Begins the graceful shutdown of the node at --node.",
         command_access::none,
         drain_node},
        {"shares release",
         {"ACCOUNT", "INDEX"},
         "Releases a share whose holder has stopped for good.",
         command_access::changes,
         release_share},
        {"explain",
         {"REQUEST", "LOG..."},
         "Says what became of a request, from the logs of all nodes that may "
         "have seen it.",
         command_access::none,
         explain_logs},
    };
}

std::size_t word_count(const std::string& name)
{
    return 1 +
           static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

/// Returns whether the last argument may be given more than once.
bool takes_more(const command_definition& command)
{
    return !command.arguments.empty() &&
           command.arguments.back().ends_with("...");
}

bool accepts(const command_definition& command, std::size_t count)
{
    const auto wanted = command.arguments.size();
    return takes_more(command) ? count >= wanted : count == wanted;
}

} // namespace

const std::vector<command_definition>& command_definitions()
{
    static const auto definitions = make_definitions();
    return definitions;
}

const command_definition* find_command(const std::vector<std::string>& words)
{
    for (const auto& definition : command_definitions()) {
        std::string name;
        const auto count = word_count(definition.name);
        for (std::size_t i = 0; i != std::min(count, words.size()); ++i)
            name += (i == 0 ? "" : " ") + words[i];
        if (name == definition.name)
            return &definition;
    }
    return nullptr;
}

awaitable<command_output>
run_command(ctl_environment& environment, std::vector<std::string> words)
{
    const auto* command = find_command(words);
    if (command == nullptr)
        co_return make_failure(
            exit_status::usage, "no such command; see fulmarctl --help");
    words.erase(
        words.begin(),
        words.begin() + static_cast<std::ptrdiff_t>(word_count(command->name)));
    if (!accepts(*command, words.size()))
        co_return make_failure(
            exit_status::usage, fmt::format(
                                    "{} takes {} arguments{}", command->name,
                                    command->arguments.size(),
                                    takes_more(*command) ? " or more" : ""));
    if (command->access == command_access::changes &&
        environment.options.operator_name.empty())
        co_return make_failure(
            exit_status::usage, "a change needs --operator NAME");
    co_return co_await command->run(environment, std::move(words));
}

} // namespace fulmarjunction
