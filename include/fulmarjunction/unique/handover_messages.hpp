/// @file
/// Control messages and the table row that hand over the open keys of a
/// stopping issuer to its successor.
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

/// Maximum serialized size of one handover piece, in bytes. Stays below the
/// 1 MiB limit for control messages.
constexpr std::size_t max_handover_piece_bytes = 768 * 1024;

/// An answer stored so that it can be replayed to resends of its request.
struct kept_answer
{
    int status = 0;
    header_fields headers;
    std::string body;

    bool operator==(const kept_answer& other) const;
};

/// Stored state of a key whose request was started.
struct open_key
{
    std::uint64_t sequence = 0;
    client_account account;
    endpoint_name endpoint;
    /// Hash of the request's method, target and body.
    std::string digest;
    /// Expiry on the issuer's monotonic clock, in milliseconds.
    std::int64_t expires_ms = 0;
    /// `answered` or `unknown`; a key that was not run is not in the table.
    outcome request_outcome = outcome::unknown;
    refusal_reason reason = refusal_reason::issuer_gone;
    /// Null when the answer was not kept.
    std::shared_ptr<const kept_answer> answer;
};

/// One piece of an issuer's key table.
struct handover_piece
{
    instance_name issuer;
    incarnation_number incarnation = 0;
    /// Distinguishes successive attempts to hand over the same table.
    std::uint64_t attempt = 0;
    std::uint32_t index = 0;
    /// Number of pieces in this attempt.
    std::uint32_t count = 0;
    /// The issuer's monotonic clock when the table was frozen, in
    /// milliseconds.
    std::int64_t frozen_at_ms = 0;
    std::vector<open_key> keys;
};

/// Confirms that the successor holds one piece.
struct handover_receipt
{
    instance_name issuer;
    incarnation_number incarnation = 0;
    std::uint64_t attempt = 0;
    std::uint32_t index = 0;

    bool operator==(const handover_receipt&) const = default;
};

/// Table row `handover/<issuer>/<incarnation>`, which names the successor that
/// answers for the issuer's keys.
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

/// Conversion of the messages and the row to and from JSON. Parsing rejects
/// unknown and missing fields, wrong types and out-of-range values.
std::string to_text(const handover_piece& message);
std::string to_text(const handover_receipt& message);
boost::json::value to_json(const handover_row& row);
result<handover_piece> parse_handover_piece(std::string_view text);
result<handover_receipt> parse_handover_receipt(std::string_view text);
result<handover_row> parse_handover_row(const boost::json::value& document);

} // namespace fulmarjunction
