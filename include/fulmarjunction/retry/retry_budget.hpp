/// @file
/// Budget of extra attempts for a tree of requests.
#pragma once

#include <fulmarjunction/core/names.hpp>

#include <cstddef>
#include <cstdint>

namespace fulmarjunction {

/// The extra attempts that one node holds for one request. The sum of held and
/// spent attempts over the whole tree never exceeds the number that the entry
/// node set.
class retry_budget
{
public:
    explicit retry_budget(std::uint32_t extra_attempts) : left_(extra_attempts)
    {
    }

    /// Spends one extra attempt.
    /// @return false when none is left
    bool spend();

    /// Takes up to `wanted` attempts out of the budget for a child call.
    std::uint32_t delegate(std::uint32_t wanted);

    /// Adds the attempts that a child call returned unspent, at most those
    /// that were delegated to it. A lost answer returns none.
    /// @param delegated what `delegate` returned for this child
    void reclaim(std::uint32_t delegated, std::uint32_t unspent);

    std::uint32_t left() const { return left_; }

private:
    std::uint32_t left_;
};

/// Returns the share of `left` to delegate to one child call.
/// @param remaining_children child calls still to be made, this one included;
///        the split among them is even, rounded up
std::uint32_t retry_share(std::uint32_t left, std::size_t remaining_children);

/// Properties of a failed attempt that decide about a retry.
struct failed_attempt
{
    outcome result = outcome::unknown;
    refusal_reason reason = refusal_reason::backend_failed;
    execution kind = execution::idempotent;
    /// Whether part of an answer has already been forwarded to the caller.
    bool answer_started = false;
    /// Whether the body of the request can be sent again.
    bool body_replayable = false;
};

/// Returns whether the failure allows another attempt. The budget and the
/// deadline are checked separately.
bool may_retry(const failed_attempt& attempt);

} // namespace fulmarjunction
