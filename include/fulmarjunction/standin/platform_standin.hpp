/// @file
/// Stand-in for the platform: the table and object store over HTTP/JSON.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/platform/table_core.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace fulmarjunction {

/// Serves docs/platform-protocol.md from a table in memory. `POST /control`
/// sets faults; `GET /control` tells the fault and the calls so far.
class platform_standin
{
public:
    explicit platform_standin(const boost::asio::any_io_executor& executor);
    ~platform_standin();
    platform_standin(const platform_standin&) = delete;
    platform_standin& operator=(const platform_standin&) = delete;

    /// Binds and serves; port 0 lets the kernel choose.
    result<boost::asio::ip::tcp::endpoint>
    listen(const boost::asio::ip::tcp::endpoint& address);

    table_core& core();
    void close();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarjunction
