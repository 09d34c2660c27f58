/// @file
/// Clock and duration types.
#pragma once

#include <chrono>
#include <cstdint>

namespace fulmarjunction {

/// Monotonic: changes of wall-clock time must not affect leases and deadlines.
using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns `span` in seconds as a floating-point number.
inline double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Converts seconds as a floating-point number to a duration.
inline duration from_seconds(double span)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(span));
}

/// Returns whole milliseconds of `span`, rounded down.
inline std::int64_t to_milliseconds(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace fulmarjunction
