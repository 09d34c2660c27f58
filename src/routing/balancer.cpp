#include <fulmarjunction/routing/balancer.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>

namespace fulmarjunction {

namespace {

constexpr duration level_expiry = seconds(1);
/// One in this many calls below the level is sent all the same, to notice a
/// level that was lowered.
constexpr std::uint64_t probe_one_in = 100;
/// A new incarnation of an instance gets its full part after this time.
constexpr duration slow_start = seconds(5);
constexpr double first_part = 0.1;
/// Reported load moves the chance of being drawn by at most this factor
/// either way. As a factor of the score it would decide every comparison of
/// two idle instances.
constexpr double greatest_hint = 1.25;
constexpr duration hint_expiry = seconds(3);
/// Part of a new latency in the running mean.
constexpr double latency_smoothing = 0.1;
constexpr double failure_smoothing = 0.05;
/// A failing instance still gets some calls, so that recovery is noticed.
constexpr double least_success = 0.1;
/// Latency assumed while no instance has answered, in seconds.
constexpr double unknown_latency = 0.01;
/// Observations fade towards those of the other instances, so that one that
/// is not chosen for being slow or failing is tried again.
constexpr duration fading_time = seconds(5);
/// Scores within a tenth are equal; noise would send all calls to one.
constexpr double clearly_better = 0.9;
constexpr std::size_t failures_to_eject = 3;
constexpr duration first_ejection = seconds(1);
constexpr duration longest_ejection = seconds(30);
constexpr std::int64_t retry_after_ms = 1000;

struct known_level
{
    admission_level level = 0;
    time_point expires;
};

struct instance_state
{
    incarnation_number incarnation = 0;
    std::size_t in_flight = 0;
    double latency = 0;
    double success = 1;
    time_point observed;
    /// End of the time in which its last success counts as recent.
    time_point answers_until;
    std::size_t connection_failures = 0;
    duration ejection = first_ejection;
    time_point ejected_until;
    std::optional<time_point> slow_start_from;
    std::map<admission_flow, known_level> levels;
    double reported_load = 0;
    time_point load_expires;

    void start_new_incarnation(
        incarnation_number new_incarnation, std::optional<time_point> from);
    double chance(time_point now) const;
    double score(double typical_latency, time_point now) const;
    admission_level level(const admission_flow& flow, time_point now) const;
    void connection_failed(time_point now);
    void learn_level(const routing_observation& seen, time_point now);
};

void instance_state::start_new_incarnation(
    incarnation_number new_incarnation, std::optional<time_point> from)
{
    // Calls to the old incarnation still end here, so their number is kept.
    const auto open_calls = in_flight;
    *this = instance_state{};
    in_flight = open_calls;
    incarnation = new_incarnation;
    slow_start_from = from;
}

// Returns the weight with which the instance is drawn.
double instance_state::chance(time_point now) const
{
    double part = 1;
    if (slow_start_from) {
        const double age = to_seconds(now - *slow_start_from);
        part = std::clamp(age / to_seconds(slow_start), first_part, 1.0);
    }
    if (now >= load_expires)
        return part;
    const double load = std::clamp(reported_load, 0.0, 1.0);
    return part * (greatest_hint - load * (greatest_hint - 1 / greatest_hint));
}

double instance_state::score(double typical_latency, time_point now) const
{
    const double faded =
        std::exp(-to_seconds(now - observed) / to_seconds(fading_time));
    const double known = latency == 0 ? typical_latency : latency;
    const double expected = typical_latency + (known - typical_latency) * faded;
    const double succeeds = 1 + (success - 1) * faded;
    return static_cast<double>(in_flight + 1) * expected /
           std::max(succeeds, least_success);
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
    ejection = std::min(2 * ejection, longest_ejection);
}

void instance_state::learn_level(
    const routing_observation& seen, time_point now)
{
    if (!seen.level)
        return;
    std::erase_if(
        levels, [now](const auto& item) { return now >= item.second.expires; });
    // A level of 0 is kept too: it differs from not knowing.
    levels[seen.flow] = {*seen.level, now + level_expiry};
}

bool is_connection_failure(const routing_observation& seen)
{
    return seen.result != outcome::answered &&
           seen.reason == refusal_reason::backend_failed;
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
        const instance_name& name, const routing_observation& seen,
        time_point now);

private:
    struct option
    {
        const routing_candidate* candidate = nullptr;
        const instance_state* state = nullptr;
        double chance = 0;
        double score = 0;
    };
    using options = std::vector<option>;

