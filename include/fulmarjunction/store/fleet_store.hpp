/// @file
/// What a node keeps in, and reads from, the store that all nodes share.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/routes/service_map.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmarjunction {

/// Place in the store's history of changes.
using store_position = std::uint64_t;

/// What a read of the configuration found.
struct config_read
{
    /// The newest configuration, when the read found one that is new.
    std::optional<service_document> document;
    /// Where to go on from.
    store_position position = 0;
    /// The store's own steady clock when it answered.
    milliseconds store_time{};
    /// Set when changes after the position are not known any more; the whole
    /// configuration has to be read again.
    bool is_history_lost = false;
};

/// What the store holds of the fleet, as of one moment.
struct fleet_rows
{
    /// The secret that all nodes prove to each other; nothing until one of
    /// them has created it.
    std::optional<std::string> secret;
    /// Reports as they were written, with the incarnations that began then.
    std::vector<node_report> nodes;
};

/// The shared store. Its answers are linearizable; every call may fail, be
/// late, or take effect without an answer.
class fleet_store
{
public:
    virtual ~fleet_store() = default;

    /// Reads the whole configuration.
    virtual awaitable<result<config_read>> read_config() = 0;

    /// Waits for a change after `from`, at most for `wait`.
    virtual awaitable<result<config_read>>
    follow_config(store_position from, milliseconds wait) = 0;

    virtual awaitable<result<fleet_rows>> read_fleet() = 0;

    /// Creates the secret unless there is one.
    /// @return the secret that holds from now on
    virtual awaitable<result<std::string>> create_secret() = 0;

    /// Writes the row of this node, in place of an earlier incarnation's.
    /// @return the incarnation that begins with the row: the store counts its
    ///         changes, so incarnations of a node grow whatever its clock says
    virtual awaitable<result<incarnation_number>>
    put_node(const node_report& self) = 0;
    virtual awaitable<result<void>> remove_node(const node_report& row) = 0;
};

} // namespace fulmarjunction
