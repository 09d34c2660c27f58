#include <fulmarjunction/retry/retry_budget.hpp>

#include <algorithm>

namespace fulmarjunction {

bool retry_budget::spend()
{
    if (left_ == 0)
        return false;
    --left_;
    return true;
}

std::uint32_t retry_budget::delegate(std::uint32_t wanted)
{
    const auto delegated = std::min(wanted, left_);
    left_ -= delegated;
    return delegated;
}

void retry_budget::reclaim(std::uint32_t delegated, std::uint32_t unspent)
{
    // A child that returns more than was delegated would raise the total.
    left_ += std::min(delegated, unspent);
}

std::uint32_t retry_share(std::uint32_t left, std::size_t remaining_children)
{
    if (remaining_children == 0)
        return 0;
    const auto children = static_cast<std::uint32_t>(
        std::min<std::size_t>(remaining_children, left + 1));
    return (left + children - 1) / children;
}

bool may_retry(const failed_attempt& attempt)
{
    if (attempt.answer_started || !attempt.body_replayable)
        return false;
    if (attempt.result == outcome::answered)
        return false;
    if (attempt.result == outcome::unknown && attempt.kind == execution::unique)
        return false;
    switch (attempt.reason) {
    // Another instance may be able to run the request.
    case refusal_reason::overloaded:
    case refusal_reason::no_instance:
    case refusal_reason::draining:
    case refusal_reason::stale_configuration:
    case refusal_reason::backend_failed:
        return true;
    // Every instance would answer the same.
    default:
        return false;
    }
}

} // namespace fulmarjunction
