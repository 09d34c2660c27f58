#include <fulmarjunction/quota/account_ledger.hpp>

#include <algorithm>
#include <cmath>

namespace fulmarjunction {

namespace {

/// Initial fill of a new bucket: `initial_fill_tokens` plus the tokens of
/// `initial_fill_s` at the account's rate. This is enough for requests within
/// the rate to pass at once, and little enough that a ledger that moves does
/// not grant the burst twice.
constexpr double initial_fill_s = 0.25;
constexpr double initial_fill_tokens = 2;

constexpr seconds bucket_expiry{60};

/// Tokens that were taken and not used count against the account, so batches
/// are small and expire soon. A batch covers `batch_s` at the node's own rate.
constexpr double batch_s = 0.2;
constexpr std::size_t max_batch_size = 20;
constexpr milliseconds batch_lifetime{400};

/// Time constant of the moving average of a node's own request rate.
constexpr double rate_window_s = 1.0;

double decayed(double rate, duration elapsed)
{
    return rate * std::exp(-to_seconds(elapsed) / rate_window_s);
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
        current.tokens = initial_fill_tokens + initial_fill_s * rate;
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
        return now - entry.second.updated_at >= bucket_expiry;
    });
}

bool token_cache::use(const client_account& account, time_point now)
{
    auto& current = entries_[account];
    current.rate = decayed(current.rate, now - current.rate_updated_at) +
                   1 / rate_window_s;
    current.rate_updated_at = now;
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
    const auto found = entries_.find(account);
    if (found == entries_.end())
        return 1;
    const auto rate =
        decayed(found->second.rate, now - found->second.rate_updated_at);
    const auto size = static_cast<std::size_t>(rate * batch_s);
    return std::clamp<std::size_t>(size, 1, max_batch_size);
}

void token_cache::add(
    const client_account& account, std::size_t tokens, time_point now)
{
    auto& current = entries_[account];
    if (current.expires_at <= now)
        current.tokens = 0;
    current.tokens += tokens;
    current.expires_at = now + batch_lifetime;
}

} // namespace fulmarjunction
