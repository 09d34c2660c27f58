/// @file
/// Addresses as text: `ip:port`, with IPv6 addresses in brackets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Returns the address that `text` gives, such as `127.0.0.1:80` or
/// `[::1]:80`; names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint>
parse_address(std::string_view text);

/// Returns the text that `parse_address` reads.
std::string format_address(const boost::asio::ip::tcp::endpoint& address);

} // namespace fulmarjunction
