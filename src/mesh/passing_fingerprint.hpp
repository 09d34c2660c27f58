/// @file
/// Fingerprint of a request whose body is being passed on.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace fulmarjunction {

/// Computes the fingerprint of a request from the bytes that are passed on. The
/// node that sent the request may have known only the first ones of them, or
/// may compute fingerprints as an earlier version did.
class passing_fingerprint
{
public:
    /// Puts a reader that sees all bytes in front of the request's body.
    static std::shared_ptr<passing_fingerprint>
    attach(streamed_request& request);

    /// Returns the fingerprint, or nothing until the whole body has passed.
    std::optional<fingerprint> value() const;

private:
    explicit passing_fingerprint(const streamed_request& request);
    static awaitable<result<std::size_t>> read(
        std::shared_ptr<passing_fingerprint> self,
        boost::asio::mutable_buffer buffer);
    void add(std::string_view bytes);

    fingerprint_builder builder_;
    body_reader body_;
    /// Bytes until the end of a body of known length.
    std::optional<std::uint64_t> remaining_;
    bool has_ended_ = false;
};

} // namespace fulmarjunction
