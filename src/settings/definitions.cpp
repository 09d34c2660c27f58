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

/// Name and description, which all kinds of fields have.
struct field_info
{
    std::string name;
    std::string description;
};

template <class T>
struct is_duration : std::false_type
{
};
template <class Rep, class Period>
struct is_duration<std::chrono::duration<Rep, Period>> : std::true_type
{
};

// Range of an integer. Durations are in seconds for the unit "s", otherwise in
// milliseconds.
struct integer_range
{
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::string unit;
};

template <class T>
void assign_integer(T& target, std::int64_t value, std::string_view unit)
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
std::int64_t to_integer(const T& source, std::string_view unit)
{
    if constexpr (is_duration<T>::value) {
        const auto span = std::chrono::duration_cast<milliseconds>(source);
        return unit == "s" ? span.count() / 1000 : span.count();
    } else {
        return static_cast<std::int64_t>(source);
    }
}

template <class Access>
setting_definition
integer_setting(field_info info, integer_range range, Access access)
{
    node_settings defaults;
    const auto fallback = to_integer(access(defaults), range.unit);
    return {
        std::move(info.name),
        range.unit,
        fmt::format("a whole number from {} to {}", range.min, range.max),
        fmt::format("{}", fallback),
        false,
        std::move(info.description),
        [=](node_settings& settings, const json::value& value) {
            const auto* content = value.if_int64();
            if (content == nullptr || *content < range.min ||
                *content > range.max)
                return false;
            assign_integer(access(settings), *content, range.unit);
            return true;
        }};
}

