/// @file
/// Placement by rendezvous hashing: all nodes compute the same placement
/// without coordination.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Returns the 64-bit hash of a name for placement.
std::uint64_t placement_hash(std::string_view name);

/// Returns the weight of a candidate for a key in rendezvous hashing. When a
/// candidate joins or leaves, only the keys for which it has the highest weight
/// move.
std::uint64_t
rendezvous_weight(std::string_view key, std::string_view candidate);

/// Returns the index of the candidate with the highest weight for a key.
std::optional<std::size_t> rendezvous_first(
    std::string_view key, const std::vector<std::string>& candidates);

/// Returns the candidates by descending weight for a key.
std::vector<std::string>
rendezvous_order(std::string_view key, std::vector<std::string> candidates);

} // namespace fulmarjunction
