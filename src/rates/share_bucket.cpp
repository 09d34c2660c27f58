#include "share_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace fulmarjunction::detail {

namespace {

constexpr double thousandths_per_token = 1000.0;

/// Upper limit of the wait for a token, also used for a rate of 0.
constexpr duration max_token_wait = seconds(60);

} // namespace

double share_bucket::rate() const
{
    return static_cast<double>(amount_.rate) / thousandths_per_token;
}

double share_bucket::burst() const
{
    return static_cast<double>(amount_.burst) / thousandths_per_token;
}

duration share_bucket::until_token() const
{
    if (level_ >= 1)
        return duration::zero();
    if (amount_.rate == 0)
        return max_token_wait;
    const auto wait = from_seconds((1 - level_) / (rate() * fill_factor_));
    return std::min<duration>(wait + milliseconds(1), max_token_wait);
}

void share_bucket::refill(time_point now)
{
    if (now > refilled_at_) {
        level_ += rate() * fill_factor_ * to_seconds(now - refilled_at_);
        refilled_at_ = now;
    }
    // The limit still counts loans that expire now, because the borrower could
    // spend them until now.
    level_ = std::clamp(level_, 0.0, std::max(0.0, burst() - lent_));
    while (!expiries_.empty() && expiries_.front().expires <= now) {
        const auto found = loans_.find(expiries_.front().key);
        if (found != loans_.end() && found->second.expires <= now) {
            lent_ -= found->second.tokens;
            loans_.erase(found);
        }
        expiries_.pop_front();
    }
}

void share_bucket::set_amount(const share_amount& amount, time_point now)
{
    refill(now);
    amount_ = amount;
    level_ = std::clamp(level_, 0.0, std::max(0.0, burst() - lent_));
}

void share_bucket::clear(time_point now)
{
    refill(now);
    level_ = 0;
    lent_ = 0;
    loans_.clear();
    expiries_.clear();
}

bool share_bucket::spend(time_point now)
{
    refill(now);
    if (level_ < 1)
        return false;
    level_ -= 1;
    return true;
}

std::uint32_t share_bucket::lend(
    const loan_key& key, std::uint32_t needed, std::uint32_t ahead,
    milliseconds lifetime, duration hold, time_point now)
{
    refill(now);
    const auto whole_tokens =
        static_cast<std::uint32_t>(std::min(std::floor(level_), 1e9));
    const auto needed_tokens = std::min(needed, whole_tokens);
    const auto tokens =
        needed_tokens + std::min(ahead, (whole_tokens - needed_tokens) / 2);
    if (tokens == 0)
        return 0;
    level_ -= tokens;
    lent_ += tokens;
    loans_[key] = outgoing_loan{tokens, lifetime, now + hold};
    expiries_.push_back({now + hold, key});
    return tokens;
}

const outgoing_loan* share_bucket::find(const loan_key& key) const
{
    const auto found = loans_.find(key);
    return found == loans_.end() ? nullptr : &found->second;
}

std::uint32_t
share_bucket::settle(const loan_key& key, std::uint32_t unspent, time_point now)
{
    refill(now);
    const auto found = loans_.find(key);
    if (found == loans_.end())
        return 0;
    const auto returned = std::min(unspent, found->second.tokens);
    lent_ -= found->second.tokens;
    level_ += returned;
    loans_.erase(found);
    level_ = std::clamp(level_, 0.0, std::max(0.0, burst() - lent_));
    return returned;
}

} // namespace fulmarjunction::detail
