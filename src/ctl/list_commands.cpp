#include "command_support.hpp"

#include <fulmarjunction/core/field_reader.hpp>
#include <fulmarjunction/ctl/list_diff.hpp>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <utility>

namespace fulmarjunction::detail {

namespace {

namespace json = boost::json;

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
    change.expected_version = file.version.value_or(Rules::seen(lists));
    change.value = wanted;
    change.preconditions.push_back(Rules::other(lists));
    change.audit.summary = lines.empty() ? "no difference" : summarize(lines);
    co_return co_await apply(environment, std::move(change));
}

} // namespace

awaitable<command_output>
show_accounts(ctl_environment& environment, arguments words)
{
    return show_list<account_rules>(environment, std::move(words));
}

awaitable<command_output>
diff_accounts(ctl_environment& environment, arguments words)
{
    return diff_list<account_rules>(environment, std::move(words));
}

awaitable<command_output>
apply_accounts(ctl_environment& environment, arguments words)
{
    return apply_list<account_rules>(environment, std::move(words));
}

awaitable<command_output>
show_plans(ctl_environment& environment, arguments words)
{
    return show_list<plan_rules>(environment, std::move(words));
}

awaitable<command_output>
diff_plans(ctl_environment& environment, arguments words)
{
    return diff_list<plan_rules>(environment, std::move(words));
}

awaitable<command_output>
apply_plans(ctl_environment& environment, arguments words)
{
    return apply_list<plan_rules>(environment, std::move(words));
}

} // namespace fulmarjunction::detail
