/// @file
/// The configuration that nodes serve by: routes, client accounts and limits.
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
    /// Longest time that a caller is kept waiting.
    milliseconds timeout{1000};
    /// An answer within this time is worth the most to the caller.
    milliseconds objective{1000};
    /// Most instances that one request may be sent to.
    unsigned attempts = 1;
    /// Rank of its requests; 0 is the most important.
    unsigned priority = 0;
    /// Whether requests need no key.
    bool is_public = false;
    std::vector<weighted_service> targets;
};

/// What a client account may use.
struct account_plan
{
    client_account name;
    /// Rank of its requests; goes before the rank of the route.
    std::optional<unsigned> priority;
    /// Requests per second over all nodes; 0 is no limit.
    double rate = 0;
    /// Requests above the rate that may come at once.
    double burst = 0;
};

/// Returns the place of a request in the order of importance; 0 is the most
/// important. The priority of its account goes first; among requests of equal
/// accounts that of the route decides.
/// @param account_priority none where the account has none: the route's then
///        stands for it
unsigned
rank_of(std::optional<unsigned> account_priority, unsigned route_priority);

/// An account and its keys, as the operators write them.
struct account_entry
{
    account_plan plan;
    std::vector<std::string> keys;
};

/// Bounds on what one caller connection may send.
struct connection_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 64 * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
};

/// A whole configuration as it was read.
struct service_document
{
    config_version version = 0;
    std::vector<route> routes;
    std::vector<account_entry> accounts;
    connection_limits limits;
    /// Path at which backend servers of a service tell their health; services
    /// without one are left out.
    std::map<service_name, std::string> health_paths;
};

/// Finds routes and accounts in one version of the configuration. It never
/// changes, so a request may keep the version that it began with. Keys are
/// held only as keyed hashes.
class service_map
{
public:
    explicit service_map(service_document document);

    config_version version() const { return version_; }
    const connection_limits& limits() const { return limits_; }

    /// Whether requests on routes that are not open need a key.
    bool has_accounts() const { return !plans_.empty(); }

    /// Returns the route with the longest prefix, or null.
    /// @param host value of the field host, in any case, port allowed
    /// @param target request target; its query is not looked at
    const route*
    find_route(std::string_view host, std::string_view target) const;

    /// Returns the plan of the account that holds the key, or null.
    const account_plan* find_account(std::string_view key) const;

    /// Returns the path for questions about the health of a service's backend
    /// servers; empty when there is none.
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

/// Chooses among a route's services so that each gets its share also over
/// short spans (smooth weighted round robin).
class split_chooser
{
public:
    /// Returns the service for the next request of the route; empty when the
    /// route has none.
    service_name choose(const route& where);

private:
    struct state
    {
        std::vector<weighted_service> targets;
        std::vector<double> credit;
    };
    std::unordered_map<std::string, state> by_route_;
};

} // namespace fulmarjunction
