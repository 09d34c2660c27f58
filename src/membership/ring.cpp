#include <fulmarjunction/core/placement.hpp>
#include <fulmarjunction/membership/ring.hpp>

#include <algorithm>

namespace fulmarjunction {

namespace {

constexpr std::size_t offset_factor = 4;
constexpr std::size_t min_offsets = 3;

} // namespace

std::vector<std::size_t> ring_offsets(std::size_t size)
{
    std::vector<std::size_t> offsets;
    for (std::size_t offset = 1; offset < size; offset *= offset_factor)
        offsets.push_back(offset);
    for (std::size_t offset = 2; offset <= min_offsets; ++offset) {
        if (offsets.size() < min_offsets && offset < size)
            offsets.push_back(offset);
    }
    std::sort(offsets.begin(), offsets.end());
    return offsets;
}

bool instance_ring::insert(const instance_name& name)
{
    const entry added{placement_hash(name), name};
    const auto found =
        std::lower_bound(entries_.begin(), entries_.end(), added);
    if (found != entries_.end() && *found == added)
        return false;
    entries_.insert(found, added);
    return true;
}

bool instance_ring::erase(const instance_name& name)
{
    const auto index = position(name);
    if (!index)
        return false;
    entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(*index));
    return true;
}

std::optional<std::size_t>
instance_ring::position(const instance_name& name) const
{
    const entry target{placement_hash(name), name};
    const auto found =
        std::lower_bound(entries_.begin(), entries_.end(), target);
    if (found == entries_.end() || *found != target)
        return std::nullopt;
    return static_cast<std::size_t>(found - entries_.begin());
}

std::vector<instance_name>
instance_ring::neighbours(const instance_name& name) const
{
    std::vector<instance_name> names;
    const auto index = position(name);
    if (!index)
        return names;
    for (const auto offset : ring_offsets(size()))
        names.push_back(entries_[(*index + offset) % size()].second);
    return names;
}

std::vector<instance_name>
instance_ring::monitors(const instance_name& name) const
{
    std::vector<instance_name> names;
    const auto index = position(name);
    if (!index)
        return names;
    for (const auto offset : ring_offsets(size()))
        names.push_back(entries_[(*index + size() - offset) % size()].second);
    return names;
}

} // namespace fulmarjunction
