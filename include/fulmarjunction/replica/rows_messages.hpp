/// @file
/// Messages that carry table rows between nodes (control name `rows`).
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/platform/table_service.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fulmarjunction {

/// Maximum size of a serialized `rows_delta`. This is a quarter of the limit
/// for control messages, so that a piece does not delay a probe on the same
/// connection for long.
inline constexpr std::size_t max_rows_message_bytes = 256 * 1024;

/// Position in a row that is too large for one piece: what the receiver already
/// holds of it.
struct partial_row
{
    std::string key;
    table_version version = 0;
    /// Number of bytes of the row's JSON text that are held.
    std::uint64_t offset = 0;
};

/// Requests the rows after a version.
struct rows_request
{
    /// The requester holds every row up to this version.
    table_version after = 0;
    /// The requester knows all deletions up to this version. Differs from
    /// `after` while a snapshot is received in pieces.
    table_version since = 0;
    std::optional<partial_row> partial;
};

/// Next bytes of a row that is too large for one piece.
struct row_fragment
{
    std::string key;
    table_version version = 0;
    std::uint64_t offset = 0;
    /// Total length of the row's JSON text in bytes.
    std::uint64_t total = 0;
    std::string text;
};

/// Rows that changed after `base`, complete up to `end`.
struct rows_delta
{
    table_version base = 0;
    table_version end = 0;
    /// Newest version that the sender holds. More pieces follow while it is
    /// greater than `end`.
    table_version head = 0;
    /// The rows are part of a snapshot: rows missing from the whole snapshot
    /// were deleted.
    bool snapshot = false;
    /// Position from the request that the rows continue from. The receiver must
    /// still hold everything before it.
    std::optional<partial_row> follows;
    std::vector<table_row> rows;
    std::optional<row_fragment> fragment;
};

/// Body of a `rows` message: a pull request, or rows.
using rows_message = std::variant<rows_request, rows_delta>;

/// Serializes a message to compact JSON.
std::string to_text(const rows_request& message);
std::string to_text(const rows_delta& message);

/// Parses a message. Unknown members and wrong types are rejected with
/// `errc::malformed`, texts above the size limit with `errc::too_large`.
result<rows_message> parse_rows_message(std::string_view text);

/// Returns an upper bound of the bytes that a row adds to a message.
std::size_t row_size(const table_row& row);

} // namespace fulmarjunction
