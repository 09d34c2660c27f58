#include <http/body_writer.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <memory>
#include <utility>

namespace fulmarjunction::detail {

namespace {

/// Maximum size of a chunk header: the chunk size in hexadecimal and CRLF.
constexpr std::size_t max_chunk_header_size = 10;
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

/// Buffer for one piece of a body, with space in front of it for the message
/// head and the chunk header.
class piece_buffer
{
public:
    /// @param size maximum size of a piece
    /// @param head sent before the first piece
    piece_buffer(std::size_t size, std::string head)
        : size_(size), head_(std::move(head)),
          payload_offset_(head_.size() + max_chunk_header_size),
          bytes_(std::make_unique_for_overwrite<char[]>(
              payload_offset_ + size + line_end.size()))
    {
    }

    boost::asio::mutable_buffer payload()
    {
        return boost::asio::buffer(bytes_.get() + payload_offset_, size_);
    }

    /// Returns the piece, preceded by the head if that has not been sent.
    boost::asio::const_buffer plain(std::size_t size)
    {
        return with_head(payload_offset_, payload_offset_ + size);
    }

    /// Returns the piece as a chunk, preceded by the head if that has not been
    /// sent.
    boost::asio::const_buffer chunk(std::size_t size)
    {
        const auto frame = fmt::format("{:x}\r\n", size);
        const auto start = payload_offset_ - frame.size();
        std::memcpy(bytes_.get() + start, frame.data(), frame.size());
        std::memcpy(
            bytes_.get() + payload_offset_ + size, line_end.data(),
            line_end.size());
        return with_head(start, payload_offset_ + size + line_end.size());
    }

private:
    boost::asio::const_buffer with_head(std::size_t begin, std::size_t end)
    {
        const auto start = begin - head_.size();
        std::memcpy(bytes_.get() + start, head_.data(), head_.size());
        head_.clear();
        return {bytes_.get() + start, end - start};
    }

    std::size_t size_;
    std::string head_;
    std::size_t payload_offset_;
    std::unique_ptr<char[]> bytes_;
};

} // namespace

awaitable<result<void>> write_body(
    std::shared_ptr<connection> target, body_reader body, body_framing framing,
    std::uint64_t content_length, milliseconds idle_timeout, std::string head)
{
    const bool chunked = framing == body_framing::chunked;
    const bool has_known_length = framing == body_framing::content_length;
    auto remaining = content_length;
    // Reading one byte more than remains detects a body that is too long.
    const auto max_piece_size =
        has_known_length
            ? std::min<std::uint64_t>(transfer_size, content_length + 1)
            : transfer_size;
    // A body of unknown length may be generated slowly, so its head is sent
    // first: the receiver must not wait for the first piece to get the head.
    const bool has_first_piece = has_known_length && content_length > 0;
    if (!head.empty() && !has_first_piece) {
        const auto sent =
            co_await target->write(boost::asio::buffer(head), idle_timeout);
        if (sent.failure)
            co_return fail(errc::connection_broken, std::string(write_step));
        head.clear();
    }
    piece_buffer piece(
        static_cast<std::size_t>(max_piece_size), std::move(head));
    for (;;) {
        if (has_known_length && remaining == 0)
            co_return boost::outcome_v2::success();
        const auto received = co_await body(piece.payload());
        if (!received)
            co_return received.error();
        const auto size = received.value();
        if (size == 0)
            break;
        if (has_known_length && size > remaining)
            co_return fail(errc::malformed, "write body", {}, "body too long");
        remaining -= has_known_length ? size : 0;
        // g++ 12 evaluates both sides of a conditional within `co_await`.
        const auto bytes = chunked ? piece.chunk(size) : piece.plain(size);
        const auto sent = co_await target->write(bytes, idle_timeout);
        if (sent.failure)
            co_return fail(errc::connection_broken, std::string(write_step));
    }
    if (has_known_length)
        co_return fail(errc::truncated, "write body", {}, "body too short");
    if (chunked) {
        const auto sent = co_await target->write(
            boost::asio::buffer(last_chunk), idle_timeout);
        if (sent.failure)
            co_return fail(errc::connection_broken, std::string(write_step));
    }
    co_return boost::outcome_v2::success();
}

} // namespace fulmarjunction::detail
