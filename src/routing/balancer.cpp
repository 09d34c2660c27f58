#include <fulmarjunction/routing/balancer.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>

namespace fulmarjunction {

namespace {

constexpr duration level_expiry = seconds(1);
/// One in this many calls below the level is sent as a probe, to detect a level
/// that was lowered.
constexpr std::uint64_t probe_interval = 100;
/// A new incarnation of an instance gets its full share of the calls after this
/// time.
constexpr duration slow_start = seconds(5);
constexpr double initial_slow_start_factor = 0.1;
/// Reported load changes the weight in random selection by at most this factor
/// in either direction. As a factor of the score it would decide every
/// comparison of two idle instances.
constexpr double max_load_hint_factor = 1.25;
constexpr duration load_hint_expiry = seconds(3);
/// Weight of a new latency in the running mean.
constexpr double latency_smoothing = 0.1;
constexpr double success_smoothing = 0.05;
/// A failing instance still gets some calls, so that its recovery is detected.
constexpr double min_success_rate = 0.1;
/// Latency assumed while no instance has answered, in seconds.
constexpr double unknown_latency = 0.01;
/// Time constant of the decay of observations towards typical values of the
/// other instances, so that an instance avoided as slow or failing is tried
/// again.
constexpr duration observation_decay_time = seconds(5);
/// Scores within a tenth count as equal; otherwise noise would direct all calls
/// to one instance.
constexpr double significant_score_ratio = 0.9;
constexpr std::size_t failures_to_eject = 3;
constexpr duration initial_ejection = seconds(1);
constexpr duration max_ejection = seconds(30);
constexpr std::int64_t retry_after_ms = 1000;

struct cached_level
{
    admission_level level = 0;
    time_point expires;
};

struct instance_state
{
    incarnation_number incarnation = 0;
    std::size_t in_flight = 0;
    double latency = 0;
    double success_rate = 1;
    time_point observed;
    /// Time until which its last successful answer counts as recent.
    time_point recent_answer_until;
    std::size_t connection_failures = 0;
    duration ejection = initial_ejection;
    time_point ejected_until;
    std::optional<time_point> slow_start_from;
    std::map<admission_flow, cached_level> levels;
    double reported_load = 0;
    time_point load_expires;

    void start_new_incarnation(
        incarnation_number new_incarnation, std::optional<time_point> from);
    double weight(time_point now) const;
    double score(double typical_latency, time_point now) const;
    admission_level level(const admission_flow& flow, time_point now) const;
    void connection_failed(time_point now);
    void record_level(const routing_observation& observation, time_point now);
};

void instance_state::start_new_incarnation(
    incarnation_number new_incarnation, std::optional<time_point> from)
{
    // Calls to the old incarnation are still counted here when they end, so
    // their number is kept.
    const auto open_calls = in_flight;
    *this = instance_state{};
    in_flight = open_calls;
    incarnation = new_incarnation;
    slow_start_from = from;
}

// Returns the weight of the instance in random selection.
double instance_state::weight(time_point now) const
{
    double factor = 1;
    if (slow_start_from) {
        const double age = to_seconds(now - *slow_start_from);
        factor = std::clamp(
            age / to_seconds(slow_start), initial_slow_start_factor, 1.0);
    }
    if (now >= load_expires)
        return factor;
    const double load = std::clamp(reported_load, 0.0, 1.0);
    return factor * (max_load_hint_factor -
                     load * (max_load_hint_factor - 1 / max_load_hint_factor));
}

double instance_state::score(double typical_latency, time_point now) const
{
    const double decay = std::exp(
        -to_seconds(now - observed) / to_seconds(observation_decay_time));
    const double observed_latency = latency == 0 ? typical_latency : latency;
    const double expected_latency =
        typical_latency + (observed_latency - typical_latency) * decay;
    const double expected_success = 1 + (success_rate - 1) * decay;
    return static_cast<double>(in_flight + 1) * expected_latency /
           std::max(expected_success, min_success_rate);
}

admission_level
instance_state::level(const admission_flow& flow, time_point now) const
{
    const auto found = levels.find(flow);
    if (found == levels.end() || now >= found->second.expires)
        return 0;
    return found->second.level;
}

void instance_state::connection_failed(time_point now)
{
    if (++connection_failures < failures_to_eject)
        return;
    connection_failures = 0;
    ejected_until = now + ejection;
    ejection = std::min(2 * ejection, max_ejection);
}

void instance_state::record_level(
    const routing_observation& observation, time_point now)
{
    if (!observation.level)
        return;
    std::erase_if(
        levels, [now](const auto& item) { return now >= item.second.expires; });
    // A level of 0 is stored too: it differs from an unknown level.
    levels[observation.flow] = {*observation.level, now + level_expiry};
}

bool is_connection_failure(const routing_observation& observation)
{
    return observation.result != outcome::answered &&
           observation.reason == refusal_reason::backend_failed;
}

} // namespace

class balancer::impl
{
public:
    impl(availability_zone zone, std::function<std::uint64_t()> random)
        : zone_(std::move(zone)), random_(std::move(random))
    {
    }

