/// @file
/// Departures of the local backend server, in the shared store.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/timer_service.hpp>
#include <fulmarjunction/mesh/backend_monitor.hpp>
#include <fulmarjunction/store/fleet_store.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <string>
#include <vector>

namespace fulmarjunction {

/// Keeps the departures that a node has acknowledged while the node restarts.
///
/// A backend server goes on to serve for seconds after its departure has been
/// acknowledged, and a heartbeat from before may still arrive.
class departure_archive
{
public:
    struct dependencies
    {
        fleet_store* store = nullptr;
        backend_monitor* monitor = nullptr;
        timer_service* timers = nullptr;
        instance_name self;
    };

    departure_archive(boost::asio::any_io_executor executor, dependencies deps);

    /// Passes what an earlier run of this node has stored to the monitor.
    /// @param rows those of all nodes
    void load(const std::vector<stored_departures>& rows);

    /// Starts the periodic work. Only what follows `load` is stored, so that
    /// the departures of an earlier run are not overwritten.
    void start();

    /// Waits until all departures are stored. Without the store it ends after
    /// some time: they are stored later, if the node still runs then.
    awaitable<void> wait_until_stored();

private:
    bool is_stored() const;
    void update();
    awaitable<void> store_departures(std::string text, std::string content);

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    bool is_loaded_ = false;
    /// The stored departures without their ages.
    std::string stored_content_;
    bool is_busy_ = false;
    timer_service::subscription ticks_;
};

} // namespace fulmarjunction
