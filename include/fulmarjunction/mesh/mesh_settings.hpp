/// @file
/// Settings of a node that takes its configuration from a shared store.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace fulmarjunction {

/// Settings of one node; docs/settings.md lists them.
struct mesh_settings
{
    using address = boost::asio::ip::tcp::endpoint;

    instance_name name;
    availability_zone zone;
    service_name service;
    /// Address of the local backend server.
    address backend;
    /// Address of the shared store.
    address store;

    /// Listening address for requests of callers and of the backend server.
    address callers;
    /// Listening address for readiness checks of the platform.
    address ready;
    /// Listening address for heartbeats of the backend server.
    address heartbeats;
    /// Listening address for requests and reports of other nodes.
    address peers;
    address metrics;

    /// Maximum time until a withdrawn key stops working.
    milliseconds revocation_bound{5000};
    /// Expected time between heartbeats of the backend server.
    milliseconds heartbeat_period{1500};
    /// Time from the stop signal until the platform kills the process.
    milliseconds stop_limit{6000};
    /// Retry budget of each service: a fraction of its requests, plus a fixed
    /// number in each window.
    double retry_ratio = 0.2;
    double retry_slack = 50;
    milliseconds retry_window{10'000};
    /// Time between two reads of the rows of all nodes, at least; longer in
    /// large fleets.
    milliseconds row_check_period{30'000};
    /// Maximum log lines per second of each event; 0 means no limit.
    unsigned log_lines = 50;

    bool operator==(const mesh_settings&) const = default;
};

/// Parses settings from JSON with comments.
/// @param file file name for error messages
/// @return `errc::invalid_settings` with the file, the field and the allowed
///         values
result<mesh_settings>
parse_mesh_settings(std::string_view text, const std::string& file);

/// Reads settings from a file.
result<mesh_settings> load_mesh_settings(const std::string& file);

} // namespace fulmarjunction
