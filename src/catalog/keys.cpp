// Callers' keys: generated once, stored only as keyed hashes.
#include <fulmarjunction/catalog/catalog.hpp>

#include <sodium.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace fulmarjunction {

namespace {

constexpr std::string_view text_prefix = "fjk_";
constexpr std::size_t id_bytes = 8;
constexpr std::size_t secret_bytes = 32;
constexpr std::size_t id_digits = 2 * id_bytes;
constexpr std::size_t secret_digits = 2 * secret_bytes;

using hash_bytes = std::array<unsigned char, crypto_generichash_BYTES>;

void initialize_sodium()
{
    // sodium_init() may be called repeatedly; it fails only if no source of
    // randomness is available.
    static const bool ready = sodium_init() >= 0;
    if (!ready)
        throw std::runtime_error("libsodium cannot be initialized");
}

template <std::size_t Size>
std::string to_hexadecimal(const std::array<unsigned char, Size>& bytes)
{
    std::string digits(2 * Size + 1, '\0');
    sodium_bin2hex(digits.data(), digits.size(), bytes.data(), bytes.size());
    digits.pop_back();
    return digits;
}

template <std::size_t Size>
std::string random_hexadecimal()
{
    std::array<unsigned char, Size> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return to_hexadecimal(bytes);
}

hash_bytes
hash(std::string_view text, const unsigned char* key, std::size_t size)
{
    hash_bytes digest{};
    crypto_generichash(
        digest.data(), digest.size(),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(), key,
        size);
    return digest;
}

hash_bytes keyed_hash(std::string_view text, std::string_view pepper)
{
    // BLAKE2b takes keys of at most 64 bytes; a pepper may be longer.
    const auto key = hash(pepper, nullptr, 0);
    return hash(text, key.data(), key.size());
}

bool is_hex_digit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

} // namespace

new_key make_key(const client_account& account, std::string_view pepper)
{
    initialize_sodium();
    new_key created;
    created.record.id = random_hexadecimal<id_bytes>();
    created.record.account = account;
    created.text = std::string(text_prefix) + created.record.id + "_" +
                   random_hexadecimal<secret_bytes>();
    created.record.hash = to_hexadecimal(keyed_hash(created.text, pepper));
    return created;
}

std::optional<std::string_view> parse_key_id(std::string_view text)
{
    constexpr std::size_t secret_offset = text_prefix.size() + id_digits + 1;
    if (text.size() != secret_offset + secret_digits ||
        !text.starts_with(text_prefix) || text[secret_offset - 1] != '_')
        return std::nullopt;
    const auto id = text.substr(text_prefix.size(), id_digits);
    const auto secret = text.substr(secret_offset);
    if (!std::all_of(id.begin(), id.end(), is_hex_digit) ||
        !std::all_of(secret.begin(), secret.end(), is_hex_digit))
        return std::nullopt;
    return id;
}

bool verify_key(
    std::string_view text, const key_record& record, std::string_view pepper)
{
    initialize_sodium();
    const auto digits = to_hexadecimal(keyed_hash(text, pepper));
    if (record.hash.size() != digits.size())
        return false;
    return sodium_memcmp(digits.data(), record.hash.data(), digits.size()) == 0;
}

} // namespace fulmarjunction
