#include <peer/handshake.hpp>

#include <sodium.h>

#include <algorithm>
#include <stdexcept>

namespace fulmarjunction::detail {

namespace {

/// Magic bytes: protocol and version of the handshake.
constexpr std::string_view hello_magic = "FJP1";
constexpr std::size_t incarnation_size = 8;

/// Domain separation between the uses of the secret and from other hashes.
constexpr std::string_view key_domain = "fulmarjunction peer key v1";
constexpr std::string_view proof_domain = "fulmarjunction peer proof v1";

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

void init_sodium()
{
    static const int init_result = sodium_init();
    if (init_result < 0)
        throw std::runtime_error("libsodium cannot be initialized");
}

void update(crypto_generichash_state& state, std::string_view text)
{
    crypto_generichash_update(&state, as_bytes(text), text.size());
}

/// Derives a key of the fixed length that the hash needs from a secret of any
/// length.
std::array<unsigned char, crypto_generichash_KEYBYTES>
derive_key(std::string_view secret)
{
    std::array<unsigned char, crypto_generichash_KEYBYTES> key{};
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, key.size());
    update(state, key_domain);
    update(state, secret);
    crypto_generichash_final(&state, key.data(), key.size());
    return key;
}

} // namespace

peer_hello make_hello(instance_name name, incarnation_number incarnation)
{
    init_sodium();
    peer_hello hello{std::move(name), incarnation, {}};
    randombytes_buf(hello.nonce.data(), hello.nonce.size());
    return hello;
}

std::string format_hello(const peer_hello& hello)
{
    std::string bytes(hello_magic);
    bytes += static_cast<char>(hello.name.size());
    bytes += hello.name;
    for (int shift = 56; shift >= 0; shift -= 8)
        bytes += static_cast<char>((hello.incarnation >> shift) & 0xff);
    bytes.append(hello.nonce.begin(), hello.nonce.end());
    return bytes;
}

std::optional<std::size_t> hello_size(std::string_view prefix)
{
    if (prefix.size() < hello_prefix_size || !prefix.starts_with(hello_magic))
        return std::nullopt;
    const auto name_size =
        static_cast<unsigned char>(prefix[hello_prefix_size - 1]);
    if (name_size == 0)
        return std::nullopt;
    return hello_prefix_size + name_size + incarnation_size + nonce_size;
}

std::optional<peer_hello> parse_hello(std::string_view bytes)
{
    const auto size = hello_size(bytes);
    if (!size || *size != bytes.size())
        return std::nullopt;
    const auto name_size =
        bytes.size() - hello_prefix_size - incarnation_size - nonce_size;
    peer_hello hello;
    hello.name = bytes.substr(hello_prefix_size, name_size);
    bytes.remove_prefix(hello_prefix_size + name_size);
    for (const char c : bytes.substr(0, incarnation_size))
        hello.incarnation =
            hello.incarnation << 8 | static_cast<unsigned char>(c);
    bytes.remove_prefix(incarnation_size);
    std::copy(bytes.begin(), bytes.end(), hello.nonce.begin());
    return hello;
}

peer_proof make_proof(
    std::string_view secret, peer_role role, std::string_view client_hello,
    std::string_view server_hello)
{
    init_sodium();
    auto key = derive_key(secret);
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.data(), key.size(), proof_size);
    update(state, proof_domain);
    const auto role_byte = static_cast<unsigned char>(role);
    crypto_generichash_update(&state, &role_byte, 1);
    // A hello contains its own length, so the boundary between the two is
    // unambiguous.
    update(state, client_hello);
    update(state, server_hello);
    peer_proof proof{};
    crypto_generichash_final(&state, proof.data(), proof.size());
    sodium_memzero(key.data(), key.size());
    return proof;
}

bool is_same_proof(const peer_proof& left, const peer_proof& right)
{
    return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace fulmarjunction::detail
