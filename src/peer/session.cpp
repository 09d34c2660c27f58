#include <peer/session.hpp>

#include <fulmarjunction/core/log.hpp>

#include <http/head.hpp>
#include <peer/field_list.hpp>
#include <peer/session_callbacks.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace fulmarjunction::detail {

namespace asio = boost::asio;

namespace {

/// Maximum size of one read from a body, and of one read from the socket.
constexpr std::size_t chunk_size = 16 * 1024;
constexpr std::size_t socket_read_size = 32 * 1024;

/// Frames are batched up to about this size for one write.
constexpr std::size_t write_batch_size = 64 * 1024;

/// Maximum wait for the peer to close the connection after the last stream.
constexpr milliseconds close_timeout{1000};

std::string_view as_text(const std::uint8_t* bytes, std::size_t size)
{
    return {reinterpret_cast<const char*>(bytes), size};
}

} // namespace

peer_session::peer_session(
    byte_stream stream, session_side side, const peer_limits& limits,
    std::shared_ptr<peer_counters> counters, std::string peer_name)
    : stream_(std::move(stream)), side_(side), limits_(limits),
      counters_(std::move(counters)), peer_name_(std::move(peer_name)),
      session_(session_callbacks::make(*this)), output_ready_(executor())
{
}

peer_session::~peer_session()
{
    nghttp2_session_del(session_);
}

asio::any_io_executor peer_session::executor()
{
    return stream_.socket().get_executor();
}

void peer_session::start(request_action on_request)
{
    on_request_ = std::move(on_request);
    const auto self = shared_from_this();
    const auto on_end = [self](const std::exception_ptr&) {
        self->close_with_reason("the connection has closed");
    };
    asio::co_spawn(executor(), read_loop(self), on_end);
    asio::co_spawn(executor(), write_loop(self), on_end);
}

awaitable<void> peer_session::read_loop(std::shared_ptr<peer_session> self)
{
    while (self->open_) {
        const auto received =
            co_await self->stream_.read_some(socket_read_size);
        self->counters_->bytes_in += received.bytes.size();
        if (received.failure || !self->open_)
            co_return;
        const auto parsed = nghttp2_session_mem_recv(
            self->session_,
            reinterpret_cast<const std::uint8_t*>(received.bytes.data()),
            received.bytes.size());
        if (parsed < 0)
            co_return;
        self->flush();
    }
}

bool peer_session::wants_io() const
{
    return nghttp2_session_want_read(session_) != 0 ||
           nghttp2_session_want_write(session_) != 0;
}

/// Collects frames for one write.
/// @return whether the session is still usable
bool peer_session::collect_frames(std::string& output)
{
    while (output.size() < write_batch_size) {
        const std::uint8_t* bytes = nullptr;
        const auto size = nghttp2_session_mem_send(session_, &bytes);
        if (size < 0)
            return false;
        if (size == 0)
            break;
        output.append(as_text(bytes, static_cast<std::size_t>(size)));
    }
    return true;
}

awaitable<void> peer_session::write_loop(std::shared_ptr<peer_session> self)
{
    std::string output;
    while (self->open_) {
        output.clear();
        if (!self->collect_frames(output))
            co_return;
        if (output.empty()) {
            // Streams that are still open at this point mean that a protocol
            // error has ended the session.
            if (!self->wants_io() && !self->streams_.empty())
                co_return;
            if (!self->wants_io())
                break;
            co_await self->output_ready_.wait();
            // Frames that become ready in the same turn of the event loop,
            // such as the body after its head, are sent in the same write.
            co_await asio::post(self->executor(), asio::use_awaitable);
            continue;
        }
        asio::const_buffer unsent = asio::buffer(output);
        while (unsent.size() > 0) {
            const auto sent = co_await self->stream_.write_some(unsent);
            self->counters_->bytes_out += sent.size;
            if (sent.failure)
                co_return;
            unsent += sent.size;
        }
    }
    if (self->open_)
        co_await self->finish_output();
}

