/// @file
/// Parses one HTTP/1.1 message from bytes with Beast's parser.
#pragma once

#include <http/head.hpp>

#include <fulmarjunction/core/time.hpp>

#include <boost/asio/buffer.hpp>

#include <cstddef>
#include <memory>
#include <string_view>

namespace fulmarjunction::detail {

/// A parsed head; field names are lower case, and hop-by-hop fields are
/// removed.
struct message_head
{
    std::string method;
    std::string target;
    int status = 0;
    header_fields headers;
    /// Length of the body, if known; 0 when the head declares no body.
    std::optional<std::uint64_t> content_length;
    bool keep_alive = false;
    /// How long the sender keeps an idle connection open, from the `timeout`
    /// parameter of its Keep-Alive field.
    std::optional<seconds> keep_alive_time;
    /// Whether the sender uses HTTP/1.1 and so understands chunked bodies.
    bool is_http_1_1 = true;
    bool expects_continue = false;
};

/// Result of parsing a piece of a body.
struct body_parse_result
{
    std::size_t consumed = 0;
    std::size_t produced = 0;
    bool malformed = false;
};

/// Parses one message from buffers of the caller.
class message_parser
{
public:
    /// @param skip_body whether the message has no body regardless of its
    ///        head, as the response to a HEAD request
    explicit message_parser(message_kind kind, bool skip_body = false);
    ~message_parser();

    /// Parses a complete head that `check_head` found acceptable.
    /// @return the head, or nothing when it is malformed
    std::optional<message_head> parse_head(std::string_view head);

    /// Parses body bytes from `input` into `output`.
    body_parse_result
    parse_body(std::string_view input, boost::asio::mutable_buffer output);

    /// Whether the whole message has been parsed.
    bool is_done() const;

    /// Reports the end of the input.
    /// @return whether the end of input completes the message
    bool end_of_input();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction::detail
