/// @file
/// Streamed requests and answers.
#pragma once

#include <fulmarjunction/core/error.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmarjunction {

template <class T>
using awaitable = boost::asio::awaitable<T>;

/// One header field; names are lower case.
struct header_field
{
    std::string name;
    std::string value;
};

/// Header fields in order of arrival.
using header_fields = std::vector<header_field>;

/// Returns the first value of the field `name` (lower case), if any.
std::optional<std::string_view>
find_header(const header_fields& fields, std::string_view name);

/// Removes every field `name` (lower case).
void remove_header(header_fields& fields, std::string_view name);

/// Reads the next bytes of a body into the buffer. Returns 0 at the end of a
/// complete body; a truncated body is an error.
using body_reader =
    std::function<awaitable<result<std::size_t>>(boost::asio::mutable_buffer)>;

/// Returns a reader of an empty body.
body_reader empty_body();

/// Returns a reader of a body held in memory.
body_reader string_body(std::string text);

/// Reads a complete body of at most `limit` bytes.
/// @return the bytes, `errc::too_large` above the limit, or the reader's error
awaitable<result<std::string>> read_body(body_reader body, std::size_t limit);

/// A request whose body is read as a stream.
struct streamed_request
{
    std::string method;
    std::string target;
    header_fields headers;
    /// Length of the body in bytes, if known.
    std::optional<std::uint64_t> content_length;
    body_reader body;
};

/// An answer whose body is read as a stream.
struct streamed_response
{
    int status = 0;
    header_fields headers;
    /// Length of the body in bytes, if known.
    std::optional<std::uint64_t> content_length;
    body_reader body;
};

} // namespace fulmarjunction
