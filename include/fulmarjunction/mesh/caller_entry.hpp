/// @file
/// Entry point for requests of callers and of the local backend server.
#pragma once

#include <fulmarjunction/gate/root_shedding.hpp>
#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/mesh/config_copy.hpp>
#include <fulmarjunction/mesh/fleet_link.hpp>
#include <fulmarjunction/mesh/forwarder.hpp>
#include <fulmarjunction/mesh/mesh_metrics.hpp>
#include <fulmarjunction/mesh/wire_format.hpp>
#include <fulmarjunction/quota/account_ledger.hpp>
#include <fulmarjunction/routes/service_map.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace fulmarjunction {

/// Matches each request to a route, authenticates it, applies the rate limit
/// of its account and forwards it.
class caller_entry
{
public:
    struct dependencies
    {
        service_name own_service;
        config_copy* config = nullptr;
        split_chooser* splits = nullptr;
        token_cache* tokens = nullptr;
        root_shedding* shedding = nullptr;
        fleet_link* link = nullptr;
        forwarder* request_forwarder = nullptr;
        const suspect_list* suspects = nullptr;
        const wire_format* format = nullptr;
        mesh_metrics* metrics = nullptr;
        std::function<std::uint64_t()> random;
        /// Called with the target service of each call that the local backend
        /// server makes.
        std::function<void(const service_name&)> count_call;
    };

    caller_entry(boost::asio::any_io_executor executor, dependencies deps);

    /// Handles one request and returns the answer for the caller.
    awaitable<streamed_response> handle(http_request request);

    /// Refuses later requests whose deadline is after `end`, since the node
    /// may end before they do.
    void begin_stop(time_point end) { stops_at_ = end; }

    /// Ends the requests that still run with an answer of the node. Answers
    /// that wait for theirs on a pipelined connection can then be passed on.
    void break_off_requests();

    /// Returns the answer to input that is not a valid HTTP request.
    streamed_response refuse_malformed(int status);

private:
    /// A request with its matched route and account.
    struct admitted
    {
        /// Owns the route and the plan.
        service_map_ptr config;
        const route* matched_route = nullptr;
        const account_plan* plan = nullptr;
    };

    std::variant<admitted, node_answer>
    admit(const streamed_request& message, const caller_claims& claims) const;
    static unsigned priority_of(const admitted& request);
    std::optional<node_answer> shed(const admitted& request);
    awaitable<std::optional<node_answer>>
    charge(account_plan plan, time_point deadline);
    awaitable<forward_result>
    serve(admitted request, http_request incoming, caller_claims claims);
    outgoing_request make_outgoing(
        const admitted& request, http_request& incoming, request_body body);
    static void identify(outgoing_request& outgoing);
    awaitable<result<void>>
    read_suspect(outgoing_request& outgoing, std::size_t body_limit);
    awaitable<forward_result>
    forward(outgoing_request outgoing, cancel_event canceled);
    awaitable<result<request_body>> read_request_body(
        streamed_request& message, std::size_t limit, time_point deadline);
    static node_answer make_body_refusal(const error& problem);
    static void log_cut_answer(
        streamed_response& answer, std::string request_id,
        cancel_event canceled);
    streamed_response refuse(
        const node_answer& refusal, const std::string& request_id,
        const std::string& route_name);

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    /// Time until which accepted requests must have ended.
    time_point stops_at_ = time_point::max();
    /// Cancel the requests that are being forwarded, by a number of their own.
    std::map<std::uint64_t, cancel_event> forwarded_;
    std::uint64_t next_forwarded_ = 0;
    /// Requests whose large bodies are held whole.
    unsigned large_suspects_ = 0;
    bool is_breaking_off_ = false;
};

/// Returns the HTTP status that a caller receives for a node's own answer.
int caller_status(const node_answer& answer);

} // namespace fulmarjunction
