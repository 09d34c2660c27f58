/// @file
/// Socket options and authentication of a new connection between two nodes.
#pragma once

#include <fulmarjunction/peer/peer.hpp>

#include <http/byte_stream.hpp>
#include <peer/handshake.hpp>

namespace fulmarjunction::detail {

/// Whether the identity can authenticate: it has a secret and a name of 1 to
/// 255 bytes.
bool is_valid_identity(const peer_identity& identity);

/// Sets TCP keepalive and the timeout for unacknowledged data, so that the
/// failure of an instance is detected within seconds.
void configure_socket(boost::asio::ip::tcp::socket& socket);

/// Runs the TLS handshake where configured, then mutual authentication.
/// @return the authenticated hello of the peer; `errc::unauthorized` when a
///         proof is wrong, or another error. The stream is closed after an
///         error.
awaitable<result<peer_hello>> authenticate(
    byte_stream& stream, const peer_identity& identity, peer_role side,
    milliseconds timeout);

} // namespace fulmarjunction::detail
