/// @file
/// Strict checks of HTTP/1.1 heads, and the heads that are sent.
#pragma once

#include <fulmarjunction/core/message.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarjunction::detail {

enum class message_kind
{
    request,
    response
};

enum class head_verdict
{
    incomplete,
    acceptable,
    malformed,
    too_large
};

/// Result of checking the head at the start of the received bytes.
struct head_check
{
    head_verdict verdict = head_verdict::incomplete;
    /// Size of the head including its empty line; set when acceptable.
    std::size_t size = 0;
};

/// Checks the head at the start of `bytes`. Stricter than the parser that
/// follows: any head that two parsers could frame differently is malformed
/// (bare CR or LF, folded fields, space before the colon, more than one
/// Content-Length or Transfer-Encoding, both of them, other codings than
/// chunked, a request without exactly one Host field, an answer without a valid
/// status).
/// @param limit maximum size of the head in bytes
head_check
check_head(std::string_view bytes, std::size_t limit, message_kind kind);

/// Whether an answer with this status is followed by another answer to the same
/// request (100 to 199).
bool is_interim_status(int status);

/// Whether an answer with this status is the last one to its request (200 to
/// 999).
bool is_final_status(int status);

/// Whether an answer may have this status, as an interim or a final one.
bool is_valid_status(int status);

/// Whether `text` is a token by RFC 9110, such as a method or a field name.
bool is_token(std::string_view text);

/// Whether a field with this name is hop-by-hop and never forwarded, or is
/// derived from the body when a message is sent.
bool is_connection_field(std::string_view name);

/// Removes the hop-by-hop fields, and those that the field `connection` lists.
void remove_connection_fields(header_fields& fields);

/// How the body of a message is framed.
enum class body_framing
{
    none,
    content_length,
    chunked,
    until_close
};

/// Returns the text of a request's head, or nothing when the request contains
/// bytes that are not allowed in a head.
std::optional<std::string> format_request_head(
    const streamed_request& request, std::string_view default_host,
    body_framing framing);

/// Returns the text of a response's head, or nothing when the response contains
/// such bytes or its status is not between 200 and 999.
std::optional<std::string> format_response_head(
    const streamed_response& response, body_framing framing, bool keep_alive);

} // namespace fulmarjunction::detail