    void set_instances(
        const service_name& service, std::vector<routing_candidate> instances,
        time_point now);
    routing_choice choose(
        const routing_request& request, const std::set<instance_name>& excluded,
        time_point now);
    admission_level level(
        const service_name& service, const admission_flow& flow,
        time_point now) const;
    void sent(const instance_name& name);
    void ended(
        const instance_name& name, const routing_observation& observation,
        time_point now);

private:
    struct weighted_candidate
    {
        const routing_candidate* candidate = nullptr;
        const instance_state* state = nullptr;
        double weight = 0;
        double score = 0;
    };
    using weighted_candidates = std::vector<weighted_candidate>;

    void forget_unlisted();
    weighted_candidate
    make_candidate(const routing_candidate& candidate, time_point now) const;
    std::size_t draw_by_weight(const weighted_candidates& from);
    std::optional<weighted_candidate> better_of_two(weighted_candidates from);
    const routing_candidate* pick(weighted_candidates& from, time_point now);

    availability_zone zone_;
    std::function<std::uint64_t()> random_;
    std::map<service_name, std::vector<routing_candidate>> services_;
    std::unordered_map<instance_name, instance_state> states_;
};

void balancer::impl::set_instances(
    const service_name& service, std::vector<routing_candidate> instances,
    time_point now)
{
    // Instances of the first list have usually been running for a long time,
    // and a slow start of all of them at once would change nothing.
    const bool is_first_list = services_.count(service) == 0;
    for (const auto& candidate : instances) {
        const auto [found, added] = states_.try_emplace(candidate.name);
        if (added || found->second.incarnation != candidate.incarnation)
            found->second.start_new_incarnation(
                candidate.incarnation,
                is_first_list ? std::nullopt : std::optional(now));
    }
    services_[service] = std::move(instances);
    forget_unlisted();
}

void balancer::impl::forget_unlisted()
{
    std::set<instance_name> listed;
    for (const auto& [service, candidates] : services_) {
        for (const auto& candidate : candidates)
            listed.insert(candidate.name);
    }
    // Open calls end later and still need the state of their instance.
    std::erase_if(states_, [&](const auto& item) {
        return listed.count(item.first) == 0 && item.second.in_flight == 0;
    });
}

balancer::impl::weighted_candidate balancer::impl::make_candidate(
    const routing_candidate& candidate, time_point now) const
{
    const auto& state = states_.at(candidate.name);
    return {&candidate, &state, state.weight(now), 0};
}

// Returns the index of a candidate drawn at random by weight.
std::size_t balancer::impl::draw_by_weight(const weighted_candidates& from)
{
    double total_weight = 0;
    for (const auto& item : from)
        total_weight += item.weight;
    double remaining =
        total_weight * static_cast<double>(random_() >> 11) * 0x1p-53;
    for (std::size_t i = 0; i + 1 < from.size(); ++i) {
        remaining -= from[i].weight;
        if (remaining < 0)
            return i;
    }
    return from.size() - 1;
}

std::optional<balancer::impl::weighted_candidate>
balancer::impl::better_of_two(weighted_candidates from)
{
    if (from.empty())
        return std::nullopt;
    const auto index = draw_by_weight(from);
    const auto first = from[index];
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(index));
    if (from.empty())
        return first;
    const auto second = from[draw_by_weight(from)];
    return second.score < significant_score_ratio * first.score ? second
                                                                : first;
}

// Chooses by power of two choices among the local candidates and among the
// remote ones, and takes the remote one only if it is the less loaded one.
const routing_candidate*
balancer::impl::pick(weighted_candidates& from, time_point now)
{
    double sum = 0;
    std::size_t known = 0;
    for (const auto& item : from) {
        sum += item.state->latency;
        known += item.state->latency == 0 ? 0 : 1;
    }
    const double typical =
        known == 0 ? unknown_latency : sum / static_cast<double>(known);
    weighted_candidates local;
    weighted_candidates remote;
    for (auto& item : from) {
        item.score = item.state->score(typical, now);
        (item.candidate->zone == zone_ ? local : remote).push_back(item);
    }
    const auto local_choice = better_of_two(std::move(local));
    const auto remote_choice = better_of_two(std::move(remote));
    if (local_choice &&
        (!remote_choice ||
         significant_score_ratio * local_choice->score <= remote_choice->score))
        return local_choice->candidate;
    return remote_choice->candidate;
}

