/// @file
/// Parts of a node on a shared store and how they are connected.
#pragma once

#include "config_follower.hpp"
#include "departure_archive.hpp"
#include "departure_link.hpp"
#include "fleet_registration.hpp"
#include "fleet_reports.hpp"
#include "store_recovery.hpp"
#include "suspect_archive.hpp"
#include "suspect_link.hpp"

#include <fulmarjunction/core/timer_service.hpp>
#include <fulmarjunction/gate/processor_limit.hpp>
#include <fulmarjunction/mesh/caller_entry.hpp>
#include <fulmarjunction/mesh/config_copy.hpp>
#include <fulmarjunction/mesh/fleet_link.hpp>
#include <fulmarjunction/mesh/forwarder.hpp>
#include <fulmarjunction/mesh/gate_service.hpp>
#include <fulmarjunction/mesh/mesh_node.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

class mesh_node::impl
{
public:
    impl(
        boost::asio::io_context& context, mesh_settings settings,
        mesh_adapter adapter);

    result<void> start(std::function<void()> tick_action);
    void reload(const mesh_settings& settings);
    void stop(std::function<void()> on_stopped);

private:
    result<void> listen(
        http_server& server, const mesh_settings::address& address,
        std::string_view role);
    void create_components();
    void backend_changed();
    void
    on_call_refused(const call_context& request, const service_name& service);
    bool is_ready() const;
    duration row_check_period();
    duration era_check_period() const;

    awaitable<void> drive_timers();
    void probe_processor();
    void record_timer_delay(duration delay, time_point now);
    awaitable<void> join();
    awaitable<void> restore_departures();
    void apply_limits(const connection_limits& limits);
    awaitable<void> read_config(cancel_event has_read);
    awaitable<void> query_backend_health();
    result<void> open_peers(const std::string& secret);
    awaitable<streamed_response> serve_peer(peer_request request);
    awaitable<streamed_response> serve_control(peer_request request);
    awaitable<streamed_response> serve_metrics(http_request request);
    void leave_fleet();
    awaitable<void> run_stop(std::function<void()> on_stopped);
    bool is_idle() const;

    boost::asio::any_io_executor executor_;
    mesh_settings settings_;
    mesh_adapter adapter_;
    timer_service timers_;
    boost::asio::steady_timer wake_up_;
    std::function<std::uint64_t()> random_;

    mesh_metrics metrics_;
    config_copy config_;
    backend_monitor monitor_;
    fleet_view fleet_;
    placement placement_;
    service_budget budget_;
    refusal_throttle throttle_;
    processor_limit processor_;
    account_ledger ledger_;
    token_cache tokens_;
    split_chooser splits_;
    root_shedding shedding_;
    suspect_list suspects_;

    std::shared_ptr<gate_service> gate_;
    std::unique_ptr<peer_client> peer_client_;
    std::unique_ptr<peer_server> peer_server_;
    std::unique_ptr<config_follower> follower_;
    std::unique_ptr<fleet_reports> reports_;
    std::unique_ptr<fleet_registration> registration_;
    std::unique_ptr<fleet_link> link_;
    std::unique_ptr<suspect_link> suspect_link_;
    std::unique_ptr<suspect_archive> suspect_archive_;
    std::unique_ptr<departure_archive> departure_archive_;
    std::unique_ptr<departure_link> departure_link_;
    std::unique_ptr<store_recovery> store_recovery_;
    std::unique_ptr<forwarder> forwarder_;
    std::unique_ptr<caller_entry> entry_;
    std::unique_ptr<http_server> callers_;
    std::unique_ptr<http_server> ready_server_;
    std::unique_ptr<http_server> heartbeat_server_;
    std::unique_ptr<http_server> metrics_server_;
    std::vector<timer_service::subscription> subscriptions_;
    std::optional<timer_service::subscription> delay_probe_;
    time_point started_at_ = clock::now();
    bool has_joined_ = false;
    bool is_stopping_ = false;
    /// Whether the leave has been announced, so that peers send no new
    /// requests.
    bool has_left_ = false;
};

} // namespace fulmarjunction
