/// @file
/// The authenticated start of a connection between two nodes.
#pragma once

#include <fulmarjunction/peer/peer.hpp>

#include <http/byte_stream.hpp>
#include <peer/handshake.hpp>

namespace fulmarjunction::detail {

/// Whether the identity can be proved: a secret, and a name of 1 to 255
/// bytes.
bool is_provable(const peer_identity& identity);

/// Sets options of a socket between nodes, so that a dead instance is
/// noticed in seconds.
void tune_socket(boost::asio::ip::tcp::socket& socket);

/// Runs TLS where configured, and the mutual proof.
/// @return what the peer has proved; `errc::unauthorized` when a proof is
///         wrong, or another error. The stream is closed after an error.
awaitable<result<peer_hello>> authenticate(
    byte_stream& stream, const peer_identity& identity, peer_role side,
    milliseconds timeout);

} // namespace fulmarjunction::detail
