/// @file
/// Builds the report of this node and applies those of the other nodes.
#pragma once

#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/fleet/placement.hpp>
#include <fulmarjunction/gate/root_shedding.hpp>
#include <fulmarjunction/mesh/backend_monitor.hpp>
#include <fulmarjunction/mesh/gate_service.hpp>
#include <fulmarjunction/mesh/mesh_settings.hpp>
#include <fulmarjunction/retry/refusal_throttle.hpp>
#include <fulmarjunction/retry/service_budget.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace fulmarjunction {

/// Derives placement targets, run costs and pressure levels from the reports of
/// all nodes.
class fleet_reports
{
public:
    struct dependencies
    {
        const mesh_settings* settings = nullptr;
        backend_monitor* monitor = nullptr;
        std::shared_ptr<gate_service> gate;
        fleet_view* fleet = nullptr;
        placement* target_placement = nullptr;
        service_budget* budget = nullptr;
        refusal_throttle* throttle = nullptr;
        root_shedding* shedding = nullptr;
        std::function<bool()> has_left;
        /// Sends the report of this node to all others at once.
        std::function<void()> announce;
    };

    fleet_reports(boost::asio::any_io_executor executor, dependencies deps);

    incarnation_number incarnation() const { return incarnation_; }
    void set_incarnation(incarnation_number incarnation)
    {
        incarnation_ = incarnation;
    }

    /// Builds the next report of this node.
    node_report own_report();

    /// Schedules an update of the placement targets. Several changes in a row
    /// cause a single update.
    void refresh_targets();

    /// Updates run costs and pressure. Called several times per second.
    void refresh();

    /// Returns the mean number of requests that one run of a service causes,
    /// itself included.
    double cost_of(const service_name& service) const;

private:
    void set_targets();
    void refresh_costs();
    void count_throttled_calls();
    void refresh_pressure();

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    incarnation_number incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    std::unordered_map<service_name, double> service_costs_;
    time_point throttled_until_{};
    bool is_refresh_pending_ = false;
};

} // namespace fulmarjunction
