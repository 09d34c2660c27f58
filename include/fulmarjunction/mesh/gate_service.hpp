/// @file
/// Passes requests on to the backend server beside this node.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/gate/call_pressure.hpp>
#include <fulmarjunction/gate/root_shedding.hpp>
#include <fulmarjunction/gate/slot_gate.hpp>
#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/mesh/backend_monitor.hpp>
#include <fulmarjunction/mesh/call_context.hpp>
#include <fulmarjunction/mesh/mesh_metrics.hpp>
#include <fulmarjunction/mesh/wire_format.hpp>
#include <fulmarjunction/retry/run_cost.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace fulmarjunction {

/// The gate of the backend server: every request for it, from callers of any
/// node, comes through here.
class gate_service : public std::enable_shared_from_this<gate_service>
{
public:
    /// @param backend address of the backend server
    /// @param monitor what the backend server says of itself
    /// @param format outlives this object
    gate_service(
        boost::asio::any_io_executor executor,
        const boost::asio::ip::tcp::endpoint& backend, backend_monitor& monitor,
        const wire_format& format, const slot_gate_settings& settings,
        mesh_metrics& metrics);

    /// Runs one request. The answer is the backend server's, or one that
    /// `take_own_answer` reads; both carry the gate's load.
    awaitable<streamed_response> serve(
        call_context context, streamed_request request, cancel_event canceled);

    /// Takes over the slots and the state of the backend server.
    void backend_changed();

    /// Asks the backend server about its health.
    /// @param path where it answers such questions
    /// @return nothing when it does not answer, or not well enough to be used
    awaitable<std::optional<backend_health>> ask_health(std::string path);

    gate_load load() const;

    /// How far calls exceed the room of the backend server.
    call_pressure& pressure() { return pressure_; }

    /// Takes note that a call of the backend server beside this node was
    /// refused, for want of room at that service.
    void call_was_refused(const service_name& at);

    /// Measures what a run of the backend server costs.
    run_cost_meter& costs() { return costs_; }
    std::size_t running() const { return gate_.running(); }
    std::size_t waiting() const { return gate_.waiting(); }

private:
    struct waiter;
    class slot;

    std::optional<node_answer> check_backend(const call_context& context) const;
    awaitable<std::optional<node_answer>>
    wait_for_slot(const call_context& context, cancel_event canceled);
    void
    count_fate(const call_context& context, duration waited, bool was_refused);
    awaitable<streamed_response>
    run(call_context context, streamed_request request, cancel_event canceled);
    streamed_response accept_answer(
        const call_context& context, streamed_response answer,
        std::shared_ptr<slot> held);
    node_answer send_failed(const error& problem);
    streamed_response refuse(
        const call_context& context, const node_answer& why,
        const std::string& detail = {}) const;
    void advance();
    duration come_back_in(const call_context& context) const;

    boost::asio::any_io_executor executor_;
    backend_monitor& monitor_;
    const wire_format& format_;
    mesh_metrics& metrics_;
    slot_gate gate_;
    call_pressure pressure_;
    recent_refusal refused_calls_;
    run_cost_meter costs_;
    http_client client_;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
};

} // namespace fulmarjunction
