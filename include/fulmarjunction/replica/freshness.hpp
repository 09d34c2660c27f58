/// @file
/// Decides whether a node's replica is fresh enough to serve keyed requests.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Policy for keyed requests on a node without a recent successful poll.
enum class serve_when
{
    /// Serve when every known availability zone reports that the store fails.
    all_zones_report_outage,
    /// Serve when more than half of the known availability zones report it.
    majority_of_zones,
    always
};
std::string_view to_string(serve_when value);
std::optional<serve_when> parse_serve_when(std::string_view name);

/// Whether keyed requests are served, and why.
enum class freshness_decision
{
    fresh,
    serve_during_outage,
    /// Refuse with `refusal_reason::stale_configuration`.
    stale
};
std::string_view to_string(freshness_decision value);

/// Poll results of one availability zone as nodes exchange them. Carries ages
/// instead of timestamps, because the clocks of nodes are not synchronized.
struct zone_evidence
{
    availability_zone zone;
    /// Age of the last successful poll, counted from no later than when it was
    /// sent.
    std::optional<milliseconds> success_age;
    /// Table version that this poll returned.
    table_version version = 0;
    /// Age of the last failed poll, counted from no later than when it was
    /// sent.
    std::optional<milliseconds> failure_age;
};
using evidence_list = std::vector<zone_evidence>;

/// Settings of the freshness rule.
struct freshness_settings
{
    /// Maximum age of the newest successful poll of a fresh replica.
    duration limit = seconds(4);
    serve_when mode = serve_when::all_zones_report_outage;
};

/// Collects poll results of all availability zones and applies the freshness
/// rule. Merging is commutative and idempotent: for each zone the newest
/// success and the newest failure are kept.
class freshness
{
public:
    explicit freshness(freshness_settings settings = {});

    /// Sets the availability zones of all known instances, including this
    /// node's own.
    void set_zones(std::set<availability_zone> zones);

    /// Records that a poll by this node succeeded.
    /// @param sent when the poll was sent
    void poll_succeeded(
        const availability_zone& zone, table_version version, time_point sent);

    /// Records that a poll by this node failed.
    void poll_failed(const availability_zone& zone, time_point sent);

    /// Merges evidence received from a peer.
    /// @param counted_from local time from which the ages are counted back; not
    ///        later than when the peer determined them. For evidence in the
    ///        answer to a probe this is when the probe was sent
    /// @param now upper bound for `counted_from`, so that no evidence lies in
    ///        the future
    void merge(
        const evidence_list& evidence, time_point counted_from, time_point now);

    /// Records that the replica has reached a version.
    void replica_advanced(table_version version);

    /// Returns the evidence to send, with ages as of `now`. Ages above ten
    /// times the freshness limit are omitted.
    evidence_list evidence(time_point now) const;

    freshness_decision decide(time_point now) const;

    /// Time of the newest evidence, successful or failed.
    std::optional<time_point> newest_evidence() const;

    /// Time of the newest successful poll whose version the replica holds.
    std::optional<time_point> confirmed_at() const { return confirmed_; }

    /// Newest version reported by any evidence.
    table_version known_version() const { return known_version_; }

private:
    struct zone_state
    {
        std::optional<time_point> success;
        table_version version = 0;
        std::optional<time_point> failure;
    };
    /// Successful poll whose version the replica has not reached yet.
    struct pending_poll
    {
        time_point at;
        table_version version = 0;
    };

    void add_success(
        const availability_zone& zone, table_version version, time_point at);
    void add_failure(const availability_zone& zone, time_point at);
    bool reports_outage(const availability_zone& zone, time_point now) const;

    freshness_settings settings_;
    std::set<availability_zone> zones_;
    std::map<availability_zone, zone_state> states_;
    std::deque<pending_poll> pending_polls_;
    std::optional<time_point> confirmed_;
    table_version replica_version_ = 0;
    table_version known_version_ = 0;
};

} // namespace fulmarjunction
