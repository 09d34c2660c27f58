#include "share_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace fulmarjunction::detail {

namespace {

constexpr double thousandths = 1000.0;

/// Shown instead of a wait for a bucket that does not fill.
constexpr duration no_token_soon = seconds(60);

} // namespace

double share_bucket::rate() const
{
    return static_cast<double>(amount_.rate) / thousandths;
}

double share_bucket::burst() const
{
    return static_cast<double>(amount_.burst) / thousandths;
}

duration share_bucket::until_token() const
{
    if (level_ >= 1)
        return duration::zero();
    if (amount_.rate == 0)
        return no_token_soon;
    const auto wait = from_seconds((1 - level_) / (rate() * fill_factor_));
    return std::min<duration>(wait + milliseconds(1), no_token_soon);
}

void share_bucket::refill(time_point now)
{
    if (now > at_) {
        level_ += rate() * fill_factor_ * to_seconds(now - at_);
        at_ = now;
    }
    // The cap counts loans that end now: they could be spent until now.
    level_ = std::clamp(level_, 0.0, std::max(0.0, burst() - lent_));
    while (!endings_.empty() && endings_.front().ends <= now) {
        const auto found = loans_.find(endings_.front().key);
        if (found != loans_.end() && found->second.ends <= now) {
            lent_ -= found->second.tokens;
            loans_.erase(found);
        }
        endings_.pop_front();
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
    endings_.clear();
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
    milliseconds lifetime, duration held, time_point now)
{
    refill(now);
    const auto whole =
        static_cast<std::uint32_t>(std::min(std::floor(level_), 1e9));
    const auto first = std::min(needed, whole);
    const auto tokens = first + std::min(ahead, (whole - first) / 2);
    if (tokens == 0)
        return 0;
    level_ -= tokens;
    lent_ += tokens;
    loans_[key] = loan_out{tokens, lifetime, now + held};
    endings_.push_back({now + held, key});
    return tokens;
}

const loan_out* share_bucket::find(const loan_key& key) const
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
    const auto back = std::min(unspent, found->second.tokens);
    lent_ -= found->second.tokens;
    level_ += back;
    loans_.erase(found);
    level_ = std::clamp(level_, 0.0, std::max(0.0, burst() - lent_));
    return back;
}

} // namespace fulmarjunction::detail
