/// @file
/// The measures of the design page, from the record of a run.
#pragma once

#include "world.hpp"

#include <string>
#include <vector>

namespace fulmarjunction::bench {

/// A measure with its value.
struct measure
{
    std::string name;
    double value = 0;
};

/// Returns the measures that the scenario's run gives.
std::vector<measure> measure_run(const scenario& plan, const run_record& run);

/// Returns the extra attempts for one root over a tree of this depth in which
/// every call fails.
/// @param per_hop whether every hop has a budget of its own
std::uint64_t extra_attempts_when_all_fails(
    std::size_t depth, std::size_t children, std::uint32_t budget,
    bool per_hop);

} // namespace fulmarjunction::bench
