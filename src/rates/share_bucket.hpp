#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/rates/share_ledger.hpp>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>

namespace fulmarjunction::detail {

/// By how much longer than the other side a node counts. Two clocks that
/// each run up to 1% wrong differ by at most 1.01 / 0.99.
constexpr double clock_margin = 1.021;

/// Names a loan at its lender.
struct loan_key
{
    instance_name borrower;
    incarnation_number incarnation = 0;
    std::uint64_t id = 0;

    // clang-tidy 14 takes the literal 0 of a defaulted <=> for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const loan_key&) const = default;
};

/// Tokens that were lent, as the lender remembers them.
struct loan_out
{
    std::uint32_t tokens = 0;
    milliseconds lifetime{0};
    time_point ends;
};

/// The token bucket of a node's own shares of one account. Its level plus
/// what is lent never exceeds the burst, and it starts empty.
class share_bucket
{
public:
    /// @param fill_factor below 1 for clocks that run fast
    share_bucket(double fill_factor, time_point now)
        : fill_factor_(fill_factor), at_(now)
    {
    }

    /// Changes rate and burst from now on.
    void set_amount(const share_amount& amount, time_point now);

    /// Empties the bucket and forgets its loans.
    void clear(time_point now);

    /// Adds what has flowed in and drops loans that have expired.
    void refill(time_point now);

    /// Takes one token.
    bool spend(time_point now);

    /// Lends tokens until `now + held`.
    /// @param needed tokens lent as far as there are any
    /// @param ahead tokens lent from at most half of the rest
    std::uint32_t lend(
        const loan_key& key, std::uint32_t needed, std::uint32_t ahead,
        milliseconds lifetime, duration held, time_point now);

    /// Returns a loan that has not ended, or null.
    const loan_out* find(const loan_key& key) const;

    /// Takes back what the borrower of a loan will not spend.
    /// @return tokens taken back
    std::uint32_t
    settle(const loan_key& key, std::uint32_t unspent, time_point now);

    const share_amount& amount() const { return amount_; }
    double level() const { return level_; }
    double lent() const { return lent_; }
    /// Tokens per second and tokens.
    double rate() const;
    double burst() const;
    /// Returns how long it takes until the bucket holds a whole token.
    duration until_token() const;

private:
    struct ending
    {
        time_point ends;
        loan_key key;
    };

    double fill_factor_;
    time_point at_;
    share_amount amount_;
    double level_ = 0;
    double lent_ = 0;
    std::map<loan_key, loan_out> loans_;
    std::deque<ending> endings_;
};

} // namespace fulmarjunction::detail
