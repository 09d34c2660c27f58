#include <http/byte_stream.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace fulmarjunction::detail {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Read buffer of the thread's plain TCP connections; a reader copies the bytes
/// out before it suspends.
thread_local std::array<char, 64 * 1024> shared_read_buffer;

} // namespace

byte_stream::byte_stream(
    tcp::socket socket, std::shared_ptr<asio::ssl::context> tls)
    : tls_(std::move(tls)),
      socket_(std::make_unique<tcp::socket>(std::move(socket)))
{
    boost::system::error_code ignored;
    socket_->set_option(tcp::no_delay(true), ignored);
    socket_->non_blocking(true, ignored);
    if (tls_)
        tls_stream_ = std::make_unique<tls_stream>(*socket_, *tls_);
}

asio::awaitable<boost::system::error_code>
byte_stream::handshake(asio::ssl::stream_base::handshake_type side)
{
    boost::system::error_code failure;
    if (tls_stream_) {
        co_await tls_stream_->async_handshake(
            side, asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return failure;
}

asio::awaitable<read_result> byte_stream::read_some(std::size_t max_size)
{
    read_result outcome;
    if (tls_stream_) {
        tls_read_buffer_.resize(std::min(max_size, shared_read_buffer.size()));
        const auto size = co_await tls_stream_->async_read_some(
            asio::buffer(tls_read_buffer_),
            asio::redirect_error(asio::use_awaitable, outcome.failure));
        outcome.bytes = std::string_view(tls_read_buffer_).substr(0, size);
        co_return outcome;
    }
    for (;;) {
        co_await socket_->async_wait(
            tcp::socket::wait_read,
            asio::redirect_error(asio::use_awaitable, outcome.failure));
        if (outcome.failure)
            co_return outcome;
        const auto size = socket_->read_some(
            asio::buffer(
                shared_read_buffer.data(),
                std::min(max_size, shared_read_buffer.size())),
            outcome.failure);
        outcome.bytes = std::string_view(shared_read_buffer.data(), size);
        if (outcome.failure != asio::error::would_block)
            break;
    }
    if (outcome.failure == asio::error::eof && has_broken())
        outcome.failure = write_error_;
    co_return outcome;
}

asio::awaitable<io_result> byte_stream::write_some(asio::const_buffer buffer)
{
    io_result outcome;
    auto token = asio::redirect_error(asio::use_awaitable, outcome.failure);
    if (tls_stream_) {
        outcome.size = co_await tls_stream_->async_write_some(buffer, token);
        co_return outcome;
    }
    // An asynchronous write would report its error after reads that are ready
    // already, and these depend on it.
    for (;;) {
        outcome.size = socket_->write_some(buffer, outcome.failure);
        if (outcome.failure != asio::error::would_block)
            break;
        co_await socket_->async_wait(tcp::socket::wait_write, token);
        if (outcome.failure)
            co_return outcome;
    }
    if (outcome.failure) {
        if (!write_error_)
            write_error_ = outcome.failure;
        // Reads that are ready get what has arrived before the caller closes
        // the stream.
        co_await asio::post(socket_->get_executor(), asio::use_awaitable);
    }
    co_return outcome;
}

bool byte_stream::has_broken() const
{
    // After an end of the peer's output, writes fail with `broken_pipe`.
    return write_error_ && write_error_ != asio::error::broken_pipe;
}

asio::awaitable<void> byte_stream::shutdown_send()
{
    boost::system::error_code ignored;
    if (tls_stream_) {
        co_await tls_stream_->async_shutdown(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    socket_->shutdown(tcp::socket::shutdown_send, ignored);
}

void byte_stream::close()
{
    boost::system::error_code ignored;
    socket_->close(ignored);
}

void byte_stream::abort()
{
    boost::system::error_code ignored;
    socket_->set_option(asio::socket_base::linger(true, 0), ignored);
    socket_->close(ignored);
}

bool byte_stream::is_peer_gone()
{
    if (!socket_->is_open())
        return true;
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(
            socket_->native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return true;
    return info.tcpi_state != TCP_ESTABLISHED;
}

} // namespace fulmarjunction::detail
