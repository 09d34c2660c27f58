/// @file
/// Computes the measures of the design page from the record of a run.
#pragma once

#include "simulation.hpp"

#include <string>
#include <vector>

namespace fulmarjunction::bench {

/// A measure with its value.
struct measure
{
    std::string name;
    double value = 0;
};

/// Returns the measures that apply to the scenario.
std::vector<measure> measure_run(const scenario& plan, const run_record& run);

/// Returns the number of extra attempts for one root request over a call tree
/// of this depth in which every call fails.
/// @param per_hop whether every hop has its own retry budget
std::uint64_t extra_attempts_when_all_fails(
    std::size_t depth, std::size_t children, std::uint32_t budget,
    bool per_hop);

} // namespace fulmarjunction::bench
