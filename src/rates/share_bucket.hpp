#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/rates/share_ledger.hpp>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>

namespace fulmarjunction::detail {

/// Factor by which a node extends a time limit that another node measures.
/// Two clocks with a rate error of up to 1% each differ by at most a factor of
/// 1.01 / 0.99.
constexpr double clock_margin = 1.021;

/// Identifies a loan at its lender.
struct loan_key
{
    instance_name borrower;
    incarnation_number incarnation = 0;
    std::uint64_t id = 0;

    // clang-tidy 14 takes the literal 0 of a defaulted <=> for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const loan_key&) const = default;
};

/// A loan as recorded by its lender.
struct outgoing_loan
{
    std::uint32_t tokens = 0;
    milliseconds lifetime{0};
    time_point expires;
};

/// Token bucket of a node's own shares of one account. It starts empty, and
/// its level plus the tokens lent never exceeds the burst.
class share_bucket
{
public:
    /// @param fill_factor factor on the rate; below 1 it compensates for a
    ///        clock that runs fast
    share_bucket(double fill_factor, time_point now)
        : fill_factor_(fill_factor), refilled_at_(now)
    {
    }

    /// Changes rate and burst from now on.
    void set_amount(const share_amount& amount, time_point now);

    /// Empties the bucket and forgets its loans.
    void clear(time_point now);

    /// Adds the tokens accrued since the last call and removes loans that have
    /// expired.
    void refill(time_point now);

    /// Takes one token.
    bool spend(time_point now);

    /// Lends tokens until `now + hold`.
    /// @param needed tokens to lend as far as the level allows
    /// @param ahead further tokens, at most half of what is left then
    std::uint32_t lend(
        const loan_key& key, std::uint32_t needed, std::uint32_t ahead,
        milliseconds lifetime, duration hold, time_point now);

    /// Returns a loan that has neither expired nor been settled, or null.
    const outgoing_loan* find(const loan_key& key) const;

    /// Ends a loan and returns its unspent tokens to the bucket.
    /// @return tokens returned
    std::uint32_t
    settle(const loan_key& key, std::uint32_t unspent, time_point now);

    const share_amount& amount() const { return amount_; }
    double level() const { return level_; }
    double lent() const { return lent_; }
    /// Tokens per second.
    double rate() const;
    /// Tokens.
    double burst() const;
    /// Returns the time until the bucket holds a whole token.
    duration until_token() const;

private:
    struct loan_expiry
    {
        time_point expires;
        loan_key key;
    };

    double fill_factor_;
    time_point refilled_at_;
    share_amount amount_;
    double level_ = 0;
    double lent_ = 0;
    std::map<loan_key, outgoing_loan> loans_;
    std::deque<loan_expiry> expiries_;
};

} // namespace fulmarjunction::detail
