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

/// What the node does with messages of the backend server.
struct backend_hooks
{
    std::function<heartbeat_verdict(const backend_heartbeat&)> heartbeat;
    std::function<void(const backend_leave&)> leave;
};

/// How the surroundings of a node speak.
struct mesh_adapter
{
    wire_format format;
    std::unique_ptr<fleet_store> store;
    /// Makes the handler that answers whether the node is ready.
    std::function<http_handler(std::function<bool()> is_ready)> ready_handler;
    /// Makes the handler that takes messages of the backend server.
    std::function<http_handler(backend_hooks hooks)> backend_handler;
};

/// Everything that runs in one process beside a backend server. It must live
/// as long as its context runs.
class mesh_node
{
public:
    mesh_node(
        boost::asio::io_context& context, mesh_settings settings,
        mesh_adapter adapter);
    ~mesh_node();
    mesh_node(const mesh_node&) = delete;
    mesh_node& operator=(const mesh_node&) = delete;

    /// Listens, and starts to read the store.
    result<void> start();

    /// Takes over settings that have changed. Names and addresses stay as
    /// they were at the start.
    void reload(const mesh_settings& settings);

    /// Called a few times a second.
    std::function<void()> on_tick;

    /// Stops without cutting a request: says that it is not ready, takes calls
    /// from other nodes for a moment longer, finishes what it has and ends.
    void stop(std::function<void()> at_end);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
