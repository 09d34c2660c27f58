/// @file
/// The request context and what is known of an answer, as header fields
/// between nodes.
#pragma once

#include <fulmarjunction/admission/endpoint_levels.hpp>
#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/request_context.hpp>

#include <cstdint>
#include <optional>

namespace fulmarjunction {

/// What a node says about an answer beside the answer itself.
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
    /// What the calls that were made for the request met.
    downstream_observation downstream;
};

/// Adds the context's fields; the deadline travels as remaining time, so
/// that clocks need not agree.
void write_context(
    header_fields& fields, const request_context& context, time_point now);

/// Takes the context's fields out of `fields`.
/// @return `errc::malformed` when a field is missing or out of range
result<request_context> take_context(header_fields& fields, time_point now);

/// Adds the notes' fields.
void write_answer_metadata(header_fields& fields, const answer_metadata& notes);

/// Takes the notes' fields out of `fields`.
/// @return `errc::malformed` when the outcome is missing or a field is bad
result<answer_metadata> take_answer_metadata(header_fields& fields);

/// Removes every field with the prefix of the fields between nodes, so that
/// nobody outside the fleet can set one.
void strip_internal_fields(header_fields& fields);

/// Removes what a caller or a backend server may not send on: the fields
/// between nodes, those by which nodes speak to the outside, and the key.
void strip_reserved_fields(header_fields& fields);

/// Makes an answer that says that, and why, a node did not pass on an
/// answer of a backend server.
streamed_response refusal_answer(const refusal& why, answer_metadata notes);

} // namespace fulmarjunction
