/// @file
/// A node that takes its configuration from a shared store.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/mesh/backend_monitor.hpp>
#include <fulmarjunction/mesh/mesh_settings.hpp>
#include <fulmarjunction/mesh/wire_format.hpp>
#include <fulmarjunction/store/fleet_store.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace fulmarjunction {

/// Handlers for messages of the local backend server.
struct backend_hooks
{
    std::function<heartbeat_verdict(const backend_heartbeat&)> heartbeat;
    std::function<void(const backend_leave&)> leave;
    /// Waits until the departures announced so far outlive this process. A
    /// message that announces one is acknowledged only then.
    std::function<awaitable<void>()> departures_stored;
};

/// Connects a node to the protocols of its platform.
struct mesh_adapter
{
    wire_format format;
    std::unique_ptr<fleet_store> store;
    /// Creates the handler of readiness checks.
    std::function<http_handler(std::function<bool()> is_ready)> ready_handler;
    /// Creates the handler of messages of the backend server.
    std::function<http_handler(backend_hooks hooks)> backend_handler;
};

/// A node: accepts requests of callers, exchanges reports with other nodes and
/// guards the local backend server. It must outlive the run of its context.
class mesh_node
{
public:
    mesh_node(
        boost::asio::io_context& context, mesh_settings settings,
        mesh_adapter adapter);
    ~mesh_node();
    mesh_node(const mesh_node&) = delete;
    mesh_node& operator=(const mesh_node&) = delete;

    /// Opens the listening sockets and starts to join the fleet.
    result<void> start();

    /// Applies changed settings. Only `log_lines` takes effect without a
    /// restart.
    void reload(const mesh_settings& settings);

    /// Called a few times a second.
    std::function<void()> on_tick;

    /// Shuts down gracefully: reports that it is not ready, accepts requests of
    /// other nodes for a while longer, and finishes the running ones.
    /// @param on_stopped called at the end
    void stop(std::function<void()> on_stopped);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