    void forget_unlisted();
    option option_of(const routing_candidate& candidate, time_point now) const;
    std::size_t draw(const options& from);
    std::optional<option> better_of_two(options from);
    const routing_candidate* pick(options& from, time_point now);

    availability_zone zone_;
    std::function<std::uint64_t()> random_;
    std::map<service_name, std::vector<routing_candidate>> services_;
    std::unordered_map<instance_name, instance_state> states_;
};

void balancer::impl::set_instances(
    const service_name& service, std::vector<routing_candidate> instances,
    time_point now)
{
    // The first list holds instances that have long been running; a slow
    // start for all of them would only favour none.
    const bool first_list = services_.count(service) == 0;
    for (const auto& candidate : instances) {
        const auto [found, added] = states_.try_emplace(candidate.name);
        if (added || found->second.incarnation != candidate.incarnation)
            found->second.start_new_incarnation(
                candidate.incarnation,
                first_list ? std::nullopt : std::optional(now));
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
    // Open calls end later and must find their instance.
    std::erase_if(states_, [&](const auto& item) {
        return listed.count(item.first) == 0 && item.second.in_flight == 0;
    });
}

balancer::impl::option balancer::impl::option_of(
    const routing_candidate& candidate, time_point now) const
{
    const auto& state = states_.at(candidate.name);
    return {&candidate, &state, state.chance(now), 0};
}

// Returns the index of an option drawn by chance.
std::size_t balancer::impl::draw(const options& from)
{
    double all = 0;
    for (const auto& item : from)
        all += item.chance;
    double point = all * static_cast<double>(random_() >> 11) * 0x1p-53;
    for (std::size_t i = 0; i + 1 < from.size(); ++i) {
        point -= from[i].chance;
        if (point < 0)
            return i;
    }
    return from.size() - 1;
}

std::optional<balancer::impl::option>
balancer::impl::better_of_two(options from)
{
    if (from.empty())
        return std::nullopt;
    const auto index = draw(from);
    const auto first = from[index];
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(index));
    if (from.empty())
        return first;
    const auto second = from[draw(from)];
    return second.score < clearly_better * first.score ? second : first;
}

// Chooses by power of two choices in the own zone and outside of it, and
// takes the one outside only when it is the less loaded one.
const routing_candidate* balancer::impl::pick(options& from, time_point now)
{
    double sum = 0;
    std::size_t known = 0;
    for (const auto& item : from) {
        sum += item.state->latency;
        known += item.state->latency == 0 ? 0 : 1;
    }
    const double typical =
        known == 0 ? unknown_latency : sum / static_cast<double>(known);
    options near;
    options far;
    for (auto& item : from) {
        item.score = item.state->score(typical, now);
        (item.candidate->zone == zone_ ? near : far).push_back(item);
    }
    const auto near_one = better_of_two(std::move(near));
    const auto far_one = better_of_two(std::move(far));
    if (near_one &&
        (!far_one || clearly_better * near_one->score <= far_one->score))
        return near_one->candidate;
    return far_one->candidate;
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

    options usable;
    options ejected;
    for (const auto& candidate : found->second) {
        if (excluded.count(candidate.name) != 0)
            continue;
        const auto item = option_of(candidate, now);
        (now < item.state->ejected_until ? ejected : usable).push_back(item);
    }
    // With every instance ejected the fault may be this node's own.
    if (usable.empty())
        usable = std::move(ejected);
    if (usable.empty())
        return none;

    options accepting;
    for (const auto& item : usable) {
        const bool refuses =
            request.priority < item.state->level(request.flow, now);
        const bool doubtful =
            request.after_overload && now >= item.state->answers_until;
        if (!refuses && !doubtful)
            accepting.push_back(item);
    }
    if (accepting.empty() &&
        (request.after_overload || random_() % probe_one_in != 0))
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
    const instance_name& name, const routing_observation& seen, time_point now)
{
    const auto found = states_.find(name);
    if (found == states_.end())
        return;
    auto& state = found->second;
    if (state.in_flight != 0)
        --state.in_flight;
    state.learn_level(seen, now);
    if (seen.reported_load) {
        state.reported_load = *seen.reported_load;
        state.load_expires = now + hint_expiry;
    }
    if (is_connection_failure(seen)) {
        state.connection_failed(now);
    } else {
        state.connection_failures = 0;
        state.ejection = first_ejection;
    }
    // A refusal is fast, so its latency would make the instance attractive.
    const bool good = seen.result == outcome::answered && !seen.reason;
    state.success += failure_smoothing * ((good ? 1 : 0) - state.success);
    state.observed = now;
    if (!good)
        return;
    state.answers_until = now + level_expiry;
    const double latency = to_seconds(seen.latency);
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
