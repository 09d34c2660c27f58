/// @file
/// Placement by hash: every node computes the same choice on its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Returns the 64-bit hash by which names are placed.
std::uint64_t placement_hash(std::string_view name);

/// Returns the weight of a candidate for a key in rendezvous hashing. A
/// candidate that joins or leaves moves only the keys that it wins or won.
std::uint64_t
rendezvous_weight(std::string_view key, std::string_view candidate);

/// Returns the index of the candidate that comes first for a key.
std::optional<std::size_t> rendezvous_first(
    std::string_view key, const std::vector<std::string>& candidates);

/// Returns the candidates in order of preference for a key.
std::vector<std::string>
rendezvous_order(std::string_view key, std::vector<std::string> candidates);

} // namespace fulmarjunction