/// Shuts down the sending side and keeps reading until the peer closes.
/// Closing a socket with unread input sends a TCP reset, which could discard
/// the end of a response in flight.
awaitable<void> peer_session::finish_output()
{
    asio::steady_timer timer(executor(), close_timeout);
    timer.async_wait(
        [self = shared_from_this()](boost::system::error_code failure) {
            if (!failure)
                self->close();
        });
    co_await stream_.shutdown_send();
    while (open_)
        co_await output_ready_.wait();
}

void peer_session::flush()
{
    output_ready_.notify();
}

stream_ptr peer_session::find_stream(std::int32_t id) const
{
    const auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : found->second;
}

/// Returns the error for a stream that was closed with an HTTP/2 error code:
/// it tells whether the peer may have processed the request.
error peer_session::make_stream_error(
    const peer_stream& source, std::uint32_t code) const
{
    const bool not_processed =
        code == NGHTTP2_REFUSED_STREAM ||
        (side_ == session_side::client && !source.head_sent);
    auto kind = errc::connection_broken;
    if (not_processed && !source.has_head)
        kind = errc::connection_failed;
    else if (source.has_head)
        kind = errc::truncated;
    return {kind, "peer.stream", peer_name_, nghttp2_http2_strerror(code)};
}

void peer_session::close_stream(const stream_ptr& target, error failure)
{
    streams_.erase(target->id);
    if (std::exchange(target->closed, true))
        return;
    target->failure = std::move(failure);
    target->changed.notify();
    target->drained.notify();
    target->canceled = side_ == session_side::client ? !target->input_ended
                                                     : !target->output_finished;
    if (target->canceled)
        ++counters_->streams_reset;
    // User code must not run inside an nghttp2 callback.
    asio::post(executor(), [target] {
        if (!target->output_finished)
            target->stop_sending.emit(asio::cancellation_type::terminal);
        auto actions = std::exchange(target->cancel_actions, {});
        if (!target->canceled)
            return;
        for (auto& action : actions)
            action();
    });
}

void peer_session::close_with_reason(const std::string& reason)
{
    if (!std::exchange(open_, false))
        return;
    stream_.close();
    output_ready_.notify();
    for (const auto& [id, target] : std::exchange(streams_, {})) {
        auto failure = make_stream_error(*target, NGHTTP2_INTERNAL_ERROR);
        failure.detail = reason;
        close_stream(target, std::move(failure));
    }
    if (auto action = std::exchange(on_close, nullptr))
        action();
}

void peer_session::close()
{
    close_with_reason("closed");
}

void peer_session::begin_shutdown()
{
    if (!open_)
        return;
    goaway_ = true;
    last_stream_ = nghttp2_session_get_last_proc_stream_id(session_);
    nghttp2_submit_goaway(
        session_, NGHTTP2_FLAG_NONE, *last_stream_, NGHTTP2_NO_ERROR, nullptr,
        0);
    flush();
}

bool peer_session::accepts_streams() const
{
    return open_ && !goaway_ &&
           nghttp2_session_check_request_allowed(session_) != 0;
}

bool peer_session::is_peer_gone()
{
    return stream_.is_peer_gone();
}

void peer_session::reset(const stream_ptr& target, std::uint32_t code)
{
    if (target->closed || !open_)
        return;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, target->id, code);
    close_stream(target, make_stream_error(*target, code));
    flush();
}

void peer_session::cancel(const stream_ptr& target)
{
    reset(target, NGHTTP2_CANCEL);
}

awaitable<void> peer_session::finish_response(
    std::shared_ptr<peer_session> self, stream_ptr target)
{
    const auto is_response_sent = [&] {
        return target->closed || (target->head_sent && target->output_finished);
    };
    while (!is_response_sent())
        co_await target->drained.wait();
    if (target->closed || target->input_ended)
        co_return;
    nghttp2_submit_rst_stream(
        self->session_, NGHTTP2_FLAG_NONE, target->id, NGHTTP2_NO_ERROR);
    self->flush();
}

