/// @file
/// Sends a body over a connection, framed for HTTP/1.1.
#pragma once

#include <http/connection.hpp>
#include <http/head.hpp>

namespace fulmarjunction::detail {

/// Step of errors that arose in sending, not in reading the body.
constexpr std::string_view write_step = "http.write";

/// Sends what `body` yields. Bytes of a chunk's frame and its content go out
/// in one write. A body that is shorter or longer than its declared length is
/// an error.
/// @param head goes out before the body, in the same write as its first piece
/// @return the body's error, or `errc::connection_broken` at `write_step`
awaitable<result<void>> write_body(
    std::shared_ptr<connection> target, body_reader body, body_framing framing,
    std::uint64_t content_length, milliseconds idle_timeout,
    std::string head = {});

} // namespace fulmarjunction::detail
