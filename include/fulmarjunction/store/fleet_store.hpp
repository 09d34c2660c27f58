/// @file
/// Interface of the store that all nodes share.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/routes/service_map.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmarjunction {

/// Position in the store's history of changes.
using store_position = std::uint64_t;

/// Counts how often the store has come back from an older copy of itself. What
/// it acknowledged in an earlier era may be gone, and its positions may have
/// been given out again.
using store_era = std::uint64_t;

/// Era of a store that has not named one yet.
inline constexpr store_era unknown_era = std::numeric_limits<store_era>::max();

/// Result of reading the configuration.
struct config_read
{
    /// The newest configuration, if the read found a new one.
    std::optional<service_document> document;
    /// Position from which to follow further changes; of this era only.
    store_position position = 0;
    /// The newest era known when the store had answered.
    store_era era = unknown_era;
    /// The store's own steady clock when it answered.
    milliseconds store_time{};
    /// Set if the store no longer has the changes after the position; the whole
    /// configuration must be read again.
    bool is_history_lost = false;
};

/// Reports of requests that crash backend servers, as a node has stored them.
struct stored_suspects
{
    instance_name node;
    /// JSON form of the reports, see `suspect_reports.hpp`.
    std::string reports;
    /// Time since they were stored, by the store's clock.
    duration age{};
};

/// Backend servers that have announced their end, as a node has stored them.
struct stored_departures
{
    instance_name node;
    /// JSON form of the departures, see `departure_archive`.
    std::string departures;
    /// Time since they were stored, by the store's clock.
    duration age{};
    store_position version = 0;
};

/// Row of a node that has been written.
struct written_node
{
    incarnation_number incarnation = 0;
    store_position version = 0;
};

/// State of the fleet in the store at one point in time.
struct fleet_rows
{
    /// Secret with which nodes authenticate each other; not set until one of
    /// them has created it.
    std::optional<std::string> secret;
    /// Reports as written, each with the incarnation that its write began.
    std::vector<node_report> nodes;
    std::vector<stored_suspects> suspects;
    std::vector<stored_departures> departures;
};

/// The shared store. Its answers are linearizable within an era; every call may
/// fail, be delayed, or take effect without an answer. An answer of an earlier
/// era than a call before has seen is a failure.
class fleet_store
{
public:
    virtual ~fleet_store() = default;

    /// Returns the era of the newest answer. What was stored when it had
    /// another value has to be stored again.
    virtual store_era era() const = 0;

    /// Asks the store for its era.
    virtual awaitable<result<store_era>> read_era() = 0;

    /// Called after an answer has shown that the store has come back from a
    /// copy, but not within the call that got the answer.
    std::function<void(store_era newest)> on_new_era;

    /// Reads the whole configuration.
    virtual awaitable<result<config_read>> read_config() = 0;

    /// Waits for a change after `from`, at most for `wait`.
    virtual awaitable<result<config_read>>
    follow_config(store_position from, milliseconds wait) = 0;

    virtual awaitable<result<fleet_rows>> read_fleet() = 0;

    /// Creates the secret unless there is one.
    /// @return the secret that is in effect from now on
    virtual awaitable<result<std::string>> create_secret() = 0;

    /// Writes the secret that the fleet uses unless there is one.
    /// @return the secret that is in effect from now on
    virtual awaitable<result<std::string>>
    restore_secret(const std::string& secret) = 0;

    /// Writes the row of this node, replacing that of an earlier incarnation.
    /// Like the other writes it names the version of the row that it replaces,
    /// so that it has no effect when it is done late.
    /// @return the incarnation that begins with the row, and its version. The
    ///         incarnation comes from the store's era and count of changes, so
    ///         the incarnations of a node increase regardless of its clock,
    ///         also when versions are given out again.
    virtual awaitable<result<written_node>>
    put_node(const node_report& self) = 0;

    /// Writes the row of this node unless there is one of its incarnation or of
    /// a later one. The incarnation of the node stays the same.
    /// @return the version of the row that was written, or nothing if there was
    ///         one
    virtual awaitable<result<std::optional<store_position>>>
    restore_node(const node_report& self) = 0;

    /// Stores a node's reports of requests that crash backend servers, in place
    /// of its earlier ones. They outlive the node and its row.
    /// @param reports JSON form of the reports; empty to remove them
    virtual awaitable<result<void>>
    put_suspects(const instance_name& node, const std::string& reports) = 0;

    /// Stores the departures that a node has acknowledged, in place of its
    /// earlier ones. They outlive the node and its row.
    /// @param departures JSON form of the departures; empty to remove them
    virtual awaitable<result<void>> put_departures(
        const instance_name& node, const std::string& departures) = 0;

    /// Removes the departures of a node if they still have this version.
    virtual awaitable<result<void>>
    remove_departures(const instance_name& node, store_position version) = 0;

    /// Removes the row of a node if it still has this version.
    virtual awaitable<result<void>>
    remove_node(const instance_name& node, store_position version) = 0;
};

} // namespace fulmarjunction
