/// @file
/// What travels with a request from the node that took it to the node beside
/// the backend server, and back.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// One request on its way to a backend server.
struct call_context
{
    std::string request_id;
    std::string route_name;
    execution kind = execution::idempotent;
    /// Whether a backend server made it while it ran another request.
    bool is_call = false;
    /// 0 is the most important.
    unsigned priority = 0;
    milliseconds objective{};
    time_point deadline{};
    /// How long the request has been on its way, waits at other gates
    /// included.
    milliseconds waited{};
    /// Service beside the node that took the request.
    service_name caller_service;
    /// Empty on open routes.
    client_account account;
    /// Run of the backend server that must answer.
    std::string backend_id;
};

/// Why a node gives an answer of its own.
enum class node_refusal
{
    /// No configuration has been read yet.
    no_configuration,
    /// The copy of the configuration is not confirmed, so no key is trusted.
    unconfirmed_configuration,
    key_missing,
    key_unknown,
    no_route,
    bad_request,
    head_too_large,
    body_too_large,
    /// The account has used up its rate.
    over_rate,
    /// The ledger of the account can't be reached.
    no_ledger,
    /// No backend server of the service is known or left to try.
    no_backend,
    /// The backend server beside the node is leaving or another one.
    draining,
    other_backend,
    /// More work than slots.
    overloaded,
    /// A service further down has no room for the calls of the request.
    overloaded_below,
    /// The backend server turned the request away.
    turned_away,
    /// The time was up before the request was passed on.
    too_late,
    /// The time was up while it ran.
    timeout,
    /// The connection broke after the request was sent.
    broken,
    /// The answer was no valid answer to the request.
    bad_answer,
    canceled
};
std::string_view to_string(node_refusal value);
std::optional<node_refusal> parse_node_refusal(std::string_view name);

/// An answer that no backend server gave.
struct node_answer
{
    node_refusal reason = node_refusal::overloaded;
    /// Whether it is certain that the request has not run and never will.
    bool not_run = true;
    /// Whether a backend server has seen the request, if only to reject it.
    bool reached_backend = false;
    /// When the caller may come again; nothing where it makes no sense.
    std::optional<duration> retry_after;
};

/// How busy a gate is.
struct gate_load
{
    std::size_t load = 0;
    std::size_t limit = 0;
};

/// Adds the context to the fields of a request between nodes.
void write_context(
    header_fields& fields, const call_context& context, time_point now);

/// Takes the context out of the fields; the request id is not among it.
/// @return `errc::malformed` when a field is missing or can't be read
result<call_context> take_call_context(header_fields& fields, time_point now);

/// Makes the answer of one node to another that stands for `why`.
streamed_response hop_answer(const node_answer& why);

/// Takes the own answer out of an answer between nodes, if it is one.
std::optional<node_answer> take_node_answer(header_fields& fields);

/// Notes in an answer between nodes that the request failed since a call of
/// it found no room at a service; nothing when the name is empty.
void write_refused_below(header_fields& fields, const service_name& service);

/// Takes that service out of an answer; empty when there is none.
service_name take_refused_below(header_fields& fields);

void write_load(header_fields& fields, const gate_load& load);
std::optional<gate_load> take_load(header_fields& fields);

} // namespace fulmarjunction
