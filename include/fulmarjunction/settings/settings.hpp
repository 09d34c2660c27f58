/// @file
/// Settings of a node, read from a JSON file with comments.
#pragma once

#include <fulmarjunction/admission/admission.hpp>
#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/replica/freshness.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Certificate and key files for TLS connections of callers; either both are
/// set or neither.
struct tls_settings
{
    std::string certificate;
    std::string key;
};

struct caller_settings
{
    boost::asio::ip::tcp::endpoint listen;
    std::optional<tls_settings> tls;
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_connections = 2048;
};

/// Listener for the calls of the backend server on the same instance.
struct egress_settings
{
    boost::asio::ip::tcp::endpoint listen;
};

struct peer_settings
{
    boost::asio::ip::tcp::endpoint listen;
    /// Address that other nodes connect to, if it is not `listen`.
    std::optional<boost::asio::ip::tcp::endpoint> advertise;
    std::string secret_file;
    std::vector<boost::asio::ip::tcp::endpoint> seeds;
};

/// Listener for metrics, status and drain.
struct operator_settings
{
    boost::asio::ip::tcp::endpoint listen;
};

struct platform_settings
{
    boost::asio::ip::tcp::endpoint address;
    /// Time limit of one call to the table service.
    milliseconds timeout{2000};
    /// Maximum calls per second from this node, including retries. A reader
    /// polls once per second and a share holder renews every few hours, so 10
    /// leaves capacity for claims.
    double calls_per_s = 10;
};

struct key_settings
{
    std::string pepper_file;
};

struct freshness_group
{
    milliseconds limit{4000};
    fulmarjunction::serve_when serve_when =
        fulmarjunction::serve_when::all_zones_report_outage;
};

struct rate_group
{
    seconds lease{21'600};
    milliseconds loan{300};
};

struct retry_settings
{
    /// Extra attempts that the entry node grants a request tree.
    std::uint32_t extra_attempts = 2;
};

struct unique_settings
{
    seconds expiry{600};
    std::size_t max_open_per_account = 10'000;
    std::size_t kept_answer_bytes = 64 * 1024;
};

struct drain_settings
{
    seconds limit{30};
};

struct log_settings
{
    log_level level = log_level::info;
};

/// Settings that a node reads at startup.
struct node_settings
{
    instance_name name;
    std::string region;
    fulmarjunction::availability_zone availability_zone;
    caller_settings callers;
    egress_settings egress;
    peer_settings peers;
    operator_settings operators;
    platform_settings platform;
    key_settings keys;
    freshness_group freshness;
    /// Number of nodes per availability zone that poll the table.
    std::size_t readers_per_zone = 2;
    milliseconds poll_interval{1000};
    milliseconds probe_interval{1000};
    rate_group rates;
    retry_settings retries;
    unique_settings unique;
    admission_settings admission;
    drain_settings drain;
    log_settings log;
};

/// Parses the text of a settings file.
/// @param file name of the file, for error messages
/// @return the settings, or `errc::invalid_settings` whose detail is a single
///         line with the file, the line, the field, the value and the allowed
///         values
result<node_settings>
parse_settings(std::string_view text, std::string_view file);

/// Reads and parses a settings file of at most 1 MiB.
result<node_settings> load_settings(const std::string& path);

/// Reads a secret of 16 to 4096 bytes from a file and strips trailing line
/// ends. Errors name the file, never its content.
result<std::string> load_secret(const std::string& path);

/// Returns the content of docs/settings.md: all fields with unit, range and
/// default.
std::string settings_reference();

} // namespace fulmarjunction
