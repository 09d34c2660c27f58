/// @file
/// Limits the request rates of client accounts across the fleet.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/routes/service_map.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace fulmarjunction {

/// Tokens granted by a ledger.
struct token_grant
{
    std::size_t tokens = 0;
    /// Time until the next token when none was available.
    duration next_token_in{};
};

/// Token buckets of the accounts whose ledger this node keeps.
///
/// One node keeps the ledger of an account, so that the fleet as a whole cannot
/// exceed the rate. The other nodes take tokens from it in small batches. When
/// the ledger moves to another node, the bucket starts nearly empty there.
class account_ledger
{
public:
    /// Takes up to `wanted` tokens of an account.
    /// @param share share of the rate that this side of a partition may grant
    token_grant take(
        const account_plan& plan, std::size_t wanted, double share,
        time_point now);

    /// Removes buckets that have not been used for some time.
    void expire(time_point now);

private:
    struct bucket
    {
        double tokens = 0;
        time_point updated_at{};
    };
    std::unordered_map<client_account, bucket> buckets_;
};

/// Tokens that a node has taken from ledgers for upcoming requests.
class token_cache
{
public:
    /// Counts a request and uses a token for it.
    /// @return false when no valid token is cached
    bool use(const client_account& account, time_point now);

    /// Returns the number of tokens to request next.
    std::size_t batch_size(const client_account& account, time_point now) const;

    void add(const client_account& account, std::size_t tokens, time_point now);

private:
    struct cache_entry
    {
        std::size_t tokens = 0;
        time_point expires_at{};
        /// Average request rate of this node, as of `rate_updated_at`.
        double rate = 0;
        time_point rate_updated_at{};
    };
    std::unordered_map<client_account, cache_entry> entries_;
};

} // namespace fulmarjunction
