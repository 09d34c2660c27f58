/// @file
/// The configuration of the nodes: routes, client accounts and limits.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fulmarjunction {

/// Version of a configuration; higher is newer.
using config_version = std::uint64_t;

/// One service that a route sends requests to, and its share of them.
struct weighted_service
{
    service_name service;
    double weight = 1;
};

/// Where requests of one host and path prefix go.
struct route
{
    std::string name;
    /// Lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    execution kind = execution::idempotent;
    /// Maximum time that a caller waits for an answer.
    milliseconds timeout{1000};
    /// Latency objective. Answers within this time are worth the most to the
    /// caller.
    milliseconds objective{1000};
    /// Maximum number of instances that one request may be sent to.
    unsigned attempts = 1;
    /// Priority of its requests; 0 is the most important.
    unsigned priority = 0;
    /// Whether requests need no key.
    bool is_public = false;
    std::vector<weighted_service> targets;
};

/// Priority and limits of a client account.
struct account_plan
{
    client_account name;
    /// Priority of its requests; takes precedence over that of the route.
    std::optional<unsigned> priority;
    /// Requests per second over all nodes; 0 is no limit.
    double rate = 0;
    /// Requests above the rate that may arrive at once.
    double burst = 0;
};

/// Returns the rank of a request by importance; 0 is the most important. The
/// priority of the account takes precedence; among accounts of equal priority
/// that of the route decides.
/// @param account_priority none when the account has none; the priority of the
///        route is used instead
unsigned
rank_of(std::optional<unsigned> account_priority, unsigned route_priority);

/// An account and its keys, as configured by the operators.
struct account_entry
{
    account_plan plan;
    std::vector<std::string> keys;
};

/// Limits for one caller connection.
struct connection_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 64 * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
};

/// A complete configuration as it was read.
struct service_document
{
    config_version version = 0;
    std::vector<route> routes;
    std::vector<account_entry> accounts;
    connection_limits limits;
    /// Health check path of each service; services without one are omitted.
    std::map<service_name, std::string> health_paths;
};

/// Looks up routes and accounts in one version of the configuration. It is
/// immutable, so a request can keep using the version that it started with.
/// Keys are stored only as keyed hashes.
class service_map
{
public:
    explicit service_map(service_document document);

    config_version version() const { return version_; }
    const connection_limits& limits() const { return limits_; }

    /// Returns whether requests on routes that are not public need a key.
    bool has_accounts() const { return !plans_.empty(); }

    /// Returns the route with the longest prefix, or null.
    /// @param host value of the Host field, in any case, with or without port
    /// @param target request target; its query is ignored
    const route*
    find_route(std::string_view host, std::string_view target) const;

    /// Returns the plan of the account that holds the key, or null.
    const account_plan* find_account(std::string_view key) const;

    /// Returns the health check path of a service; empty when it has none.
    std::string_view health_path(const service_name& service) const;

    const std::vector<account_plan>& plans() const { return plans_; }
    const std::vector<route>& routes() const { return routes_; }

private:
    config_version version_;
    connection_limits limits_;
    std::vector<route> routes_;
    /// Indexes of a host's routes, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::vector<account_plan> plans_;
    std::unordered_map<std::string, std::size_t> by_key_hash_;
    std::map<service_name, std::string> health_paths_;
};

using service_map_ptr = std::shared_ptr<const service_map>;

/// Chooses among the services of a route by smooth weighted round robin, so
/// that each gets its share even over short sequences of requests.
class split_chooser
{
public:
    /// Returns the service for the next request of the route; empty when the
    /// route has none.
    service_name choose(const route& matched);

private:
    struct state
    {
        std::vector<weighted_service> targets;
        std::vector<double> credit;
    };
    std::unordered_map<std::string, state> by_route_;
};

} // namespace fulmarjunction
