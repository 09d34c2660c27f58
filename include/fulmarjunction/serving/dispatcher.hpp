/// @file
/// Sends a call to a backend server instance, with retries.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/request_context.hpp>
#include <fulmarjunction/peer/peer.hpp>
#include <fulmarjunction/retry/retry_budget.hpp>
#include <fulmarjunction/routing/balancer.hpp>
#include <fulmarjunction/serving/backend_gate.hpp>
#include <fulmarjunction/serving/body.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace fulmarjunction {

/// A call that leaves this node.
struct outgoing_call
{
    request_context context;
    std::string method;
    std::string target;
    header_fields headers;
    std::optional<std::uint64_t> content_length;
    request_body body;
};

/// An answer of a backend server, or the refusal in its place.
struct call_answer
{
    call_answer(refusal reason) : refusal_details(reason) {}
    call_answer(streamed_response answer) : response(std::move(answer)) {}

    /// Empty if the request was refused or failed.
    std::optional<streamed_response> response;
    /// Valid if `response` is empty.
    refusal refusal_details;
    /// What the downstream calls observed.
    downstream_observation downstream;
    /// Admission level of the instance that was called last.
    admission_level level = 0;

    /// Returns the refusal, or nothing if there is an answer.
    std::optional<refusal> failure() const
    {
        return response ? std::nullopt : std::optional(refusal_details);
    }
};

/// Sends calls to instances and reports their outcomes to the balancer.
class dispatcher
{
public:
    struct dependencies
    {
        instance_name self;
        balancer* instances = nullptr;
        peer_client* peers = nullptr;
        std::shared_ptr<backend_gate> gate;
        /// Returns the address of an instance's node.
        std::function<std::optional<peer_address>(const instance_name&)> locate;
        /// Decides about a request that may crash backend servers.
        std::function<suspect_decision(
            const service_name& service, fingerprint print)>
            classify;
        /// Called when an instance answers that its backend server failed.
        std::function<void(fingerprint print, const instance_name& instance)>
            backend_failed;
    };

    dispatcher(const boost::asio::any_io_executor& executor, dependencies deps);

    /// Sends the call and retries it if its outcome and the budget allow it.
    /// @param budget extra attempts that this node holds for the request
    awaitable<call_answer>
    call(outgoing_call call, retry_budget& budget, cancel_event canceled);

    /// Sends a request to a peer unchanged and returns its answer without the
    /// metadata fields.
    awaitable<call_answer> send_to_peer(
        peer_address peer, streamed_request request, time_point deadline,
        cancel_event canceled, std::uint32_t* retries_unspent);

    /// Number of attempts beyond the first one of a call.
    std::uint64_t retries() const { return retries_; }

private:
    struct attempt;
    struct send_result;

    awaitable<attempt> try_instance(
        outgoing_call& call, const instance_name& instance,
        std::uint32_t delegated_retries, bool after_backend_failure,
        cancel_event canceled);
    awaitable<send_result> send(
        const instance_name& instance, request_context context,
        streamed_request request, cancel_event canceled);

    boost::asio::any_io_executor executor_;
    dependencies dependencies_;
    std::uint64_t retries_ = 0;
};

} // namespace fulmarjunction
