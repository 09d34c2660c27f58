/// @file
/// A connection that reads ahead into a bounded buffer.
#pragma once

#include <fulmarjunction/core/time.hpp>

#include <http/byte_stream.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fulmarjunction::detail {

/// Maximum number of input bytes held for a connection, including the read
/// buffer.
constexpr std::size_t max_buffered_input = 64 * 1024;

/// Maximum size of one read; a body is also written in pieces of this size.
constexpr std::size_t transfer_size = 16 * 1024;

/// Reads ahead whenever the buffer has free space, so that a closed connection
/// is detected while a request is being processed.
class connection : public std::enable_shared_from_this<connection>
{
public:
    /// @param max_header_bytes minimum capacity of the buffer
    connection(byte_stream stream, std::size_t max_header_bytes);

    /// Starts reading ahead.
    void start();

    /// Returns the bytes received and not yet consumed.
    std::string_view input() const;
    void consume(std::size_t size);
    bool is_full() const { return input().size() >= capacity_; }

    /// Whether no more input follows.
    bool has_ended() const { return ended_; }

    /// Whether the peer ended its input properly, without a reset.
    bool has_clean_end() const { return clean_end_; }

    /// Waits for more input, its end, `wake` or `until`. It may return early,
    /// so callers recheck their condition.
    boost::asio::awaitable<void> wait_input(time_point until);
    void wake() { input_changed_.cancel(); }

    /// Writes all bytes. A connection on which a write failed, was canceled
    /// or made no progress for `idle_timeout` is reset.
    /// @return the error, and the number of bytes that the kernel accepted
    boost::asio::awaitable<io_result>
    write(boost::asio::const_buffer bytes, milliseconds idle_timeout);

    /// Returns the number of bytes that the kernel has accepted so far.
    std::uint64_t bytes_written() const { return written_; }

    /// Ends the output and discards input until the peer closes or `until`
    /// passes: closing with unread input would reset the connection and
    /// could destroy a response in transit.
    boost::asio::awaitable<void> close_gracefully(time_point until);

    void close();
    void abort();
    bool is_open() const { return open_; }
    byte_stream& stream() { return stream_; }

    /// Called once when the input ends.
    std::function<void()> on_end;

    /// Maximum number of bytes that the buffer has held.
    std::size_t peak_input() const { return peak_input_; }

private:
    boost::asio::awaitable<void> read_ahead();
    boost::asio::awaitable<void> wait_for_space();
    boost::asio::awaitable<void> lock_output();
    void unlock_output();
    void append(std::string_view bytes);
    void end_input(bool clean);
    void start_write_timer(milliseconds idle_timeout);

    byte_stream stream_;
    std::size_t capacity_;
    boost::beast::flat_buffer input_;
    boost::asio::steady_timer input_changed_;
    boost::asio::steady_timer space_available_;
    boost::asio::steady_timer output_unlocked_;
    boost::asio::steady_timer write_timer_;
    std::size_t peak_input_ = 0;
    std::uint64_t written_ = 0;
    bool writing_ = false;
    bool ended_ = false;
    bool clean_end_ = false;
    bool open_ = true;
};

} // namespace fulmarjunction::detail
