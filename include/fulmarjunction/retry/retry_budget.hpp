/// @file
/// Extra attempts of a request tree, held by conservation.
#pragma once

#include <fulmarjunction/core/names.hpp>

#include <cstddef>
#include <cstdint>

namespace fulmarjunction {

/// The extra attempts that one node holds for one request. The sum over the
/// tree of all that is held or spent never exceeds the entry's stamp.
class retry_budget
{
public:
    explicit retry_budget(std::uint32_t extra_attempts) : left_(extra_attempts)
    {
    }

    /// Spends one extra attempt.
    /// @return false when none is left
    bool spend();

    /// Takes up to `wanted` attempts out, to be handed to a child call.
    std::uint32_t delegate(std::uint32_t wanted);

    /// Takes back what a child call returned unspent. More than was handed
    /// down to it is not accepted; a lost answer gives nothing back.
    /// @param handed what `delegate` returned for this child
    void reclaim(std::uint32_t handed, std::uint32_t unspent);

    std::uint32_t left() const { return left_; }

private:
    std::uint32_t left_;
};

/// Returns the part of `left` to hand to one child call when this many child
/// calls, it included, are still to be made; the split is even, rounded up.
std::uint32_t retry_share(std::uint32_t left, std::size_t children_to_come);

/// What is known when an attempt has failed.
struct failed_attempt
{
    outcome result = outcome::unknown;
    refusal_reason reason = refusal_reason::backend_failed;
    execution kind = execution::idempotent;
    /// Whether any part of an answer was passed on.
    bool answer_started = false;
    /// Whether the request's body can be sent again.
    bool body_replayable = false;
};

/// Returns whether the outcome allows another attempt at all; the budget and
/// the deadline are checked apart.
bool may_retry(const failed_attempt& attempt);

} // namespace fulmarjunction
