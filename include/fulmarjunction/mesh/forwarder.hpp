/// @file
/// Sends a request to a backend server, and to another where that is safe.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/fleet/placement.hpp>
#include <fulmarjunction/mesh/call_context.hpp>
#include <fulmarjunction/mesh/gate_service.hpp>
#include <fulmarjunction/mesh/mesh_metrics.hpp>
#include <fulmarjunction/peer/peer.hpp>
#include <fulmarjunction/retry/service_budget.hpp>
#include <fulmarjunction/serving/body.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace fulmarjunction {

/// A request that is to be forwarded.
struct forward_order
{
    call_context context;
    service_name service;
    time_point arrived_at{};
    /// Most backend servers that may be sent the request.
    unsigned attempts = 1;
    std::string method;
    std::string target;
    header_fields headers;
    std::optional<std::uint64_t> content_length;
    request_body body;
};

using forward_result = std::variant<streamed_response, node_answer>;

/// Forwards requests. One that was refused before it ran goes to another
/// instance; one whose fate is unknown, or that failed, does so only when it
/// is idempotent and the budget of its service allows the repeat.
class forwarder
{
public:
    struct parts
    {
        instance_name self;
        fleet_view* fleet = nullptr;
        placement* places = nullptr;
        service_budget* budget = nullptr;
        mesh_metrics* metrics = nullptr;
        /// Returns the client, which is there once the node has joined.
        std::function<peer_client*()> peers;
        std::shared_ptr<gate_service> gate;
        /// Returns the requests that one run of a service leads to.
        std::function<double(const service_name&)> cost_of;
        /// Called when a request has failed since a call of it found no room
        /// at a service, and when a call itself found none.
        std::function<void(const call_context&, const service_name& at)>
            no_room;
        /// Called when a call could not be passed on to a node.
        std::function<void(const instance_name&, const error&)> call_failed;
    };

    explicit forwarder(parts wiring) : parts_(std::move(wiring)) {}

    awaitable<forward_result>
    forward(forward_order order, cancel_event canceled);

private:
    struct progress;

    streamed_request make_request(forward_order& order) const;
    awaitable<result<streamed_response>> send(
        const placement::choice& chosen, forward_order& order,
        cancel_event canceled);
    awaitable<std::optional<forward_result>>
    try_once(forward_order& order, progress& so_far, cancel_event canceled);
    bool may_go_on(
        const forward_order& order, progress& so_far, const node_answer& why);
    void note_refusal(const forward_order& order, const node_answer& why);
    placement_result result_of(const node_answer& why) const;

    parts parts_;
};

} // namespace fulmarjunction
