/// @file
/// Header fields of the protocol between a node, its callers and its backend
/// server.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace fulmarjunction {

/// Metadata that a caller attaches to its request.
struct caller_claims
{
    /// Identifies this attempt; empty when the caller gave no id.
    std::string request_id;
    std::optional<milliseconds> time_limit;
    std::optional<std::string> key;
};

/// Metadata that a node attaches to a request to the backend server.
struct backend_fields
{
    milliseconds time_left{};
    /// Id of the backend server process that must answer.
    std::string backend_id;
    /// Account whose key came with the request; empty on public routes.
    client_account account;
    /// Service of the backend server beside the entry node.
    service_name caller_service;
};

/// Metadata of an answer of a backend server.
struct backend_facts
{
    std::string request_id;
    /// Whether the backend server states that it has not run the request.
    bool not_run = false;
    /// Whether another process of the backend server has the address now.
    bool is_other_backend = false;
    /// Whether the answer carries the seal of the backend server, which proves
    /// its origin.
    bool is_sealed = false;
    /// Requests per second that the backend server takes from all nodes
    /// together, for as long as its answers say so.
    std::optional<double> rate_limit;
    /// Whether the backend server says that it leaves.
    bool is_leaving = false;
};

/// Answer of a healthy backend server to a health check.
struct backend_health
{
    /// Id of its process.
    std::string id;
    std::size_t slots = 0;
    /// See `backend_facts`.
    std::optional<double> rate_limit;
};

/// Encodes and decodes the header fields of a platform.
struct wire_format
{
    /// Removes the claims from the fields, together with all fields that only a
    /// node may set, so that none of them is forwarded.
    std::function<caller_claims(header_fields&)> take_claims;
    /// Returns the id of the request without removing it from the fields.
    std::function<std::string(const header_fields&)> request_id;
    std::function<void(header_fields&, const backend_fields&)>
        add_backend_fields;
    /// Parses the metadata and removes the fields that only nodes may see.
    std::function<backend_facts(int status, header_fields&)> take_backend_facts;
    /// Returns whether an answer says that its backend server leaves.
    std::function<bool(const header_fields&)> is_leaving;
    /// Parses the answer to a health check. Returns nothing when the backend
    /// server is unhealthy or required fields are missing.
    std::function<std::optional<backend_health>(
        int status, const header_fields&)>
        read_health;
    /// Returns the header fields of an answer that the node gives itself.
    std::function<header_fields(
        const std::string& request_id, std::optional<duration> retry_after)>
        node_answer_fields;
};

} // namespace fulmarjunction
