/// @file
/// Control messages between nodes: `POST /control/<name>` with JSON bodies.
#pragma once

#include <fulmarjunction/peer/peer.hpp>

#include <string>
#include <string_view>

namespace fulmarjunction {

/// Maximum size of the body of a control message, in bytes.
inline constexpr std::size_t max_control_bytes = 1024 * 1024;

/// Sends a control message and returns the body of its answer.
/// @param to the receiver; without a name, any authenticated peer is accepted
/// @param name the kind of message, which becomes part of the request's path
/// @param text the JSON body
/// @param deadline for the whole answer
awaitable<result<std::string>> send_control(
    peer_client& peers, peer_address to, std::string name, std::string text,
    time_point deadline);

/// Returns the response to a control message: status 200 with `text` as its
/// body, or 400 with the text of the error.
streamed_response make_control_answer(const result<std::string>& text);

} // namespace fulmarjunction
