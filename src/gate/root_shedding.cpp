#include <fulmarjunction/gate/root_shedding.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Time within which a backend server fails the request whose call was refused.
constexpr milliseconds refusal_memory{10};

/// Maximum number of tracked pairs of route and priority. Requests beyond it
/// are admitted.
constexpr std::size_t max_request_classes = 1000;

/// Classes unused for this long are dropped when the limit is reached, since
/// routes come and go with the configuration.
constexpr seconds class_expiry{60};

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

void root_shedding::reset_counts(request_class& current, time_point now)
{
    current.requests = 0;
    current.failures.clear();
    current.window_start = now;
}

void root_shedding::record_downstream_refusal(
    const std::string& route_name, unsigned priority,
    const service_name& service, time_point now)
{
    const auto found = classes_.find({route_name, priority});
    if (found == classes_.end())
        return;
    auto& current = found->second;
    if (now - current.window_start > settings_.learning_window)
        reset_counts(current, now);
    const auto failures = ++current.failures[service];
    const auto requests =
        static_cast<double>(std::max<std::size_t>(1, current.requests));
    if (failures >= settings_.min_failures &&
        static_cast<double>(failures) >=
            requests * settings_.min_failed_fraction)
        current.downstream_services.insert(service);
}

/// Returns how many less important priorities have requests that lead to the
/// service.
std::size_t root_shedding::count_lower_priorities(
    const service_name& service, unsigned priority) const
{
    std::set<unsigned> priorities;
    for (const auto& [key, candidate] : classes_) {
        if (key.second > priority &&
            candidate.downstream_services.contains(service))
            priorities.insert(key.second);
    }
    return priorities.size();
}

double root_shedding::shed_fraction(
    const std::string& route_name, unsigned priority) const
{
    const auto found = classes_.find({route_name, priority});
    if (found == classes_.end())
        return 0;
    double fraction = 0;
    for (const auto& [service, level] : levels_) {
        if (!found->second.downstream_services.contains(service))
            continue;
        const auto lower_priorities =
            static_cast<double>(count_lower_priorities(service, priority));
        fraction = std::max(fraction, level - lower_priorities);
    }
    return std::min(fraction, settings_.max_shed_fraction);
}

bool root_shedding::should_refuse(
    const std::string& route_name, unsigned priority, time_point now)
{
    const class_key key{route_name, priority};
    if (!classes_.contains(key) && classes_.size() >= max_request_classes) {
        std::erase_if(classes_, [&](const auto& entry) {
            return now - entry.second.window_start > class_expiry;
        });
        if (classes_.size() >= max_request_classes)
            return false;
    }
    auto& current = classes_[key];
    if (now - current.window_start > settings_.learning_window)
        reset_counts(current, now);
    ++current.requests;
    if (levels_.empty() || current.downstream_services.empty())
        return false;
    current.pending_refusals += shed_fraction(route_name, priority);
    if (current.pending_refusals < 1)
        return false;
    current.pending_refusals -= 1;
    return true;
}

void recent_refusal::record(const service_name& service, time_point now)
{
    service_ = service;
    recorded_at_ = now;
}

service_name recent_refusal::service(time_point now) const
{
    if (service_.empty() || now - recorded_at_ > refusal_memory)
        return {};
    return service_;
}

} // namespace fulmarjunction
