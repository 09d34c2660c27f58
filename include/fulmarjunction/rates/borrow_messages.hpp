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

/// Largest count of tokens in one message.
constexpr std::uint32_t max_loan_tokens = 1'000'000;

/// Most settled loans in one message; a longer list is split.
constexpr std::size_t max_settled_loans = 64;

/// Largest accepted borrow message, in bytes.
constexpr std::size_t max_borrow_message_bytes = 16 * 1024;

/// Says that the borrower will spend nothing more of a loan. The lender
/// takes `unspent` back. It accepts this once for each loan and only until
/// the loan has expired, so late and duplicate messages create no tokens.
struct settled_loan
{
    /// Number that the borrower gave to the request.
    std::uint64_t id = 0;
    std::uint32_t unspent = 0;

    bool operator==(const settled_loan&) const = default;
};

/// Asks a holder for tokens, or only settles earlier loans (no tokens).
struct borrow_request
{
    /// Increases with each request of one incarnation of the borrower.
    std::uint64_t id = 0;
    instance_name borrower;
    /// Incarnation of the borrower.
    incarnation_number incarnation = 0;
    client_account account;
    /// Tokens for requests that wait now.
    std::uint32_t needed = 0;
    /// Tokens for the demand of the near future.
    std::uint32_t ahead = 0;
    std::vector<settled_loan> settled;

    bool operator==(const borrow_request&) const = default;
};

/// A holder's answer.
struct borrow_answer
{
    std::uint64_t id = 0;
    client_account account;
    /// Tokens lent; 0 is a denial.
    std::uint32_t tokens = 0;
    /// How long the loan lives, counted from before its request was sent.
    milliseconds lifetime{0};
    /// Whole tokens left at the lender; a hint.
    std::uint32_t left = 0;
    /// After a denial: when to ask this holder again.
    milliseconds retry_after{0};
    /// False when the lender holds no usable share of the account.
    bool holds_share = false;

    bool operator==(const borrow_answer&) const = default;
};

/// Messages as JSON. Parsing refuses unknown and missing fields, wrong
/// types and values out of range.
std::string to_text(const borrow_request& message);
std::string to_text(const borrow_answer& message);
result<borrow_request> parse_borrow_request(std::string_view text);
result<borrow_answer> parse_borrow_answer(std::string_view text);

} // namespace fulmarjunction
