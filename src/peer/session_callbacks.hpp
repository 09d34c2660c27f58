/// @file
/// Callbacks through which nghttp2 reports what a peer session receives.
#pragma once

#include <peer/session.hpp>

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>

namespace fulmarjunction::detail {

/// Callbacks for nghttp2. They never run handlers or other user code.
class session_callbacks
{
public:
    static nghttp2_session* make(peer_session& owner);

    /// Copies the next bytes of a stream's body into nghttp2's buffer.
    static ssize_t read_output(
        nghttp2_session*, std::int32_t id, std::uint8_t* buffer,
        std::size_t size, std::uint32_t* flags, nghttp2_data_source*,
        void* user);

private:
    static void
    submit_settings(nghttp2_session* session, const peer_limits& limits);

    static int
    on_begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user);

    static int on_header(
        nghttp2_session*, const nghttp2_frame* frame,
        const std::uint8_t* name_bytes, std::size_t name_size,
        const std::uint8_t* value_bytes, std::size_t value_size, std::uint8_t,
        void* user);

    static void complete_head(peer_session& owner, const stream_ptr& stream);

    static int
    on_frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user);

    static int on_data(
        nghttp2_session* session, std::uint8_t, std::int32_t id,
        const std::uint8_t* bytes, std::size_t size, void* user);

    static int on_stream_close(
        nghttp2_session*, std::int32_t id, std::uint32_t code, void* user);

    static int
    before_frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user);

    static int on_frame_not_sent(
        nghttp2_session*, const nghttp2_frame* frame, int, void* user);
};

} // namespace fulmarjunction::detail