routing_choice balancer::impl::choose(
    const routing_request& request, const std::set<instance_name>& excluded,
    time_point now)
{
    routing_choice none{
        std::nullopt,
        {outcome::not_run, refusal_reason::no_instance, retry_after_ms},
        0};
    const auto found = services_.find(request.service);
    if (found == services_.end())
        return none;

    weighted_candidates usable;
    weighted_candidates ejected;
    for (const auto& candidate : found->second) {
        if (excluded.count(candidate.name) != 0)
            continue;
        const auto item = make_candidate(candidate, now);
        (now < item.state->ejected_until ? ejected : usable).push_back(item);
    }
    // If every instance is ejected, the fault may be this node's own.
    if (usable.empty())
        usable = std::move(ejected);
    if (usable.empty())
        return none;

    weighted_candidates accepting;
    for (const auto& item : usable) {
        const bool refuses =
            request.priority < item.state->level(request.flow, now);
        const bool unconfirmed =
            request.after_overload && now >= item.state->recent_answer_until;
        if (!refuses && !unconfirmed)
            accepting.push_back(item);
    }
    if (accepting.empty() &&
        (request.after_overload || random_() % probe_interval != 0))
        return {
            std::nullopt,
            {outcome::not_run, refusal_reason::overloaded, retry_after_ms},
            0};
    const auto* chosen = pick(accepting.empty() ? usable : accepting, now);
    return {
        chosen->name, {}, states_.at(chosen->name).level(request.flow, now)};
}

admission_level balancer::impl::level(
    const service_name& service, const admission_flow& flow,
    time_point now) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.empty())
        return 0;
    double sum = 0;
    std::size_t known = 0;
    for (const auto& candidate : found->second) {
        const auto& levels = states_.at(candidate.name).levels;
        const auto item = levels.find(flow);
        if (item == levels.end() || now >= item->second.expires)
            continue;
        sum += item->second.level;
        ++known;
    }
    return known == 0 ? 0 : sum / static_cast<double>(known);
}

void balancer::impl::sent(const instance_name& name)
{
    const auto found = states_.find(name);
    if (found != states_.end())
        ++found->second.in_flight;
}

void balancer::impl::ended(
    const instance_name& name, const routing_observation& observation,
    time_point now)
{
    const auto found = states_.find(name);
    if (found == states_.end())
        return;
    auto& state = found->second;
    if (state.in_flight != 0)
        --state.in_flight;
    state.record_level(observation, now);
    if (observation.reported_load) {
        state.reported_load = *observation.reported_load;
        state.load_expires = now + load_hint_expiry;
    }
    if (is_connection_failure(observation)) {
        state.connection_failed(now);
    } else {
        state.connection_failures = 0;
        state.ejection = initial_ejection;
    }
    // A refusal is fast, so its latency would attract calls to the instance.
    const bool succeeded =
        observation.result == outcome::answered && !observation.reason;
    state.success_rate +=
        success_smoothing * ((succeeded ? 1 : 0) - state.success_rate);
    state.observed = now;
    if (!succeeded)
        return;
    state.recent_answer_until = now + level_expiry;
    const double latency = to_seconds(observation.latency);
    state.latency =
        state.latency == 0
            ? latency
            : state.latency + latency_smoothing * (latency - state.latency);
}

balancer::balancer(
    availability_zone zone, std::function<std::uint64_t()> random)
    : impl_(std::make_unique<impl>(std::move(zone), std::move(random)))
{
}

balancer::~balancer() = default;

void balancer::set_instances(
    const service_name& service, std::vector<routing_candidate> instances,
    time_point now)
{
    impl_->set_instances(service, std::move(instances), now);
}

routing_choice balancer::choose(
    const service_name& service, request_priority priority,
    const std::set<instance_name>& excluded, time_point now)
{
    return impl_->choose({service, priority, {}}, excluded, now);
}

routing_choice balancer::choose(
    const routing_request& request, const std::set<instance_name>& excluded,
    time_point now)
{
    return impl_->choose(request, excluded, now);
}

admission_level balancer::level(
    const service_name& service, const admission_flow& flow,
    time_point now) const
{
    return impl_->level(service, flow, now);
}

void balancer::sent(const instance_name& instance, time_point)
{
    impl_->sent(instance);
}

void balancer::ended(
    const instance_name& instance, const routing_observation& observation,
    time_point now)
{
    impl_->ended(instance, observation, now);
}

} // namespace fulmarjunction
