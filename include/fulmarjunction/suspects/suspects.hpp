/// @file
/// Isolates requests that crash backend servers.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

struct XXH3_state_s;

namespace fulmarjunction {

/// Hash that is equal for equal requests, so that a retry is recognized.
using fingerprint = std::uint64_t;

/// Computes the fingerprint of a request whose body comes in pieces. The sizes
/// of the pieces do not matter.
class fingerprint_builder
{
public:
    /// @param target path and query
    fingerprint_builder(
        const client_account& account, const endpoint_name& endpoint,
        std::string_view target);

    void add_body(std::string_view bytes);

    /// Returns the fingerprint for the body added so far.
    fingerprint value() const;

private:
    struct state_deleter
    {
        void operator()(XXH3_state_s* state) const;
    };

    std::unique_ptr<XXH3_state_s, state_deleter> state_;
};

/// Returns the fingerprint of a request.
/// @param target path and query
/// @param body the whole body
fingerprint fingerprint_of(
    const client_account& account, const endpoint_name& endpoint,
    std::string_view target, std::string_view body);

/// Returns a fingerprint for all requests whose bodies begin alike and go on.
/// It equals that of no whole body.
/// @param first_bytes beginning of the body
fingerprint partial_fingerprint_of(
    const client_account& account, const endpoint_name& endpoint,
    std::string_view target, std::string_view first_bytes);

/// Fingerprints of one request.
struct request_prints
{
    /// Converts a single fingerprint, which covers the caller as well: an
    /// answer then clears the crashes for all requests that share it.
    request_prints(fingerprint print) : content(print), caller(print) {}

    request_prints(fingerprint content_print, fingerprint caller_print)
        : content(content_print), caller(caller_print)
    {
    }

    /// Equal for equal content. Crashes are recorded under it, so that content
    /// that crashes backend servers is known whoever sends it.
    fingerprint content;
    /// Covers the rest of the identity as well. Answers are recorded under it,
    /// so that an answer to one caller says nothing about others.
    fingerprint caller;
};

/// What identifies a request besides its content.
struct request_identity
{
    client_account account;
    /// Service of the instance that sends the request.
    service_name caller_service;
    /// Service that the request is for.
    service_name service;
    std::string_view method;
};

/// Returns the fingerprints of a request.
/// @param content fingerprint of its content
request_prints prints_of(fingerprint content, const request_identity& identity);

/// Limits of the suspect list and the suspect gate.
struct suspect_settings
{
    /// Maximum number of fingerprints; above it, those with crashes at the
    /// fewest instances are evicted first.
    std::size_t max_suspects = 2048;
    /// Time for which a crash counts.
    duration expiry = seconds(300);
    /// Time after the last crash at which a refused request runs once more,
    /// alone, since it may only have been in flight with another one. Without
    /// it, a request is refused until its crashes expire.
    std::optional<duration> trial_after;
    /// Maximum wait of a suspect before it runs alone.
    duration max_wait = seconds(2);
    /// Maximum time given to the requests in flight to end before a suspect
    /// starts.
    duration max_drain = milliseconds(250);
    /// Maximum number of suspects that wait at one instance.
    std::size_t max_waiting = 64;
    /// Maximum fraction of an instance's time in which suspects run.
    double time_share = 0.25;
};

/// A crash of a backend server while the request was in flight.
struct suspect_crash
{
    instance_name instance;
    /// Sequence number among the crashes of one instance; 0 where a sender only
    /// observed a failed call.
    std::uint64_t number = 0;
    /// Time until the crash expires.
    duration remaining{};
    /// Whether the request has been answered since.
    bool cleared = false;
};

/// Report of one fingerprint's crashes, sent between nodes.
struct suspect_report
{
    fingerprint print = 0;
    std::vector<suspect_crash> crashes;
};

/// How a request is to be run.
enum class suspect_action
{
    run,
    /// Run it at the given instance, where no other request starts until it has
    /// ended.
    run_alone,
    /// Refuse it with the reason `suspect_request`.
    refuse
};

/// Action for one request and, if it runs alone, its instance.
struct suspect_decision
{
    suspect_action action = suspect_action::run;
    /// Set for `run_alone`.
    std::optional<instance_name> instance;
    /// Set for `refuse` if the request runs again before its crashes expire.
    std::optional<duration> retry_after;
};

/// Suspect fingerprints known to one node. Merging reports is commutative and
/// idempotent: crashes and their cleared flags are only added, until they
/// expire.
///
/// A crash is recorded under the content of a request and counts for all who
/// send it. An answer clears it for one of them: the crash is also recorded, as
/// cleared, under the fingerprint of that caller's requests.
class suspect_list
{
public:
    /// @param self name of this instance
    /// @param first_crash_number number of this instance's first crash; the
    ///        incarnation is passed here, so that numbers increase across
    ///        restarts
    suspect_list(
        suspect_settings settings, instance_name self,
        std::uint64_t first_crash_number);

    /// Records a crash of this instance's backend server.
    /// @param in_flight requests that it was running
    /// @param alone the suspect that ran alone, if any: only this one is blamed
    void crashed(
        const std::vector<fingerprint>& in_flight,
        std::optional<fingerprint> alone, time_point now);

    /// Records that another instance's node answered that its backend server
    /// failed while running the request, so that the next attempt does not
    /// depend on the crash report.
    void attempt_failed(
        fingerprint content, const instance_name& instance, time_point now);

    /// Clears the crashes of a request that a backend server has answered, for
    /// requests with the same identity.
    /// @return the number of crashes cleared
    std::size_t finished(const request_prints& prints, time_point now);

    /// Merges a report of a peer.
    /// @return whether the list has changed, so that the report is to be
    /// forwarded
    bool merge(const suspect_report& report, time_point now);

    /// Returns whether a crash is known for the content, cleared for some
    /// callers or not.
    bool has_crashes(fingerprint content, time_point now) const;

    /// Decides on the node that chooses an instance.
    /// @param instances instances of the service that may be chosen
    suspect_decision decide(
        const request_prints& prints,
        const std::vector<instance_name>& instances, time_point now) const;

    /// Decides on the node whose backend server is to run the request.
    /// @param after_backend_failure whether the sender retries the request
    ///        after its first backend server failed. Such a retry does not run
    ///        alone: all requests in flight at a crash are retried at the same
    ///        time, and most of them would be refused before their turn to run
    ///        alone. The request runs twice at most, since the sender makes no
    ///        third attempt.
    suspect_decision decide_local(
        const request_prints& prints, bool after_backend_failure,
        time_point now) const;

    /// Returns reports of the fingerprints changed after change number `after`,
    /// newest first, at most `limit` of them.
    std::vector<suspect_report>
    changes(std::uint64_t after, std::size_t limit, time_point now) const;

    /// Like `changes`, but without changes that only a report of a peer made.
    std::vector<suspect_report>
    own_changes(std::uint64_t after, std::size_t limit, time_point now) const;

    /// Returns reports of the fingerprints that are refused for their crashes,
    /// of which at least one happened at this instance, at most `limit`.
    std::vector<suspect_report>
    refused_here(std::size_t limit, time_point now) const;

    /// Returns the number of the last change.
    std::uint64_t last_change() const { return last_change_; }

    /// Removes expired crashes; call about once per second.
    void expire(time_point now);

    std::size_t size() const { return suspects_.size(); }

private:
    struct crash_id
    {
        instance_name instance;
        std::uint64_t number = 0;

        bool operator==(const crash_id&) const = default;
        bool operator<(const crash_id& other) const
        {
            if (instance != other.instance)
                return instance < other.instance;
            return number < other.number;
        }
    };
    struct crash_state
    {
        time_point expires;
        bool cleared = false;
    };
    struct suspect
    {
        std::map<crash_id, crash_state> crashes;
        std::uint64_t change = 0;
        /// The last change that was made at this node.
        std::uint64_t own_change = 0;
    };
    /// What is known of the crashes of one fingerprint.
    struct crash_summary
    {
        std::set<instance_name> instances;
        std::size_t crashes = 0;
        /// Latest expiry of a crash.
        time_point expires{};
    };

    bool add_crash(
        suspect& entry, const crash_id& id, const crash_state& state) const;
    void mark_changed(suspect& entry) { entry.change = ++last_change_; }
    void mark_changed_here(suspect& entry)
    {
        mark_changed(entry);
        entry.own_change = entry.change;
    }
    void enforce_max_suspects();
    static bool is_reported(
        const suspect& entry, const instance_name& instance,
        const crash_state& observed);
    bool is_cleared(
        const request_prints& prints, const crash_id& id,
        const crash_state& state) const;
    crash_summary summarize(const request_prints& prints, time_point now) const;
    static std::optional<instance_name> choose_instance(
        fingerprint print, const std::vector<instance_name>& instances,
        const std::set<instance_name>& excluded);
    std::vector<suspect_report> collect(
        std::uint64_t suspect::*change, std::uint64_t after, std::size_t limit,
        time_point now) const;
    suspect_report make_report(fingerprint print, time_point now) const;

    suspect_settings settings_;
    instance_name self_;
    std::uint64_t next_crash_number_;
    std::uint64_t last_change_ = 0;
    std::map<fingerprint, suspect> suspects_;
};

/// Runs suspects one at a time at one instance, where no other request starts
/// until the suspect has ended.
class suspect_gate
{
public:
    explicit suspect_gate(suspect_settings settings) : settings_(settings) {}

    /// Queues a suspect.
    /// @return false if too many wait; the caller refuses it as `overloaded`
    bool offer(std::uint64_t id, time_point now);

    /// Returns the suspect to start now, if any.
    /// @param in_flight number of requests that the backend server runs now
    std::optional<std::uint64_t> next(std::size_t in_flight, time_point now);

    /// Removes and returns the suspects that have waited too long; the caller
    /// refuses them as `overloaded`.
    std::vector<std::uint64_t> take_expired(time_point now);

    /// Returns whether other requests must not start now.
    bool blocks_others(time_point now) const;

    /// Records that the suspect has ended, or was canceled while it waited.
    void ended(std::uint64_t id, time_point now);

    /// Returns the running suspect, if any.
    std::optional<std::uint64_t> running() const { return running_; }

private:
    struct waiting
    {
        std::uint64_t id = 0;
        time_point since;
    };

    suspect_settings settings_;
    std::deque<waiting> waiting_;
    std::optional<std::uint64_t> running_;
    /// Time at which the gate closed to other requests for the next suspect.
    std::optional<time_point> closed_since_;
    time_point open_to_others_until_;
};

} // namespace fulmarjunction
