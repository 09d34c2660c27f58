/// @file
/// Opening of listening sockets.
#pragma once

#include <fulmarjunction/core/error.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace fulmarjunction::detail {

/// Binds an acceptor and starts to listen; port 0 selects an ephemeral port.
/// @param step step of the error
/// @return the bound address, or `errc::unavailable`
result<boost::asio::ip::tcp::endpoint> open_acceptor(
    boost::asio::ip::tcp::acceptor& acceptor,
    const boost::asio::ip::tcp::endpoint& address, const std::string& step);

} // namespace fulmarjunction::detail
