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
/// while the owner of the connection does something else; after `finish`
/// every read fails.
class message_reader
{
public:
    message_reader(
        std::shared_ptr<connection> source, message_kind kind,
        bool skip_body = false);

    /// Reads a head; an interim response is a head like others.
    boost::asio::awaitable<head_outcome>
    read_head(std::size_t limit, time_point until);
    message_head& head() { return head_; }

    /// Reads body bytes; `self` keeps the reader alive meanwhile.
    static awaitable<result<std::size_t>> read_body(
        std::shared_ptr<message_reader> self, milliseconds idle_timeout,
        boost::asio::mutable_buffer output);

    /// Whether the message was read to its end.
    bool is_done() const { return parser_.is_done(); }

    /// Takes what has arrived of an end that carries no body bytes.
    void skip_empty_end();

    /// Makes every further read of the body fail.
    void finish();

    /// Called before the body is waited for, the first time.
    std::function<awaitable<void>()> before_body;

private:
    result<std::size_t> step(boost::asio::mutable_buffer output, bool& wait);

    std::shared_ptr<connection> source_;
    message_kind kind_;
    message_parser parser_;
    message_head head_;
    bool finished_ = false;
};

} // namespace fulmarjunction::detail
