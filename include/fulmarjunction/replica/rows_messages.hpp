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

/// Largest serialized `rows_delta`. Four pieces fit in a control message, so
/// a piece never delays a probe on the same connection for long.
inline constexpr std::size_t max_rows_message_bytes = 256 * 1024;

/// Part of a row too large for one piece that the receiver already holds.
struct partial_row
{
    std::string key;
    table_version version = 0;
    /// Bytes held of the row's JSON text.
    std::uint64_t offset = 0;
};

/// Asks for the rows after a version.
struct rows_request
{
    /// The requester holds every row up to this version.
    table_version after = 0;
    /// Deletions up to this version are known to the requester. Differs from
    /// `after` while a snapshot is collected in pieces.
    table_version since = 0;
    std::optional<partial_row> partial;
};

/// Next bytes of a row too large for one piece.
struct row_fragment
{
    std::string key;
    table_version version = 0;
    std::uint64_t offset = 0;
    /// Length of the row's whole JSON text.
    std::uint64_t total = 0;
    std::string text;
};

/// Rows changed after `base`, complete up to `end`.
struct rows_delta
{
    table_version base = 0;
    table_version end = 0;
    /// Newest version that the sender knows; more pieces follow while it is
    /// greater than `end`.
    table_version head = 0;
    /// The rows are part of a snapshot: rows that it lacks were deleted.
    bool snapshot = false;
    /// The rows follow this place, which the request named: the receiver
    /// must still hold what came before it.
    std::optional<partial_row> follows;
    std::vector<table_row> rows;
    std::optional<row_fragment> fragment;
};

/// Body of a `rows` message: a request, or rows that are pushed.
using rows_message = std::variant<rows_request, rows_delta>;

/// Returns the compact JSON text of a message.
std::string to_text(const rows_request& message);
std::string to_text(const rows_delta& message);

/// Reads a message strictly: unknown members, wrong types and sizes over the
/// limit are refused with `errc::malformed` or `errc::too_large`.
result<rows_message> parse_rows_message(std::string_view text);

/// Returns the bytes that a row adds to a message, counted from above.
std::size_t row_size(const table_row& row);

} // namespace fulmarjunction
