/// @file
/// One HTTP/2 connection between two nodes, implemented with nghttp2.
#pragma once

#include <fulmarjunction/peer/peer.hpp>

#include <http/byte_stream.hpp>
#include <peer/event.hpp>

#include <boost/asio/cancellation_signal.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

struct nghttp2_session;

namespace fulmarjunction::detail {

class session_callbacks;

/// One HTTP/2 stream: a request and its response.
struct peer_stream
{
    peer_stream(
        const boost::asio::any_io_executor& executor, std::int32_t stream_id)
        : id(stream_id), changed(executor), drained(executor)
    {
    }

    std::int32_t id;
    /// Notified when a head or body bytes arrive, or the stream closes.
    event changed;
    /// Notified when the head was sent, when `output` was consumed, or when
    /// the stream closes.
    event drained;

    std::string method;
    std::string target;
    std::string authority;
    int status = 0;
    header_fields headers;
    std::size_t header_bytes = 0;
    bool has_head = false;

    std::string input;
    std::size_t input_start = 0;
    bool input_ended = false;

    std::string output;
    std::size_t output_start = 0;
    bool output_ended = false;
    bool output_finished = false;

    /// Whether the HEADERS frame of this side's message has been serialized.
    bool head_sent = false;
    bool closed = false;
    /// Whether the stream closed before the response was complete.
    bool canceled = false;
    std::optional<error> failure;
    /// Cancels the coroutine that sends the body.
    boost::asio::cancellation_signal stop_sending;
    std::vector<std::function<void()>> cancel_actions;
};
using stream_ptr = std::shared_ptr<peer_stream>;

/// Returns the value of the field content-length if it is a number.
std::optional<std::uint64_t> find_content_length(const header_fields& fields);

enum class session_side
{
    client,
    server
};

/// Multiplexes streams over one connection. All members must be used on one
/// thread. The read and write loops keep the object alive until they end.
class peer_session : public std::enable_shared_from_this<peer_session>
{
public:
    /// Called on the server's side for each request whose head is complete.
    using request_action = std::function<void(stream_ptr)>;

    peer_session(
        byte_stream stream, session_side side, const peer_limits& limits,
        std::shared_ptr<peer_counters> counters, std::string peer_name);
    ~peer_session();
    peer_session(const peer_session&) = delete;
    peer_session& operator=(const peer_session&) = delete;

    /// Starts the read and write loops.
    void start(request_action on_request = nullptr);

    /// Opens a stream; its head is sent with the next write.
    result<stream_ptr> open(const streamed_request& request, bool has_body);

    /// Submits the head of the response on a stream.
    result<void>
    respond(const stream_ptr& target, const streamed_response& response);

    /// Sends a body on a stream in a separate coroutine, and resets the
    /// stream when reading the body fails or its size differs from its
    /// declared length.
    void send_body(
        const stream_ptr& target, body_reader body,
        std::optional<std::uint64_t> content_length);

    /// Waits for the head of the response.
    static awaitable<result<void>> wait_for_head(
        std::shared_ptr<peer_session> self, stream_ptr source,
        time_point deadline);

    /// Reads body bytes and extends the peer's flow control window by as much.
    /// @param deadline after it only bytes that have arrived are returned
    static awaitable<result<std::size_t>> read_body(
        std::shared_ptr<peer_session> self, stream_ptr source,
        boost::asio::mutable_buffer output,
        time_point deadline = time_point::max());

    /// Resets a stream that the caller no longer needs.
    void cancel(const stream_ptr& target);

    /// Waits until a response has been sent and, if the request's body has
    /// not been received to its end, resets the stream so that the peer stops
    /// sending it.
    static awaitable<void>
    finish_response(std::shared_ptr<peer_session> self, stream_ptr target);

    /// Sends GOAWAY and closes the connection after the last stream.
    void begin_shutdown();
    void close();

    bool is_open() const { return open_; }
    /// Whether new streams can be opened, judging by what has been read.
    bool accepts_streams() const;
    /// Whether the kernel already knows that the peer has closed the
    /// connection, even if that has not been read yet. Checking this before a
    /// request makes sending on a closed connection rare.
    bool is_peer_gone();
    std::size_t stream_count() const { return streams_.size(); }
    const std::string& peer_name() const { return peer_name_; }
    const peer_limits& limits() const { return limits_; }
    boost::asio::any_io_executor executor();

    /// Maximum number of unread body bytes that any stream has buffered.
    std::size_t peak_input() const { return peak_input_; }

    /// Called once when the connection has closed.
    std::function<void()> on_close;

private:
    friend class session_callbacks;

    static awaitable<void> read_loop(std::shared_ptr<peer_session> self);
    static awaitable<void> write_loop(std::shared_ptr<peer_session> self);
    static awaitable<void> send_chunks(
        std::shared_ptr<peer_session> self, stream_ptr target, body_reader body,
        std::optional<std::uint64_t> content_length);
    static awaitable<result<std::size_t>> read_chunk(
        const body_reader& body, std::string& chunk,
        std::optional<std::uint64_t> remaining);
    awaitable<bool> wait_drained(stream_ptr target);
    awaitable<void> finish_output();
    bool collect_frames(std::string& output);
    bool wants_io() const;
    void flush();
    void reset(const stream_ptr& target, std::uint32_t code);
    void fail_body(const stream_ptr& target, error failure);
    void close_stream(const stream_ptr& target, error failure);
    void close_with_reason(const std::string& reason);
    stream_ptr find_stream(std::int32_t id) const;
    error
    make_stream_error(const peer_stream& source, std::uint32_t code) const;

    byte_stream stream_;
    session_side side_;
    peer_limits limits_;
    std::shared_ptr<peer_counters> counters_;
    std::string peer_name_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, stream_ptr> streams_;
    request_action on_request_;
    event output_ready_;
    std::size_t peak_input_ = 0;
    bool open_ = true;
    bool goaway_ = false;
    /// The last stream of the peer that is served, once a shutdown has begun.
    /// GOAWAY names it, and may be sent only after further streams have come.
    std::optional<std::int32_t> last_stream_;
};

} // namespace fulmarjunction::detail
