/// @file
/// The share ledger of a client account: the table row `shares/<account>`.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarjunction {

/// A rate and a burst in thousandths of a token. Integers keep sums exact.
struct share_amount
{
    /// Thousandths of a token per second.
    std::int64_t rate = 0;
    /// Thousandths of a token.
    std::int64_t burst = 0;

    bool operator==(const share_amount&) const = default;
};

/// Returns the smaller of both rates and the smaller of both bursts.
share_amount lower_of(const share_amount& a, const share_amount& b);
share_amount operator+(const share_amount& a, const share_amount& b);
/// Subtracts rates and bursts; a negative difference becomes 0.
share_amount operator-(const share_amount& a, const share_amount& b);
/// Returns whether neither the rate nor the burst of `inner` exceeds that of
/// `outer`.
bool fits(const share_amount& inner, const share_amount& outer);

/// The plan of one client account and the versions of the rows it was read
/// from.
struct account_plan
{
    /// Requests per second across the fleet.
    double rate = 0;
    /// Requests that may be admitted at once across the fleet.
    double burst = 0;
    /// Versions of `catalog/accounts` and `catalog/plans`. A claim or raise
    /// is written only while both rows are still at these versions.
    table_version accounts_version = 0;
    table_version plans_version = 0;

    bool operator==(const account_plan&) const = default;
};

/// Returns the plan as an exact amount, rounded down.
share_amount to_amount(const account_plan& plan);

/// Returns the number of shares of a plan: clamp(burst / 8, 1, 16), or 0 for
/// a plan that admits nothing (a rate of 0 or a burst below one token).
std::uint32_t share_count(const account_plan& plan);

/// Returns the amount of each share of a plan, rounded down.
share_amount share_of(const account_plan& plan);

/// A claimed share and its holder.
struct share_entry
{
    std::uint32_t index = 0;
    instance_name holder;
    /// Incarnation of the holder.
    incarnation_number incarnation = 0;
    /// Number of times the holder's lease had lapsed when it wrote the claim.
    /// A holder must not use an entry of an earlier epoch than its own.
    std::uint64_t epoch = 0;
    /// Length of the holder's lease. Another node takes the share over only
    /// after this time.
    milliseconds lease{0};
    share_amount amount;

    bool operator==(const share_entry&) const = default;
};

/// All claimed shares of an account, ordered by index.
struct share_ledger
{
    std::vector<share_entry> shares;

    /// Returns the entry with this index, or null.
    const share_entry* find(std::uint32_t index) const;
    share_entry* find(std::uint32_t index);
    /// Returns the sum over all entries.
    share_amount sum() const;

    bool operator==(const share_ledger&) const = default;
};

/// Returns the row key `shares/<account>`.
std::string share_row_key(const client_account& account);

/// Parses the row's value. Rejects unknown fields, wrong types, negative
/// amounts, indices that are not increasing and more than 256 entries.
result<share_ledger> parse_share_ledger(const boost::json::value& document);
boost::json::value to_json(const share_ledger& ledger);

} // namespace fulmarjunction
