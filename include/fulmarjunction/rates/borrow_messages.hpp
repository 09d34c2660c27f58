/// @file
/// Control messages by which nodes lend tokens to one another.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Maximum value of a token count in a message.
constexpr std::uint32_t max_loan_tokens = 1'000'000;

/// Maximum number of settled loans in one message. A borrower that has more for
/// one holder drops the oldest, and the lender then waits for those loans to
/// expire.
constexpr std::size_t max_settled_loans = 64;

/// Maximum size of an accepted borrow message, in bytes.
constexpr std::size_t max_borrow_message_bytes = 16 * 1024;

/// Ends a loan early: the borrower spends no more of it and returns `unspent`
/// tokens. The lender accepts this once for each loan and only until the loan
/// has expired, so late and duplicate messages create no tokens.
struct settled_loan
{
    /// Number of the borrow request that the loan was given for.
    std::uint64_t id = 0;
    std::uint32_t unspent = 0;

    bool operator==(const settled_loan&) const = default;
};

/// Requests tokens from a share holder, or with no tokens requested only
/// settles earlier loans.
struct borrow_request
{
    /// Increases with each request of one incarnation of the borrower.
    std::uint64_t id = 0;
    instance_name borrower;
    /// Incarnation of the borrower.
    incarnation_number incarnation = 0;
    client_account account;
    /// Tokens for requests that are waiting now.
    std::uint32_t needed = 0;
    /// Tokens for the demand expected in the near future.
    std::uint32_t ahead = 0;
    std::vector<settled_loan> settled;

    bool operator==(const borrow_request&) const = default;
};

/// Answer of a share holder to a borrow request.
struct borrow_answer
{
    std::uint64_t id = 0;
    client_account account;
    /// Tokens lent; 0 means that the request was denied.
    std::uint32_t tokens = 0;
    /// Lifetime of the loan, measured by the borrower from before it sent the
    /// request.
    milliseconds lifetime{0};
    /// Whole tokens left in the lender's bucket; only a hint.
    std::uint32_t left = 0;
    /// After a denial: time after which to retry at this holder.
    milliseconds retry_after{0};
    /// False when the lender holds no usable share of the account.
    bool holds_share = false;

    bool operator==(const borrow_answer&) const = default;
};

/// Messages as JSON. The parsers reject unknown and missing fields, wrong
/// types and values out of range.
std::string to_text(const borrow_request& message);
std::string to_text(const borrow_answer& message);
result<borrow_request> parse_borrow_request(std::string_view text);
result<borrow_answer> parse_borrow_answer(std::string_view text);

} // namespace fulmarjunction
