/// @file
/// Reads one message, head and body, from a connection.
#pragma once

#include <http/connection.hpp>
#include <http/message_parser.hpp>

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/http/http.hpp>

#include <functional>
#include <memory>

namespace fulmarjunction::detail {

/// Result of waiting for a head.
enum class head_outcome
{
    parsed,
    malformed,
    too_large,
    timed_out,
    ended
};

/// Reads the head and then the body of one message. The body can be read
/// while the owner of the connection does something else; after `cancel`
/// every read fails.
class message_reader
{
public:
    message_reader(
        std::shared_ptr<connection> source, message_kind kind,
        bool skip_body = false);

    /// Reads a head; an interim response (1xx) also counts as one.
    boost::asio::awaitable<head_outcome>
    read_head(std::size_t limit, time_point until);
    message_head& head() { return head_; }

    /// Reads body bytes; `self` keeps the reader alive meanwhile.
    /// @param deadline after it only bytes that have arrived are returned
    static awaitable<result<std::size_t>> read_body(
        std::shared_ptr<message_reader> self, milliseconds idle_timeout,
        boost::asio::mutable_buffer output,
        time_point deadline = time_point::max());

    /// Whether the message was read to its end.
    bool is_done() const { return parser_.is_done(); }

    /// Consumes the last chunk of a chunked body if it has been received and no
    /// body bytes precede it.
    void consume_last_chunk();

    /// Makes every further read of the body fail.
    void cancel();

    /// Called once, before the first wait for body bytes.
    std::function<awaitable<void>()> before_body;

private:
    result<std::size_t>
    read_available(boost::asio::mutable_buffer output, bool& needs_input);

    std::shared_ptr<connection> source_;
    message_kind kind_;
    message_parser parser_;
    message_head head_;
    bool canceled_ = false;
};

} // namespace fulmarjunction::detail
