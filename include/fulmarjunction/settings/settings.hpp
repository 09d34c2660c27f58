/// @file
/// Settings of a node, read from a file of JSON with comments.
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

/// Files of the callers' TLS; both or neither are set.
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

/// Calls of the backend server beside the node.
struct egress_settings
{
    boost::asio::ip::tcp::endpoint listen;
};

struct peer_settings
{
    boost::asio::ip::tcp::endpoint listen;
    /// Address that other nodes use, where it is not `listen`.
    std::optional<boost::asio::ip::tcp::endpoint> advertise;
    std::string secret_file;
    std::vector<boost::asio::ip::tcp::endpoint> seeds;
};

/// Metrics, status and drain.
struct operator_settings
{
    boost::asio::ip::tcp::endpoint listen;
};

struct platform_settings
{
    boost::asio::ip::tcp::endpoint address;
    /// Longest time for one call of the table service.
    milliseconds timeout{2000};
    /// Calls of this node, attempts included. A reader polls once a second
    /// and a holder renews every few hours, so 10 leaves room for claims.
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
    /// Extra attempts that the entry stamps on a request tree.
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

/// Everything that a node reads at its start.
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
    /// Nodes of each availability zone that poll the table.
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

/// Reads settings from text.
/// @param file name of the file, for errors
/// @return the settings, or `errc::invalid_settings` whose detail is one
///         line with the file, the line, the field, the value and what is
///         allowed
result<node_settings>
parse_settings(std::string_view text, std::string_view file);

/// Reads settings from a file of at most 1 MiB.
result<node_settings> load_settings(const std::string& path);

/// Reads a secret of 16 to 4096 bytes from a file, without a line end at its
/// end. Errors name the file and never the content.
result<std::string> load_secret(const std::string& path);

/// Returns docs/settings.md: every field with unit, range and default.
std::string settings_reference();

} // namespace fulmarjunction
