/// @file
/// Sends a body over a connection, framed for HTTP/1.1.
#pragma once

#include <http/connection.hpp>
#include <http/head.hpp>

namespace fulmarjunction::detail {

/// `error::step` of errors from writing to the connection, as opposed to
/// reading the body.
constexpr std::string_view write_step = "http.write";

/// Writes `body` to the connection. The framing of a chunk and its data go out
/// in one write. A body that is shorter or longer than its declared length is
/// an error.
/// @param head sent before the body; a body of known length has its first
///        piece in the same write
/// @return the body's error, or `errc::connection_broken` at `write_step`
awaitable<result<void>> write_body(
    std::shared_ptr<connection> target, body_reader body, body_framing framing,
    std::uint64_t content_length, milliseconds idle_timeout,
    std::string head = {});

} // namespace fulmarjunction::detail
