#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/core/field_reader.hpp>
#include <fulmarjunction/ctl/change.hpp>
#include <fulmarjunction/platform/bounded_table_service.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

namespace json = boost::json;

constexpr auto change_outcome_names = make_enum_table<change_outcome>({
    {change_outcome::applied, "applied"},
    {change_outcome::already_applied, "already_applied"},
    {change_outcome::conflict, "conflict"},
    {change_outcome::failed, "failed"},
    {change_outcome::unknown, "unknown"},
});

// Ids kept in the head row: enough to recognize a retried command after other
// operators' changes, at a few kilobytes.
constexpr std::size_t max_change_ids = 64;

// Maximum number of times that a change is rebased on changes of other rows.
constexpr int max_rebases = 8;

// Maximum number of outcome checks after an ambiguous answer, and the wait
// between them.
constexpr int max_outcome_checks = 4;
constexpr milliseconds outcome_check_interval(500);

// Number of audit rows that are searched for the conflicting change.
constexpr std::size_t max_searched_audit_rows = 20;

/// The head row as it was read.
struct head_snapshot
{
    table_version version = 0;
    head_record record;
};

awaitable<result<head_snapshot>> read_head(table_service& table)
{
    const auto row = co_await table.get("head");
    if (!row)
        co_return row.error();
    head_snapshot head;
    if (!row.value())
        co_return head;
    auto record = parse_head_record(row.value()->value);
    if (!record)
        co_return record.error();
    head.version = row.value()->version;
    head.record = std::move(record.value());
    co_return head;
}

table_transaction
make_transaction(const operator_change& change, const head_snapshot& head)
{
    const auto sequence = head.record.sequence + 1;
    head_record next = head.record;
    next.sequence = sequence;
    next.last_changes.push_back(change.audit.change_id);
    if (next.last_changes.size() > max_change_ids)
        next.last_changes.erase(next.last_changes.begin());

    table_transaction transaction;
    transaction.conditions = change.preconditions;
    transaction.conditions.push_back({"head", head.version});
    transaction.conditions.push_back(
        {change.audit.row_key, change.expected_version});
    transaction.conditions.push_back({audit_row_key(sequence), 0});
    transaction.writes.push_back({"head", to_json(next)});
    transaction.writes.push_back({change.audit.row_key, change.value});
    transaction.writes.push_back(
        {audit_row_key(sequence), to_json(change.audit)});
    return transaction;
}

change_report make_report(change_outcome outcome, std::string detail)
{
    return {outcome, 0, 0, std::move(detail)};
}

/// What the audit row shows about a change with an ambiguous answer.
enum class audit_verdict
{
    own_change,
    /// Another change has this sequence, so this one can never take effect.
    other_change,
    absent
};

struct audit_lookup
{
    audit_verdict verdict = audit_verdict::absent;
    table_version version = 0;
};

awaitable<result<audit_lookup>> find_audit_row(
    table_service& table, std::uint64_t sequence, std::string change_id)
{
    const auto row = co_await table.get(audit_row_key(sequence));
    if (!row)
        co_return row.error();
    if (!row.value())
        co_return audit_lookup{};
    const auto record = parse_audit_record(row.value()->value);
    if (!record)
        co_return record.error();
    const bool is_own = record.value().change_id == change_id;
    co_return audit_lookup{
        is_own ? audit_verdict::own_change : audit_verdict::other_change,
        row.value()->version};
}

// Commits a change and resolves ambiguous answers. `errc::conflict` means that
// nothing was written; an error for which is_indeterminate() holds means that
// the outcome is unknown.
awaitable<result<table_version>> commit_change(
    table_service& table, const operator_change& change, head_snapshot head,
    sleep_hook sleep)
{
    const auto sequence = head.record.sequence + 1;
    const auto transaction = make_transaction(change, head);
    auto answer = co_await table.commit(transaction);
    bool was_ambiguous = false;
    for (int check = 0; check != max_outcome_checks; ++check) {
        const bool conflict = !answer && answer.error().code == errc::conflict;
        // After an ambiguous answer, only a version or a conflict is definite.
        const bool ambiguous =
            !answer && !conflict &&
            (was_ambiguous || is_indeterminate(answer.error()));
        // A conflict after an ambiguous answer may be with the same change.
        if (!ambiguous && !(conflict && was_ambiguous))
            co_return answer;
        was_ambiguous = true;
        const auto found =
            co_await find_audit_row(table, sequence, change.audit.change_id);
        if (found && found.value().verdict == audit_verdict::own_change)
            co_return found.value().version;
        if (found && found.value().verdict == audit_verdict::other_change)
            co_return fail(errc::conflict, "apply change");
        if (found && conflict)
            co_return answer;
        if (!found || check != 0)
            co_await sleep(outcome_check_interval);
        // The condition on the head lets the transaction take effect only once.
        if (found)
            answer = co_await table.commit(transaction);
    }
    if (answer || !was_ambiguous)
        co_return answer;
    co_return fail(
        errc::unavailable, "apply change", {},
        fmt::format(
            "outcome unknown; look for change {} with \"fulmarctl audit\" or "
            "retry the command with --change-id {}",
            change.audit.change_id, change.audit.change_id));
}

std::string describe(const table_row& row)
{
    const auto record = parse_audit_record(row.value);
    if (!record)
        return fmt::format("version {}", row.version);
    const auto& audit = record.value();
    return fmt::format(
        "{} by {} at version {} (change {}): {}", audit.action,
        audit.operator_name, row.version, audit.change_id, audit.summary);
}

