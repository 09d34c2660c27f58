/// @file
/// State of one node, and the dispatch of table rows to its components.
#pragma once

#include <fulmarjunction/admission/endpoint_levels.hpp>
#include <fulmarjunction/catalog/catalog.hpp>
#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/core/timer_service.hpp>
#include <fulmarjunction/membership/membership.hpp>
#include <fulmarjunction/membership/own_row.hpp>
#include <fulmarjunction/rates/rate_limiter.hpp>
#include <fulmarjunction/replica/freshness.hpp>
#include <fulmarjunction/replica/replica.hpp>
#include <fulmarjunction/routing/balancer.hpp>
#include <fulmarjunction/serving/dispatcher.hpp>
#include <fulmarjunction/settings/settings.hpp>
#include <fulmarjunction/suspects/suspects.hpp>
#include <fulmarjunction/unique/key_issuer.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace fulmarjunction {

/// Secrets of a node, which are read from files that its settings name.
struct node_secrets
{
    /// Shared by all nodes; proves that a peer belongs to the deployment.
    std::string peer;
    /// Pepper of the hashes of the callers' keys.
    std::string pepper;
};

/// All decision-making state of a node; it performs no I/O.
struct node_state
{
    node_state(
        const node_settings& settings, const node_secrets& secrets,
        instance_record self, time_point now);
    node_state(const node_state&) = delete;
    node_state& operator=(const node_state&) = delete;

    /// Propagates what rows or probes have changed since the last call: plans
    /// to the rate limiter, instances to routing, zones to freshness.
    void refresh(time_point now);

    /// Returns whether keyed requests may be served.
    bool is_fresh(time_point now) const;

    /// Returns the peer listener address of an instance's node.
    std::optional<peer_address> locate(const instance_name& name) const;

    /// Decides whether and where a request that may crash backend servers runs.
    suspect_decision classify(
        const service_name& service, fingerprint request_fingerprint,
        time_point now) const;

    /// Returns the successor to which an issuer handed over its keys.
    const handover_row* successor_of(
        const instance_name& issuer, incarnation_number incarnation) const;

    node_settings settings;
    instance_record self;
    timer_service timers;
    replica table_replica;
    freshness freshness_monitor;
    membership members;
    own_row own_instance_row;
    lease_expiry_monitor lease_monitor;
    catalog config;
    rate_limiter rates;
    key_issuer issuer;
    balancer routes;
    endpoint_levels levels;
    suspect_list suspects;
    /// Version of the replica that each neighbour is known to hold.
    std::map<instance_name, table_version> peer_versions;

private:
    void apply(const table_row& row, time_point now);
    void refresh_plans(time_point now);
    void refresh_members(time_point now);
    void refresh_routes(time_point now);
    void attach_suspects();

    using issuer_incarnation = std::pair<instance_name, incarnation_number>;
    std::map<issuer_incarnation, handover_row> handovers_;
    std::set<client_account> accounts_with_plan_;
    std::set<service_name> changed_services_;
    timer_service::subscription suspect_expiry_;
    bool plans_changed_ = false;
    bool members_changed_ = true;
};

/// Returns a generator of uniform 64-bit numbers with a random seed.
std::function<std::uint64_t()> make_random_generator();

} // namespace fulmarjunction
