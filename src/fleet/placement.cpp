#include <fulmarjunction/fleet/placement.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Number of targets sampled per request, from the own availability zone and
/// from the others each. Two random choices already balance the load well, and
/// a fixed sample keeps the cost of a choice independent of the fleet size.
constexpr std::size_t sample_size = 3;

/// Weight of the newest sample in the measured times and failure rates.
constexpr double time_weight = 0.15;
constexpr double failure_sample_weight = 0.1;

/// Load that a pause counts as, so that paused targets are chosen last.
constexpr double paused_cost = 100;

} // namespace

placement::placement(
    availability_zone own_zone, std::function<std::uint64_t()> random,
    placement_settings settings)
    : own_zone_(std::move(own_zone)), random_(std::move(random)),
      settings_(settings)
{
}

void placement::set_targets(
    const std::multimap<service_name, placement_target>& targets)
{
    std::map<instance_name, record> kept;
    by_service_.clear();
    for (const auto& [service, target] : targets) {
        auto& current = kept[target.node];
        const auto previous = records_.find(target.node);
        // Measurements of an earlier backend server process say nothing about a
        // new one.
        if (previous != records_.end() &&
            previous->second.target.backend_id == target.backend_id)
            current = std::move(previous->second);
        if (current.target.load != target.load)
            current.sent_since = 0;
        current.target = target;
        if (leaving_.contains(target.backend_id))
            continue;
        auto& group = by_service_[service];
        const bool is_own_zone = target.zone == own_zone_;
        (is_own_zone ? group.own_zone : group.other_zones).push_back(&current);
    }
    records_ = std::move(kept);
}

void placement::set_load(const instance_name& node, std::size_t load)
{
    const auto found = records_.find(node);
    if (found == records_.end())
        return;
    found->second.target.load = load;
    found->second.sent_since = 0;
}

std::size_t placement::count(const service_name& service) const
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return 0;
    return found->second.own_zone.size() + found->second.other_zones.size();
}

std::vector<instance_name> placement::nodes(const service_name& service) const
{
    std::vector<instance_name> names;
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return names;
    for (const auto* group :
         {&found->second.own_zone, &found->second.other_zones}) {
        for (const auto* target : *group)
            names.push_back(target->target.node);
    }
    return names;
}

double placement::cost(
    const record& candidate, const std::string& route_name, duration objective,
    time_point now) const
{
    const auto& target = candidate.target;
    const auto limit =
        static_cast<double>(std::max<std::size_t>(1, target.limit));
    const auto load =
        std::max(target.load + candidate.sent_since, candidate.outstanding);
    auto total = static_cast<double>(load) / limit;
    if (target.zone != own_zone_)
        total += settings_.zone_preference;
    total += settings_.failure_weight * candidate.failure_rate;
    const auto measured = candidate.seconds_by_route.find(route_name);
    if (measured != candidate.seconds_by_route.end() &&
        objective > duration::zero()) {
        total += settings_.slowness_weight * measured->second /
                 to_seconds(objective);
    }
    if (candidate.paused_until > now)
        total += paused_cost;
    return total;
}

/// Samples a few targets that have not been tried.
std::vector<placement::record*> placement::sample(
    const std::vector<record*>& from, const std::vector<instance_name>& tried)
{
    std::vector<record*> drawn;
    const auto is_usable = [&](const record* candidate) {
        return std::find(tried.begin(), tried.end(), candidate->target.node) ==
                   tried.end() &&
               std::find(drawn.begin(), drawn.end(), candidate) == drawn.end();
    };
    const auto next = [&](std::size_t index) {
        return (index + 1) % from.size();
    };
    if (from.size() <= sample_size + tried.size()) {
        // Take all, starting at a random one: `choose` takes the first of
        // several targets of equal cost.
        auto index = from.empty() ? 0 : random_() % from.size();
        for (std::size_t i = 0; i < from.size(); ++i, index = next(index)) {
            if (is_usable(from[index]))
                drawn.push_back(from[index]);
        }
        return drawn;
    }
    // More targets are usable than are needed, so each inner loop ends.
    while (drawn.size() < sample_size) {
        auto index = random_() % from.size();
        while (!is_usable(from[index]))
            index = next(index);
        drawn.push_back(from[index]);
    }
    return drawn;
}

std::optional<placement::choice> placement::choose(
    const service_name& service, const std::string& route_name,
    duration objective, const std::vector<instance_name>& tried, time_point now)
{
    std::erase_if(
        leaving_, [now](const auto& entry) { return entry.second <= now; });
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return std::nullopt;
    record* best = nullptr;
    double min_cost = 0;
    for (const auto* group :
         {&found->second.own_zone, &found->second.other_zones}) {
        for (auto* candidate : sample(*group, tried)) {
            const auto candidate_cost =
                cost(*candidate, route_name, objective, now);
            if (best != nullptr && candidate_cost >= min_cost)
                continue;
            best = candidate;
            min_cost = candidate_cost;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return take(*best, now);
}

void placement::record_leaving(const choice& chosen, time_point now)
{
    leaving_[chosen.backend_id] = now + settings_.leaving_time;
    const auto is_leaving = [&](const record* target) {
        return target->target.backend_id == chosen.backend_id;
    };
    for (auto& [service, group] : by_service_) {
        std::erase_if(group.own_zone, is_leaving);
        std::erase_if(group.other_zones, is_leaving);
    }
}

std::optional<placement::choice>
placement::choose_node(const instance_name& node, time_point now)
{
    const auto found = records_.find(node);
    if (found == records_.end() ||
        leaving_.contains(found->second.target.backend_id))
        return std::nullopt;
    return take(found->second, now);
}

placement::choice placement::take(record& target, time_point now)
{
    if (target.outstanding == 0)
        target.unanswered_since = now;
    ++target.outstanding;
    ++target.sent_since;
    return choice{target.target.node, target.target.backend_id};
}

void placement::record_result(
    const choice& chosen, const std::string& route_name,
    placement_result result, duration latency, std::optional<std::size_t> load,
    time_point now)
{
    const auto found = records_.find(chosen.node);
    if (found == records_.end() ||
        found->second.target.backend_id != chosen.backend_id)
        return;
    auto& current = found->second;
    if (current.outstanding > 0)
        --current.outstanding;
    if (load) {
        current.target.load = *load;
        current.sent_since = 0;
        current.unanswered_since = now;
    }
    const bool has_run = result == placement_result::served ||
                         result == placement_result::failed;
    if (result == placement_result::unreachable)
        current.paused_until = now + settings_.unreachable_pause;
    if (result == placement_result::refused)
        current.paused_until = now + settings_.refused_pause;
    if (!has_run)
        return;
    const double failure = result == placement_result::failed ? 1 : 0;
    current.failure_rate +=
        failure_sample_weight * (failure - current.failure_rate);
    if (result == placement_result::served) {
        auto& mean = current.seconds_by_route[route_name];
        const auto sample_s = to_seconds(latency);
        mean = mean == 0 ? sample_s : mean + time_weight * (sample_s - mean);
    }
}

std::vector<instance_name>
placement::unresponsive_nodes(duration limit, time_point now) const
{
    std::vector<instance_name> unresponsive;
    for (const auto& [name, current] : records_) {
        if (current.outstanding > 0 && now - current.unanswered_since >= limit)
            unresponsive.push_back(name);
    }
    return unresponsive;
}

} // namespace fulmarjunction
