#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/core/field_reader.hpp>
#include <fulmarjunction/mesh/mesh_settings.hpp>

#include <boost/json.hpp>

#include <fstream>
#include <sstream>

namespace fulmarjunction {

namespace json = boost::json;

namespace {

constexpr std::string_view step = "read settings";

constexpr std::int64_t min_bound_ms = 100;
constexpr std::int64_t max_bound_ms = 600'000;
constexpr std::int64_t max_log_lines = 1'000'000;
constexpr double max_retry_ratio = 10;
constexpr double max_retry_slack = 1'000'000;

result<json::value> parse_text(std::string_view text, const std::string& file)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    boost::system::error_code problem;
    auto document = json::parse(
        json::string_view(text.data(), text.size()), problem, {}, options);
    if (problem) {
        return fail(
            errc::invalid_settings, std::string(step), file, problem.message());
    }
    return document;
}

boost::asio::ip::tcp::endpoint
read_address(field_reader& fields, std::string_view name)
{
    const auto text = fields.text(name);
    const auto address = parse_address(text);
    if (!address && !text.empty())
        fields.refuse(name, "an address such as 10.0.0.1:80");
    return address.value_or(boost::asio::ip::tcp::endpoint());
}

milliseconds
read_time(field_reader& fields, std::string_view name, milliseconds fallback)
{
    return milliseconds(
        fields.integer(name, min_bound_ms, max_bound_ms, fallback.count()));
}

/// Reads a time in seconds, which may have a fraction.
milliseconds
read_seconds(field_reader& fields, std::string_view name, milliseconds fallback)
{
    const auto read = fields.number(
        name, to_seconds(milliseconds(min_bound_ms)),
        to_seconds(milliseconds(max_bound_ms)), to_seconds(fallback));
    return std::chrono::duration_cast<milliseconds>(from_seconds(read));
}

} // namespace

result<mesh_settings>
parse_mesh_settings(std::string_view text, const std::string& file)
{
    BOOST_OUTCOME_TRY(auto document, parse_text(text, file));
    field_reader fields(document, "", std::string(step) + " " + file);
    mesh_settings settings;
    settings.name = fields.identifier("name");
    settings.zone = fields.identifier("availability_zone");
    settings.service = fields.identifier("service");
    settings.backend = read_address(fields, "backend");
    settings.store = read_address(fields, "store");
    settings.callers = read_address(fields, "callers");
    settings.ready = read_address(fields, "ready");
    settings.heartbeats = read_address(fields, "heartbeats");
    settings.peers = read_address(fields, "peers");
    settings.metrics = read_address(fields, "metrics");
    settings.revocation_bound =
        read_time(fields, "revocation_bound_ms", settings.revocation_bound);
    settings.heartbeat_period =
        read_time(fields, "heartbeat_period_ms", settings.heartbeat_period);
    settings.stop_limit =
        read_seconds(fields, "stop_limit_s", settings.stop_limit);
    settings.retry_ratio =
        fields.number("retry_ratio", 0, max_retry_ratio, settings.retry_ratio);
    settings.retry_slack =
        fields.number("retry_slack", 0, max_retry_slack, settings.retry_slack);
    settings.retry_window =
        read_seconds(fields, "retry_window_s", settings.retry_window);
    settings.row_check_period =
        read_time(fields, "row_check_ms", settings.row_check_period);
    settings.log_lines = static_cast<unsigned>(fields.integer(
        "log_lines_per_s", 0, max_log_lines, settings.log_lines));
    BOOST_OUTCOME_TRYV(fields.finish());
    return settings;
}

result<mesh_settings> load_mesh_settings(const std::string& file)
{
    std::ifstream input(file);
    if (!input)
        return fail(
            errc::invalid_settings, std::string(step), file, "can't be read");
    std::ostringstream text;
    text << input.rdbuf();
    return parse_mesh_settings(text.str(), file);
}

} // namespace fulmarjunction
