#include <fulmarjunction/core/placement.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// The name breaks ties, so that all nodes compute the same order.
using weighted_candidate = std::pair<std::uint64_t, std::string_view>;

weighted_candidate weigh(std::string_view key, std::string_view candidate)
{
    return {rendezvous_weight(key, candidate), candidate};
}

} // namespace

std::uint64_t placement_hash(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint64_t
rendezvous_weight(std::string_view key, std::string_view candidate)
{
    return XXH3_64bits_withSeed(
        candidate.data(), candidate.size(), placement_hash(key));
}

std::optional<std::size_t> rendezvous_first(
    std::string_view key, const std::vector<std::string>& candidates)
{
    std::optional<std::size_t> first;
    weighted_candidate best;
    for (std::size_t i = 0; i != candidates.size(); ++i) {
        const auto weight = weigh(key, candidates[i]);
        if (first && weight <= best)
            continue;
        first = i;
        best = weight;
    }
    return first;
}

std::vector<std::string>
rendezvous_order(std::string_view key, std::vector<std::string> candidates)
{
    std::sort(
        candidates.begin(), candidates.end(),
        [key](const std::string& left, const std::string& right) {
            return weigh(key, left) > weigh(key, right);
        });
    return candidates;
}

} // namespace fulmarjunction
