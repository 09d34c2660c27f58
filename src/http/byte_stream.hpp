/// @file
/// A TCP connection, optionally under TLS.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace fulmarjunction::detail {

/// Result of one read or write.
struct io_result
{
    boost::system::error_code failure;
    std::size_t size = 0;
};

/// Bytes that were read; valid until the coroutine is suspended again.
struct read_result
{
    boost::system::error_code failure;
    std::string_view bytes;
};

/// Reads and writes bytes over TCP or TLS. One read and one write may be in
/// progress at the same time.
class byte_stream
{
public:
    /// @param tls context for TLS; null for plain TCP
    explicit byte_stream(
        boost::asio::ip::tcp::socket socket,
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr);

    /// Runs the TLS handshake; does nothing for plain TCP.
    boost::asio::awaitable<boost::system::error_code>
    handshake(boost::asio::ssl::stream_base::handshake_type side);

    /// Waits for bytes and reads at most `max_size`. Waiting connections hold
    /// no buffer: plain TCP reads into one shared by the thread's connections.
    /// The failure is `eof` only if the peer has ended its output itself.
    boost::asio::awaitable<read_result> read_some(std::size_t max_size);
    boost::asio::awaitable<io_result>
    write_some(boost::asio::const_buffer buffer);

    /// Shuts down the sending side (close_notify under TLS).
    boost::asio::awaitable<void> shutdown_send();

    /// Closes the socket; pending operations fail.
    void close();

    /// Closes with a TCP reset, so that the peer cannot mistake a partial
    /// message for a complete one.
    void abort();

    /// Returns whether the kernel reports that the peer has closed or reset
    /// the connection, without reading.
    bool is_peer_gone();

    boost::asio::ip::tcp::socket& socket() { return *socket_; }

private:
    using tls_stream = boost::asio::ssl::stream<boost::asio::ip::tcp::socket&>;

    /// Whether a write has reported that the connection broke. The kernel
    /// reports that only once; reads then find an end of file.
    bool has_broken() const;

    std::shared_ptr<boost::asio::ssl::context> tls_;
    std::unique_ptr<boost::asio::ip::tcp::socket> socket_;
    std::unique_ptr<tls_stream> tls_stream_;
    /// Read buffer for TLS, whose library may write to it while the coroutine
    /// is suspended, so the shared buffer cannot be used.
    std::string tls_read_buffer_;
    /// Error of the first write that failed.
    boost::system::error_code write_error_;
};

} // namespace fulmarjunction::detail
