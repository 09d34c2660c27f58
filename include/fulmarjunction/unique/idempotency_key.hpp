/// @file
/// Text encoding of idempotency keys.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Maximum length of an idempotency key's text, in bytes.
constexpr std::size_t max_idempotency_key_bytes = 512;

/// Maximum length of an instance or account name inside a key, in bytes.
constexpr std::size_t max_key_name_bytes = 128;

/// Decoded fields of an idempotency key.
struct idempotency_key
{
    instance_name issuer;
    incarnation_number incarnation = 0;
    std::uint64_t sequence = 0;
    client_account account;
    /// Expiry on the issuer's monotonic clock, in milliseconds.
    std::int64_t expires_ms = 0;

    bool operator==(const idempotency_key&) const = default;
};

/// Secret that authenticates keys (MAC key).
struct key_secret
{
    std::array<std::uint8_t, 32> bytes{};
};

/// Derives the idempotency key secret from the peer secret.
key_secret derive_key_secret(std::string_view peer_secret);

/// Encodes a key as printable text without spaces: a version prefix followed
/// by the fields and their MAC in URL-safe base64.
/// @return the text, or `errc::too_large` when a name is empty or too long
result<std::string>
format_key(const idempotency_key& key, const key_secret& secret);

/// Decodes a key and verifies its MAC in constant time. Each key has exactly
/// one valid text; any other encoding of it is rejected.
/// @return the key, `errc::malformed` for invalid text or
///         `errc::unauthorized` for a wrong MAC
result<idempotency_key>
parse_key(std::string_view text, const key_secret& secret);

} // namespace fulmarjunction
