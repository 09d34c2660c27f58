#include <http/body_writer.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <memory>
#include <utility>

namespace fulmarjunction::detail {

namespace {

/// Space for a chunk's size in hexadecimal digits and its line end.
constexpr std::size_t chunk_head_size = 10;
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

/// Buffer that holds one piece of a body with room for what goes before it.
class piece_buffer
{
public:
    /// @param size largest piece
    /// @param head goes out before the first piece
    piece_buffer(std::size_t size, std::string head)
        : size_(size), head_(std::move(head)),
          front_(head_.size() + chunk_head_size),
          bytes_(std::make_unique_for_overwrite<char[]>(
              front_ + size + line_end.size()))
    {
    }

    boost::asio::mutable_buffer space()
    {
        return boost::asio::buffer(bytes_.get() + front_, size_);
    }

    /// Returns the piece as it is, behind the head where that is not sent.
    boost::asio::const_buffer plain(std::size_t size)
    {
        return behind_head(front_, front_ + size);
    }

    /// Returns the piece as a chunk, behind the head where that is not sent.
    boost::asio::const_buffer chunk(std::size_t size)
    {
        const auto frame = fmt::format("{:x}\r\n", size);
        const auto start = front_ - frame.size();
        std::memcpy(bytes_.get() + start, frame.data(), frame.size());
        std::memcpy(
            bytes_.get() + front_ + size, line_end.data(), line_end.size());
        return behind_head(start, front_ + size + line_end.size());
    }

private:
    boost::asio::const_buffer behind_head(std::size_t begin, std::size_t end)
    {
        const auto start = begin - head_.size();
        std::memcpy(bytes_.get() + start, head_.data(), head_.size());
        head_.clear();
        return {bytes_.get() + start, end - start};
    }

    std::size_t size_;
    std::string head_;
    std::size_t front_;
    std::unique_ptr<char[]> bytes_;
};

} // namespace

awaitable<result<void>> write_body(
    std::shared_ptr<connection> target, body_reader body, body_framing framing,
    std::uint64_t content_length, milliseconds idle_timeout, std::string head)
{
    const bool chunked = framing == body_framing::chunked;
    const bool counted = framing == body_framing::content_length;
    auto left = content_length;
    // One byte more than is left shows a body that is too long.
    const auto largest =
        counted ? std::min<std::uint64_t>(transfer_size, content_length + 1)
                : transfer_size;
    // Only a body of known length is near when its head is: one that comes
    // as it is made may keep its receiver waiting for the head.
    const bool has_first_piece = counted && content_length > 0;
    if (!head.empty() && !has_first_piece) {
        const auto sent =
            co_await target->write(boost::asio::buffer(head), idle_timeout);
        if (sent.failure)
            co_return fail(errc::connection_broken, std::string(write_step));
        head.clear();
    }
    piece_buffer piece(static_cast<std::size_t>(largest), std::move(head));
    for (;;) {
        if (counted && left == 0)
            co_return boost::outcome_v2::success();
        const auto got = co_await body(piece.space());
        if (!got)
            co_return got.error();
        const auto size = got.value();
        if (size == 0)
            break;
        if (counted && size > left)
            co_return fail(errc::malformed, "write body", {}, "body too long");
        left -= counted ? size : 0;
        // g++ 12 evaluates both sides of a conditional within `co_await`.
        const auto bytes = chunked ? piece.chunk(size) : piece.plain(size);
        const auto sent = co_await target->write(bytes, idle_timeout);
        if (sent.failure)
            co_return fail(errc::connection_broken, std::string(write_step));
    }
    if (counted)
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
