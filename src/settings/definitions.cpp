#include "definitions.hpp"

#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/core/field_reader.hpp>

#include <fmt/format.h>

#include <optional>
#include <type_traits>
#include <utility>

namespace fulmarjunction {

namespace {

constexpr auto serve_when_names = make_enum_table<serve_when>({
    {serve_when::all_zones_report_outage, "all_zones_report_outage"},
    {serve_when::majority_of_zones, "majority_of_zones"},
    {serve_when::always, "always"},
});

constexpr auto level_names = make_enum_table<log_level>({
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
});

} // namespace

namespace detail {

namespace {

namespace json = boost::json;
using tcp = boost::asio::ip::tcp;

/// What every kind of field has in common.
struct field_head
{
    std::string name;
    std::string meaning;
};

template <class T>
struct is_duration : std::false_type
{
};
template <class Rep, class Period>
struct is_duration<std::chrono::duration<Rep, Period>> : std::true_type
{
};

// Bounds of a whole number; the unit "s" makes durations of seconds.
struct whole_range
{
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::string unit;
};

template <class T>
void assign_whole(T& target, std::int64_t value, std::string_view unit)
{
    if constexpr (is_duration<T>::value) {
        const auto span =
            unit == "s"
                ? std::chrono::duration_cast<milliseconds>(seconds(value))
                : milliseconds(value);
        target = std::chrono::duration_cast<T>(span);
    } else {
        target = static_cast<T>(value);
    }
}

template <class T>
std::int64_t whole_value(const T& source, std::string_view unit)
{
    if constexpr (is_duration<T>::value) {
        const auto span = std::chrono::duration_cast<milliseconds>(source);
        return unit == "s" ? span.count() / 1000 : span.count();
    } else {
        return static_cast<std::int64_t>(source);
    }
}

template <class Access>
setting_definition whole(field_head head, whole_range range, Access access)
{
    node_settings defaults;
    const auto fallback = whole_value(access(defaults), range.unit);
    return {
        std::move(head.name),
        range.unit,
        fmt::format("a whole number from {} to {}", range.min, range.max),
        fmt::format("{}", fallback),
        false,
        std::move(head.meaning),
        [=](node_settings& settings, const json::value& value) {
            const auto* content = value.if_int64();
            if (content == nullptr || *content < range.min ||
                *content > range.max)
                return false;
            assign_whole(access(settings), *content, range.unit);
            return true;
        }};
}

template <class Access>
setting_definition
real(field_head head, double min, double max, std::string unit, Access access)
{
    node_settings defaults;
    return {
        std::move(head.name),
        std::move(unit),
        fmt::format("a number from {} to {}", min, max),
        fmt::format("{}", access(defaults)),
        false,
        std::move(head.meaning),
        [=](node_settings& settings, const json::value& value) {
            if (!value.is_number())
                return false;
            const auto content = value.to_number<double>();
            if (!(content >= min && content <= max))
                return false;
            access(settings) = content;
            return true;
        }};
}

template <class Access>
setting_definition identifier(field_head head, Access access)
{
    return {
        std::move(head.name),
        {},
        "1 to 64 of A-Z a-z 0-9 . _ -, first a letter or digit",
        {},
        true,
        std::move(head.meaning),
        [=](node_settings& settings, const json::value& value) {
            const auto* text = value.if_string();
            if (text == nullptr || !is_identifier(*text))
                return false;
            access(settings) = std::string(*text);
            return true;
        }};
}

template <class Access>
setting_definition file_path(field_head head, bool required, Access access)
{
    return {
        std::move(head.name),
        {},
        "a path of 1 to 4096 bytes",
        {},
        required,
        std::move(head.meaning),
        [=](node_settings& settings, const json::value& value) {
            constexpr std::size_t max_length = 4096;
            const auto* text = value.if_string();
            if (text == nullptr || text->empty() || text->size() > max_length ||
                text->find('\0') != json::string::npos)
                return false;
            access(settings) = std::string(*text);
            return true;
        }};
}

/// Which addresses a field accepts.
struct address_rule
{
    std::string allowed;
    bool required = true;
    bool zero_port = false;
    bool loopback_only = false;
    bool wildcard = false;
};

std::optional<tcp::endpoint>
allowed_address(const json::value& value, const address_rule& rule)
{
    const auto* text = value.if_string();
    if (text == nullptr)
        return std::nullopt;
    auto address = parse_address(*text);
    if (!address || (address->port() == 0 && !rule.zero_port) ||
        (rule.loopback_only && !address->address().is_loopback()) ||
        (!rule.wildcard && address->address().is_unspecified()))
        return std::nullopt;
    return address;
}

template <class Access>
setting_definition address(field_head head, address_rule rule, Access access)
{
    return {
        std::move(head.name),
        {},
        rule.allowed,
        {},
        rule.required,
        std::move(head.meaning),
        [=](node_settings& settings, const json::value& value) {
            const auto content = allowed_address(value, rule);
            if (content)
                access(settings) = *content;
            return content.has_value();
        }};
}

template <class Access>
setting_definition addresses(field_head head, Access access)
{
    constexpr std::size_t max_count = 64;
    return {
        std::move(head.name),
        {},
        fmt::format(
            "at most {} of \"ip:port\" with a port from 1 to 65535", max_count),
        "[]",
        false,
        std::move(head.meaning),
        [=](node_settings& settings, const json::value& value) {
            const auto* items = value.if_array();
            if (items == nullptr || items->size() > max_count)
                return false;
            for (const auto& item : *items) {
                const auto content = allowed_address(item, {});
                if (!content)
                    return false;
                access(settings).push_back(*content);
            }
            return true;
        }};
}

template <class Table, class Access>
setting_definition choice(field_head head, const Table& table, Access access)
{
    std::string allowed;
    for (const auto& entry : table.entries)
        allowed +=
            fmt::format("{}{}", allowed.empty() ? "" : ", ", entry.second);
    node_settings defaults;
    return {
        std::move(head.name),
        {},
        std::move(allowed),
        fmt::format("\"{}\"", table.name(access(defaults))),
        false,
        std::move(head.meaning),
        [=](node_settings& settings, const json::value& value) {
            const auto* text = value.if_string();
            if (text == nullptr)
                return false;
            const auto content = table.value(*text);
            if (content)
                access(settings) = *content;
            return content.has_value();
        }};
}

address_rule listen_rule()
{
    return {
        "\"ip:port\", port 0 lets the kernel choose", true, true, false, true};
}

address_rule loopback_rule()
{
    return {
        "\"ip:port\" with a loopback address, port 0 lets the kernel choose",
        true, true, true, false};
}

address_rule remote_rule(bool required)
{
    return {
        "\"ip:port\" with a port from 1 to 65535", required, false, false,
        false};
}

tls_settings& tls_of(node_settings& settings)
{
    if (!settings.callers.tls)
        settings.callers.tls.emplace();
    return *settings.callers.tls;
}

using settings_type = node_settings;
using definitions = std::vector<setting_definition>;

void add_place(definitions& all)
{
    all.push_back(identifier(
        {"name", "Name of the instance, unique in the deployment."},
        [](settings_type & s) -> auto& { return s.name; }));
    all.push_back(identifier(
        {"region", "Region of the instance."},
        [](settings_type & s) -> auto& { return s.region; }));
    all.push_back(identifier(
        {"availability_zone", "Availability zone of the instance."},
        [](settings_type & s) -> auto& { return s.availability_zone; }));
}

void add_callers(definitions& all)
{
    all.push_back(address(
        {"callers.listen", "Address for callers' connections."}, listen_rule(),
        [](settings_type & s) -> auto& { return s.callers.listen; }));
    all.push_back(file_path(
        {"callers.tls.certificate",
         "File with the certificate chain in PEM; callers use TLS when it is "
         "given."},
        false,
        [](settings_type & s) -> auto& { return tls_of(s).certificate; }));
    all.push_back(file_path(
        {"callers.tls.key", "File with the private key in PEM."}, false,
        [](settings_type & s) -> auto& { return tls_of(s).key; }));
    all.push_back(whole(
        {"callers.max_header_bytes",
         "Longest head of a caller's request; a longer one is refused."},
        {1024, 65'536, "bytes"},
        [](settings_type & s) -> auto& { return s.callers.max_header_bytes; }));
    all.push_back(whole(
        {"callers.max_connections", "Callers' connections at one time."},
        {1, 65'536, ""},
        [](settings_type & s) -> auto& { return s.callers.max_connections; }));
}

void add_listeners(definitions& all)
{
    all.push_back(address(
        {"egress.listen",
         "Address for the calls and announcements of the backend server "
         "beside the node."},
        loopback_rule(),
        [](settings_type & s) -> auto& { return s.egress.listen; }));
    all.push_back(address(
        {"peers.listen", "Address for other nodes."}, listen_rule(),
        [](settings_type & s) -> auto& { return s.peers.listen; }));
    all.push_back(address(
        {"peers.advertise",
         "Address that other nodes connect to, where it is not peers.listen."},
        remote_rule(false),
        [](settings_type & s) -> auto& { return s.peers.advertise; }));
    all.push_back(file_path(
        {"peers.secret_file", "File with the deployment's peer secret."}, true,
        [](settings_type & s) -> auto& { return s.peers.secret_file; }));
    all.push_back(addresses(
        {"peers.seeds",
         "Peers from which the table's rows are taken when the platform's "
         "store cannot be reached at the start."},
        [](settings_type & s) -> auto& { return s.peers.seeds; }));
    all.push_back(address(
        {"operators.listen", "Address for metrics, status and drain."},
        listen_rule(),
        [](settings_type & s) -> auto& { return s.operators.listen; }));
}

void add_platform(definitions& all)
{
    all.push_back(address(
        {"platform.address", "Address of the platform's table service."},
        remote_rule(true),
        [](settings_type & s) -> auto& { return s.platform.address; }));
    all.push_back(whole(
        {"platform.timeout_ms", "Longest time for one call of the platform."},
        {10, 60'000, "ms"},
        [](settings_type & s) -> auto& { return s.platform.timeout; }));
    all.push_back(real(
        {"platform.calls_per_s",
         "Calls to the platform by this node, attempts included."},
        0.1, 1000, "calls/s",
        [](settings_type & s) -> auto& { return s.platform.calls_per_s; }));
    all.push_back(file_path(
        {"keys.pepper_file", "File with the secret of the keys' hashes."}, true,
        [](settings_type & s) -> auto& { return s.keys.pepper_file; }));
}

void add_freshness(definitions& all)
{
    all.push_back(whole(
        {"freshness.limit_ms",
         "Age of the newest successful poll up to which the node's copy is "
         "fresh."},
        {500, 60'000, "ms"},
        [](settings_type & s) -> auto& { return s.freshness.limit; }));
    all.push_back(choice(
        {"freshness.serve_when",
         "When a node whose copy is not fresh serves keyed requests."},
        serve_when_names,
        [](settings_type & s) -> auto& { return s.freshness.serve_when; }));
    all.push_back(whole(
        {"readers_per_zone",
         "Nodes of each availability zone that poll the table."},
        {1, 16, ""},
        [](settings_type & s) -> auto& { return s.readers_per_zone; }));
    all.push_back(whole(
        {"poll_interval_ms", "Time between polls of a reader."},
        {100, 60'000, "ms"},
        [](settings_type & s) -> auto& { return s.poll_interval; }));
    all.push_back(whole(
        {"probe_interval_ms", "Time between probes of a neighbour."},
        {100, 60'000, "ms"},
        [](settings_type & s) -> auto& { return s.probe_interval; }));
}

void add_budgets(definitions& all)
{
    all.push_back(whole(
        {"rates.lease_s",
         "Lease of the instance, on which its shares depend; longer than the "
         "store's outages."},
        {10, 86'400, "s"},
        [](settings_type & s) -> auto& { return s.rates.lease; }));
    all.push_back(whole(
        {"rates.loan_ms", "Life of a loan of tokens."}, {10, 10'000, "ms"},
        [](settings_type & s) -> auto& { return s.rates.loan; }));
    all.push_back(whole(
        {"retries.extra_attempts",
         "Extra attempts for a request over its whole tree."},
        {0, 16, "attempts"},
        [](settings_type & s) -> auto& { return s.retries.extra_attempts; }));
    all.push_back(whole(
        {"unique.expiry_s", "Life of an idempotency key."}, {1, 86'400, "s"},
        [](settings_type & s) -> auto& { return s.unique.expiry; }));
    all.push_back(whole(
        {"unique.max_open_per_account",
         "Idempotency keys of one client account that are open at a node."},
        {1, 1'000'000, "keys"}, [](settings_type & s) -> auto& {
            return s.unique.max_open_per_account;
        }));
    all.push_back(whole(
        {"unique.kept_answer_bytes",
         "Longest response that is kept for a resend."},
        {0, 1'048'576, "bytes"},
        [](settings_type & s) -> auto& { return s.unique.kept_answer_bytes; }));
}

void add_admission(definitions& all)
{
    all.push_back(whole(
        {"admission.min_limit",
         "Requests in flight that are never refused for the limit alone."},
        {1, 65'536, "requests"},
        [](settings_type & s) -> auto& { return s.admission.min_limit; }));
    all.push_back(whole(
        {"admission.max_limit", "Highest limit of requests in flight."},
        {1, 65'536, "requests"},
        [](settings_type & s) -> auto& { return s.admission.max_limit; }));
    all.push_back(whole(
        {"admission.start_limit",
         "Limit after a cold start, from which it is ramped up."},
        {1, 65'536, "requests"},
        [](settings_type & s) -> auto& { return s.admission.start_limit; }));
    all.push_back(whole(
        {"admission.max_queue", "Requests that may wait."},
        {0, 65'536, "requests"},
        [](settings_type & s) -> auto& { return s.admission.max_queue; }));
    all.push_back(whole(
        {"admission.target_wait_ms",
         "Queue wait above which lower priorities are refused."},
        {1, 10'000, "ms"},
        [](settings_type & s) -> auto& { return s.admission.target_wait; }));
    all.push_back(whole(
        {"admission.max_wait_ms", "Longest wait before a request is refused."},
        {1, 60'000, "ms"},
        [](settings_type & s) -> auto& { return s.admission.max_wait; }));
}

void add_process(definitions& all)
{
    all.push_back(whole(
        {"drain.limit_s", "Longest graceful shutdown."}, {1, 3600, "s"},
        [](settings_type & s) -> auto& { return s.drain.limit; }));
    all.push_back(choice(
        {"log.level", "Events below this level are not logged."}, level_names,
        [](settings_type & s) -> auto& { return s.log.level; }));
}

} // namespace

const std::vector<setting_definition>& setting_definitions()
{
    static const auto all = [] {
        definitions made;
        add_place(made);
        add_callers(made);
        add_listeners(made);
        add_platform(made);
        add_freshness(made);
        add_budgets(made);
        add_admission(made);
        add_process(made);
        return made;
    }();
    return all;
}

} // namespace detail

} // namespace fulmarjunction
