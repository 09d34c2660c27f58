/// @file
/// Counters and latency histograms of a node.
#pragma once

#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/mesh/call_context.hpp>

#include <memory>
#include <string>

namespace fulmarjunction {

/// Values of the gauges at the time of a scrape.
struct mesh_gauges
{
    double config_version = 0;
    /// Seconds since the last confirmation of the configuration; negative when
    /// there is none.
    double config_age_s = -1;
    double running = 0;
    double waiting = 0;
    double limit = 0;
    /// Requests per second that the backend server has named; negative when it
    /// has named none.
    double rate_limit = -1;
    /// Pressure level of the local gate; see `call_pressure`.
    double pressure = 0;
    double nodes_known = 0;
    double nodes_reachable = 0;
    /// Fingerprints of requests that were in flight at a crash.
    double suspects = 0;
};

/// Registers and serves the metrics of one node.
class mesh_metrics
{
public:
    mesh_metrics();
    ~mesh_metrics();
    mesh_metrics(const mesh_metrics&) = delete;
    mesh_metrics& operator=(const mesh_metrics&) = delete;

    /// Counts a request that a backend server answered.
    /// @param latency time from the arrival of the request to the answer's head
    void count_answer(const std::string& route, int status, duration latency);

    /// Counts a request that the node refused or failed itself.
    void count_refusal(const std::string& route, node_refusal reason);

    /// Counts a retry at another instance.
    void count_retry(node_refusal reason);

    /// Counts a crash of the local backend server.
    void count_backend_crash();
    /// Counts a return of the store from an older copy.
    void count_store_era();

    void observe_gate_wait(duration time);
    void observe_backend_time(duration time);

    /// Counts a call to the store.
    void count_store_call(const std::string& call, bool has_succeeded);

    /// Returns the metrics in Prometheus's text format.
    std::string text(const mesh_gauges& values);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
