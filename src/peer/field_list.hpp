/// @file
/// Header fields of a message in the form in which nghttp2 takes them.
#pragma once

#include <fulmarjunction/core/message.hpp>

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace fulmarjunction::detail {

/// Header fields as an array of `nghttp2_nv`. The names and values are not
/// owned and must stay valid until nghttp2 has copied them.
class field_list
{
public:
    void add(std::string_view name, std::string_view value);

    /// Adds all fields that HTTP/2 allows; connection-specific fields and
    /// `host` are skipped.
    /// @return whether all names and values are valid
    bool add_headers(const header_fields& fields);

    const nghttp2_nv* data() const { return fields_.data(); }
    std::size_t count() const { return fields_.size(); }

    /// Size as defined for SETTINGS_MAX_HEADER_LIST_SIZE.
    std::size_t size() const { return size_; }

    static constexpr std::size_t overhead = 32;

private:
    std::vector<nghttp2_nv> fields_;
    std::size_t size_ = 0;
};

/// Returns the authority of a request. It must not be empty, so a request
/// without a host uses the name of the peer.
std::string_view
choose_authority(const streamed_request& request, std::string_view peer_name);

/// Returns whether the peer's nghttp2 will accept the pseudo-header fields of
/// the request. If it did not, the peer would reset the stream and the error
/// would look like a broken connection.
bool has_valid_pseudo_headers(
    const streamed_request& request, std::string_view authority);

} // namespace fulmarjunction::detail
