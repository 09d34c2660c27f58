/// @file
/// HTTP/2 client and server for calls and control messages between nodes.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace fulmarjunction {

/// Name and incarnation that this node authenticates with, and the secret.
struct peer_identity
{
    instance_name name;
    incarnation_number incarnation = 0;
    /// Secret shared by all nodes of the deployment.
    std::string secret;
};

/// Name of an instance and the address on which its node accepts peers.
struct peer_address
{
    instance_name name;
    boost::asio::ip::tcp::endpoint address;
};

/// Limits of peer connections.
struct peer_limits
{
    /// HTTP/2 flow control window: bytes buffered for each stream and
    /// direction.
    std::size_t stream_window = 64 * 1024;
    std::size_t max_header_bytes = 64 * 1024;
    std::uint32_t max_streams = 4096;
    milliseconds connect_timeout{1000};
    milliseconds handshake_timeout{1000};
    /// Maximum time without progress while a body is transferred.
    milliseconds idle_timeout{10'000};
};

/// A request that arrived from an authenticated peer.
struct peer_request
{
    instance_name from;
    streamed_request message;
    /// Returns true once the peer has reset the stream or the connection has
    /// closed.
    std::function<bool()> is_canceled;
    /// Registers a function to call on cancellation, or calls it at once when
    /// the request is already canceled.
    std::function<void(std::function<void()>)> on_cancel;
};

/// Handles a peer's request. The body of the response is streamed with back
/// pressure.
using peer_handler =
    std::function<awaitable<streamed_response>(peer_request request)>;

/// Counters of a server or client, exported as metrics.
struct peer_counters
{
    std::uint64_t connections_accepted = 0;
    std::uint64_t connections_opened = 0;
    std::uint64_t handshakes_failed = 0;
    std::uint64_t streams_opened = 0;
    std::uint64_t streams_reset = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

/// Accepts connections from peers that prove knowledge of the deployment's
/// secret.
class peer_server
{
public:
    /// @param tls context for TLS, over which the handshake runs; null for
    ///        plain TCP
    peer_server(
        boost::asio::any_io_executor executor, peer_identity identity,
        peer_limits limits, peer_handler handler,
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Binds and starts to accept; port 0 lets the kernel choose a port.
    /// @return the bound address; `errc::invalid_argument` without a secret
    ///         or with a name that is empty or over 255 bytes
    result<boost::asio::ip::tcp::endpoint>
    listen(const boost::asio::ip::tcp::endpoint& address);

    /// Stops accepting connections and sends GOAWAY on those that are open;
    /// open streams finish, new ones are refused.
    void begin_shutdown();
    std::size_t open_streams() const;

    /// Closes the listening socket and all connections at once.
    void close();

    const peer_counters& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

/// Sends requests to peers over one connection per address, opened on demand.
class peer_client
{
public:
    /// @param tls context for TLS, over which the handshake runs; it decides
    ///        how the peer's certificate is verified; null for plain TCP
    peer_client(
        boost::asio::any_io_executor executor, peer_identity identity,
        peer_limits limits,
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// Sends a request and waits for the head of the response. The target
    /// starts with `/`, field names are lower case, and the field `host`
    /// becomes the authority (the peer's name is used without it). Destroying
    /// the response's body before its end, or canceling the coroutine, resets
    /// the stream.
    /// @param expected name that the peer must authenticate as; empty accepts
    ///        any name
    /// @param deadline for the head of the response
    /// @param body_deadline for the response's body. Later reads return what
    ///        has arrived, up to the size of one window, and fail with
    ///        `errc::timeout` where they would have to wait for more.
    /// @return `errc::connection_failed` when no byte of the request was
    ///         processed by the peer (no connection, a refused stream, or
    ///         GOAWAY with a last stream id below it, or a deadline that passed
    ///         before the request was sent); `errc::invalid_argument` or
    ///         `errc::too_large` when the head cannot be sent;
    ///         `errc::connection_broken` when the stream or connection broke
    ///         later; `errc::timeout` when no head arrived before `deadline`;
    ///         or the error of the request's body
    awaitable<result<streamed_response>> send(
        boost::asio::ip::tcp::endpoint address, instance_name expected,
        streamed_request request, time_point deadline,
        time_point body_deadline = time_point::max());

    /// Sends GOAWAY on the connection to an address and closes it after its
    /// last stream; the next request opens a new one.
    void close_gracefully(const boost::asio::ip::tcp::endpoint& address);

    /// Closes the connection to an address at once: its open streams fail
    /// with `errc::connection_broken`. For peers that are unresponsive.
    void drop(const boost::asio::ip::tcp::endpoint& address);

    /// Closes connections on which no request was sent for this time, as
    /// `close_gracefully` does.
    void close_unused(duration unused_for);

    /// Closes all connections at once; later requests fail.
    void close();

    const peer_counters& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarjunction
