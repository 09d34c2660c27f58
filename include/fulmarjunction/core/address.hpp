/// @file
/// Parsing and formatting of `ip:port`, with IPv6 addresses in brackets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Parses an address such as `127.0.0.1:80` or `[::1]:80`; host names are not
/// resolved.
std::optional<boost::asio::ip::tcp::endpoint>
parse_address(std::string_view text);

/// Formats an address in the form that `parse_address` accepts.
std::string format_address(const boost::asio::ip::tcp::endpoint& address);

} // namespace fulmarjunction
