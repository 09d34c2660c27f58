#include "replica/json_reader.hpp"

#include <fulmarjunction/replica/rows_messages.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace fulmarjunction {

namespace {

namespace json = boost::json;

constexpr std::size_t max_key_bytes = 512;
/// Upper bound of the brackets, commas and version of a row in a message.
constexpr std::size_t row_overhead_bytes = 32;

json::array to_json(const table_row& row)
{
    json::array fields{row.key, row.version};
    if (!row.deleted)
        fields.push_back(row.value);
    return fields;
}

json::array to_json(const partial_row& row)
{
    return {row.key, row.version, row.offset};
}

json::array to_json(const row_fragment& fragment)
{
    return {
        fragment.key, fragment.version, fragment.offset, fragment.total,
        fragment.text};
}

auto malformed(const char* detail)
{
    return fail(errc::malformed, "rows.parse", {}, detail);
}

result<table_row> parse_row(const json::value& value)
{
    detail::array_reader fields(value);
    table_row row;
    row.key = fields.text(max_key_bytes);
    row.version = fields.number();
    row.deleted = fields.remaining() == 0;
    if (const auto* content = fields.next())
        row.value = *content;
    if (!fields.is_complete() || row.key.empty() || row.version == 0)
        return malformed("row");
    return row;
}

result<partial_row> parse_partial(const json::value& value)
{
    detail::array_reader fields(value);
    partial_row row;
    row.key = fields.text(max_key_bytes);
    row.version = fields.number();
    row.offset = fields.number();
    if (!fields.is_complete() || row.key.empty())
        return malformed("partial row");
    return row;
}

result<row_fragment> parse_fragment(const json::value& value)
{
    detail::array_reader fields(value);
    row_fragment fragment;
    fragment.key = fields.text(max_key_bytes);
    fragment.version = fields.number();
    fragment.offset = fields.number();
    fragment.total = fields.number();
    fragment.text = fields.text(max_rows_message_bytes);
    if (!fields.is_complete() || fragment.key.empty())
        return malformed("fragment");
    if (fragment.offset > fragment.total ||
        fragment.text.size() > fragment.total - fragment.offset)
        return malformed("fragment extends past its row");
    return fragment;
}

result<rows_message> parse_request(const json::value& value)
{
    detail::object_reader fields(value);
    rows_request request;
    request.after = fields.number("after");
    request.since = fields.number("since");
    if (const auto* partial = fields.find("partial")) {
        BOOST_OUTCOME_TRY(request.partial, parse_partial(*partial));
    }
    if (!fields.is_complete())
        return malformed("request");
    return rows_message(std::move(request));
}

result<rows_message> parse_delta(const json::value& value)
{
    detail::object_reader fields(value);
    rows_delta delta;
    delta.base = fields.number("base");
    delta.end = fields.number("end");
    delta.head = fields.number_or("head", delta.end);
    delta.snapshot = fields.flag_or("snapshot", false);
    if (const auto* follows = fields.find("follows")) {
        BOOST_OUTCOME_TRY(delta.follows, parse_partial(*follows));
    }
    if (const auto* rows = fields.array_or_null("rows")) {
        for (const auto& row : *rows) {
            BOOST_OUTCOME_TRY(auto parsed, parse_row(row));
            delta.rows.push_back(std::move(parsed));
        }
    }
    if (const auto* fragment = fields.find("fragment")) {
        BOOST_OUTCOME_TRY(delta.fragment, parse_fragment(*fragment));
    }
    if (!fields.is_complete())
        return malformed("delta");
    if (delta.end < delta.base || delta.head < delta.end)
        return malformed("delta with versions out of order");
    return rows_message(std::move(delta));
}

} // namespace

std::string to_text(const rows_request& message)
{
    json::object fields{{"after", message.after}, {"since", message.since}};
    if (message.partial)
        fields["partial"] = to_json(*message.partial);
    return json::serialize(json::object{{"pull", std::move(fields)}});
}

std::string to_text(const rows_delta& message)
{
    json::object fields{{"base", message.base}, {"end", message.end}};
    if (message.head != message.end)
        fields["head"] = message.head;
    if (message.snapshot)
        fields["snapshot"] = true;
    if (message.follows)
        fields["follows"] = to_json(*message.follows);
    if (!message.rows.empty()) {
        json::array rows;
        for (const auto& row : message.rows)
            rows.push_back(to_json(row));
        fields["rows"] = std::move(rows);
    }
    if (message.fragment)
        fields["fragment"] = to_json(*message.fragment);
    return json::serialize(fields);
}

result<rows_message> parse_rows_message(std::string_view text)
{
    if (text.size() > max_rows_message_bytes)
        return fail(errc::too_large, "rows.parse");
    boost::system::error_code failure;
    const auto document = json::parse(text, failure);
    if (failure)
        return malformed("not JSON");
    const auto* object = document.if_object();
    if (object == nullptr)
        return malformed("not an object");
    const auto* pull = object->if_contains("pull");
    if (pull == nullptr)
        return parse_delta(document);
    if (object->size() != 1)
        return malformed("request");
    return parse_request(*pull);
}

std::size_t row_size(const table_row& row)
{
    const auto value =
        row.deleted ? std::size_t{0} : json::serialize(row.value).size();
    return row.key.size() + value + row_overhead_bytes;
}

} // namespace fulmarjunction
