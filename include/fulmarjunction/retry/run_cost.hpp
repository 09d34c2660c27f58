/// @file
/// Cost of running a request, as a number of requests to backend servers.
#pragma once

namespace fulmarjunction {

/// Measures how many requests one run of a request causes: the run itself and
/// all downstream calls. A retry of the run repeats all of them, so this is the
/// cost of a retry.
class run_cost_meter
{
public:
    /// Counts a request that the backend server runs.
    void count_run();

    /// Counts a call that the backend server makes.
    /// @param cost mean cost of a run at the called service
    void count_call(double cost);

    /// Returns the mean cost of a run, at least 1.
    double cost() const;

private:
    double runs_ = 0;
    double calls_ = 0;
};

} // namespace fulmarjunction
