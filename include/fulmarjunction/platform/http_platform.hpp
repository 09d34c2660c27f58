/// @file
/// The platform's table service and object store over HTTP/JSON.
#pragma once

#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/platform/table_service.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace fulmarjunction {

/// Returns a table service that speaks docs/platform-protocol.md.
/// @param timeout maximum time for one call
table_service make_http_table_service(
    const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& address, milliseconds timeout);

/// Returns an object store that speaks docs/platform-protocol.md.
object_store make_http_object_store(
    const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& address, milliseconds timeout);

} // namespace fulmarjunction
