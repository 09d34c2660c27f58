/// @file
/// Makes this node's report and puts those of the other nodes to use.
#pragma once

#include <fulmarjunction/fleet/fleet_view.hpp>
#include <fulmarjunction/fleet/placement.hpp>
#include <fulmarjunction/gate/root_shedding.hpp>
#include <fulmarjunction/mesh/backend_monitor.hpp>
#include <fulmarjunction/mesh/gate_service.hpp>
#include <fulmarjunction/mesh/mesh_settings.hpp>
#include <fulmarjunction/retry/service_budget.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace fulmarjunction {

/// Turns reports into targets of the placement, costs of runs and levels of
/// pressure.
class fleet_reports
{
public:
    struct parts
    {
        const mesh_settings* settings = nullptr;
        backend_monitor* monitor = nullptr;
        std::shared_ptr<gate_service> gate;
        fleet_view* fleet = nullptr;
        placement* places = nullptr;
        service_budget* budget = nullptr;
        root_shedding* shedding = nullptr;
        std::function<bool()> has_left;
        /// Sends the own report to all nodes now.
        std::function<void()> announce;
    };

    fleet_reports(boost::asio::any_io_executor executor, parts wiring);

    incarnation_number incarnation() const { return incarnation_; }
    void set_incarnation(incarnation_number incarnation)
    {
        incarnation_ = incarnation;
    }

    /// Makes the next report of this node.
    node_report own_report();

    /// Takes over, soon and once for many changes, which backend servers
    /// there are.
    void refresh_targets();

    /// Takes over costs and pressure; called a few times a second.
    void refresh();

    /// Returns the requests that one run of a service leads to.
    double cost_of(const service_name& service) const;

private:
    void set_targets();
    void refresh_costs();
    void refresh_pressure();

    boost::asio::any_io_executor executor_;
    parts parts_;
    incarnation_number incarnation_ = 0;
    std::uint64_t reports_ = 0;
    std::unordered_map<service_name, double> service_costs_;
    bool refresh_is_due_ = false;
};

} // namespace fulmarjunction
