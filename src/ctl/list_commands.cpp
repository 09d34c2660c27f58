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

// A list that an operator supplies, and the version on which it is based.
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
    // `show` writes the version, so an edited copy of its output contains it.
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

// Properties of the list of accounts, for the list commands.
struct account_list_traits
{
    static constexpr std::string_view name = "accounts";
    static std::string row_key() { return std::string(accounts_key); }
    static auto parse(const json::value& value)
    {
        return parse_account_list(value);
    }
    static account_list& list(current_lists& lists) { return lists.accounts; }
    static table_version version(const current_lists& lists)
    {
        return lists.accounts_version;
    }
    static row_condition other_list_condition(const current_lists& lists)
    {
        return {std::string(plans_key), lists.plans_version};
    }
};

// Properties of the list of plans and endpoints, for the list commands.
struct plan_list_traits
{
    static constexpr std::string_view name = "plans";
    static std::string row_key() { return std::string(plans_key); }
    static auto parse(const json::value& value)
    {
        return parse_plan_list(value);
    }
    static plan_list& list(current_lists& lists) { return lists.plans; }
    static table_version version(const current_lists& lists)
    {
        return lists.plans_version;
    }
    static row_condition other_list_condition(const current_lists& lists)
    {
        return {std::string(accounts_key), lists.accounts_version};
    }
};

template <class Traits>
awaitable<command_output> show_list(ctl_environment& environment, arguments)
{
    auto lists = co_await read_lists(environment.table);
    if (!lists)
        co_return make_failure(lists.error());
    command_output output;
    output.document["version"] = Traits::version(lists.value());
    const auto list = to_json(Traits::list(lists.value()));
    for (const auto& field : list.as_object())
        output.document[field.key()] = field.value();
    output.lines.push_back(json::serialize(output.document));
    co_return output;
}

// The difference between a file and the table.
template <class Traits>
struct list_comparison
{
    current_lists lists;
    list_file file;
    std::vector<std::string> lines;
    json::value desired;
};

template <class Traits>
awaitable<result<list_comparison<Traits>>>
compare_list(ctl_environment& environment, std::string path)
{
    list_comparison<Traits> comparison;
    auto file = read_list_file(environment, path);
    if (!file)
        co_return file.error();
    comparison.file = std::move(file.value());
    auto desired = Traits::parse(comparison.file.document);
    if (!desired)
        co_return desired.error();
    auto lists = co_await read_lists(environment.table);
    if (!lists)
        co_return lists.error();
    comparison.lists = lists.value();
    auto& current = Traits::list(comparison.lists);
    comparison.lines = diff_lists(current, desired.value());
    comparison.desired = to_json(desired.value());
    current = std::move(desired.value());
    co_return comparison;
}

template <class Traits>
awaitable<command_output>
diff_list(ctl_environment& environment, arguments words)
{
    const auto compared =
        co_await compare_list<Traits>(environment, words.at(0));
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

template <class Traits>
awaitable<command_output>
apply_list(ctl_environment& environment, arguments words)
{
    const auto compared =
        co_await compare_list<Traits>(environment, words.at(0));
    if (!compared)
        co_return make_failure(compared.error());
    const auto& [lists, file, lines, desired] = compared.value();
    const auto checked = check_lists(lists.accounts, lists.plans);
    if (!checked)
        co_return make_failure(checked.error());
    auto change = make_change(
        environment, fmt::format("{} apply", Traits::name), Traits::row_key());
    change.expected_version = file.version.value_or(Traits::version(lists));
    change.value = desired;
    change.preconditions.push_back(Traits::other_list_condition(lists));
    change.audit.summary = lines.empty() ? "no difference" : summarize(lines);
    co_return co_await apply(environment, std::move(change));
}

} // namespace

awaitable<command_output>
show_accounts(ctl_environment& environment, arguments words)
{
    return show_list<account_list_traits>(environment, std::move(words));
}

awaitable<command_output>
diff_accounts(ctl_environment& environment, arguments words)
{
    return diff_list<account_list_traits>(environment, std::move(words));
}

awaitable<command_output>
apply_accounts(ctl_environment& environment, arguments words)
{
    return apply_list<account_list_traits>(environment, std::move(words));
}

awaitable<command_output>
show_plans(ctl_environment& environment, arguments words)
{
    return show_list<plan_list_traits>(environment, std::move(words));
}

awaitable<command_output>
diff_plans(ctl_environment& environment, arguments words)
{
    return diff_list<plan_list_traits>(environment, std::move(words));
}

awaitable<command_output>
apply_plans(ctl_environment& environment, arguments words)
{
    return apply_list<plan_list_traits>(environment, std::move(words));
}

} // namespace fulmarjunction::detail
