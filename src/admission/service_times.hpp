/// @file
/// Recent service times of each endpoint.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <unordered_map>

namespace fulmarjunction::detail {

/// Estimates the time below which an endpoint is hardly ever answered. A low
/// quantile, not the mean: a request is refused for its deadline only when
/// it could hardly be met.
class service_times
{
public:
    void add(const endpoint_name& endpoint, duration taken, time_point now);

    /// Returns the estimate; zero where too little is known.
    duration least(const endpoint_name& endpoint, time_point now) const;

    void clear() { endpoints_.clear(); }

private:
    struct estimate
    {
        double seconds = 0;
        std::size_t samples = 0;
        time_point updated;
    };
    std::unordered_map<endpoint_name, estimate> endpoints_;
};

} // namespace fulmarjunction::detail
