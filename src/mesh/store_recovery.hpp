/// @file
/// What a node does when the shared store has come back from an older copy.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/mesh/mesh_metrics.hpp>
#include <fulmarjunction/peer/peer.hpp>
#include <fulmarjunction/store/fleet_store.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Name of the control message with which a store reader tells other nodes that
/// the store has named a new era.
inline constexpr std::string_view store_era_message = "store-era";

/// Makes a node store again what it alone knows, and tells other nodes.
///
/// Store readers call the store at least once per second or so. The others may
/// wait for a change for much longer, and learn from them that they have to
/// ask.
class store_recovery
{
public:
    struct dependencies
    {
        fleet_store* store = nullptr;
        const fleet_view* fleet = nullptr;
        mesh_metrics* metrics = nullptr;
        /// Returns the peer client, or null until the node has joined.
        std::function<peer_client*()> peers;
        std::function<std::uint64_t()> random;
        /// Stores at once what the node has acknowledged to others.
        std::function<void()> store_acknowledged;
        /// Stores the node's row and reads those of others.
        std::function<awaitable<void>()> restore_row;
    };

    store_recovery(boost::asio::any_io_executor executor, dependencies deps);

    /// Handles the message of a store reader. The store is asked, so that no
    /// message can make a node take an era for the newest one.
    /// @return the answer, or `errc::malformed`
    result<std::string> receive(std::string_view text);

private:
    void handle_new_era(store_era newest);
    void tell_others(store_era newest);
    awaitable<void> restore();
    awaitable<void> read_era();

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    bool is_reading_era_ = false;
};

} // namespace fulmarjunction
