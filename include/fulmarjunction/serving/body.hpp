/// @file
/// Readers of bodies that a node forwards.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Request bodies up to this size, in bytes, are buffered whole so that they
/// can be sent again. It also limits what a node buffers of any body.
inline constexpr std::size_t max_buffered_body_bytes = 64 * 1024;

/// A request body of which the first bytes have been read.
struct request_body
{
    /// The whole body when `is_whole`, else its first bytes.
    std::string prefix;
    bool is_whole = true;
    /// Reads what follows the prefix.
    body_reader rest;

    /// Returns a reader of the body. It may be called again only when
    /// `is_whole` is set.
    body_reader open();
};

/// Reads the body up to `max_buffered_body_bytes`.
awaitable<result<request_body>> buffer_request_body(body_reader body);

/// Reads on until the body is whole or `max_bytes` are buffered.
awaitable<result<request_body>>
continue_buffering(request_body body, std::size_t max_bytes);

/// Returns the fingerprint of a request, which is a partial one unless the body
/// is whole.
/// @param target path and query
fingerprint fingerprint_of(
    const client_account& account, const endpoint_name& endpoint,
    std::string_view target, const request_body& body);

/// Returns a reader that fails with `errc::unauthorized` before it returns any
/// byte of `secret`, also where the secret spans two reads. A tail that may be
/// a prefix of the secret is held back until more bytes have been read.
body_reader guard_secret(body_reader body, std::string secret);

/// Called once: with true at the regular end of a body, or with false when
/// reading failed or the reader was destroyed before the end.
using body_end_hook = std::function<void(bool is_complete)>;

/// Returns a reader that reports the end of the body.
/// @param length length of the body, if known; the body then ends with its last
///        byte, since its receiver need not read any further
body_reader with_end_hook(
    body_reader body, std::optional<std::uint64_t> length,
    body_end_hook at_end);

/// Called with the error of each read that fails.
using body_error_hook = std::function<void(const error& problem)>;

/// Returns a reader that reports failed reads.
body_reader with_error_hook(body_reader body, body_error_hook on_error);

/// Returns a reader that fails with `errc::timeout` when a read takes longer
/// than `limit`. Only progress is limited, not the total time of a long answer.
body_reader with_idle_limit(
    body_reader body, const boost::asio::any_io_executor& executor,
    duration limit, std::string peer);

} // namespace fulmarjunction
