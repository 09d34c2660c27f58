/// @file
/// Text form of idempotency keys.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Longest text of an idempotency key, in bytes.
constexpr std::size_t max_idempotency_key_bytes = 512;

/// Longest name of an instance or an account inside a key, in bytes.
constexpr std::size_t max_key_name_bytes = 128;

/// What an idempotency key names.
struct idempotency_key
{
    instance_name issuer;
    /// Incarnation of the issuer.
    incarnation_number incarnation = 0;
    std::uint64_t sequence = 0;
    client_account account;
    /// End of its validity: milliseconds on the issuer's monotonic clock.
    std::int64_t expires_ms = 0;

    bool operator==(const idempotency_key&) const = default;
};

/// Secret under which keys are authenticated.
struct key_secret
{
    std::array<std::uint8_t, 32> bytes{};
};

/// Derives the secret for idempotency keys from the peer secret.
key_secret derive_key_secret(std::string_view peer_secret);

/// Returns the key as printable text without spaces: a version prefix and
/// the fields with their MAC in URL-safe base64.
/// @return `errc::too_large` when a name is too long
result<std::string>
format_key(const idempotency_key& key, const key_secret& secret);

/// Reads a key and checks its MAC in constant time. There is one text for
/// each key; any other spelling is refused.
/// @return `errc::malformed` or `errc::unauthorized`
result<idempotency_key>
parse_key(std::string_view text, const key_secret& secret);

} // namespace fulmarjunction
