#include "command_support.hpp"

#include <fmt/format.h>

#include <utility>

namespace fulmarjunction::detail {

namespace {

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

template <class List, class Parse>
result<void> parse_row(
    const std::optional<table_row>& row, Parse parse, List& list,
    table_version& version)
{
    if (!row)
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRY(list, parse(row->value));
    version = row->version;
    return boost::outcome_v2::success();
}

} // namespace

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

awaitable<result<current_lists>> read_lists(table_service& table)
{
    current_lists lists;
    const auto accounts = co_await table.get(std::string(accounts_key));
    if (!accounts)
        co_return accounts.error();
    const auto plans = co_await table.get(std::string(plans_key));
    if (!plans)
        co_return plans.error();
    const auto accounts_parsed = parse_row(
        accounts.value(), parse_account_list, lists.accounts,
        lists.accounts_version);
    if (!accounts_parsed)
        co_return accounts_parsed.error();
    const auto plans_parsed = parse_row(
        plans.value(), parse_plan_list, lists.plans, lists.plans_version);
    if (!plans_parsed)
        co_return plans_parsed.error();
    co_return lists;
}

} // namespace fulmarjunction::detail
