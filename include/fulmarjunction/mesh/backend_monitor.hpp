/// @file
/// State of the local backend server, from its heartbeats.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/mesh/departures.hpp>
#include <fulmarjunction/mesh/wire_format.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmarjunction {

/// One heartbeat of a backend server.
struct backend_heartbeat
{
    /// Id of the backend server process.
    std::string id;
    service_name service;
    std::string address;
    std::size_t slots = 0;
    bool is_draining = false;
    /// Remaining time of its warm-up, in which it is slow.
    milliseconds warm_up_left{};
    /// Start of the process, in milliseconds of Unix time.
    std::int64_t start_time_ms = 0;
    /// Increases with each heartbeat of a process.
    std::uint64_t sequence = 0;
};

/// Announcement of a backend server that it leaves.
struct backend_leave
{
    std::string id;
    /// Start of the process, if given.
    std::optional<std::int64_t> start_time_ms;
};

/// Result of processing a heartbeat.
enum class heartbeat_verdict
{
    accepted,
    /// From an earlier process, or overtaken by a later heartbeat.
    outdated,
    /// Its service or address differs from that of the local backend server.
    foreign
};
std::string_view to_string(heartbeat_verdict value);

/// Tracks the state of the local backend server.
///
/// Heartbeats may arrive late, even from a process that has ended, so only
/// heartbeats of a newer process or later ones of the same process are
/// accepted.
class backend_monitor
{
public:
    /// @param heartbeat_timeout time without a heartbeat after which the
    ///        backend server counts as absent
    backend_monitor(
        service_name service, std::string address, duration heartbeat_timeout);

    heartbeat_verdict receive(const backend_heartbeat& beat, time_point now);

    /// Processes a leave, also of a process that is not known yet: its
    /// heartbeats may arrive later than its leave.
    void receive(const backend_leave& leave, time_point now);

    /// Processes the answer to a health check. It only counts until the first
    /// heartbeat or `end_restore`, since it does not contain the start of the
    /// process, and a draining backend server may still report that it is
    /// healthy.
    void receive(const backend_health& health, time_point now);

    /// Takes no backend server for ready until the departures of an earlier run
    /// have been read from the store, see `end_store_restore`.
    void begin_restore() { restoring_from_ = departure_source::store; }

    /// From now on a health answer makes a backend server ready, since it is
    /// newer than the start of this run. A heartbeat may be older, and does
    /// so only after `end_restore`.
    void end_store_restore();

    /// The other nodes have been asked as well.
    void end_restore();

    /// Adds departures that an earlier run of this node has acknowledged, also
    /// after `end_restore`. Applies to what has been received since the start
    /// of this run as well.
    void
    restore(const std::vector<backend_departure>& departures, time_point now);

    /// Returns the departures that a restart of this node must not forget,
    /// the oldest first.
    std::vector<backend_departure> departures(time_point now) const;

    /// Returns whether a health answer would count: no heartbeat has arrived
    /// yet, or one that does not count before `end_restore`.
    bool needs_health() const
    {
        return !received_at_ || restoring_from_ != departure_source::none;
    }

    /// Records that an answer of a process says that it leaves. It takes no new
    /// requests from then on, whatever its heartbeats say.
    /// @param id id of the process
    void record_leaving(const std::string& id);

    /// Records that a connection was refused, so that no process listens at the
    /// address.
    void record_connection_refused();

    backend_state state(time_point now) const;
    /// Returns whether the last known process has announced that it ends.
    bool is_leaving() const
    {
        return has_left_ || says_leaving_ || last_.is_draining;
    }

    /// Returns the id of the last known process; empty when there is none.
    const std::string& id() const { return last_.id; }
    std::size_t slots() const { return last_.slots; }
    const service_name& service() const { return service_; }

    /// Called when the state, the process or the slots have changed.
    std::function<void()> on_change;

private:
    /// Where departures of an earlier run are still being read.
    enum class departure_source
    {
        none,
        store,
        nodes
    };

    bool is_restoring() const;
    void set_restoring_from(departure_source source);
    bool is_newer(const backend_heartbeat& beat) const;
    bool is_other_process(const backend_heartbeat& beat) const;
    bool has_departed(const backend_heartbeat& beat, time_point now) const;
    void record_draining(const backend_heartbeat& beat, time_point now);

    service_name service_;
    std::string address_;
    duration heartbeat_timeout_;
    backend_heartbeat last_;
    std::optional<time_point> received_at_;
    /// The last processes that have announced their end.
    departure_list departed_;
    departure_source restoring_from_ = departure_source::none;
    /// Id of the process that has answered a health check in this run.
    std::string healthy_id_;
    bool has_left_ = false;
    bool says_leaving_ = false;
    bool is_unreachable_ = false;
};

} // namespace fulmarjunction
