#include <fulmarjunction/gate/root_shedding.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Time in which a backend server passes the refusal of its call on.
constexpr milliseconds refusal_passes_on{10};

/// Kinds of requests that are followed; more than these are let in.
constexpr std::size_t max_kinds = 1000;

/// Kinds that have not been seen for this long make room for new ones: routes
/// come and go with the configuration.
constexpr seconds forget_kind_after{60};

} // namespace

void pressure_summary::add(const service_name& service, double level)
{
    auto& sum = services_[service];
    sum.gates += 1;
    sum.level += level;
}

pressure_levels pressure_summary::combine() const
{
    pressure_levels levels;
    for (const auto& [service, sum] : services_) {
        if (sum.level > 0)
            levels.emplace(service, sum.level / sum.gates);
    }
    return levels;
}

root_shedding::root_shedding(root_shedding_settings settings)
    : settings_(settings)
{
}

void root_shedding::set_levels(pressure_levels levels)
{
    levels_ = std::move(levels);
}

void root_shedding::restart_count(kind& one, time_point now)
{
    one.requests = 0;
    one.failures.clear();
    one.counted_since = now;
}

void root_shedding::record_downstream_refusal(
    const std::string& route_name, unsigned priority,
    const service_name& service, time_point now)
{
    const auto found = kinds_.find({route_name, priority});
    if (found == kinds_.end())
        return;
    auto& current = found->second;
    if (now - current.counted_since > settings_.learning_window)
        restart_count(current, now);
    const auto failures = ++current.failures[service];
    const auto requests =
        static_cast<double>(std::max<std::size_t>(1, current.requests));
    if (failures >= settings_.min_failures &&
        static_cast<double>(failures) >=
            requests * settings_.min_failed_fraction)
        current.leads_to.insert(service);
}

/// Returns how many ranks of requests that lead to the service are less
/// important.
std::size_t root_shedding::less_important(
    const service_name& service, unsigned priority) const
{
    std::set<unsigned> ranks;
    for (const auto& [key, one] : kinds_) {
        if (key.second > priority && one.leads_to.contains(service))
            ranks.insert(key.second);
    }
    return ranks.size();
}

double root_shedding::shed_fraction(
    const std::string& route_name, unsigned priority) const
{
    const auto found = kinds_.find({route_name, priority});
    if (found == kinds_.end())
        return 0;
    double needed = 0;
    for (const auto& [service, level] : levels_) {
        if (!found->second.leads_to.contains(service))
            continue;
        const auto others =
            static_cast<double>(less_important(service, priority));
        needed = std::max(needed, level - others);
    }
    return std::min(needed, settings_.max_shed_fraction);
}

bool root_shedding::should_refuse(
    const std::string& route_name, unsigned priority, time_point now)
{
    const kind_key key{route_name, priority};
    if (!kinds_.contains(key) && kinds_.size() >= max_kinds) {
        std::erase_if(kinds_, [&](const auto& known) {
            return now - known.second.counted_since > forget_kind_after;
        });
        if (kinds_.size() >= max_kinds)
            return false;
    }
    auto& current = kinds_[key];
    if (now - current.counted_since > settings_.learning_window)
        restart_count(current, now);
    ++current.requests;
    if (levels_.empty() || current.leads_to.empty())
        return false;
    current.due += shed_fraction(route_name, priority);
    if (current.due < 1)
        return false;
    current.due -= 1;
    return true;
}

void recent_refusal::record(const service_name& service, time_point now)
{
    service_ = service;
    noted_at_ = now;
}

service_name recent_refusal::service(time_point now) const
{
    if (service_.empty() || now - noted_at_ > refusal_passes_on)
        return {};
    return service_;
}

} // namespace fulmarjunction
