/// @file
/// Keeps a node's copy of the configuration current.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/mesh/config_copy.hpp>
#include <fulmarjunction/mesh/mesh_metrics.hpp>
#include <fulmarjunction/store/fleet_store.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>

namespace fulmarjunction {

/// Waits before a failed call to the store is made again.
/// @param failures calls that have failed in a row
awaitable<void>
pause_after(unsigned failures, boost::asio::any_io_executor executor);

/// Returns how long a witness lets the store hold a call that waits for a
/// change. Witnesses that start together must not ask in step: when the store
/// goes away, the youngest of their answers tells how long keys are trusted.
milliseconds witness_wait(std::uint64_t random);

/// Reads the configuration, follows its changes, and asks the store again
/// when neither the feed nor another node has confirmed it for too long.
class config_follower
{
public:
    struct parts
    {
        fleet_store* store = nullptr;
        config_copy* config = nullptr;
        const fleet_view* fleet = nullptr;
        mesh_metrics* metrics = nullptr;
        std::function<std::uint64_t()> random;
        /// Called when a configuration has come into force.
        std::function<void(const service_map&)> on_config;
    };

    config_follower(boost::asio::any_io_executor executor, parts wiring);

    /// Returns when the store has answered: with the configuration, or that
    /// there is none yet.
    awaitable<void> read_first();

    /// Starts to follow changes; never ends.
    void start();

    /// Asks the store when the confirmation is too old.
    void check_age();

    /// Asks the store, at most once in a while.
    void check_now();

private:
    awaitable<bool> read();
    awaitable<void> follow();
    awaitable<void> run_check();
    void take(config_read found, duration began);
    void store_answered(bool has_answered, const std::string& why);

    boost::asio::any_io_executor executor_;
    parts parts_;
    answer_clock answers_;
    store_position position_ = 0;
    bool store_is_lost_ = false;
    /// Set while the whole configuration is read again after a failure.
    bool must_read_ = false;
    bool is_checking_ = false;
    time_point checked_at_{};
};

} // namespace fulmarjunction
