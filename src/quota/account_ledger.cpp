#include <fulmarjunction/quota/account_ledger.hpp>

#include <algorithm>
#include <cmath>

namespace fulmarjunction {

namespace {

/// What a bucket without a past holds, as time at the account's rate: enough
/// for requests inside the rate to pass at once, little enough that a ledger
/// that moves does not give the burst twice.
constexpr double first_fill_s = 0.25;
constexpr double first_fill_tokens = 2;

constexpr seconds unused_bucket{60};

/// Tokens that were taken and not used count against the account, so that
/// few are taken and they expire soon.
constexpr double lot_s = 0.2;
constexpr std::size_t largest_lot = 20;
constexpr milliseconds lot_lifetime{400};

/// Time over which a node's own request rate is averaged.
constexpr double rate_window_s = 1.0;

double decayed(double rate, duration passed)
{
    return rate * std::exp(-to_seconds(passed) / rate_window_s);
}

} // namespace

token_grant account_ledger::take(
    const account_plan& plan, std::size_t wanted, double share, time_point now)
{
    const auto rate = plan.rate * share;
    const auto burst = std::max(1.0, plan.burst * share);
    const auto [at, is_new] = buckets_.try_emplace(plan.name);
    auto& current = at->second;
    if (is_new) {
        current.tokens = first_fill_tokens + first_fill_s * rate;
    } else {
        current.tokens += rate * to_seconds(now - current.updated_at);
    }
    current.tokens = std::min(current.tokens, burst);
    current.updated_at = now;
    token_grant grant;
    grant.tokens = std::min(
        wanted, static_cast<std::size_t>(std::max(0.0, current.tokens)));
    current.tokens -= static_cast<double>(grant.tokens);
    if (grant.tokens == 0 && rate > 0)
        grant.next_token_in = from_seconds((1 - current.tokens) / rate);
    return grant;
}

void account_ledger::expire(time_point now)
{
    std::erase_if(buckets_, [now](const auto& entry) {
        return now - entry.second.updated_at >= unused_bucket;
    });
}

bool token_cache::use(const client_account& account, time_point now)
{
    auto& current = purses_[account];
    current.rate =
        decayed(current.rate, now - current.counted_at) + 1 / rate_window_s;
    current.counted_at = now;
    if (current.tokens == 0 || current.expires_at <= now) {
        current.tokens = 0;
        return false;
    }
    --current.tokens;
    return true;
}

std::size_t
token_cache::batch_size(const client_account& account, time_point now) const
{
    const auto found = purses_.find(account);
    if (found == purses_.end())
        return 1;
    const auto rate =
        decayed(found->second.rate, now - found->second.counted_at);
    const auto lot = static_cast<std::size_t>(rate * lot_s);
    return std::clamp<std::size_t>(lot, 1, largest_lot);
}

void token_cache::add(
    const client_account& account, std::size_t tokens, time_point now)
{
    auto& current = purses_[account];
    if (current.expires_at <= now)
        current.tokens = 0;
    current.tokens += tokens;
    current.expires_at = now + lot_lifetime;
}

} // namespace fulmarjunction
