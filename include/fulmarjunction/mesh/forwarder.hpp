/// @file
/// Forwards a request to a backend server and retries where that is safe.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/fleet/placement.hpp>
#include <fulmarjunction/mesh/call_context.hpp>
#include <fulmarjunction/mesh/gate_service.hpp>
#include <fulmarjunction/mesh/mesh_metrics.hpp>
#include <fulmarjunction/mesh/wire_format.hpp>
#include <fulmarjunction/peer/peer.hpp>
#include <fulmarjunction/retry/refusal_throttle.hpp>
#include <fulmarjunction/retry/service_budget.hpp>
#include <fulmarjunction/serving/body.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace fulmarjunction {

/// A request to forward.
struct outgoing_request
{
    call_context context;
    service_name service;
    time_point arrived_at{};
    /// Maximum number of backend servers that may receive the request.
    unsigned attempts = 1;
    std::string method;
    std::string target;
    header_fields headers;
    std::optional<std::uint64_t> content_length;
    request_body body;
};

using forward_result = std::variant<streamed_response, node_answer>;

/// Forwards requests and retries them at other instances.
///
/// A request that was refused before it reached a backend server is retried at
/// no cost to the retry budget. One that a backend server refused is charged to
/// the budget of its service. One that failed, or whose outcome is unknown,
/// must also be idempotent.
class forwarder
{
public:
    struct dependencies
    {
        instance_name self;
        fleet_view* fleet = nullptr;
        placement* target_placement = nullptr;
        service_budget* budget = nullptr;
        refusal_throttle* throttle = nullptr;
        suspect_list* suspects = nullptr;
        const wire_format* format = nullptr;
        mesh_metrics* metrics = nullptr;
        /// Returns the peer client, or null until the node has joined.
        std::function<peer_client*()> peers;
        std::shared_ptr<gate_service> gate;
        /// Returns the mean number of requests that one run of a service
        /// causes, itself included.
        std::function<double(const service_name&)> cost_of;
        /// Called when `service` has refused a call for lack of capacity: with
        /// the call itself, and with a request that failed because of it.
        std::function<void(const call_context&, const service_name& service)>
            call_refused;
        /// Called when a request could not be sent to a node.
        std::function<void(const instance_name&, const error&)> call_failed;
    };

    explicit forwarder(dependencies deps) : deps_(std::move(deps)) {}

    awaitable<forward_result>
    forward(outgoing_request outgoing, cancel_event canceled);

private:
    struct progress;
    struct attempt_outcome;

    streamed_request make_request(outgoing_request& outgoing) const;
    awaitable<result<streamed_response>> send(
        const placement::choice& chosen, outgoing_request& outgoing,
        cancel_event canceled);
    awaitable<std::optional<forward_result>> try_once(
        outgoing_request& outgoing, progress& so_far, cancel_event canceled);
    std::variant<placement::choice, node_answer>
    choose_target(const outgoing_request& outgoing, const progress& so_far);
    suspect_decision decide_suspicion(const outgoing_request& outgoing) const;
    attempt_outcome read_outcome(result<streamed_response>& answer) const;
    void record_outcome(
        const placement::choice& chosen, const outgoing_request& outgoing,
        const attempt_outcome& outcome, duration latency);
    bool may_retry(
        const outgoing_request& outgoing, progress& so_far,
        const node_answer& failure);
    void report_call_refusal(
        const outgoing_request& outgoing, const node_answer& failure);
    placement_result to_placement_result(const node_answer& failure) const;

    dependencies deps_;
};

} // namespace fulmarjunction
