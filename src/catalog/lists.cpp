// Conversion of the operators' lists from and to JSON.
#include <fulmarjunction/catalog/catalog.hpp>
#include <fulmarjunction/core/field_reader.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

namespace json = boost::json;

// A higher rate or burst is an operator's mistake: the whole fleet is sized
// for 810,000 calls/s.
constexpr double max_rate = 10'000'000;
constexpr double min_rate = 0.001;
constexpr double min_weight = 0.01;
constexpr double max_weight = 1000;
constexpr std::int64_t max_timeout_ms = 600'000;
constexpr std::size_t max_path_length = 1024;
constexpr std::size_t hash_digits = 64;

bool is_lower_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
}

bool is_method(std::string_view text)
{
    constexpr std::size_t max_length = 16;
    return !text.empty() && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return c >= 'A' && c <= 'Z';
           });
}

bool is_path_character(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           (c >= '0' && c <= '9') ||
           std::string_view("-._~!$&'()*+,=:@/").find(c) !=
               std::string_view::npos;
}

bool is_endpoint_path(std::string_view path)
{
    if (path == "/")
        return true;
    if (path.empty() || path.size() > max_path_length || path.front() != '/' ||
        path.back() == '/')
        return false;
    const std::string terminated = std::string(path) + "/";
    return std::all_of(path.begin(), path.end(), is_path_character) &&
           terminated.find("//") == std::string::npos &&
           terminated.find("/./") == std::string::npos &&
           terminated.find("/../") == std::string::npos;
}

std::string read_method(field_reader& fields)
{
    auto method = fields.text("method");
    if (!is_method(method))
        fields.refuse("method", "1 to 16 upper-case letters");
    return method;
}

std::string read_path(field_reader& fields)
{
    auto path = fields.text("path");
    if (!is_endpoint_path(path)) {
        fields.refuse(
            "path", "an absolute path without query, percent-encoding, empty "
                    "or dot segments, or a slash at its end");
    }
    return path;
}

template <class Enum, class Parse>
Enum read_enum(
    field_reader& fields, std::string_view name, Enum fallback, Parse parse,
    std::string_view allowed)
{
    if (fields.find(name) == nullptr)
        return fallback;
    const auto value = parse(fields.text(name));
    if (!value)
        fields.refuse(name, allowed);
    return value.value_or(fallback);
}

result<endpoint_definition>
parse_endpoint(const json::value& document, std::string path)
{
    field_reader fields(document, std::move(path), "parse plan list");
    endpoint_definition endpoint;
    endpoint.name = fields.identifier("name");
    endpoint.service = fields.identifier("service");
    endpoint.method = read_method(fields);
    endpoint.path = read_path(fields);
    endpoint.rank = read_enum(
        fields, "importance", endpoint.rank, parse_importance,
        "low, normal, high or critical");
    endpoint.kind = read_enum(
        fields, "execution", endpoint.kind, parse_execution,
        "idempotent or unique");
    endpoint.open = fields.boolean("open", endpoint.open);
    endpoint.timeout = milliseconds(fields.integer(
        "timeout_ms", 1, max_timeout_ms, endpoint.timeout.count()));
    // Idempotency keys belong to an account; open endpoints have no account.
    if (endpoint.open && endpoint.kind == execution::unique)
        fields.refuse("open", "false on a unique endpoint");
    BOOST_OUTCOME_TRYV(fields.finish());
    return endpoint;
}

std::set<endpoint_name> read_endpoint_names(field_reader& fields)
{
    std::set<endpoint_name> names;
    for (const auto& item : fields.array("endpoints")) {
        const auto* text = item.if_string();
        if (text == nullptr || !is_identifier(*text) ||
            !names.emplace(*text).second) {
            fields.refuse("endpoints", "names of endpoints, each once");
            break;
        }
    }
    return names;
}

result<plan_definition>
parse_plan(const json::value& document, std::string path)
{
    field_reader fields(document, std::move(path), "parse plan list");
    plan_definition plan;
    plan.name = fields.identifier("name");
    plan.rate = fields.number("rate", min_rate, max_rate);
    plan.burst = fields.number("burst", 1, max_rate);
    plan.weight = fields.number("weight", min_weight, max_weight, plan.weight);
    plan.endpoints = read_endpoint_names(fields);
    BOOST_OUTCOME_TRYV(fields.finish());
    return plan;
}

result<account_definition>
parse_account(const json::value& document, std::string path)
{
    field_reader fields(document, std::move(path), "parse account list");
    account_definition account;
    account.name = fields.identifier("name");
    account.plan = fields.identifier("plan");
    BOOST_OUTCOME_TRYV(fields.finish());
    return account;
}

