/// @file
/// Messages and the row by which a table of open keys is handed over.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/names.hpp>

#include <boost/json/value.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Largest text of one handover piece, in bytes; below the limit of 1 MiB
/// for control messages.
constexpr std::size_t max_handover_piece_bytes = 768 * 1024;

/// An answer kept for resends.
struct kept_answer
{
    int status = 0;
    header_fields headers;
    std::string body;

    bool operator==(const kept_answer& other) const;
};

/// What is known of a started key.
struct open_key
{
    std::uint64_t sequence = 0;
    client_account account;
    endpoint_name endpoint;
    /// Hash of the request.
    std::string digest;
    /// End of validity on the issuer's monotonic clock, in milliseconds.
    std::int64_t expires_ms = 0;
    /// `answered` or `unknown`.
    outcome request_outcome = outcome::unknown;
    refusal_reason reason = refusal_reason::issuer_gone;
    /// Empty when the answer was not kept.
    std::shared_ptr<const kept_answer> answer;
};

/// One part of the table of one issuer.
struct handover_piece
{
    instance_name issuer;
    /// Incarnation of the issuer.
    incarnation_number incarnation = 0;
    /// Distinguishes attempts to hand over the same table.
    std::uint64_t attempt = 0;
    std::uint32_t index = 0;
    /// Number of pieces.
    std::uint32_t count = 0;
    /// The issuer's monotonic clock when the table was frozen, in
    /// milliseconds.
    std::int64_t frozen_at_ms = 0;
    std::vector<open_key> keys;
};

/// Confirms one piece.
struct handover_receipt
{
    instance_name issuer;
    incarnation_number incarnation = 0;
    std::uint64_t attempt = 0;
    std::uint32_t index = 0;

    bool operator==(const handover_receipt&) const = default;
};

/// The row `handover/<issuer>/<incarnation>`.
struct handover_row
{
    instance_name issuer;
    incarnation_number incarnation = 0;
    std::uint64_t attempt = 0;
    instance_name successor;
    incarnation_number successor_incarnation = 0;

    bool operator==(const handover_row&) const = default;
};

/// Returns the row key `handover/<issuer>/<incarnation>`.
std::string
handover_row_key(const instance_name& issuer, incarnation_number incarnation);

/// Messages and the row as JSON. Parsing refuses unknown and missing fields,
/// wrong types and values out of range.
std::string to_text(const handover_piece& message);
std::string to_text(const handover_receipt& message);
boost::json::value to_json(const handover_row& row);
result<handover_piece> parse_handover_piece(std::string_view text);
result<handover_receipt> parse_handover_receipt(std::string_view text);
result<handover_row> parse_handover_row(const boost::json::value& document);

} // namespace fulmarjunction
