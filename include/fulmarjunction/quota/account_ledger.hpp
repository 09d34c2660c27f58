/// @file
/// Holds client accounts to their rates over the whole fleet.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/routes/service_map.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace fulmarjunction {

/// What a ledger gives out.
struct token_grant
{
    std::size_t tokens = 0;
    /// When a token will be there, where none was.
    duration next_token_in{};
};

/// The token buckets of the accounts whose ledger this node keeps.
///
/// One node keeps the ledger of an account, so the fleet as a whole can't
/// go over its rate; the others take tokens from it in small lots. When the
/// ledger moves to another node, the bucket begins nearly empty there.
class account_ledger
{
public:
    /// Takes up to `wanted` tokens of an account.
    /// @param share part of the rate that this side of a partition may grant
    token_grant take(
        const account_plan& plan, std::size_t wanted, double share,
        time_point now);

    /// Forgets buckets that nobody has used for some time.
    void expire(time_point now);

private:
    struct bucket
    {
        double tokens = 0;
        time_point updated_at{};
    };
    std::unordered_map<client_account, bucket> buckets_;
};

/// Tokens that a node has taken for requests to come.
class token_cache
{
public:
    /// Counts a request and uses a token for it, if there is one.
    bool use(const client_account& account, time_point now);

    /// Returns how many tokens to ask for with the next request.
    std::size_t batch_size(const client_account& account, time_point now) const;

    void add(const client_account& account, std::size_t tokens, time_point now);

private:
    struct purse
    {
        std::size_t tokens = 0;
        time_point expires_at{};
        double rate = 0;
        time_point counted_at{};
    };
    std::unordered_map<client_account, purse> purses_;
};

} // namespace fulmarjunction
