/// @file
/// Decides whether a node's copy is fresh enough to serve keyed requests.
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

/// When a node without a recent successful poll serves keyed requests.
enum class serve_when
{
    /// Every known availability zone reports that the store is failing.
    all_zones_report_outage,
    /// More than half of the known availability zones report it.
    majority_of_zones,
    always
};
std::string_view to_string(serve_when value);
std::optional<serve_when> parse_serve_when(std::string_view name);

/// Whether keyed requests are served.
enum class freshness_decision
{
    fresh,
    serve_during_outage,
    /// Refuse with `refusal_reason::stale_configuration`.
    stale
};
std::string_view to_string(freshness_decision value);

/// What is known of the polls of one availability zone, as it is sent: ages
/// instead of times, because clocks of nodes need not agree.
struct zone_evidence
{
    availability_zone zone;
    /// Age of the last successful poll, counted from before it was sent.
    std::optional<milliseconds> success_age;
    /// Version that this poll read.
    table_version version = 0;
    /// Age of the last failed poll, counted from before it was sent.
    std::optional<milliseconds> failure_age;
};
using evidence_list = std::vector<zone_evidence>;

/// Settings of the freshness rule.
struct freshness_settings
{
    /// Age of the newest successful poll above which a copy is not fresh.
    duration limit = seconds(4);
    serve_when mode = serve_when::all_zones_report_outage;
};

/// Collects evidence of polls and decides. Merging is commutative and
/// idempotent: of each kind the newest is kept.
class freshness
{
public:
    explicit freshness(freshness_settings settings = {});

    /// Sets the availability zones of all known instances, this node's own
    /// included.
    void set_zones(std::set<availability_zone> zones);

    /// This node's own poll succeeded.
    /// @param sent when the poll was sent
    void poll_succeeded(
        const availability_zone& zone, table_version version, time_point sent);

    /// This node's own poll failed.
    void poll_failed(const availability_zone& zone, time_point sent);

    /// Merges what a peer sent.
    /// @param counted_from a time at or before which the peer stated the
    ///        ages: when the probe was sent, if the evidence came in its
    ///        answer
    /// @param now evidence that would lie in the future is clipped to it
    void merge(
        const evidence_list& evidence, time_point counted_from, time_point now);

    /// The replica has reached a version.
    void replica_advanced(table_version version);

    /// Evidence to send, with ages as of now; entries older than ten limits
    /// are left out.
    evidence_list evidence(time_point now) const;

    freshness_decision decide(time_point now) const;

    /// Time of the newest evidence of any kind.
    std::optional<time_point> newest_evidence() const;

    /// Time of the newest successful poll whose version this node holds.
    std::optional<time_point> confirmed_at() const { return confirmed_; }

    /// Newest version that any evidence names.
    table_version known_version() const { return known_version_; }

private:
    struct zone_state
    {
        std::optional<time_point> success;
        table_version version = 0;
        std::optional<time_point> failure;
    };
    struct unconfirmed
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
    std::deque<unconfirmed> pending_;
    std::optional<time_point> confirmed_;
    table_version replica_version_ = 0;
    table_version known_version_ = 0;
};

} // namespace fulmarjunction