result<stream_ptr>
peer_session::open(const streamed_request& request, bool has_body)
{
    const auto length = std::to_string(request.content_length.value_or(0));
    const auto authority = choose_authority(request, peer_name_);
    field_list fields;
    fields.add(":method", request.method);
    fields.add(":scheme", "http");
    fields.add(":authority", authority);
    fields.add(":path", request.target);
    if (!has_valid_pseudo_headers(request, authority) ||
        !fields.add_headers(request.headers))
        return fail(errc::invalid_argument, "peer.send", peer_name_);
    if (has_body && request.content_length)
        fields.add("content-length", length);
    if (fields.size() > limits_.max_header_bytes)
        return fail(errc::too_large, "peer.send", peer_name_, "header");
    nghttp2_data_provider source{};
    source.read_callback = session_callbacks::read_output;
    const auto id = nghttp2_submit_request(
        session_, nullptr, fields.data(), fields.count(),
        has_body ? &source : nullptr, nullptr);
    if (id < 0) {
        return fail(
            errc::connection_failed, "peer.send", peer_name_,
            nghttp2_strerror(id));
    }
    auto stream = std::make_shared<peer_stream>(executor(), id);
    stream->output_finished = !has_body;
    streams_.emplace(id, stream);
    ++counters_->streams_opened;
    flush();
    return stream;
}

result<void> peer_session::respond(
    const stream_ptr& target, const streamed_response& response)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (target->closed)
        return fail(errc::canceled, "peer.respond", peer_name_);
    const auto status = std::to_string(response.status);
    const auto length = std::to_string(response.content_length.value_or(0));
    field_list fields;
    fields.add(":status", status);
    if (!is_final_status(response.status) ||
        !fields.add_headers(response.headers))
        return fail(errc::invalid_argument, "peer.respond", peer_name_);
    if (response.content_length && response.status != no_content)
        fields.add("content-length", length);
    if (fields.size() > limits_.max_header_bytes)
        return fail(errc::invalid_argument, "peer.respond", peer_name_);
    const bool has_body = target->method != "HEAD" &&
                          response.status != no_content &&
                          response.status != not_modified;
    nghttp2_data_provider source{};
    source.read_callback = session_callbacks::read_output;
    const auto failed = nghttp2_submit_response(
        session_, target->id, fields.data(), fields.count(),
        has_body ? &source : nullptr);
    if (failed != 0)
        return fail(errc::internal, "peer.respond", peer_name_);
    target->output_finished = !has_body;
    flush();
    return boost::outcome_v2::success();
}

void peer_session::send_body(
    const stream_ptr& target, body_reader body,
    std::optional<std::uint64_t> content_length)
{
    if (target->closed)
        return;
    const auto self = shared_from_this();
    asio::co_spawn(
        executor(), send_chunks(self, target, std::move(body), content_length),
        asio::bind_cancellation_slot(
            target->stop_sending.slot(),
            [self, target](const std::exception_ptr& exception) {
                if (exception)
                    self->reset(target, NGHTTP2_INTERNAL_ERROR);
            }));
}

/// Reads the next chunk of a body and checks the declared length.
/// @param remaining bytes that remain of the declared length, if there is one
awaitable<result<std::size_t>> peer_session::read_chunk(
    const body_reader& body, std::string& chunk,
    std::optional<std::uint64_t> remaining)
{
    // One byte more than remains detects a body that is too long.
    const auto max_size =
        std::min<std::uint64_t>(chunk_size, remaining.value_or(chunk_size) + 1);
    chunk.resize(static_cast<std::size_t>(max_size));
    auto received = co_await body(asio::buffer(chunk));
    if (!received)
        co_return received;
    if (remaining && received.value() > *remaining)
        co_return fail(errc::malformed, "peer.body", {}, "body too long");
    if (remaining && received.value() == 0)
        co_return fail(errc::truncated, "peer.body", {}, "body too short");
    chunk.resize(received.value());
    co_return received;
}

