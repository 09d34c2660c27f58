/// @file
/// Mutual authentication by the shared peer secret, before HTTP/2 starts.
///
/// The client sends its hello, the server its own, then the client its proof
/// and, if that is valid, the server its own. The server sends its proof last,
/// so that a client without the secret gets no proof against which it could
/// test guesses of the secret offline.
#pragma once

#include <fulmarjunction/core/names.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarjunction::detail {

constexpr std::size_t nonce_size = 32;
constexpr std::size_t proof_size = 32;

/// Size of the fixed start of a hello: magic bytes and length of the name.
constexpr std::size_t hello_prefix_size = 5;
constexpr std::size_t max_name_size = 255;

using peer_proof = std::array<unsigned char, proof_size>;

/// First message of each side: its identity and a nonce.
struct peer_hello
{
    instance_name name;
    incarnation_number incarnation = 0;
    std::array<unsigned char, nonce_size> nonce{};
};

enum class peer_role : unsigned char
{
    client = 1,
    server = 2
};

/// Returns a hello with a fresh random nonce.
peer_hello make_hello(instance_name name, incarnation_number incarnation);

/// Serializes a hello, whose name must have 1 to 255 bytes.
std::string format_hello(const peer_hello& hello);

/// Returns the total size of a hello from its first `hello_prefix_size`
/// bytes, or nothing when they are not the start of a hello.
std::optional<std::size_t> hello_size(std::string_view prefix);

/// Parses a complete hello; returns nothing when it is malformed.
std::optional<peer_hello> parse_hello(std::string_view bytes);

/// Returns the proof of `role` for a connection: a hash keyed by the secret
/// over the role and both hellos as sent, so that a proof is valid for one
/// role and one pair of nonces only.
peer_proof make_proof(
    std::string_view secret, peer_role role, std::string_view client_hello,
    std::string_view server_hello);

/// Compares two proofs in constant time.
bool is_same_proof(const peer_proof& left, const peer_proof& right);

} // namespace fulmarjunction::detail
