#include <fulmarjunction/core/field_reader.hpp>
#include <fulmarjunction/platform/table_json.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

namespace fulmarjunction {

namespace json = boost::json;

namespace {

result<row_condition>
parse_condition(const json::value& document, std::string path)
{
    field_reader fields(document, std::move(path), "parse transaction");
    row_condition condition;
    condition.key = fields.text("key");
    condition.expected = fields.version("expected");
    BOOST_OUTCOME_TRYV(fields.finish());
    return condition;
}

result<row_write> parse_write(const json::value& document, std::string path)
{
    field_reader fields(document, std::move(path), "parse transaction");
    row_write write;
    write.key = fields.text("key");
    const bool deletes = fields.boolean("delete", false);
    const auto* value = fields.find("value");
    if ((value != nullptr) == deletes)
        fields.refuse("value", "either a value or \"delete\": true");
    if (value != nullptr)
        write.value = *value;
    BOOST_OUTCOME_TRYV(fields.finish());
    return write;
}

template <class Item, class Parse>
std::vector<Item>
parse_items(field_reader& fields, std::string_view name, Parse parse)
{
    std::vector<Item> items;
    for (const auto& value : fields.array(name)) {
        auto item = parse(value, fmt::format("{}[{}]", name, items.size()));
        if (!item) {
            fields.refuse(item.error());
            break;
        }
        items.push_back(std::move(item.value()));
    }
    return items;
}

bool is_ordered(const row_list& list)
{
    table_version last = 0;
    for (const auto& row : list.rows) {
        if (row.version < last || row.version > list.complete_to)
            return false;
        last = row.version;
    }
    return list.complete_to <= list.head || list.rows.empty();
}

} // namespace

json::value to_json(const table_row& row)
{
    json::object document{{"key", row.key}, {"version", row.version}};
    if (row.deleted)
        document["deleted"] = true;
    else
        document["value"] = row.value;
    return document;
}

json::value to_json(const row_list& list)
{
    json::array rows;
    for (const auto& row : list.rows)
        rows.push_back(to_json(row));
    return json::object{
        {"rows", std::move(rows)},
        {"complete_to", list.complete_to},
        {"head", list.head}};
}

json::value to_json(const table_transaction& change)
{
    json::array conditions;
    for (const auto& condition : change.conditions) {
        conditions.push_back(json::object{
            {"key", condition.key}, {"expected", condition.expected}});
    }
    json::array writes;
    for (const auto& write : change.writes) {
        json::object document{{"key", write.key}};
        if (write.value)
            document["value"] = *write.value;
        else
            document["delete"] = true;
        writes.push_back(std::move(document));
    }
    return json::object{
        {"conditions", std::move(conditions)}, {"writes", std::move(writes)}};
}

result<table_row> parse_table_row(const json::value& document)
{
    field_reader fields(document, {}, "parse row");
    fields.ignore_unknown();
    table_row row;
    row.key = fields.text("key");
    row.version = fields.version("version");
    row.deleted = fields.boolean("deleted", false);
    if (const auto* value = fields.find("value"))
        row.value = *value;
    else if (!row.deleted)
        fields.refuse("value", "a value unless the row is deleted");
    BOOST_OUTCOME_TRYV(fields.finish());
    return row;
}

result<row_list> parse_row_list(const json::value& document)
{
    field_reader fields(document, {}, "parse row list");
    fields.ignore_unknown();
    row_list list;
    list.complete_to = fields.version("complete_to");
    list.head = fields.version("head");
    list.rows = parse_items<table_row>(
        fields, "rows", [](const json::value& row, const std::string&) {
            return parse_table_row(row);
        });
    BOOST_OUTCOME_TRYV(fields.finish());
    if (!is_ordered(list))
        return fail(
            errc::malformed, "parse row list", {}, "versions out of order");
    return list;
}

result<table_transaction> parse_table_transaction(const json::value& document)
{
    field_reader fields(document, {}, "parse transaction");
    table_transaction change;
    change.conditions =
        parse_items<row_condition>(fields, "conditions", parse_condition);
    change.writes = parse_items<row_write>(fields, "writes", parse_write);
    BOOST_OUTCOME_TRYV(fields.finish());
    return change;
}

} // namespace fulmarjunction
