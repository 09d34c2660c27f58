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

/// An answer of a backend server, or why there is none.
struct call_answer
{
    call_answer(refusal reason) : refusal_details(reason) {}
    call_answer(streamed_response answer) : response(std::move(answer)) {}

    /// Empty when the request was refused or failed.
    std::optional<streamed_response> response;
    /// Why there is no answer, when `response` is empty.
    refusal refusal_details;
    /// What calls deeper in the chain met.
    downstream_observation downstream;
    /// Admission level of the instance that was called last.
    admission_level level = 0;

    /// Returns why there is no answer, or nothing when there is one.
    std::optional<refusal> failure() const
    {
        return response ? std::nullopt : std::optional(refusal_details);
    }
};

/// Sends calls to instances and learns from their answers.
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
        /// An instance answered that its backend server failed.
        std::function<void(fingerprint print, const instance_name& instance)>
            backend_failed;
    };

    dispatcher(const boost::asio::any_io_executor& executor, dependencies deps);

    /// Sends the call, and again where the outcome and the budget allow it.
    /// @param budget extra attempts that this node holds for the request
    awaitable<call_answer>
    call(outgoing_call call, retry_budget& budget, cancel_event canceled);

    /// Sends a request to a peer as it is and returns its answer with its
    /// notes taken out.
    awaitable<call_answer> send_to_peer(
        peer_address to, streamed_request request, time_point deadline,
        cancel_event canceled, std::uint32_t* retries_unspent);

    /// Number of attempts beyond the first one of a call.
    std::uint64_t retries() const { return retries_; }

private:
    struct attempt;
    struct sent_answer;

    awaitable<attempt> try_instance(
        outgoing_call& call, const instance_name& instance,
        std::uint32_t handed, bool after_backend_failure,
        cancel_event canceled);
    awaitable<sent_answer> send(
        const instance_name& instance, request_context context,
        streamed_request request, cancel_event canceled);

    boost::asio::any_io_executor executor_;
    dependencies dependencies_;
    std::uint64_t retries_ = 0;
};

} // namespace fulmarjunction