// Describes the changes by other operators to a row that the change depends
// on.
awaitable<std::string> explain_conflict(
    table_service& table, const operator_change& change, std::string row_key,
    table_version expected)
{
    std::string text = fmt::format(
        "{} is no longer at version {}, on which change {} is based", row_key,
        expected, change.audit.change_id);
    const auto rows = co_await read_audit(table, max_searched_audit_rows);
    if (!rows)
        co_return text;
    for (const auto& row : rows.value()) {
        const auto record = parse_audit_record(row.value);
        if (record && record.value().row_key == row_key &&
            row.version > expected)
            text += "; " + describe(row);
    }
    co_return text;
}

// Returns the explanation if a row that the change depends on has changed.
awaitable<result<std::optional<std::string>>>
find_conflict(table_service& table, const operator_change& change)
{
    auto conditions = change.preconditions;
    conditions.push_back({change.audit.row_key, change.expected_version});
    for (const auto& condition : conditions) {
        const auto row = co_await table.get(condition.key);
        if (!row)
            co_return row.error();
        const auto version = row.value() ? row.value()->version : 0;
        if (version != condition.expected) {
            auto text = co_await explain_conflict(
                table, change, condition.key, condition.expected);
            co_return std::optional<std::string>(std::move(text));
        }
    }
    co_return std::optional<std::string>();
}

awaitable<std::optional<change_report>> find_earlier_run(
    table_service& table, const operator_change& change,
    const head_snapshot& head)
{
    const auto& ids = head.record.last_changes;
    const auto found =
        std::find(ids.rbegin(), ids.rend(), change.audit.change_id);
    if (found == ids.rend())
        co_return std::nullopt;
    const auto offset = static_cast<std::uint64_t>(found - ids.rbegin());
    const auto sequence = head.record.sequence - offset;
    const auto row = co_await table.get(audit_row_key(sequence));
    change_report report{change_outcome::already_applied, sequence, 0, {}};
    if (row && row.value()) {
        report.version = row.value()->version;
        report.detail = describe(*row.value());
        const auto record = parse_audit_record(row.value()->value);
        if (record && record.value().row_key != change.audit.row_key) {
            report.outcome = change_outcome::conflict;
            report.detail = "the change id was already used: " + report.detail;
        }
    }
    co_return report;
}

} // namespace

std::string_view to_string(change_outcome value)
{
    return change_outcome_names.name(value);
}

std::string audit_row_key(std::uint64_t sequence)
{
    return fmt::format("audit/{:020}", sequence);
}

result<audit_record> parse_audit_record(const json::value& document)
{
    field_reader fields(document, {}, "parse audit record");
    audit_record record;
    record.change_id = fields.text("change_id");
    record.operator_name = fields.text("operator");
    record.time_ms = fields.integer("time_ms", 0, INT64_MAX);
    record.action = fields.text("action");
    record.row_key = fields.text("row");
    record.summary = fields.text("summary");
    BOOST_OUTCOME_TRYV(fields.finish());
    return record;
}

result<head_record> parse_head_record(const json::value& document)
{
    field_reader fields(document, {}, "parse head record");
    head_record record;
    record.sequence = fields.version("sequence");
    for (const auto& id : fields.array("last_changes")) {
        if (!id.is_string()) {
            fields.refuse("last_changes", "strings");
            break;
        }
        record.last_changes.emplace_back(id.get_string());
    }
    BOOST_OUTCOME_TRYV(fields.finish());
    return record;
}

json::value to_json(const audit_record& record)
{
    return json::object{
        {"change_id", record.change_id}, {"operator", record.operator_name},
        {"time_ms", record.time_ms},     {"action", record.action},
        {"row", record.row_key},         {"summary", record.summary}};
}

json::value to_json(const head_record& record)
{
    json::array ids;
    for (const auto& id : record.last_changes)
        ids.emplace_back(id);
    return json::object{
        {"sequence", record.sequence}, {"last_changes", std::move(ids)}};
}

awaitable<change_report>
apply_change(table_service& table, operator_change change, sleep_hook sleep)
{
    for (int attempt = 0; attempt != max_rebases; ++attempt) {
        const auto head = co_await read_head(table);
        if (!head)
            co_return make_report(
                change_outcome::failed, to_string(head.error()));
        const auto earlier =
            co_await find_earlier_run(table, change, head.value());
        if (earlier)
            co_return *earlier;
        const auto version =
            co_await commit_change(table, change, head.value(), sleep);
        if (version)
            co_return change_report{
                change_outcome::applied, head.value().record.sequence + 1,
                version.value(), change.audit.summary};
        if (version.error().code != errc::conflict)
            co_return make_report(
                is_indeterminate(version.error()) ? change_outcome::unknown
                                                  : change_outcome::failed,
                to_string(version.error()));
        const auto conflict = co_await find_conflict(table, change);
        if (!conflict)
            co_return make_report(
                change_outcome::failed, to_string(conflict.error()));
        if (conflict.value())
            co_return make_report(change_outcome::conflict, *conflict.value());
    }
    co_return make_report(
        change_outcome::conflict,
        fmt::format(
            "{} concurrent changes were applied first, none of them to {}",
            max_rebases, change.audit.row_key));
}

awaitable<result<std::vector<table_row>>>
read_audit(table_service& table, std::size_t limit)
{
    const auto head = co_await read_head(table);
    if (!head)
        co_return head.error();
    std::vector<table_row> rows;
    auto sequence = head.value().record.sequence;
    for (; sequence != 0 && rows.size() != limit; --sequence) {
        auto row = co_await table.get(audit_row_key(sequence));
        if (!row)
            co_return row.error();
        if (row.value())
            rows.push_back(std::move(*row.value()));
    }
    co_return rows;
}

} // namespace fulmarjunction
