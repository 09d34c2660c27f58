/// @file
/// The `fulmard` node: creates its components, connects them and runs them
/// until a graceful shutdown.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/settings/settings.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace fulmarjunction {

/// A node that runs beside one backend server instance.
class node
{
public:
    node(boost::asio::io_context& context, node_settings settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Reads the secrets, binds the listeners and starts the timers.
    /// Logs one line `event=listening` with role and address for each.
    result<void> start();

    /// Begins a graceful shutdown: waits until no request is left or the drain
    /// limit has passed, then releases the node's shares and hands over its
    /// keys. Calls `on_stopped` at the end.
    void stop(std::function<void()> on_stopped);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
