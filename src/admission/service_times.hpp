/// @file
/// Recent service times of each endpoint.
#pragma once

#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <unordered_map>

namespace fulmarjunction::detail {

/// Estimates a low quantile of the service time of each endpoint. It is not the
/// mean, because a request is refused for its deadline only when it could
/// hardly be met.
class service_times
{
public:
    void add(const endpoint_name& endpoint, duration elapsed, time_point now);

    /// Returns the estimate, or zero without enough recent samples.
    duration low_quantile(const endpoint_name& endpoint, time_point now) const;

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