// Parses the items of an array. Duplicate names are errors.
template <class Item, class Parse>
std::vector<Item>
read_items(field_reader& fields, std::string_view name, Parse parse)
{
    std::vector<Item> items;
    std::set<std::string> names;
    for (const auto& value : fields.array(name)) {
        const auto path = fmt::format("{}[{}]", name, items.size());
        auto item = parse(value, path);
        if (!item) {
            fields.refuse(item.error());
            break;
        }
        if (!names.insert(item.value().name).second) {
            fields.refuse(error{
                errc::malformed,
                {},
                {},
                fmt::format(
                    "{}.name: \"{}\" occurs twice", path, item.value().name)});
            break;
        }
        items.push_back(std::move(item.value()));
    }
    return items;
}

void refuse_duplicate_paths(
    field_reader& fields, const std::vector<endpoint_definition>& endpoints)
{
    std::set<std::pair<std::string_view, std::string_view>> seen;
    for (std::size_t i = 0; i != endpoints.size(); ++i) {
        const auto& endpoint = endpoints[i];
        if (seen.emplace(endpoint.method, endpoint.path).second)
            continue;
        fields.refuse(error{
            errc::malformed,
            {},
            {},
            fmt::format(
                "endpoints[{}].path: {} {} occurs twice", i, endpoint.method,
                endpoint.path)});
        return;
    }
}

json::value to_json(const plan_definition& plan)
{
    json::array endpoints;
    for (const auto& name : plan.endpoints)
        endpoints.emplace_back(name);
    return json::object{
        {"name", plan.name},
        {"rate", plan.rate},
        {"burst", plan.burst},
        {"weight", plan.weight},
        {"endpoints", std::move(endpoints)}};
}

json::value to_json(const endpoint_definition& endpoint)
{
    return json::object{
        {"name", endpoint.name},
        {"service", endpoint.service},
        {"method", endpoint.method},
        {"path", endpoint.path},
        {"importance", to_string(endpoint.rank)},
        {"execution", to_string(endpoint.kind)},
        {"open", endpoint.open},
        {"timeout_ms", endpoint.timeout.count()}};
}

json::value to_json(const account_definition& account)
{
    return json::object{{"name", account.name}, {"plan", account.plan}};
}

template <class Item>
json::array to_json_array(const std::vector<Item>& items)
{
    json::array documents;
    for (const auto& item : items)
        documents.push_back(to_json(item));
    return documents;
}

template <class Item>
std::set<std::string> names_of(const std::vector<Item>& items)
{
    std::set<std::string> names;
    for (const auto& item : items)
        names.insert(item.name);
    return names;
}

} // namespace

result<plan_list> parse_plan_list(const json::value& document)
{
    field_reader fields(document, {}, "parse plan list");
    plan_list list;
    list.plans = read_items<plan_definition>(fields, "plans", parse_plan);
    list.endpoints =
        read_items<endpoint_definition>(fields, "endpoints", parse_endpoint);
    refuse_duplicate_paths(fields, list.endpoints);
    BOOST_OUTCOME_TRYV(fields.finish());
    return list;
}

result<account_list> parse_account_list(const json::value& document)
{
    field_reader fields(document, {}, "parse account list");
    account_list list;
    list.accounts =
        read_items<account_definition>(fields, "accounts", parse_account);
    BOOST_OUTCOME_TRYV(fields.finish());
    return list;
}

result<key_record> parse_key_record(const json::value& document)
{
    field_reader fields(document, {}, "parse key record");
    key_record record;
    record.id = fields.identifier("id");
    record.account = fields.identifier("account");
    record.hash = fields.text("hash");
    if (record.hash.size() != hash_digits || !is_lower_hex(record.hash))
        fields.refuse("hash", "64 hexadecimal digits in lower case");
    const auto state = fields.text("state");
    if (state != "active" && state != "withdrawn")
        fields.refuse("state", "active or withdrawn");
    record.withdrawn = state != "active";
    BOOST_OUTCOME_TRYV(fields.finish());
    return record;
}

json::value to_json(const plan_list& list)
{
    return json::object{
        {"plans", to_json_array(list.plans)},
        {"endpoints", to_json_array(list.endpoints)}};
}

json::value to_json(const account_list& list)
{
    return json::object{{"accounts", to_json_array(list.accounts)}};
}

json::value to_json(const key_record& record)
{
    return json::object{
        {"id", record.id},
        {"account", record.account},
        {"hash", record.hash},
        {"state", record.withdrawn ? "withdrawn" : "active"}};
}

result<void> check_lists(const account_list& accounts, const plan_list& plans)
{
    const auto plan_names = names_of(plans.plans);
    const auto endpoint_names = names_of(plans.endpoints);
    for (const auto& account : accounts.accounts) {
        if (!plan_names.contains(account.plan)) {
            return fail(
                errc::malformed, "check lists", {},
                fmt::format(
                    "account \"{}\": plan \"{}\" does not exist", account.name,
                    account.plan));
        }
    }
    for (const auto& plan : plans.plans) {
        for (const auto& name : plan.endpoints) {
            if (!endpoint_names.contains(name)) {
                return fail(
                    errc::malformed, "check lists", {},
                    fmt::format(
                        "plan \"{}\": endpoint \"{}\" does not exist",
                        plan.name, name));
            }
        }
    }
    return boost::outcome_v2::success();
}

} // namespace fulmarjunction
