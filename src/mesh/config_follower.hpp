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

/// Waits before a failed call to the store is retried.
/// @param failures number of consecutive failed calls
awaitable<void>
wait_before_retry(unsigned failures, boost::asio::any_io_executor executor);

/// Returns how long a store reader lets the store hold a call that waits for a
/// change. The time is random, so that store readers that start together don't
/// query the store in step: when the store fails, the newest of their answers
/// decides how long keys are trusted.
milliseconds store_reader_wait(std::uint64_t random);

/// Reads the configuration, follows its changes, and queries the store again
/// when neither the feed nor another node has confirmed it for too long.
class config_follower
{
public:
    struct dependencies
    {
        fleet_store* store = nullptr;
        config_copy* config = nullptr;
        const fleet_view* fleet = nullptr;
        mesh_metrics* metrics = nullptr;
        std::function<std::uint64_t()> random;
        /// Called when a new configuration takes effect.
        std::function<void(const service_map&)> on_config;
    };

    config_follower(boost::asio::any_io_executor executor, dependencies deps);

    /// Reads the store, and retries until it has answered, either with the
    /// configuration or that there is none yet.
    awaitable<void> read_first();

    /// Starts a coroutine that follows changes and never ends.
    void start();

    /// Queries the store when the last confirmation is too old.
    void check_age();

    /// Queries the store unless it did so a short time ago.
    void check_now();

private:
    awaitable<bool> read();
    awaitable<void> follow();
    awaitable<void> run_check();
    void apply(config_read found, duration sent_at);
    void update_store_state(bool has_answered, const std::string& problem);

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    answer_clock answers_;
    store_position position_ = 0;
    /// Era of the position.
    store_era era_ = unknown_era;
    bool is_store_lost_ = false;
    /// Set after a failure until the whole configuration has been read again.
    bool needs_full_read_ = false;
    bool is_checking_ = false;
    time_point checked_at_{};
};

} // namespace fulmarjunction
