#include "membership/status_json.hpp"
#include "replica/json_reader.hpp"

#include <fulmarjunction/membership/probe_messages.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace fulmarjunction {

namespace json = boost::json;

namespace {

constexpr std::size_t max_name_bytes = 256;
constexpr std::uint64_t ready_flag = 1;
constexpr std::uint64_t draining_flag = 2;
constexpr std::uint64_t leaving_flag = 4;
constexpr std::uint64_t max_age_ms = 3'600'000;

auto malformed(const char* detail_text)
{
    return fail(errc::malformed, "probe.parse", {}, detail_text);
}

json::value age_json(const std::optional<milliseconds>& age)
{
    if (!age)
        return nullptr;
    return age->count();
}

std::optional<milliseconds> to_age(std::optional<std::uint64_t> count)
{
    if (!count)
        return std::nullopt;
    return milliseconds(static_cast<std::int64_t>(*count));
}

result<zone_evidence> parse_evidence(const json::value& value)
{
    detail::array_reader fields(value);
    zone_evidence entry;
    entry.zone = fields.text(max_name_bytes);
    const auto success = fields.number_or_null();
    entry.version = fields.number();
    const auto failure = fields.number_or_null();
    if (!fields.is_complete() || success.value_or(0) > max_age_ms ||
        failure.value_or(0) > max_age_ms)
        return malformed("evidence");
    entry.success_age = to_age(success);
    entry.failure_age = to_age(failure);
    return entry;
}

result<instance_status> parse_status(const json::value& value)
{
    detail::array_reader fields(value);
    instance_status status;
    status.name = fields.text(max_name_bytes);
    status.incarnation = fields.number();
    status.counter = fields.number();
    status.service = fields.text(max_name_bytes);
    status.slots = fields.number();
    const auto flags = fields.number();
    status.ready = (flags & ready_flag) != 0;
    status.draining = (flags & draining_flag) != 0;
    status.leaving = (flags & leaving_flag) != 0;
    if (const auto* record = fields.next()) {
        BOOST_OUTCOME_TRY(
            status.record,
            parse_instance_record(instance_row_key(status.name), *record));
    }
    if (!fields.is_complete() || status.name.empty())
        return malformed("status");
    return status;
}

result<failure_report> parse_report(const json::value& value)
{
    detail::array_reader fields(value);
    failure_report report;
    report.about = fields.text(max_name_bytes);
    report.incarnation = fields.number();
    report.reporter = fields.text(max_name_bytes);
    report.sequence = fields.number();
    report.failing = fields.number() != 0;
    const auto expires = fields.number();
    if (!fields.is_complete() || expires > max_age_ms)
        return malformed("report");
    report.expires_in = milliseconds(static_cast<std::int64_t>(expires));
    return report;
}

template <class T, class Parse>
result<std::vector<T>> parse_list(const json::array* list, Parse parse)
{
    std::vector<T> items;
    if (list == nullptr)
        return items;
    items.reserve(list->size());
    for (const auto& value : *list) {
        BOOST_OUTCOME_TRY(auto item, parse(value));
        items.push_back(std::move(item));
    }
    return items;
}

result<json::value> parse_document(std::string_view text)
{
    if (text.size() > max_probe_message_bytes)
        return fail(errc::too_large, "probe.parse");
    boost::system::error_code failure;
    auto document = json::parse(text, failure);
    if (failure)
        return malformed("not JSON");
    return document;
}

template <class Items>
void add_list(json::object& fields, const char* name, const Items& items)
{
    if (items.empty())
        return;
    json::array list;
    for (const auto& item : items)
        list.push_back(detail::to_json(item));
    fields[name] = std::move(list);
}

} // namespace

json::array detail::to_json(const zone_evidence& entry)
{
    return {
        entry.zone, age_json(entry.success_age), entry.version,
        age_json(entry.failure_age)};
}

json::array detail::to_json(const instance_status& status)
{
    const auto flags = (status.ready ? ready_flag : 0) |
                       (status.draining ? draining_flag : 0) |
                       (status.leaving ? leaving_flag : 0);
    json::array fields{status.name,    status.incarnation, status.counter,
                       status.service, status.slots,       flags};
    if (status.record)
        fields.push_back(fulmarjunction::to_json(*status.record));
    return fields;
}

json::array detail::to_json(const failure_report& report)
{
    return {report.about,    report.incarnation,     report.reporter,
            report.sequence, report.failing ? 1 : 0, report.expires_in.count()};
}

std::string to_text(const probe_message& message)
{
    json::object fields{
        {"from", message.from},        {"life", message.incarnation},
        {"v", message.version},        {"upto", message.upto},
        {"ack", message.acknowledged}, {"t", message.timestamp}};
    if (message.echo)
        fields["echo"] = json::array{*message.echo, message.hold_time.count()};
    add_list(fields, "ev", message.evidence);
    add_list(fields, "st", message.statuses);
    add_list(fields, "rp", message.reports);
    if (!message.sections.empty())
        fields["x"] = message.sections;
    return json::serialize(fields);
}

std::string to_text(const leave_message& message)
{
    json::object fields{{"from", message.from}};
    add_list(fields, "st", message.statuses);
    return json::serialize(fields);
}

result<probe_message> parse_probe_message(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    detail::object_reader fields(document);
    probe_message message;
    message.from = fields.text("from", max_name_bytes);
    message.incarnation = fields.number("life");
    message.version = fields.number("v");
    message.upto = fields.number("upto");
    message.acknowledged = fields.number("ack");
    message.timestamp = static_cast<std::int64_t>(fields.number("t"));
    if (const auto* echo = fields.find("echo")) {
        detail::array_reader echo_fields(*echo);
        message.echo = static_cast<std::int64_t>(echo_fields.number());
        const auto hold_ms = echo_fields.number();
        if (!echo_fields.is_complete() || hold_ms > max_age_ms)
            return malformed("echo");
        message.hold_time = milliseconds(static_cast<std::int64_t>(hold_ms));
    }
    const auto* evidence = fields.array_or_null("ev");
    const auto* statuses = fields.array_or_null("st");
    const auto* reports = fields.array_or_null("rp");
    if (const auto* sections = fields.find("x")) {
        if (!sections->is_object())
            return malformed("sections");
        message.sections = sections->get_object();
    }
    if (!fields.is_complete() || message.from.empty())
        return malformed("message");
    BOOST_OUTCOME_TRY(
        message.evidence, parse_list<zone_evidence>(evidence, parse_evidence));
    BOOST_OUTCOME_TRY(
        message.statuses, parse_list<instance_status>(statuses, parse_status));
    BOOST_OUTCOME_TRY(
        message.reports, parse_list<failure_report>(reports, parse_report));
    return message;
}

result<leave_message> parse_leave_message(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    detail::object_reader fields(document);
    leave_message message;
    message.from = fields.text("from", max_name_bytes);
    const auto* statuses = fields.array_or_null("st");
    if (!fields.is_complete() || message.from.empty())
        return malformed("message");
    BOOST_OUTCOME_TRY(
        message.statuses, parse_list<instance_status>(statuses, parse_status));
    return message;
}

} // namespace fulmarjunction
