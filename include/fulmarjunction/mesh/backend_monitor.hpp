/// @file
/// What the backend server beside a node says of itself.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/mesh/wire_format.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace fulmarjunction {

/// One heartbeat of a backend server.
struct backend_heartbeat
{
    /// Id of the run of the backend server.
    std::string id;
    service_name service;
    std::string address;
    std::size_t slots = 0;
    bool is_draining = false;
    /// How much longer it is slow after its start.
    milliseconds warm_up_left{};
    /// Start of the run, in milliseconds of Unix time.
    std::int64_t start_time_ms = 0;
    /// Grows with each heartbeat of a run.
    std::uint64_t sequence = 0;
};

/// A backend server that says it leaves.
struct backend_leave
{
    std::string id;
    /// Start of the run, where it says so.
    std::optional<std::int64_t> start_time_ms;
};

/// How a heartbeat was taken.
enum class heartbeat_verdict
{
    accepted,
    /// From an earlier run, or overtaken by a later heartbeat.
    outdated,
    /// Of another service or address than the one beside this node.
    foreign
};
std::string_view to_string(heartbeat_verdict value);

/// Keeps the state of the backend server beside this node.
///
/// Heartbeats may come late, also those of a run that has ended since, so
/// only a newer run or a later heartbeat of the same run counts.
class backend_monitor
{
public:
    /// @param silence_limit a backend server that says nothing for so long
    ///        is taken for gone
    backend_monitor(
        service_name service, std::string address, duration silence_limit);

    heartbeat_verdict hear(const backend_heartbeat& beat, time_point now);
    void hear(const backend_leave& leave);

    /// Takes note of an answer about health. It only bridges the time until
    /// the first heartbeat: it tells nothing of the start of the run, and one
    /// that leaves may still say that it is well.
    void hear(const backend_health& health, time_point now);

    /// Whether nothing has been heard yet.
    bool is_unknown() const { return !heard_at_; }

    /// Takes note that no process listens at the address.
    void refused_connection();

    backend_state state(time_point now) const;
    /// Returns the id of the current run; empty when there is none.
    const std::string& id() const { return last_.id; }
    std::size_t slots() const { return last_.slots; }
    const service_name& service() const { return service_; }

    /// Called when the state, the run or the slots changed.
    std::function<void()> on_change;

private:
    bool is_newer(const backend_heartbeat& beat) const;

    service_name service_;
    std::string address_;
    duration silence_limit_;
    backend_heartbeat last_;
    std::optional<time_point> heard_at_;
    bool is_gone_ = false;
    bool is_unreachable_ = false;
};

} // namespace fulmarjunction
