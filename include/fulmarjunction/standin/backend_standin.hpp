/// @file
/// Stand-in for a backend server instance.
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

/// How a backend stand-in is started.
struct backend_standin_options
{
    std::string service;
    /// Egress address of the node beside it.
    boost::asio::ip::tcp::endpoint node;
    boost::asio::ip::tcp::endpoint listen;
    /// Requests that run at one time; others wait in its own queue.
    std::size_t slots = 60;
    /// Cold start: until then it refuses requests and announces nothing.
    milliseconds start_delay{0};
    milliseconds announce_interval{1000};
};

/// Serves requests whose behaviour is chosen by the parameters of their
/// target, announces itself to its node, and records every run. See
/// docs/backend-standin.md.
class backend_standin
{
public:
    backend_standin(
        const boost::asio::any_io_executor& executor,
        backend_standin_options options);
    ~backend_standin();
    backend_standin(const backend_standin&) = delete;
    backend_standin& operator=(const backend_standin&) = delete;

    /// Binds, serves and begins to announce.
    result<boost::asio::ip::tcp::endpoint> start();

    /// Announces that it drains, and returns when no request is in flight.
    /// @return `errc::timeout` when requests are left after `limit`
    awaitable<result<void>> drain(milliseconds limit);
    void close();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarjunction
