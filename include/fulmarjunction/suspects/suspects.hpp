/// @file
/// Isolates requests that crash backend servers.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Names requests that are alike, so that one sent again is recognized.
using fingerprint = std::uint64_t;

/// Bytes of a body that count for the fingerprint.
constexpr std::size_t fingerprint_body_bytes = 4096;

/// Returns the fingerprint of a request.
/// @param body first bytes of the body; past `fingerprint_body_bytes` they
///        are ignored
fingerprint fingerprint_of(
    const client_account& account, const endpoint_name& endpoint,
    std::string_view target, std::string_view body);

/// Bounds of the list of suspects.
struct suspect_settings
{
    /// Fingerprints kept; past it those with one crash go first.
    std::size_t max_suspects = 2048;
    /// Time for which a crash counts.
    duration expiry = seconds(300);
    /// Longest time a suspect waits until it runs alone.
    duration max_wait = seconds(2);
    /// Longest time for requests in flight to end before a suspect starts.
    duration max_drain = milliseconds(250);
    /// Suspects that may wait at one instance.
    std::size_t max_waiting = 64;
    /// Largest part of an instance's time in which suspects run.
    double time_share = 0.25;
};

/// One crash of a backend server in which a request was in flight.
struct suspect_crash
{
    instance_name instance;
    /// Orders the crashes of one instance; 0 where a sender only saw its
    /// call fail.
    std::uint64_t number = 0;
    /// Time for which it still counts.
    duration remaining{};
    /// Whether the request has finished since.
    bool cleared = false;
};

/// What one node tells others of one fingerprint.
struct suspect_report
{
    fingerprint print = 0;
    std::vector<suspect_crash> crashes;
};

/// What is to be done with a request.
enum class suspect_action
{
    run,
    /// Run it at the named instance, with nothing else started beside it.
    run_alone,
    /// Refuse it, reason `suspect_request`.
    refuse
};

/// Decision for one request.
struct suspect_decision
{
    suspect_action action = suspect_action::run;
    /// Set for `run_alone`.
    std::optional<instance_name> instance;
};

/// The fingerprints under suspicion that one node knows of. Merging reports
/// is commutative and idempotent: crashes and their clearings only add up,
/// until they expire.
class suspect_list
{
public:
    /// @param self name of this instance
    /// @param first_number number of this instance's first crash; its
    ///        incarnation, so that numbers grow over restarts
    suspect_list(
        suspect_settings settings, instance_name self,
        std::uint64_t first_number);

    /// This instance's backend server has crashed.
    /// @param in_flight requests that it was running
    /// @param alone the suspect that ran alone, if one did: it is blamed and
    ///        the others are not
    void crashed(
        const std::vector<fingerprint>& in_flight,
        std::optional<fingerprint> alone, time_point now);

    /// Another instance's node answered that its backend server failed while
    /// it ran the request. The next attempt must not wait for the report.
    void attempt_failed(
        fingerprint print, const instance_name& instance, time_point now);

    /// A backend server has answered the request, so it is no suspect.
    void finished(fingerprint print, time_point now);

    /// Takes in a report of a peer.
    /// @return whether it told anything new, so that it is to be passed on
    bool merge(const suspect_report& report, time_point now);

    /// Decides for a node that is to choose an instance.
    /// @param instances instances of the service that may be chosen
    suspect_decision decide(
        fingerprint print, const std::vector<instance_name>& instances,
        time_point now) const;

    /// Decides for the node at whose backend server the request has arrived.
    /// @param after_backend_failure whether its sender retries it since the
    ///        first backend server failed. Such a retry does not run alone: all
    ///        requests in flight at a crash are retried at the same time, and
    ///        most of them would wait for their turn in vain. It is the second
    ///        run at most, since the sender takes no third.
    suspect_decision decide_local(
        fingerprint print, bool after_backend_failure, time_point now) const;

    /// Returns what changed after change number `after`, newest first, at
    /// most `limit` reports.
    std::vector<suspect_report>
    changes(std::uint64_t after, std::size_t limit, time_point now) const;

    /// Returns the number of the last change.
    std::uint64_t last_change() const { return last_change_; }

    /// Forgets what has expired; to be called about each second.
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
    };

    bool
    add(suspect& entry, const crash_id& id, const crash_state& state) const;
    void touch(suspect& entry) { entry.change = ++last_change_; }
    void bound();
    std::set<instance_name>
    crashed_instances(fingerprint print, time_point now) const;

    suspect_settings settings_;
    instance_name self_;
    std::uint64_t next_number_;
    std::uint64_t last_change_ = 0;
    std::map<fingerprint, suspect> suspects_;
};

/// Runs suspects one at a time at one instance, with nothing else started
/// until the suspect has ended.
class suspect_gate
{
public:
    explicit suspect_gate(suspect_settings settings) : settings_(settings) {}

    /// Offers a suspect.
    /// @return false when too many wait; it is refused as `overloaded`
    bool offer(std::uint64_t id, time_point now);

    /// Returns the suspect that is to start now, if any.
    /// @param in_flight requests that the backend server runs now
    std::optional<std::uint64_t> next(std::size_t in_flight, time_point now);

    /// Removes the suspects that have waited too long; they are refused as
    /// `overloaded`.
    std::vector<std::uint64_t> take_expired(time_point now);

    /// Returns whether other requests may not start now.
    bool blocks_others(time_point now) const;

    /// The suspect has ended, or was withdrawn while it waited.
    void ended(std::uint64_t id, time_point now);

    /// Returns the suspect that runs, if any.
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
    /// When the gate was closed to others for the suspect in turn.
    std::optional<time_point> closed_since_;
    time_point next_turn_;
};

} // namespace fulmarjunction
