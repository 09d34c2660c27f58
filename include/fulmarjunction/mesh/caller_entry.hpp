/// @file
/// Takes requests from callers and from the backend server beside the node.
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

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <variant>

namespace fulmarjunction {

/// Checks each request against the configuration and forwards it.
class caller_entry
{
public:
    struct parts
    {
        service_name own_service;
        config_copy* config = nullptr;
        split_chooser* splits = nullptr;
        token_cache* wallet = nullptr;
        root_shedding* shedding = nullptr;
        fleet_link* fleet = nullptr;
        forwarder* calls = nullptr;
        const wire_format* format = nullptr;
        mesh_metrics* metrics = nullptr;
        std::function<std::uint64_t()> random;
        /// Called with the service of each call of the backend server.
        std::function<void(const service_name&)> count_call;
    };

    caller_entry(boost::asio::any_io_executor executor, parts wiring);

    /// Serves one request.
    awaitable<streamed_response> handle(http_request request);

    /// Makes the answer to bytes that are no acceptable request.
    streamed_response refuse_malformed(int status);

private:
    /// A request whose route and account are known.
    struct admitted
    {
        /// Keeps the route alive.
        service_map_ptr config;
        const route* where = nullptr;
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
    awaitable<result<request_body>>
    read_request_body(streamed_request& message, std::size_t limit);
    streamed_response refuse(
        const node_answer& why, const std::string& request_id,
        const std::string& route_name);

    boost::asio::any_io_executor executor_;
    parts parts_;
};

/// Returns the status by which a caller learns of an answer of a node.
int caller_status(const node_answer& why);

} // namespace fulmarjunction
