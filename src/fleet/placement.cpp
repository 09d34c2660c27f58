#include <fulmarjunction/fleet/placement.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Targets of each kind, own availability zone and others, that are compared
/// for one request. Two choices suffice to even out the load, and the cost of
/// a choice does not grow with the fleet.
constexpr std::size_t sample_size = 3;

/// Weight of the newest sample in the measured times and failure rates.
constexpr double time_weight = 0.15;
constexpr double failure_sample_weight = 0.1;

/// Load that a pause counts as: such targets come last.
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
        const auto known = records_.find(target.node);
        // A new run of a backend server has nothing in common with the last.
        if (known != records_.end() &&
            known->second.target.backend_id == target.backend_id)
            current = std::move(known->second);
        if (current.target.load != target.load)
            current.sent_since = 0;
        current.target = target;
        auto& all = by_service_[service];
        const bool is_near = target.zone == own_zone_;
        (is_near ? all.own_zone : all.other_zones).push_back(&current);
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

/// Draws a few targets that have not been tried.
std::vector<placement::record*> placement::sample(
    const std::vector<record*>& from, const std::vector<instance_name>& tried)
{
    std::vector<record*> drawn;
    const auto is_usable = [&](const record* one) {
        return std::find(tried.begin(), tried.end(), one->target.node) ==
                   tried.end() &&
               std::find(drawn.begin(), drawn.end(), one) == drawn.end();
    };
    const auto next = [&](std::size_t at) { return (at + 1) % from.size(); };
    if (from.size() <= sample_size + tried.size()) {
        // All of them, from a random one on: the first of equals is taken.
        auto at = from.empty() ? 0 : random_() % from.size();
        for (std::size_t i = 0; i < from.size(); ++i, at = next(at)) {
            if (is_usable(from[at]))
                drawn.push_back(from[at]);
        }
        return drawn;
    }
    // More are usable than are wanted, so each walk ends.
    while (drawn.size() < sample_size) {
        auto at = random_() % from.size();
        while (!is_usable(from[at]))
            at = next(at);
        drawn.push_back(from[at]);
    }
    return drawn;
}

std::optional<placement::choice> placement::choose(
    const service_name& service, const std::string& route_name,
    duration objective, const std::vector<instance_name>& tried, time_point now)
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return std::nullopt;
    record* best = nullptr;
    double least = 0;
    for (const auto* group :
         {&found->second.own_zone, &found->second.other_zones}) {
        for (auto* one : sample(*group, tried)) {
            const auto its_cost = cost(*one, route_name, objective, now);
            if (best != nullptr && its_cost >= least)
                continue;
            best = one;
            least = its_cost;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    if (best->outstanding == 0)
        best->quiet_since = now;
    ++best->outstanding;
    ++best->sent_since;
    return choice{best->target.node, best->target.backend_id};
}

void placement::record_result(
    const choice& chosen, const std::string& route_name, placement_result how,
    duration took, std::optional<std::size_t> load, time_point now)
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
        current.quiet_since = now;
    }
    const bool has_run =
        how == placement_result::served || how == placement_result::failed;
    if (how == placement_result::unreachable)
        current.paused_until = now + settings_.unreachable_pause;
    if (how == placement_result::refused)
        current.paused_until = now + settings_.refused_pause;
    if (!has_run)
        return;
    const double failure = how == placement_result::failed ? 1 : 0;
    current.failure_rate +=
        failure_sample_weight * (failure - current.failure_rate);
    if (how == placement_result::served) {
        auto& mean = current.seconds_by_route[route_name];
        const auto sample_s = to_seconds(took);
        mean = mean == 0 ? sample_s : mean + time_weight * (sample_s - mean);
    }
}

std::vector<instance_name>
placement::unresponsive_nodes(duration limit, time_point now) const
{
    std::vector<instance_name> quiet;
    for (const auto& [name, current] : records_) {
        if (current.outstanding > 0 && now - current.quiet_since >= limit)
            quiet.push_back(name);
    }
    return quiet;
}

} // namespace fulmarjunction
