/// @file
/// How callers and backend servers put what a node needs into header fields.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace fulmarjunction {

/// What a caller says of its request.
struct caller_claims
{
    /// Names this attempt; empty when the caller gave none.
    std::string request_id;
    std::optional<milliseconds> time_limit;
    std::optional<std::string> key;
};

/// What a node tells the backend server about a request.
struct backend_fields
{
    milliseconds time_left{};
    /// The run of the backend server that must answer.
    std::string backend_id;
    /// Account whose key came with the request; empty on open routes.
    client_account account;
    /// Service beside the node that took the request.
    service_name caller_service;
};

/// What an answer of a backend server says beside its content.
struct backend_facts
{
    std::string request_id;
    /// The backend server states that it has not run the request.
    bool not_run = false;
    /// Another run of the backend server has the address now.
    bool is_other_backend = false;
    /// Whether the answer carries the backend server's proof of origin.
    bool is_sealed = false;
};

/// What a backend server answers to a question about its health.
struct backend_health
{
    /// Id of its run.
    std::string id;
    std::size_t slots = 0;
};

/// Translates between header fields and their meaning.
struct wire_format
{
    /// Takes the claims out of the fields, and every field that only a node
    /// may set, so that nothing of them is passed on.
    std::function<caller_claims(header_fields&)> take_claims;
    /// Reads the id of the request, which stays among the fields.
    std::function<std::string(const header_fields&)> request_id;
    std::function<void(header_fields&, const backend_fields&)>
        add_backend_fields;
    /// Reads the facts and removes the fields that are for nodes alone.
    std::function<backend_facts(int status, header_fields&)> take_backend_facts;
    /// Reads the answer to a question about health; nothing when the backend
    /// server is not well or does not say enough to be used.
    std::function<std::optional<backend_health>(
        int status, const header_fields&)>
        read_health;
    /// Makes the fields of an answer of the node's own.
    std::function<header_fields(
        const std::string& request_id, std::optional<duration> retry_after)>
        node_answer_fields;
};

} // namespace fulmarjunction