template <class Access>
setting_definition number_setting(
    field_info info, double min, double max, std::string unit, Access access)
{
    node_settings defaults;
    return {
        std::move(info.name),
        std::move(unit),
        fmt::format("a number from {} to {}", min, max),
        fmt::format("{}", access(defaults)),
        false,
        std::move(info.description),
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
setting_definition identifier_setting(field_info info, Access access)
{
    return {
        std::move(info.name),
        {},
        "1 to 64 of A-Z a-z 0-9 . _ -, first a letter or digit",
        {},
        true,
        std::move(info.description),
        [=](node_settings& settings, const json::value& value) {
            const auto* text = value.if_string();
            if (text == nullptr || !is_identifier(*text))
                return false;
            access(settings) = std::string(*text);
            return true;
        }};
}

template <class Access>
setting_definition path_setting(field_info info, bool required, Access access)
{
    return {
        std::move(info.name),
        {},
        "a path of 1 to 4096 bytes",
        {},
        required,
        std::move(info.description),
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
setting_definition
address_setting(field_info info, address_rule rule, Access access)
{
    return {
        std::move(info.name),
        {},
        rule.allowed,
        {},
        rule.required,
        std::move(info.description),
        [=](node_settings& settings, const json::value& value) {
            const auto content = allowed_address(value, rule);
            if (content)
                access(settings) = *content;
            return content.has_value();
        }};
}

template <class Access>
setting_definition address_list_setting(field_info info, Access access)
{
    constexpr std::size_t max_count = 64;
    return {
        std::move(info.name),
        {},
        fmt::format(
            "at most {} of \"ip:port\" with a port from 1 to 65535", max_count),
        "[]",
        false,
        std::move(info.description),
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
setting_definition
enum_setting(field_info info, const Table& table, Access access)
{
    std::string allowed;
    for (const auto& entry : table.entries)
        allowed +=
            fmt::format("{}{}", allowed.empty() ? "" : ", ", entry.second);
    node_settings defaults;
    return {
        std::move(info.name),
        {},
        std::move(allowed),
        fmt::format("\"{}\"", table.name(access(defaults))),
        false,
        std::move(info.description),
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

void add_identity(definitions& all)
{
    all.push_back(identifier_setting(
        {"name", "Name of the instance, unique in the deployment."},
        [](settings_type & s) -> auto& { return s.name; }));
    all.push_back(identifier_setting(
        {"region", "Region of the instance."},
        [](settings_type & s) -> auto& { return s.region; }));
    all.push_back(identifier_setting(
        {"availability_zone", "Availability zone of the instance."},
        [](settings_type & s) -> auto& { return s.availability_zone; }));
}

void add_callers(definitions& all)
{
    all.push_back(address_setting(
        {"callers.listen", "Address for callers' connections."}, listen_rule(),
        [](settings_type & s) -> auto& { return s.callers.listen; }));
    all.push_back(path_setting(
        {"callers.tls.certificate",
         "File with the certificate chain in PEM; callers use TLS when it is "
         "given."},
        false,
        [](settings_type & s) -> auto& { return tls_of(s).certificate; }));
    all.push_back(path_setting(
        {"callers.tls.key", "File with the private key in PEM."}, false,
        [](settings_type & s) -> auto& { return tls_of(s).key; }));
    all.push_back(integer_setting(
        {"callers.max_header_bytes", "Maximum size of the head of a caller's "
                                     "request; a larger one is refused."},
        {1024, 65'536, "bytes"},
        [](settings_type & s) -> auto& { return s.callers.max_header_bytes; }));
    all.push_back(integer_setting(
        {"callers.max_connections",
         "Maximum number of concurrent connections of callers."},
        {1, 65'536, ""},
        [](settings_type & s) -> auto& { return s.callers.max_connections; }));
}

void add_listeners(definitions& all)
{
    all.push_back(address_setting(
        {"egress.listen",
         "Address for the calls and announcements of the backend server on "
         "the same instance."},
        loopback_rule(),
        [](settings_type & s) -> auto& { return s.egress.listen; }));
    all.push_back(address_setting(
        {"peers.listen", "Address for other nodes."}, listen_rule(),
        [](settings_type & s) -> auto& { return s.peers.listen; }));
    all.push_back(address_setting(
        {"peers.advertise",
         "Address that other nodes connect to, if it is not peers.listen."},
        remote_rule(false),
        [](settings_type & s) -> auto& { return s.peers.advertise; }));
    all.push_back(path_setting(
        {"peers.secret_file", "File with the deployment's peer secret."}, true,
        [](settings_type & s) -> auto& { return s.peers.secret_file; }));
    all.push_back(address_list_setting(
        {"peers.seeds",
         "Peers from which the table's rows are read when the platform's "
         "store cannot be reached at startup."},
        [](settings_type & s) -> auto& { return s.peers.seeds; }));
    all.push_back(address_setting(
        {"operators.listen", "Address for metrics, status and drain."},
        listen_rule(),
        [](settings_type & s) -> auto& { return s.operators.listen; }));
}

void add_platform(definitions& all)
{
    all.push_back(address_setting(
        {"platform.address", "Address of the platform's table service."},
        remote_rule(true),
        [](settings_type & s) -> auto& { return s.platform.address; }));
    all.push_back(integer_setting(
        {"platform.timeout_ms", "Time limit of one call to the platform."},
        {10, 60'000, "ms"},
        [](settings_type & s) -> auto& { return s.platform.timeout; }));
    all.push_back(number_setting(
        {"platform.calls_per_s",
         "Maximum calls per second to the platform from this node, including "
         "retries."},
        0.1, 1000, "calls/s",
        [](settings_type & s) -> auto& { return s.platform.calls_per_s; }));
    all.push_back(path_setting(
        {"keys.pepper_file", "File with the secret for key hashes."}, true,
        [](settings_type & s) -> auto& { return s.keys.pepper_file; }));
}

void add_freshness(definitions& all)
{
    all.push_back(integer_setting(
        {"freshness.limit_ms",
         "Maximum age of the latest successful poll for which the node's copy "
         "is fresh."},
        {500, 60'000, "ms"},
        [](settings_type & s) -> auto& { return s.freshness.limit; }));
    all.push_back(enum_setting(
        {"freshness.serve_when",
         "When a node whose copy is not fresh serves keyed requests."},
        serve_when_names,
        [](settings_type & s) -> auto& { return s.freshness.serve_when; }));
    all.push_back(integer_setting(
        {"readers_per_zone",
         "Number of nodes per availability zone that poll the table."},
        {1, 16, ""},
        [](settings_type & s) -> auto& { return s.readers_per_zone; }));
    all.push_back(integer_setting(
        {"poll_interval_ms", "Interval between polls of a reader."},
        {100, 60'000, "ms"},
        [](settings_type & s) -> auto& { return s.poll_interval; }));
    all.push_back(integer_setting(
        {"probe_interval_ms", "Interval between probes of a neighbour."},
        {100, 60'000, "ms"},
        [](settings_type & s) -> auto& { return s.probe_interval; }));
}

void add_budgets(definitions& all)
{
    all.push_back(integer_setting(
        {"rates.lease_s",
         "Lease of the instance, on which its shares depend; it must be longer "
         "than outages of the store."},
        {10, 86'400, "s"},
        [](settings_type & s) -> auto& { return s.rates.lease; }));
    all.push_back(integer_setting(
        {"rates.loan_ms", "Lifetime of a loan of tokens."}, {10, 10'000, "ms"},
        [](settings_type & s) -> auto& { return s.rates.loan; }));
    all.push_back(integer_setting(
        {"retries.extra_attempts", "Extra attempts for a whole request tree."},
        {0, 16, "attempts"},
        [](settings_type & s) -> auto& { return s.retries.extra_attempts; }));
    all.push_back(integer_setting(
        {"unique.expiry_s", "Lifetime of an idempotency key."},
        {1, 86'400, "s"},
        [](settings_type & s) -> auto& { return s.unique.expiry; }));
    all.push_back(integer_setting(
        {"unique.max_open_per_account",
         "Maximum number of open idempotency keys of one client account at a "
         "node."},
        {1, 1'000'000, "keys"}, [](settings_type & s) -> auto& {
            return s.unique.max_open_per_account;
        }));
    all.push_back(integer_setting(
        {"unique.kept_answer_bytes",
         "Maximum size of an answer that is kept for retries."},
        {0, 1'048'576, "bytes"},
        [](settings_type & s) -> auto& { return s.unique.kept_answer_bytes; }));
}

void add_admission(definitions& all)
{
    all.push_back(integer_setting(
        {"admission.min_limit",
         "Lower bound of the limit of requests in flight."},
        {1, 65'536, "requests"},
        [](settings_type & s) -> auto& { return s.admission.min_limit; }));
    all.push_back(integer_setting(
        {"admission.max_limit",
         "Upper bound of the limit of requests in flight."},
        {1, 65'536, "requests"},
        [](settings_type & s) -> auto& { return s.admission.max_limit; }));
    all.push_back(integer_setting(
        {"admission.start_limit",
         "Limit after a cold start, before the ramp-up."},
        {1, 65'536, "requests"},
        [](settings_type & s) -> auto& { return s.admission.start_limit; }));
    all.push_back(integer_setting(
        {"admission.max_queue", "Maximum number of queued requests."},
        {0, 65'536, "requests"},
        [](settings_type & s) -> auto& { return s.admission.max_queue; }));
    all.push_back(integer_setting(
        {"admission.target_wait_ms",
         "Queue wait above which requests of lower importance are refused."},
        {1, 10'000, "ms"},
        [](settings_type & s) -> auto& { return s.admission.target_wait; }));
    all.push_back(integer_setting(
        {"admission.max_wait_ms",
         "Maximum queue wait before a request is refused."},
        {1, 60'000, "ms"},
        [](settings_type & s) -> auto& { return s.admission.max_wait; }));
}

void add_process(definitions& all)
{
    all.push_back(integer_setting(
        {"drain.limit_s", "Time limit of a graceful shutdown."}, {1, 3600, "s"},
        [](settings_type & s) -> auto& { return s.drain.limit; }));
    all.push_back(enum_setting(
        {"log.level", "Events below this level are not logged."}, level_names,
        [](settings_type & s) -> auto& { return s.log.level; }));
}

} // namespace

const std::vector<setting_definition>& setting_definitions()
{
    static const auto all = [] {
        definitions list;
        add_identity(list);
        add_callers(list);
        add_listeners(list);
        add_platform(list);
        add_freshness(list);
        add_budgets(list);
        add_admission(list);
        add_process(list);
        return list;
    }();
    return all;
}

} // namespace detail

} // namespace fulmarjunction
