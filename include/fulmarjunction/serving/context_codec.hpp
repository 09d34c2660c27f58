/// @file
/// Header fields between nodes for the request context and answer metadata.
#pragma once

#include <fulmarjunction/admission/endpoint_levels.hpp>
#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/request_context.hpp>

#include <cstdint>
#include <optional>

namespace fulmarjunction {

/// What a node reports about an answer in addition to the answer itself.
struct answer_metadata
{
    outcome request_outcome = outcome::answered;
    /// Set when a node refused the request or its backend server failed.
    std::optional<refusal_reason> reason;
    std::int64_t retry_after_ms = 0;
    std::uint32_t retries_unspent = 0;
    /// Admission level of the instance that was called.
    std::optional<double> level;
    /// Load in [0, 1] as the instance reports it.
    std::optional<double> load;
    /// What the downstream calls of the request observed.
    downstream_observation downstream;
};

/// Adds the context's fields. The deadline is sent as remaining time, so that
/// clocks need not be synchronized.
void write_context(
    header_fields& fields, const request_context& context, time_point now);

/// Removes the context's fields from `fields` and parses them.
/// @return `errc::malformed` when a field is missing or out of range
result<request_context> take_context(header_fields& fields, time_point now);

/// Adds the metadata's fields.
void write_answer_metadata(
    header_fields& fields, const answer_metadata& metadata);

/// Removes the metadata's fields from `fields` and parses them.
/// @return `errc::malformed` when the outcome is missing or a field is invalid
result<answer_metadata> take_answer_metadata(header_fields& fields);

/// Removes every field with the prefix of the fields between nodes, so that
/// only nodes of the fleet can set one.
void strip_internal_fields(header_fields& fields);

/// Removes the fields that callers and backend servers must not set for the
/// next hop: the fields between nodes, the nodes' public fields and the key.
void strip_reserved_fields(header_fields& fields);

/// Makes the answer that a node sends in place of a backend server's answer,
/// with the outcome and reason of the refusal.
streamed_response
refusal_answer(const refusal& details, answer_metadata metadata);

} // namespace fulmarjunction
