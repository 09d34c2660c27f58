/// @file
/// Stand-in for a backend server.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace fulmarjunction {

/// Start parameters of a backend server stand-in.
struct backend_standin_options
{
    std::string service;
    /// Egress address of the node on the same instance.
    boost::asio::ip::tcp::endpoint node;
    boost::asio::ip::tcp::endpoint listen;
    /// Maximum number of concurrent requests; others wait in a queue.
    std::size_t slots = 60;
    /// Duration of a simulated cold start, during which the backend server
    /// refuses requests and does not announce itself.
    milliseconds start_delay{0};
    milliseconds announce_interval{1000};
};

/// Serves requests as the query parameters of their target specify, announces
/// itself to its node, and records every run. See docs/backend-standin.md.
class backend_standin
{
public:
    backend_standin(
        const boost::asio::any_io_executor& executor,
        backend_standin_options options);
    ~backend_standin();
    backend_standin(const backend_standin&) = delete;
    backend_standin& operator=(const backend_standin&) = delete;

    /// Starts to listen and to announce itself.
    result<boost::asio::ip::tcp::endpoint> start();

    /// Announces that it is draining and waits until no request is in flight.
    /// @return `errc::timeout` if requests are still in flight after `limit`
    awaitable<result<void>> drain(milliseconds limit);
    void close();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarjunction
