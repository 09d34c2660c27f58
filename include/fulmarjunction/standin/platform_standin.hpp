/// @file
/// Stand-in for the platform: a table and object store over HTTP/JSON.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/platform/table_core.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace fulmarjunction {

/// Implements docs/platform-protocol.md with a table in memory. `POST /control`
/// sets a fault; `GET /control` returns the fault mode and the call counters.
class platform_standin
{
public:
    explicit platform_standin(const boost::asio::any_io_executor& executor);
    ~platform_standin();
    platform_standin(const platform_standin&) = delete;
    platform_standin& operator=(const platform_standin&) = delete;

    /// Starts to listen on `address`; with port 0 the kernel chooses the port.
    result<boost::asio::ip::tcp::endpoint>
    listen(const boost::asio::ip::tcp::endpoint& address);

    table_core& core();
    void close();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarjunction
