/// @file
/// Calls and control messages between nodes over nghttp2 streams.
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

/// Who this node is to its peers, and how it proves it.
struct peer_identity
{
    instance_name name;
    incarnation_number incarnation = 0;
    /// Secret shared by all nodes of the deployment.
    std::string secret;
};

/// Where the node of an instance listens for peers.
struct peer_address
{
    instance_name name;
    boost::asio::ip::tcp::endpoint address;
};

/// Limits of peer connections.
struct peer_limits
{
    /// Bytes buffered for each stream and direction.
    std::size_t stream_window = 64 * 1024;
    std::size_t max_header_bytes = 64 * 1024;
    std::uint32_t max_streams = 4096;
    milliseconds connect_timeout{1000};
    milliseconds handshake_timeout{1000};
    /// Longest time without progress while a body moves.
    milliseconds idle_timeout{10'000};
};

/// A request that arrived from an authenticated peer.
struct peer_request
{
    instance_name from;
    streamed_request message;
    /// Becomes true when the peer resets the stream or the connection ends.
    std::function<bool()> is_canceled;
    /// Registers what to do at once on such a cancellation.
    std::function<void(std::function<void()>)> on_cancel;
};

/// Answers a peer's request. Its body is streamed with back pressure.
using peer_handler =
    std::function<awaitable<streamed_response>(peer_request request)>;

/// Counters for metrics.
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

/// Accepts connections from peers that prove the deployment's secret.
class peer_server
{
public:
    /// @param tls context for TLS below the proof; null for plain TCP
    peer_server(
        boost::asio::any_io_executor executor, peer_identity identity,
        peer_limits limits, peer_handler handler,
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Binds and starts to accept; port 0 lets the kernel choose.
    /// @return the bound address; `errc::invalid_argument` without a secret
    ///         or with a name that is empty or over 255 bytes
    result<boost::asio::ip::tcp::endpoint>
    listen(const boost::asio::ip::tcp::endpoint& address);

    /// Sends GOAWAY, lets open streams finish and accepts no new ones.
    void begin_shutdown();
    std::size_t open_streams() const;

    /// Closes everything.
    void close();

    const peer_counters& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

/// Sends requests to peers; one connection for each peer, opened on demand.
class peer_client
{
public:
    /// @param tls context for TLS below the proof, which decides how the
    ///        peer's certificate is verified; null for plain TCP
    peer_client(
        boost::asio::any_io_executor executor, peer_identity identity,
        peer_limits limits,
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// Sends a request and waits for the head of its answer. The target
    /// starts with `/`, field names are lower case, and the field `host`
    /// becomes the authority (the peer's name without it). Destroying the
    /// answer's body before its end resets the stream. Canceling the
    /// coroutine resets the stream.
    /// @param expected name that the peer must prove; empty accepts any
    /// @return `errc::connection_failed` when no byte of the request was
    ///         processed by the peer (no connection, a refused stream, or
    ///         GOAWAY below the stream's id, or a deadline that passed
    ///         before the request was sent); `errc::invalid_argument` or
    ///         `errc::too_large` when the head cannot be sent;
    ///         `errc::connection_broken` when the stream or connection broke
    ///         later; `errc::timeout` when no head came before `deadline`;
    ///         or the error of the request's body
    awaitable<result<streamed_response>> send(
        boost::asio::ip::tcp::endpoint address, instance_name expected,
        streamed_request request, time_point deadline);

    /// Closes idle connections to addresses that are not in use any more.
    void close_gracefully(const boost::asio::ip::tcp::endpoint& address);

    /// Closes the connection to an address at once: its open streams fail
    /// with `errc::connection_broken`. For peers that have fallen silent.
    void drop(const boost::asio::ip::tcp::endpoint& address);

    /// Closes connections on which no request was sent for this time; open
    /// streams are finished first.
    void close_unused(duration unused_for);
    void close();

    const peer_counters& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarjunction
