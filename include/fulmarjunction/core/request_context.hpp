/// @file
/// Context that nodes propagate with a request.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstdint>
#include <string>

namespace fulmarjunction {

/// Context of one call. Nodes take it from their own state, never from a
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
    /// Extra attempts that this call and its downstream calls may use.
    std::uint32_t retries = 0;
    /// Whether the call is a child of an admitted request.
    bool invested = false;
    /// Whether the backend server failed during an earlier attempt.
    bool after_backend_failure = false;
    /// Weight of the account's plan in fair queueing.
    double weight = 1.0;
    /// Highest level of this service for this request's flow that upstream
    /// nodes have applied.
    double applied_level = 0;
    /// Highest level that upstream nodes have applied for a downstream service,
    /// and that service.
    double applied_below = 0;
    service_name applied_below_service;
    /// Empty unless the endpoint is unique.
    std::string idempotency_key;
};

} // namespace fulmarjunction
