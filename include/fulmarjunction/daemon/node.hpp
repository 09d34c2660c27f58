/// @file
/// One node: all parts wired together, from start to planned stop.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/settings/settings.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace fulmarjunction {

/// A running node.
class node
{
public:
    node(boost::asio::io_context& context, node_settings settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Reads the secrets, binds the listeners and starts the node's work.
    /// Logs one line `event=listening` with role and address for each.
    result<void> start();

    /// Begins a planned stop. Calls `at_end` when nothing is left, or when
    /// the drain limit has passed.
    void stop(std::function<void()> at_end);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
