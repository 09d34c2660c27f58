#include <fulmarjunction/ctl/list_diff.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <map>
#include <string_view>

namespace fulmarjunction {

namespace {

namespace json = boost::json;

using items_by_name = std::map<std::string, const json::object*>;

items_by_name index_items(const json::value& list, std::string_view field)
{
    items_by_name items;
    for (const auto& item : list.as_object().at(field).as_array()) {
        const auto& object = item.as_object();
        items.emplace(std::string(object.at("name").as_string()), &object);
    }
    return items;
}

// Both items are results of to_json() and so have the same fields.
std::string changed_fields(const json::object& from, const json::object& to)
{
    std::string text;
    for (const auto& field : from) {
        const auto& next = to.at(field.key());
        if (next == field.value())
            continue;
        text += fmt::format(
            "{}{} {} -> {}", text.empty() ? "" : ", ",
            std::string_view(field.key()), json::serialize(field.value()),
            json::serialize(next));
    }
    return text;
}

void diff_items(
    std::string_view kind, const items_by_name& from, const items_by_name& to,
    std::vector<std::string>& lines)
{
    for (const auto& [name, item] : from) {
        const auto found = to.find(name);
        if (found == to.end()) {
            lines.push_back(fmt::format("- {} {}", kind, name));
            continue;
        }
        const auto fields = changed_fields(*item, *found->second);
        if (!fields.empty())
            lines.push_back(fmt::format("~ {} {}: {}", kind, name, fields));
    }
    for (const auto& [name, item] : to) {
        if (!from.contains(name)) {
            lines.push_back(
                fmt::format("+ {} {}: {}", kind, name, json::serialize(*item)));
        }
    }
}

} // namespace

std::vector<std::string>
diff_lists(const account_list& from, const account_list& to)
{
    const auto old_list = to_json(from);
    const auto new_list = to_json(to);
    std::vector<std::string> lines;
    diff_items(
        "account", index_items(old_list, "accounts"),
        index_items(new_list, "accounts"), lines);
    return lines;
}

std::vector<std::string> diff_lists(const plan_list& from, const plan_list& to)
{
    const auto old_list = to_json(from);
    const auto new_list = to_json(to);
    std::vector<std::string> lines;
    diff_items(
        "plan", index_items(old_list, "plans"), index_items(new_list, "plans"),
        lines);
    diff_items(
        "endpoint", index_items(old_list, "endpoints"),
        index_items(new_list, "endpoints"), lines);
    return lines;
}

std::string summarize(const std::vector<std::string>& lines)
{
    constexpr std::size_t max_length = 2000;
    std::string text;
    for (const auto& line : lines)
        text += (text.empty() ? "" : "; ") + line;
    if (text.size() > max_length)
        text = text.substr(0, max_length) + "...";
    return text;
}

} // namespace fulmarjunction
