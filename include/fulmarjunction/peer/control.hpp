/// @file
/// Control messages between nodes: `POST /control/<name>` with JSON bodies.
#pragma once

#include <fulmarjunction/peer/peer.hpp>

#include <string>
#include <string_view>

namespace fulmarjunction {

/// Largest body of a control message, in bytes.
inline constexpr std::size_t max_control_bytes = 1024 * 1024;

/// Sends a control message and returns the body of its answer.
/// @param to a peer; without a name, any authenticated peer is accepted
awaitable<result<std::string>> send_control(
    peer_client& peers, peer_address to, std::string name, std::string text,
    time_point deadline);

/// Makes the answer to a control message.
streamed_response make_control_answer(const result<std::string>& text);

} // namespace fulmarjunction
