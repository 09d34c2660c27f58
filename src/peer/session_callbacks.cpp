#include <peer/session_callbacks.hpp>

#include <http/head.hpp>
#include <peer/field_list.hpp>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <iterator>
#include <new>
#include <utility>

namespace fulmarjunction::detail {

namespace {

/// Input of a stream that has been read is dropped in pieces of this size.
constexpr std::size_t input_trim_size = 16 * 1024;

/// Flow control window of the whole connection. Each stream is limited by its
/// own window, so this only needs to cover the bytes in flight.
constexpr std::int32_t connection_window = 8 * 1024 * 1024;

std::string_view as_text(const std::uint8_t* bytes, std::size_t size)
{
    return {reinterpret_cast<const char*>(bytes), size};
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

peer_session& owner_of(void* user)
{
    return *static_cast<peer_session*>(user);
}

} // namespace

std::optional<std::uint64_t> find_content_length(const header_fields& fields)
{
    const auto text = find_header(fields, "content-length");
    return text ? parse_number(*text) : std::nullopt;
}

nghttp2_session* session_callbacks::make(peer_session& owner)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_option* options = nullptr;
    nghttp2_session* session = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_option_new(&options);
    nghttp2_option_set_no_auto_window_update(options, 1);
    nghttp2_option_set_max_send_header_block_length(
        options, owner.limits_.max_header_bytes * 2);
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        callbacks, on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callbacks, on_frame_received);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, on_stream_close);
    nghttp2_session_callbacks_set_before_frame_send_callback(
        callbacks, before_frame_sent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(
        callbacks, on_frame_not_sent);
    const bool is_client = owner.side_ == session_side::client;
    const int failed =
        is_client
            ? nghttp2_session_client_new2(&session, callbacks, &owner, options)
            : nghttp2_session_server_new2(&session, callbacks, &owner, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
    if (failed != 0)
        throw std::bad_alloc();
    submit_settings(session, owner.limits_);
    return session;
}

ssize_t session_callbacks::read_output(
    nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t size,
    std::uint32_t* flags, nghttp2_data_source*, void* user)
{
    const auto stream = owner_of(user).find_stream(id);
    if (!stream)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    auto& output = stream->output;
    const auto remaining = output.size() - stream->output_start;
    const auto copied = std::min(remaining, size);
    std::memcpy(buffer, output.data() + stream->output_start, copied);
    stream->output_start += copied;
    if (copied == remaining) {
        output.clear();
        stream->output_start = 0;
        stream->drained.notify();
    }
    if (copied == remaining && stream->output_ended) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        stream->output_finished = true;
        stream->drained.notify();
    } else if (copied == 0) {
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(copied);
}

void session_callbacks::submit_settings(
    nghttp2_session* session, const peer_limits& limits)
{
    const nghttp2_settings_entry entries[] = {
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
         static_cast<std::uint32_t>(limits.stream_window)},
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits.max_streams},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
         static_cast<std::uint32_t>(limits.max_header_bytes)},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    };
    nghttp2_submit_settings(
        session, NGHTTP2_FLAG_NONE, entries, std::size(entries));
    nghttp2_session_set_local_window_size(
        session, NGHTTP2_FLAG_NONE, 0, connection_window);
}

