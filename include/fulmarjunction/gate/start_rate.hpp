/// @file
/// Limits how many requests a backend server starts per second.
#pragma once

#include <fulmarjunction/core/time.hpp>

#include <cstddef>
#include <optional>

namespace fulmarjunction {

/// Token bucket for the requests that a backend server starts. It is unlimited
/// until a rate is set.
class start_rate
{
public:
    /// Sets the maximum number of requests per second; none removes the limit.
    void set(std::optional<double> per_second, time_point now);

    /// Takes the token of one request.
    /// @return false when there is none
    bool take(time_point now);

    /// Returns the time until `count` tokens are available.
    duration time_until(std::size_t count, time_point now) const;

    const std::optional<double>& per_second() const { return per_second_; }

private:
    double max_tokens() const;
    double tokens_at(time_point now) const;

    std::optional<double> per_second_;
    double tokens_ = 0;
    time_point updated_at_{};
};

} // namespace fulmarjunction
