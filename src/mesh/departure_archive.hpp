/// @file
/// Departures of the local backend server, in the shared store.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/timer_service.hpp>
#include <fulmarjunction/mesh/backend_monitor.hpp>
#include <fulmarjunction/store/fleet_store.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
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
        /// Returns the time between two checks of the store's era.
        std::function<duration()> era_check_period;
    };

    departure_archive(boost::asio::any_io_executor executor, dependencies deps);

    /// Passes what an earlier run of this node has stored to the monitor.
    /// @param rows those of all nodes
    void load(const std::vector<stored_departures>& rows);

    /// Starts the periodic work. Only what follows `load` is stored, so that
    /// the departures of an earlier run are not overwritten.
    void start();

    /// Stores the departures at once if the store does not have them.
    void update();

    /// Waits until all departures are stored. Without the store it ends after
    /// some time: they are stored later, if the node still runs then.
    awaitable<void> wait_until_stored();

private:
    bool is_stored() const;
    awaitable<void> store_departures(std::string text, std::string content);
    void check_era(time_point now);
    awaitable<void> read_era();

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    bool is_loaded_ = false;
    /// The stored departures without their ages.
    std::string stored_content_;
    /// Era of the store when they were stored or read.
    store_era stored_era_ = unknown_era;
    /// Whether any were stored since the store has named its first era.
    bool has_row_ = false;
    bool is_busy_ = false;
    bool is_reading_era_ = false;
    time_point next_era_check_{};
    timer_service::subscription ticks_;
};

} // namespace fulmarjunction