int session_callbacks::on_begin_headers(
    nghttp2_session* session, const nghttp2_frame* frame, void* user)
{
    auto& owner = owner_of(user);
    if (owner.side_ == session_side::client ||
        frame->headers.cat != NGHTTP2_HCAT_REQUEST)
        return 0;
    const auto id = frame->hd.stream_id;
    if (owner.last_stream_ && id > *owner.last_stream_) {
        nghttp2_submit_rst_stream(
            session, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
        return 0;
    }
    owner.streams_.emplace(
        id, std::make_shared<peer_stream>(owner.executor(), id));
    ++owner.counters_->streams_opened;
    return 0;
}

int session_callbacks::on_header(
    nghttp2_session*, const nghttp2_frame* frame,
    const std::uint8_t* name_bytes, std::size_t name_size,
    const std::uint8_t* value_bytes, std::size_t value_size, std::uint8_t,
    void* user)
{
    auto& owner = owner_of(user);
    const auto stream = owner.find_stream(frame->hd.stream_id);
    // Trailers are ignored.
    if (!stream || stream->has_head)
        return 0;
    stream->header_bytes += name_size + value_size + field_list::overhead;
    if (stream->header_bytes > owner.limits_.max_header_bytes)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const auto name = as_text(name_bytes, name_size);
    const std::string value(as_text(value_bytes, value_size));
    if (name == ":method")
        stream->method = value;
    else if (name == ":path")
        stream->target = value;
    else if (name == ":authority")
        stream->authority = value;
    else if (name == ":status")
        stream->status = static_cast<int>(parse_number(value).value_or(0));
    else if (!name.starts_with(':'))
        stream->headers.push_back({std::string(name), value});
    if (name == ":status" && !is_valid_status(stream->status))
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    return 0;
}

void session_callbacks::complete_head(
    peer_session& owner, const stream_ptr& stream)
{
    if (is_interim_status(stream->status)) {
        stream->headers.clear();
        return;
    }
    stream->has_head = true;
    if (!stream->authority.empty()) {
        remove_header(stream->headers, "host");
        stream->headers.push_back({"host", stream->authority});
    }
    if (owner.side_ == session_side::server)
        owner.on_request_(stream);
}

int session_callbacks::on_frame_received(
    nghttp2_session*, const nghttp2_frame* frame, void* user)
{
    auto& owner = owner_of(user);
    if (frame->hd.type == NGHTTP2_GOAWAY)
        owner.goaway_ = true;
    const auto stream = owner.find_stream(frame->hd.stream_id);
    if (!stream)
        return 0;
    const bool is_message =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (is_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
        stream->input_ended = true;
    if (frame->hd.type == NGHTTP2_HEADERS && !stream->has_head)
        complete_head(owner, stream);
    stream->changed.notify();
    return 0;
}

int session_callbacks::on_data(
    nghttp2_session* session, std::uint8_t, std::int32_t id,
    const std::uint8_t* bytes, std::size_t size, void* user)
{
    auto& owner = owner_of(user);
    // The connection's window is reopened at once, so that a stream whose
    // body is not read cannot block the others. Only the stream's own
    // window waits for its reader.
    nghttp2_session_consume_connection(session, size);
    const auto stream = owner.find_stream(id);
    if (!stream)
        return 0;
    if (stream->input_start >= input_trim_size) {
        stream->input.erase(0, stream->input_start);
        stream->input_start = 0;
    }
    stream->input.append(as_text(bytes, size));
    owner.peak_input_ =
        std::max(owner.peak_input_, stream->input.size() - stream->input_start);
    stream->changed.notify();
    return 0;
}

int session_callbacks::on_stream_close(
    nghttp2_session*, std::int32_t id, std::uint32_t code, void* user)
{
    auto& owner = owner_of(user);
    if (const auto stream = owner.find_stream(id))
        owner.close_stream(stream, owner.make_stream_error(*stream, code));
    return 0;
}

int session_callbacks::before_frame_sent(
    nghttp2_session*, const nghttp2_frame* frame, void* user)
{
    if (frame->hd.type != NGHTTP2_HEADERS)
        return 0;
    if (const auto stream = owner_of(user).find_stream(frame->hd.stream_id)) {
        stream->head_sent = true;
        stream->drained.notify();
    }
    return 0;
}

int session_callbacks::on_frame_not_sent(
    nghttp2_session*, const nghttp2_frame* frame, int, void* user)
{
    auto& owner = owner_of(user);
    if (frame->hd.type != NGHTTP2_HEADERS)
        return 0;
    const auto stream = owner.find_stream(frame->hd.stream_id);
    if (stream && owner.side_ == session_side::client) {
        owner.close_stream(
            stream, owner.make_stream_error(*stream, NGHTTP2_REFUSED_STREAM));
    }
    return 0;
}

} // namespace fulmarjunction::detail
