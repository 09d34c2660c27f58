/// @file
/// The hash ring of instances, which determines the instances that each one
/// probes.
#pragma once

#include <fulmarjunction/core/names.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fulmarjunction {

/// Returns the offsets of probe neighbours on a ring of `size` instances: 1,
/// 4, 16, ... below the size, and where these are fewer than three, 2 and 3
/// too, so that two monitors remain when one instance is lost.
std::vector<std::size_t> ring_offsets(std::size_t size);

/// Instances sorted by the hash of their name.
class instance_ring
{
public:
    /// Adds an instance; no effect if it is present.
    /// @return whether it was added
    bool insert(const instance_name& name);
    /// Removes an instance.
    /// @return whether it was present
    bool erase(const instance_name& name);

    std::size_t size() const { return entries_.size(); }

    /// Instances that `name` probes, nearest offset first.
    std::vector<instance_name> neighbours(const instance_name& name) const;

    /// Instances that probe `name`, nearest offset first.
    std::vector<instance_name> monitors(const instance_name& name) const;

private:
    using entry = std::pair<std::uint64_t, instance_name>;

    std::optional<std::size_t> position(const instance_name& name) const;

    std::vector<entry> entries_;
};

} // namespace fulmarjunction
