/// @file
/// What travels with a request from node to node.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstdint>
#include <string>

namespace fulmarjunction {

/// Context of one call. It comes from a node's memory, never from a
/// backend server, so it can be trusted inside the fleet.
struct request_context
{
    client_account account;
    endpoint_name endpoint;
    service_name service;
    importance rank = importance::normal;
    execution kind = execution::idempotent;
    time_point deadline;
    root_id root;
    /// 1 for the call that the entry node makes.
    std::uint32_t depth = 1;
    /// Extra attempts that this call and what it calls may use.
    std::uint32_t retries = 0;
    /// Whether the call is a child of an admitted request.
    bool invested = false;
    /// Whether an earlier attempt ended with a failure of the backend server.
    bool after_backend_failure = false;
    /// Weight of the account's plan for fair sharing.
    double weight = 1.0;
    /// Highest level of this service for this request's flow that nodes on
    /// the way here have applied.
    double applied_level = 0;
    /// Highest level that was applied on the way for a service further below,
    /// and that service.
    double applied_below = 0;
    service_name applied_below_service;
    /// Empty unless the endpoint is unique.
    std::string idempotency_key;
};

} // namespace fulmarjunction
