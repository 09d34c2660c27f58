/// @file
/// Data that accompanies a request from its entry node to the node beside the
/// backend server, and its answer on the way back.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Stands for the fingerprint of a request whose entry node sent none.
inline constexpr fingerprint no_fingerprint = 0;

/// Context of a request to a backend server.
struct call_context
{
    std::string request_id;
    std::string route_name;
    execution kind = execution::idempotent;
    /// Whether a backend server sent it while running another request.
    bool is_call = false;
    /// 0 is the most important.
    unsigned priority = 0;
    milliseconds objective{};
    time_point deadline{};
    /// Time since the arrival at the entry node, including waits at other
    /// gates.
    milliseconds waited{};
    /// Service of the backend server beside the entry node.
    service_name caller_service;
    /// Empty on public routes.
    client_account account;
    /// Id of the backend server process that must answer.
    std::string backend_id;
    /// Equal for equal content, whoever sends it.
    fingerprint print = no_fingerprint;
    /// Whether an earlier attempt was in flight at a crash of its backend
    /// server.
    bool is_crash_retry = false;
};

/// Returns the fingerprints of a request with this context.
/// @param service service that the request is for
inline request_prints prints_of(
    const call_context& context, const service_name& service,
    std::string_view method)
{
    return prints_of(
        context.print,
        {context.account, context.caller_service, service, method});
}

/// Why a node answers a request itself.
enum class node_refusal
{
    /// The node has not read a configuration yet.
    no_configuration,
    /// The copy of the configuration is not confirmed, so keys are not trusted.
    unconfirmed_configuration,
    key_missing,
    key_unknown,
    no_route,
    bad_request,
    head_too_large,
    body_too_large,
    /// The account has exceeded its rate limit.
    over_rate,
    /// The node that keeps the account's ledger is unreachable.
    no_ledger,
    /// No backend server of the service is known, or all have been tried.
    no_backend,
    /// The backend server beside the node is draining or absent.
    draining,
    /// The node stops, and could end before the request.
    stopping,
    /// Another process of the backend server runs beside the node.
    other_backend,
    /// No slot is expected to be free in time.
    overloaded,
    /// The service has refused most of the node's requests lately, so this one
    /// was not sent.
    throttled,
    /// A downstream service has no capacity for the calls of the request.
    overloaded_below,
    /// The backend server refused the request.
    turned_away,
    /// The deadline passed before the request was sent to the backend server.
    too_late,
    /// The deadline passed while the request ran.
    timeout,
    /// The connection broke after the request was sent.
    broken,
    /// The backend server crashed while it ran the request.
    backend_crashed,
    /// Backend servers crashed while they ran equal requests.
    suspect_request,
    /// The answer was malformed or not sealed by the backend server.
    bad_answer,
    canceled
};
std::string_view to_string(node_refusal value);
std::optional<node_refusal> parse_node_refusal(std::string_view name);

/// An answer that a node gives in place of a backend server.
struct node_answer
{
    node_refusal reason = node_refusal::overloaded;
    /// Whether it is certain that the request has not run and never will.
    bool not_run = true;
    /// Whether a backend server received the request, even if it refused it.
    bool reached_backend = false;
    /// Time after which the caller may retry; none where a retry is of no use.
    std::optional<duration> retry_after;
};

/// Number of requests at a gate, running and waiting, and its concurrency
/// limit.
struct gate_load
{
    std::size_t load = 0;
    std::size_t limit = 0;
};

/// Adds the context to the header fields of a request between nodes.
void write_context(
    header_fields& fields, const call_context& context, time_point now);

/// Removes the context from the header fields and parses it. The request id is
/// not part of it.
/// @return `errc::malformed` when a field is missing or can't be parsed
result<call_context> take_call_context(header_fields& fields, time_point now);

/// Encodes a node's own answer as a response to another node.
streamed_response encode_node_answer(const node_answer& answer);

/// Removes and parses the node's own answer from the header fields of a
/// response between nodes. Returns nothing if a backend server gave the answer.
std::optional<node_answer> take_node_answer(header_fields& fields);

/// Marks an answer between nodes as failed because `service` refused a call of
/// the request. An empty name removes the mark.
void write_downstream_refusal(
    header_fields& fields, const service_name& service);

/// Removes that mark and returns the service; empty when there is none.
service_name take_downstream_refusal(header_fields& fields);

void write_load(header_fields& fields, const gate_load& load);
std::optional<gate_load> take_load(header_fields& fields);

} // namespace fulmarjunction
