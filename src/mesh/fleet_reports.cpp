#include "fleet_reports.hpp"

#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/core/log.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace fulmarjunction {

namespace {

/// Maximum time between two updates over which reported rates still hold.
constexpr milliseconds max_refresh_gap(2000);

} // namespace

fleet_reports::fleet_reports(
    boost::asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), deps_(std::move(deps))
{
}

node_report fleet_reports::own_report()
{
    node_report report;
    report.node = deps_.settings->name;
    report.incarnation = incarnation_;
    report.sequence = ++sequence_;
    report.peer_address = format_address(deps_.settings->peers);
    report.zone = deps_.settings->zone;
    report.service = deps_.settings->service;
    report.backend_id = deps_.monitor->id();
    report.state = deps_.has_left() ? backend_state::absent
                                    : deps_.monitor->state(clock::now());
    const auto load = deps_.gate->load();
    report.limit = load.limit;
    report.load = load.load;
    report.run_cost = deps_.gate->costs().cost();
    report.pressure = deps_.gate->pressure().level();
    const auto throttled = deps_.throttle->most_throttled(clock::now());
    report.throttled_service = throttled.service;
    report.throttled_per_s = throttled.refused_per_s;
    return report;
}

void fleet_reports::refresh_targets()
{
    if (std::exchange(is_refresh_pending_, true))
        return;
    boost::asio::post(executor_, [this] {
        is_refresh_pending_ = false;
        set_targets();
    });
}

void fleet_reports::set_targets()
{
    std::multimap<service_name, placement_target> targets;
    const auto add = [&](const node_report& report) {
        if (report.state != backend_state::ready)
            return;
        targets.emplace(
            report.service, placement_target{
                                report.node, report.backend_id, report.zone,
                                report.limit, report.load});
    };
    add(own_report());
    std::size_t nodes = 1;
    for (const auto& [name, member] : deps_.fleet->members()) {
        if (!member.is_reachable)
            continue;
        ++nodes;
        add(member.report);
    }
    deps_.budget->set_nodes(nodes);
    deps_.target_placement->set_targets(targets);
}

void fleet_reports::refresh()
{
    refresh_costs();
    count_throttled_calls();
    refresh_pressure();
}

void fleet_reports::refresh_costs()
{
    service_costs_.clear();
    for (const auto& [name, member] : deps_.fleet->members()) {
        auto& cost = service_costs_[member.report.service];
        cost = std::max(cost, member.report.run_cost);
    }
}

double fleet_reports::cost_of(const service_name& service) const
{
    const auto found = service_costs_.find(service);
    return found == service_costs_.end() ? 1 : std::max(1.0, found->second);
}

/// Counts this gate's part of the calls that other nodes refuse to send to the
/// service.
void fleet_reports::count_throttled_calls()
{
    const auto now = clock::now();
    const auto elapsed = now - std::exchange(throttled_until_, now);
    double gates = 1;
    double calls_per_s = 0;
    for (const auto& [name, member] : deps_.fleet->members()) {
        if (!member.is_reachable)
            continue;
        const auto& report = member.report;
        gates += report.service == deps_.settings->service ? 1 : 0;
        if (report.throttled_service == deps_.settings->service)
            calls_per_s += report.throttled_per_s;
    }
    // After a pause the reports are out of date.
    if (elapsed <= max_refresh_gap)
        deps_.gate->pressure().count_throttled(
            calls_per_s / gates * to_seconds(elapsed));
}

/// Combines the pressure levels of all gates, and announces the level of the
/// local gate at once when it rises.
void fleet_reports::refresh_pressure()
{
    auto& pressure = deps_.gate->pressure();
    const auto limit = std::max<std::size_t>(1, deps_.gate->load().limit);
    const auto usage =
        static_cast<double>(deps_.gate->running()) / static_cast<double>(limit);
    const bool has_risen = pressure.advance(clock::now(), usage);
    pressure_summary summary;
    summary.add(deps_.settings->service, pressure.level());
    for (const auto& [name, member] : deps_.fleet->members()) {
        if (member.is_reachable)
            summary.add(member.report.service, member.report.pressure);
    }
    deps_.shedding->set_levels(summary.combine());
    if (!has_risen)
        return;
    log(log_level::info, "pressure_raised",
        {{"level", pressure.level()},
         {"running", deps_.gate->running()},
         {"waiting", deps_.gate->waiting()},
         {"limit", limit}});
    deps_.announce();
}

} // namespace fulmarjunction
