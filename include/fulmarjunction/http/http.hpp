/// @file
/// HTTP/1.1 servers and clients with streaming bodies.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace fulmarjunction {

/// Limits of HTTP connections.
struct http_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_connections = 2048;
    /// Maximum idle time between requests on a persistent connection.
    milliseconds keep_alive_timeout{60'000};
    /// Maximum time to receive a request's head after its first byte.
    milliseconds head_timeout{10'000};
    /// Maximum time without progress while a body is transferred.
    milliseconds idle_timeout{10'000};
    /// Requests without a body that one connection may have in progress at
    /// once; their answers go out in the order of the requests.
    std::size_t max_pipelined = 1;
};

/// A request on a server connection. Its header fields do not include
/// `content-length` and hop-by-hop fields.
struct http_request
{
    streamed_request message;
    boost::asio::ip::tcp::endpoint from;
    /// Registers an action to run as soon as the caller's connection ends,
    /// also while the response is being sent. A caller that half-closes its
    /// connection counts as disconnected but still gets the response, unless
    /// its body pauses for longer than a moment.
    std::function<void(std::function<void()>)> on_cancel;
    /// Returns whether the caller has closed its connection, also when the end
    /// has not been read yet.
    std::function<bool()> has_caller_left;
};

/// Answers a request. When the request's body was not read to its end, the
/// server closes the connection after the answer.
using http_handler =
    std::function<awaitable<streamed_response>(http_request request)>;

/// Creates the answer to input that is not an acceptable request.
/// @param status 400, 413 or 431
using http_refusal_handler = std::function<streamed_response(int status)>;

/// Serves HTTP/1.1 with keep-alive, optionally under TLS.
///
/// Refuses malformed heads, heads over the limit, and requests that give
/// both Content-Length and Transfer-Encoding, or either of them twice. A
/// response whose body fails or differs from its declared length resets the
/// connection, so that it never looks complete.
class http_server
{
public:
    http_server(
        boost::asio::any_io_executor executor, http_limits limits,
        http_handler handler, http_refusal_handler refuse,
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds and starts accepting; port 0 selects an ephemeral port.
    result<boost::asio::ip::tcp::endpoint>
    listen(const boost::asio::ip::tcp::endpoint& address);

    /// Sets the limits for later requests, also on open connections.
    void set_limits(const http_limits& limits);

    /// Answers with `Connection: close` from now on, but keeps accepting
    /// requests and connections.
    void begin_drain();

    /// Stops accepting, closes idle connections, and answers requests in
    /// flight with `Connection: close`.
    void begin_shutdown();
    std::size_t requests_in_flight() const;
    std::size_t connections() const;
    void close();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

/// Returns whether an answer with these fields belongs to the request. Other
/// answers are read and discarded: a server may repeat the answer to an
/// earlier request where the next answer is expected.
using answer_filter = std::function<bool(const header_fields& fields)>;

/// Sends HTTP/1.1 requests to one address over persistent connections.
class http_client
{
public:
    http_client(
        boost::asio::any_io_executor executor,
        boost::asio::ip::tcp::endpoint address, http_limits limits,
        milliseconds connect_timeout = milliseconds(1000));
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and waits for the head of its answer. A connection
    /// whose request was not answered in full is closed and never reused, so
    /// that a late answer cannot reach another request. Destroying the
    /// answer's body before its end closes the connection; so does
    /// canceling the coroutine.
    ///
    /// A body with neither Content-Length nor chunked encoding ends when the
    /// server closes the connection; a reset is `errc::truncated`.
    /// @return `errc::connection_failed` when no byte was sent (also when the
    ///         deadline passed before), `errc::invalid_argument` when the
    ///         head cannot be sent, `errc::connection_broken`,
    ///         `errc::malformed` or `errc::timeout` when the request may have
    ///         been processed, or the error of the request's body
    /// @param deadline for the head of the answer
    /// @param filter tells which answers belong to the request; may be empty
    /// @param body_deadline for the answer's body. Later reads return what has
    ///        arrived, up to the size of one buffer, and fail with
    ///        `errc::timeout` where they would have to wait for more.
    awaitable<result<streamed_response>> send(
        streamed_request request, time_point deadline,
        answer_filter filter = nullptr,
        time_point body_deadline = time_point::max());

    /// Closes the idle connections.
    void close();
    const boost::asio::ip::tcp::endpoint& address() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarjunction
