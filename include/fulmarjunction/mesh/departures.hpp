/// @file
/// Backend server processes that have announced their end.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Time after which no heartbeat from before a departure can arrive.
inline constexpr seconds departure_retention(300);

/// A process that has announced that it ends. It is remembered over restarts of
/// its node, since heartbeats from before may still be on their way.
struct backend_departure
{
    std::string id;
    /// Start of the process, if known.
    std::optional<std::int64_t> start_time_ms;
    /// Sequence number of the heartbeat that said so. Earlier ones are ignored;
    /// without a number, the process has left and all of them are.
    std::optional<std::uint64_t> sequence;
    time_point announced_at;
};

/// The last departures at one address.
class departure_list
{
public:
    /// Adds a departure unless one of the same process says more: that it has
    /// left, or that it drains as of a later heartbeat.
    void record(backend_departure departure);

    /// Returns those that still matter, the oldest first.
    std::vector<backend_departure> recent(time_point now) const;

    const std::deque<backend_departure>& all() const { return departures_; }

private:
    /// The newest at the end.
    std::deque<backend_departure> departures_;
};

/// Departures that other nodes have acknowledged. A node that restarts asks for
/// its own, since it can't store them while the store is unavailable.
class departure_copies
{
public:
    void record(
        const instance_name& node,
        const std::vector<backend_departure>& departures);

    /// Returns those of a node that still matter, the oldest first.
    std::vector<backend_departure>
    of(const instance_name& node, time_point now) const;

    /// Forgets those that no longer matter.
    void expire(time_point now);

private:
    std::map<instance_name, departure_list> nodes_;
};

/// Returns the JSON form in which departures are stored and sent.
std::string format_departures(
    const std::vector<backend_departure>& departures, time_point now);

/// Returns a text that differs if and only if the departures do, whatever their
/// age; empty if there are none.
std::string departures_digest(std::vector<backend_departure> departures);

/// Parses the JSON form.
/// @param written_at when it was written
/// @return `errc::malformed` when a field is missing or out of range
result<std::vector<backend_departure>>
parse_departures(std::string_view text, time_point written_at);

} // namespace fulmarjunction
