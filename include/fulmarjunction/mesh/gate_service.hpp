/// @file
/// Forwards requests to the local backend server.
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
#include <fulmarjunction/serving/crash_detector.hpp>
#include <fulmarjunction/serving/suspect_turns.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace fulmarjunction {

/// Limits the concurrency of the local backend server. All requests for it,
/// from callers of any node, pass through this gate.
class gate_service : public std::enable_shared_from_this<gate_service>
{
public:
    /// Objects that the gate uses; all of them outlive it.
    struct dependencies
    {
        /// State of the backend server.
        backend_monitor* monitor = nullptr;
        const wire_format* format = nullptr;
        mesh_metrics* metrics = nullptr;
        /// Requests that may crash backend servers.
        suspect_list* suspects = nullptr;
        suspect_settings suspicion;
        /// Called when a request has been blamed for a crash.
        std::function<void()> on_blame;
    };

    /// @param backend address of the backend server
    gate_service(
        boost::asio::any_io_executor executor,
        const boost::asio::ip::tcp::endpoint& backend, dependencies deps,
        const slot_gate_settings& settings);

    /// Runs one request. The answer is that of the backend server, or one made
    /// by `encode_node_answer`. Both carry the load of the gate.
    awaitable<streamed_response> serve(
        call_context context, streamed_request request, cancel_event canceled);

    /// Applies the current slots and state of the backend server.
    void backend_changed();

    /// Sets the share of the backend server's slots to use.
    void set_slot_share(double share);

    /// Sends a health check to the backend server.
    /// @param path path of its health endpoint
    /// @return nothing when it does not answer in full, is unhealthy, or leaves
    ///         out required fields
    awaitable<std::optional<backend_health>> query_health(std::string path);

    gate_load load() const;

    /// Measures how far calls exceed the capacity of the backend server.
    call_pressure& pressure() { return pressure_; }

    /// Records that a service refused a call of the local backend server for
    /// lack of capacity.
    void record_call_refusal(const service_name& service);

    /// Measures how many requests one run of the backend server causes.
    run_cost_meter& costs() { return costs_; }
    /// Returns the requests per second that the backend server has named.
    const std::optional<double>& rate_limit() const { return gate_.rate(); }
    std::size_t running() const { return gate_.running(); }
    std::size_t waiting() const { return gate_.waiting(); }

private:
    struct waiter;
    class slot;

    std::optional<node_answer> check_backend(const call_context& context) const;
    suspect_decision decide_suspicion(
        const call_context& context, const request_prints& prints) const;
    std::optional<node_answer> check_suspicion(
        const call_context& context, const request_prints& prints) const;
    awaitable<std::optional<node_answer>> wait_for_slot(
        std::uint64_t id, const call_context& context, cancel_event canceled);
    void count_outcome(
        const call_context& context, duration waited, bool was_refused);
    awaitable<streamed_response>
    run(std::shared_ptr<slot> held, call_context context,
        streamed_request request, cancel_event canceled);
    streamed_response accept_answer(
        const call_context& context, streamed_response answer,
        std::shared_ptr<slot> held, cancel_event canceled);
    void update_slots();
    void apply_rate_limit(
        const std::string& backend_id, std::optional<double> per_second);
    awaitable<node_answer> handle_send_error(error problem);
    awaitable<bool> has_crashed();
    void blame(const crash_report& report);
    streamed_response refuse(
        const call_context& context, const node_answer& refusal,
        const std::string& detail = {}) const;
    void advance();
    duration retry_after(const call_context& context) const;

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    boost::asio::ip::tcp::endpoint backend_;
    slot_gate gate_;
    /// Id of the backend server process that named the rate limit.
    std::string limited_backend_;
    /// Whether any answer of the backend server has arrived since the node
    /// started. Before it, an earlier rate limit may still be in force.
    bool has_answered_ = false;
    double slot_share_ = 1;
    suspect_turns turns_;
    std::shared_ptr<crash_detector> crashes_;
    call_pressure pressure_;
    recent_refusal refused_calls_;
    run_cost_meter costs_;
    http_client client_;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
};

} // namespace fulmarjunction