/// Waits until the stream's output has been consumed by nghttp2.
/// @return whether the stream is still open
awaitable<bool> peer_session::wait_drained(stream_ptr target)
{
    const auto deadline = clock::now() + limits_.idle_timeout;
    while (!target->output.empty() && !target->closed) {
        if (clock::now() >= deadline)
            reset(target, NGHTTP2_CANCEL);
        else
            co_await target->drained.wait(deadline);
    }
    co_return !target->closed;
}

awaitable<void> peer_session::send_chunks(
    std::shared_ptr<peer_session> self, stream_ptr target, body_reader body,
    std::optional<std::uint64_t> content_length)
{
    std::string chunk;
    auto remaining = content_length;
    while (!target->output_ended) {
        std::size_t size = 0;
        if (!remaining || *remaining > 0) {
            const auto received = co_await read_chunk(body, chunk, remaining);
            if (target->closed)
                co_return;
            if (!received) {
                self->fail_body(target, received.error());
                co_return;
            }
            size = received.value();
        }
        if (remaining)
            *remaining -= size;
        std::swap(target->output, chunk);
        target->output.resize(size);
        target->output_ended = size == 0 || (remaining && *remaining == 0);
        nghttp2_session_resume_data(self->session_, target->id);
        self->flush();
        const bool is_stream_open = co_await self->wait_drained(target);
        if (!is_stream_open)
            co_return;
    }
}

/// Resets a stream whose body could not be read, so that the peer does not
/// take a truncated body for a complete one.
void peer_session::fail_body(const stream_ptr& target, error failure)
{
    reset(target, NGHTTP2_INTERNAL_ERROR);
    if (target->has_head)
        return;
    // The head of the request may have been processed.
    if (failure.code == errc::connection_failed)
        failure.code = errc::connection_broken;
    target->failure = std::move(failure);
}

awaitable<result<void>> peer_session::wait_for_head(
    std::shared_ptr<peer_session> self, stream_ptr source, time_point deadline)
{
    for (;;) {
        if (source->has_head)
            co_return boost::outcome_v2::success();
        if (source->failure)
            co_return *source->failure;
        if (clock::now() >= deadline) {
            if (!source->head_sent) {
                co_return fail(
                    errc::connection_failed, "peer.send", self->peer_name_,
                    "the deadline passed before the request was sent");
            }
            co_return fail(errc::timeout, "peer.send", self->peer_name_);
        }
        co_await source->changed.wait(deadline);
    }
}

awaitable<result<std::size_t>> peer_session::read_body(
    std::shared_ptr<peer_session> self, stream_ptr source,
    asio::mutable_buffer output, time_point deadline)
{
    if (output.size() == 0)
        co_return fail(errc::invalid_argument, "peer.body", {}, "no buffer");
    const auto until = std::min<time_point>(
        deadline, clock::now() + self->limits_.idle_timeout);
    for (;;) {
        const auto remaining = source->input.size() - source->input_start;
        if (remaining > 0) {
            const auto size = std::min(remaining, output.size());
            std::memcpy(
                output.data(), source->input.data() + source->input_start,
                size);
            source->input_start += size;
            if (size == remaining) {
                source->input.clear();
                source->input_start = 0;
            }
            if (self->open_ && !source->closed) {
                nghttp2_session_consume_stream(
                    self->session_, source->id, size);
                self->flush();
            }
            co_return size;
        }
        if (source->input_ended)
            co_return std::size_t{0};
        if (source->failure)
            co_return *source->failure;
        if (source->closed)
            co_return fail(errc::truncated, "peer.body", self->peer_name_);
        if (clock::now() >= until)
            co_return fail(errc::timeout, "peer.body", self->peer_name_);
        co_await source->changed.wait(until);
    }
}

} // namespace fulmarjunction::detail
