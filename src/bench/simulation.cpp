#include "simulation.hpp"

#include <fulmarjunction/core/enum_table.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace fulmarjunction::bench {

namespace {

constexpr auto policy_names = make_enum_table<policy>({
    {policy::fulmar, "fulmar"},
    {policy::no_control, "no_control"},
    {policy::static_fifo, "static_fifo"},
    {policy::per_hop_retries, "per_hop_retries"},
});

constexpr double entry_margin = 0.03;
constexpr duration hop_delay = milliseconds(1);
constexpr duration client_timeout = seconds(1);
constexpr duration tick_period = milliseconds(10);
/// Retry budget of the whole call tree, or of each hop with `per_hop_retries`.
constexpr std::uint32_t extra_attempts = 2;
/// Requests that a backend server accepts without admission control.
constexpr std::size_t max_connections = 600;

/// One attempt of a client: the root of a call tree.
struct root_state
{
    std::size_t request = 0;
    root_id id;
    request_priority priority = 0;
    time_point deadline;
    std::size_t entry = 0;
    double work = 0;
    double measured_work = 0;
    bool ended = false;
};
using root_pointer = std::shared_ptr<root_state>;

struct call_result
{
    bool succeeded = false;
    outcome call_outcome = outcome::unknown;
    refusal_reason reason = refusal_reason::backend_failed;
    std::uint32_t unspent = 0;
    /// Whether a downstream call was refused.
    bool refused_downstream = false;
    /// Highest level found downstream of the called instance.
    service_level downstream_level{};
};
using call_done = std::function<void(const call_result&)>;

const service_level&
higher_level(const service_level& a, const service_level& b)
{
    return b.level > a.level ? b : a;
}

/// A call with its attempts, at the node that sends it.
struct call_state
{
    root_pointer root;
    std::size_t hop = 0;
    std::size_t sender = 0;
    retry_budget budget{0};
    std::set<instance_name> tried;
    bool after_overload = false;
    /// Level of a downstream service that was applied on the way here.
    service_level applied_downstream;
    call_done done;
};
using call_pointer = std::shared_ptr<call_state>;

/// An attempt at the node of a backend server.
struct attempt_state
{
    std::uint64_t id = 0;
    call_pointer call;
    std::size_t target = 0;
    std::uint32_t delegated = 0;
    time_point sent;
    /// Level of the target's service that was applied.
    admission_level applied_level = 0;
    /// Set when the sender no longer waits.
    bool abandoned = false;
    bool ended = false;
    /// Work in progress at the backend server.
    std::optional<time_point> working_since;
    std::uint32_t unspent = 0;
    service_level downstream_level{};
};
using attempt_pointer = std::shared_ptr<attempt_state>;

struct instance_model
{
    instance_name name;
    std::size_t service = 0;
    std::size_t slots = 0;
    incarnation_number incarnation = 1;
    bool up = true;
    std::optional<time_point> warming_since;
    double frozen_load = 0;
    std::size_t busy = 0;
    std::deque<attempt_pointer> queue;
    std::unordered_map<std::uint64_t, attempt_pointer> attempts;
    std::unique_ptr<admission_controller> admission;
    std::unique_ptr<balancer> routes;
    std::unique_ptr<endpoint_levels> levels;
};

class simulation
{
public:
    simulation(const scenario& plan, policy applied_policy, std::uint64_t seed)
        : plan_(plan), policy_(applied_policy), random_(seed),
          arrivals_(seed + 1)
    {
        make_instances();
    }

    run_record run();

private:
    bool is_controlled() const { return policy_ == policy::fulmar; }
    time_point now() const { return loop_.now(); }
    double second() const { return to_seconds(now().time_since_epoch()); }
    double exponential(std::mt19937_64& from, double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(from);
    }

    void make_instances();
    void make_controls(instance_model& instance);
    void publish_instances();
    void tick();

    void next_arrival(std::size_t account, std::size_t endpoint);
    double arrival_rate(std::size_t account, std::size_t endpoint) const;
    void send_root(std::size_t request);
    void end_root(const root_pointer& root, const call_result& result);
    void record_downstream_level(
        std::size_t node, const entry_root& observed_root,
        const call_result& result);
    entry_root entry_root_of(const root_state& root) const;

    void send_attempt(const call_pointer& call);
    routing_choice choose_instance(const call_state& call);
    void on_answer(const attempt_pointer& attempt, call_result result);
    void
    record_observation(const attempt_state& attempt, const call_result& result);

    void receive(const attempt_pointer& attempt);
    void apply_events(std::size_t index, const admission_events& events);
    void start_work(const attempt_pointer& attempt);
    void run_work(
        const attempt_pointer& attempt, duration mean,
        const std::function<void()>& next);
    void stop_work(attempt_state& attempt);
    void call_downstream(const attempt_pointer& attempt);
    void end_attempt(
        const attempt_pointer& attempt, completion completed_as,
        const call_result& result);
    void restart_half();
    void restart(std::size_t index);

    admission_flow flow_of(const call_state& call) const;
    double reported_load(const instance_model& from) const;
    double slowdown(const instance_model& at) const;

    const scenario& plan_;
    policy policy_;
    std::mt19937_64 random_;
    /// Arrivals have a separate generator, so every policy gets the same ones.
    std::mt19937_64 arrivals_;
    event_loop loop_;
    std::vector<instance_model> instances_;
    std::unordered_map<instance_name, std::size_t> index_of_;
    std::uint64_t next_attempt_ = 1;
    run_record record_;
};

void simulation::make_instances()
{
    for (std::size_t service = 0; service != services().size(); ++service) {
        const auto& model = services()[service];
        for (std::size_t i = 0; i != model.instances; ++i) {
            instance_model instance;
            instance.name = fmt::format("{}-{}", model.name, i);
            instance.service = service;
            instance.slots = model.slots;
            index_of_[instance.name] = instances_.size();
            make_controls(instance);
            instances_.push_back(std::move(instance));
        }
    }
    publish_instances();
}

void simulation::make_controls(instance_model& instance)
{
    const auto random = [this] { return random_(); };
    instance.admission =
        std::make_unique<admission_controller>(admission_settings{}, now());
    instance.admission->restarted(
        plan_.slots_announced ? instance.slots : 0, now());
    instance.routes = std::make_unique<balancer>("z", random);
    instance.levels = std::make_unique<endpoint_levels>(random);
}

void simulation::publish_instances()
{
    for (std::size_t service = 0; service != services().size(); ++service) {
        std::vector<routing_candidate> list;
        for (const auto& item : instances_) {
            if (item.service == service && item.up)
                list.push_back({item.name, "z", item.slots, item.incarnation});
        }
        for (auto& item : instances_)
            item.routes->set_instances(services()[service].name, list, now());
    }
}

void simulation::tick()
{
    for (std::size_t i = 0; i != instances_.size(); ++i)
        apply_events(i, instances_[i].admission->tick(now()));
    loop_.schedule_after(tick_period, [this] { tick(); });
}

run_record simulation::run()
{
    for (std::size_t a = 0; a != accounts().size(); ++a) {
        for (std::size_t e = 0; e != endpoints().size(); ++e)
            next_arrival(a, e);
    }
    if (is_controlled())
        tick();
    if (plan_.restart_at != duration::zero())
        loop_.schedule_at(
            time_point{plan_.restart_at}, [this] { restart_half(); });
    loop_.schedule_at(time_point{seconds(2)}, [this] {
        for (auto& item : instances_)
            item.frozen_load = reported_load(item);
    });
    // Requests that arrive at the end can still complete.
    loop_.run_until(time_point{plan_.length + 2 * client_timeout});
    return std::move(record_);
}

double simulation::arrival_rate(std::size_t account, std::size_t endpoint) const
{
    const auto& model = accounts()[account];
    if (plan_.only_critical &&
        endpoints()[endpoint].rank != importance::critical)
        return 0;
    return endpoints()[endpoint].rate * model.fraction *
           plan_.demand(second()) * plan_.account_demand(model.name, second());
}

void simulation::next_arrival(std::size_t account, std::size_t endpoint)
{
    const double rate = arrival_rate(account, endpoint);
    // The rate is piecewise constant. Sampling it again every 0.1 s follows its
    // steps; a Poisson process is memoryless, so restarting it is exact.
    constexpr double recheck_period_s = 0.1;
    const double wait = rate > 0 ? exponential(arrivals_, 1 / rate) : 1e9;
    if (wait > recheck_period_s) {
        if (now() < time_point{plan_.length})
            loop_.schedule_after(
                from_seconds(recheck_period_s),
                [this, account, endpoint] { next_arrival(account, endpoint); });
        return;
    }
    loop_.schedule_after(from_seconds(wait), [this, account, endpoint] {
        if (now() >= time_point{plan_.length})
            return;
        record_.requests.push_back(
            {account, endpoint, now(), plan_.resends, false, false, "none"});
        send_root(record_.requests.size() - 1);
        next_arrival(account, endpoint);
    });
}

void simulation::send_root(std::size_t request)
{
    auto root = std::make_shared<root_state>();
    root->request = request;
    for (auto& byte : root->id.bytes)
        byte = static_cast<std::uint8_t>(random_());
    const auto& model = endpoints()[record_.requests[request].endpoint];
    root->priority = priority_of(model.rank, root->id);
    root->deadline = now() + client_timeout;
    root->entry = random_() % instances_.size();
    loop_.schedule_at(root->deadline, [this, root] {
        end_root(
            root, {false, outcome::unknown, refusal_reason::deadline_expired, 0,
                   false});
    });

    auto call = std::make_shared<call_state>();
    call->root = root;
    call->sender = root->entry;
    call->budget = retry_budget(extra_attempts);
    if (policy_ == policy::no_control || policy_ == policy::static_fifo)
        call->budget = retry_budget(0);
    call->done = [this, root](const call_result& result) {
        end_root(root, result);
    };
    const auto observed_root = entry_root_of(*root);
    auto& levels = *instances_[root->entry].levels;
    if (is_controlled() && !levels.admit(observed_root, now(), entry_margin)) {
        loop_.schedule_after(hop_delay, [this, root] {
            end_root(
                root, {false, outcome::not_run, refusal_reason::overloaded, 0,
                       false});
        });
        return;
    }
    call->done = [this, root, observed_root](const call_result& result) {
        record_downstream_level(root->entry, observed_root, result);
        loop_.schedule_after(
            hop_delay, [this, root, result] { end_root(root, result); });
    };
    call->applied_downstream =
        levels.level(observed_root.endpoint, observed_root.account, now());
    loop_.schedule_after(hop_delay, [this, call] { send_attempt(call); });
}

void simulation::record_downstream_level(
    std::size_t node, const entry_root& observed_root,
    const call_result& result)
{
    // A refusal before any work and a lost answer carry no downstream level.
    const bool has_level = result.succeeded ||
                           result.call_outcome == outcome::answered ||
                           result.downstream_level.level > 0;
    if (is_controlled() && has_level)
        instances_[node].levels->ended(
            observed_root, {result.refused_downstream, result.downstream_level},
            now());
}

entry_root simulation::entry_root_of(const root_state& root) const
{
    const auto& request = record_.requests[root.request];
    return {
        endpoints()[request.endpoint].name, accounts()[request.account].name,
        root.priority};
}

void simulation::end_root(const root_pointer& root, const call_result& result)
{
    if (root->ended)
        return;
    root->ended = true;
    auto& request = record_.requests[root->request];
    if (result.succeeded) {
        request.succeeded = true;
        request.ended = true;
        return;
    }
    request.failure = to_string(result.reason);
    record_.wasted_work += root->measured_work;
    if (request.resends_left == 0) {
        request.ended = true;
        return;
    }
    --request.resends_left;
    send_root(root->request);
}

admission_flow simulation::flow_of(const call_state& call) const
{
    const auto& request = record_.requests[call.root->request];
    return {accounts()[request.account].name, call.hop != 0};
}

routing_choice simulation::choose_instance(const call_state& call)
{
    if (is_controlled())
        return instances_[call.sender].routes->choose(
            {services()[call.hop].name, call.root->priority, flow_of(call),
             call.after_overload},
            call.tried, now());
    std::vector<const instance_model*> usable;
    for (const auto& item : instances_) {
        if (item.service == call.hop && item.up &&
            call.tried.count(item.name) == 0)
            usable.push_back(&item);
    }
    if (usable.empty())
        return {{}, {outcome::not_run, refusal_reason::no_instance, 0}, 0};
    return {usable[random_() % usable.size()]->name, {}, 0};
}

void simulation::send_attempt(const call_pointer& call)
{
    if (is_controlled() && now() >= call->root->deadline) {
        call->done(
            {false, outcome::not_run, refusal_reason::deadline_expired,
             call->budget.left(), false});
        return;
    }
    const auto choice = choose_instance(*call);
    if (!choice.instance) {
        call->done(
            {false, outcome::not_run, choice.details.reason,
             call->budget.left(), false});
        return;
    }
    const auto target = index_of_.at(*choice.instance);
    auto attempt = std::make_shared<attempt_state>();
    attempt->id = next_attempt_++;
    attempt->call = call;
    attempt->target = target;
    attempt->applied_level = choice.applied_level;
    if (call->applied_downstream.service == services()[call->hop].name)
        attempt->applied_level =
            std::max(attempt->applied_level, call->applied_downstream.level);
    attempt->sent = now();
    if (is_controlled())
        attempt->delegated = call->budget.delegate(call->budget.left());
    call->tried.insert(instances_[target].name);
    instances_[call->sender].routes->sent(instances_[target].name, now());
    loop_.schedule_after(hop_delay, [this, attempt] { receive(attempt); });
    if (is_controlled())
        return;
    loop_.schedule_after(client_timeout, [this, attempt] {
        on_answer(
            attempt, {false, outcome::unknown, refusal_reason::backend_failed,
                      0, false});
    });
}

void simulation::record_observation(
    const attempt_state& attempt, const call_result& result)
{
    const auto& target = instances_[attempt.target];
    routing_observation observation;
    const bool refused_here = result.call_outcome == outcome::not_run;
    observation.result = result.call_outcome;
    if (!result.succeeded && !result.refused_downstream)
        observation.reason = result.reason;
    // A failure that originates downstream is an answer of this instance.
    if (result.refused_downstream)
        observation.result = outcome::answered;
    observation.latency = now() - attempt.sent;
    observation.flow = flow_of(*attempt.call);
    if (result.call_outcome != outcome::unknown || refused_here)
        observation.level = target.admission->level(observation.flow, now());
    observation.reported_load = reported_load(target);
    instances_[attempt.call->sender].routes->ended(
        target.name, observation, now());
}

void simulation::on_answer(const attempt_pointer& attempt, call_result result)
{
    if (attempt->abandoned)
        return;
    attempt->abandoned = true;
    const auto& call = attempt->call;
    if (is_controlled())
        record_observation(*attempt, result);
    call->budget.reclaim(attempt->delegated, result.unspent);
    if (!result.succeeded) {
        failed_attempt failed;
        failed.result = result.call_outcome;
        failed.reason = result.reason;
        failed.body_replayable = true;
        const bool is_retried =
            !is_controlled() ||
            (!result.refused_downstream && may_retry(failed));
        if (result.reason == refusal_reason::overloaded)
            call->after_overload = true;
        if (is_retried && call->budget.spend()) {
            ++record_.extra_attempts;
            send_attempt(call);
            return;
        }
    }
    result.unspent = call->budget.left();
    call->done(result);
}

void simulation::receive(const attempt_pointer& attempt)
{
    auto& instance = instances_[attempt->target];
    const auto refuse = [&](refusal_reason reason, outcome call_outcome) {
        end_attempt(
            attempt, completion::refused,
            {false, call_outcome, reason, attempt->delegated, false});
    };
    if (!instance.up) {
        refuse(refusal_reason::backend_failed, outcome::not_run);
        return;
    }
    instance.attempts[attempt->id] = attempt;
    if (!is_controlled()) {
        const auto max_waiting = policy_ == policy::no_control
                                     ? max_connections - instance.slots
                                     : 2 * instance.slots;
        if (instance.busy < instance.slots)
            start_work(attempt);
        else if (instance.queue.size() < max_waiting)
            instance.queue.push_back(attempt);
        else
            refuse(refusal_reason::overloaded, outcome::not_run);
        return;
    }
    const auto& call = *attempt->call;
    const auto& root = *call.root;
    const auto& request = record_.requests[root.request];
    const auto& account = accounts()[request.account];
    admission_request offered;
    offered.id = attempt->id;
    offered.rank = endpoints()[request.endpoint].rank;
    offered.account = account.name;
    offered.weight = account.weight;
    offered.root = root.id;
    offered.invested = call.hop != 0;
    offered.deadline = root.deadline;
    offered.endpoint = endpoints()[request.endpoint].name;
    offered.applied_level = attempt->applied_level;
    const auto observed_root = entry_root_of(root);
    if (!instance.levels->admit(observed_root, now())) {
        end_attempt(
            attempt, completion::refused,
            {false, outcome::not_run, refusal_reason::overloaded,
             attempt->delegated, false,
             instance.levels->level(
                 observed_root.endpoint, observed_root.account, now())});
        return;
    }
    apply_events(attempt->target, instance.admission->offer(offered, now()));
}

void simulation::apply_events(std::size_t index, const admission_events& events)
{
    auto& instance = instances_[index];
    for (const auto& event : events) {
        if (const auto* start = std::get_if<admission_start>(&event)) {
            const auto attempt = instance.attempts.at(start->id);
            // The node cancels the request at the backend server when its
            // deadline passes.
            loop_.schedule_at(attempt->call->root->deadline, [this, attempt] {
                end_attempt(
                    attempt, completion::timed_out,
                    {false, outcome::unknown, refusal_reason::deadline_expired,
                     0, false});
            });
            if (instance.busy < instance.slots)
                start_work(attempt);
            else
                instance.queue.push_back(attempt);
        } else {
            const auto& refused = std::get<admission_refuse>(event);
            const auto attempt = instance.attempts.at(refused.id);
            attempt->ended = true;
            instance.attempts.erase(refused.id);
            const call_result result{
                false, outcome::not_run, refused.details.reason,
                attempt->delegated, false};
            loop_.schedule_after(hop_delay, [this, attempt, result] {
                on_answer(attempt, result);
            });
        }
    }
}

double simulation::slowdown(const instance_model& at) const
{
    double factor = 1;
    if (at.service + 1 == services().size())
        factor = plan_.slowdown(second());
    if (at.warming_since) {
        const double age = to_seconds(now() - *at.warming_since);
        const double left =
            std::clamp(1 - age / to_seconds(warmup_time), 0.0, 1.0);
        factor *= 1 + (cold_slowdown - 1) * left;
    }
    return factor;
}

void simulation::start_work(const attempt_pointer& attempt)
{
    auto& instance = instances_[attempt->target];
    ++instance.busy;
    run_work(
        attempt, services()[instance.service].work_before_call,
        [this, attempt] { call_downstream(attempt); });
}

void simulation::run_work(
    const attempt_pointer& attempt, duration mean,
    const std::function<void()>& next)
{
    if (mean == duration::zero()) {
        next();
        return;
    }
    // Half of the time is fixed; the other half is exponential.
    const double half = to_seconds(mean) / 2;
    const double taken = (half + exponential(random_, half)) *
                         slowdown(instances_[attempt->target]);
    attempt->working_since = now();
    loop_.schedule_after(from_seconds(taken), [this, attempt, next] {
        if (attempt->ended)
            return;
        stop_work(*attempt);
        next();
    });
}

void simulation::stop_work(attempt_state& attempt)
{
    if (!attempt.working_since)
        return;
    const double taken = to_seconds(now() - *attempt.working_since);
    attempt.working_since.reset();
    auto& root = *attempt.call->root;
    const auto arrival =
        record_.requests[root.request].arrival.time_since_epoch();
    if (arrival < plan_.measured_from || arrival >= plan_.measured_to)
        return;
    record_.work += taken;
    root.measured_work += taken;
    // Work for a root that has already failed is wasted at once.
    if (root.ended)
        record_.wasted_work += taken;
}

void simulation::call_downstream(const attempt_pointer& attempt)
{
    const auto& call = *attempt->call;
    const auto& request = record_.requests[call.root->request];
    const auto finish = [this, attempt] {
        const auto unspent = attempt->delegated == 0 ? 0 : attempt->unspent;
        run_work(
            attempt,
            services()[instances_[attempt->target].service].work_after_call,
            [this, attempt, unspent] {
                end_attempt(
                    attempt, completion::succeeded,
                    {true, outcome::answered, {}, unspent, false});
            });
    };
    attempt->unspent = attempt->delegated;
    if (call.hop + 1 == endpoints()[request.endpoint].depth) {
        finish();
        return;
    }
    const auto child_service = services()[call.hop + 1].name;
    auto child = std::make_shared<call_state>();
    child->root = call.root;
    child->hop = call.hop + 1;
    child->sender = attempt->target;
    const auto observed_root = entry_root_of(*call.root);
    child->applied_downstream = higher_level(
        call.applied_downstream,
        instances_[attempt->target].levels->level(
            observed_root.endpoint, observed_root.account, now()));
    child->budget = retry_budget(
        policy_ == policy::per_hop_retries ? extra_attempts
                                           : attempt->delegated);
    if (is_controlled())
        instances_[attempt->target].admission->call_started(attempt->id, now());
    child->done = [this, attempt, finish, child_service,
                   observed_root](const call_result& result) {
        if (attempt->ended)
            return;
        auto& instance = instances_[attempt->target];
        if (is_controlled()) {
            instance.admission->call_ended(attempt->id, now());
            auto flow = flow_of(*attempt->call);
            flow.invested = true;
            attempt->downstream_level = higher_level(
                result.downstream_level,
                {child_service,
                 instance.routes->level(child_service, flow, now())});
            auto combined = result;
            combined.downstream_level = attempt->downstream_level;
            record_downstream_level(attempt->target, observed_root, combined);
        }
        attempt->unspent = result.unspent;
        if (result.succeeded) {
            finish();
            return;
        }
        const bool refused = result.refused_downstream ||
                             result.call_outcome == outcome::not_run;
        end_attempt(
            attempt, completion::failed,
            {false, outcome::answered, result.reason, result.unspent, refused});
    };
    send_attempt(child);
}

void simulation::end_attempt(
    const attempt_pointer& attempt, completion completed_as,
    const call_result& result)
{
    if (attempt->ended)
        return;
    attempt->ended = true;
    stop_work(*attempt);
    auto& instance = instances_[attempt->target];
    const bool known = instance.attempts.erase(attempt->id) != 0;
    loop_.schedule_after(
        hop_delay, [this, attempt, result] { on_answer(attempt, result); });
    if (!known || completed_as == completion::refused)
        return;
    const auto queued =
        std::find(instance.queue.begin(), instance.queue.end(), attempt);
    if (queued != instance.queue.end())
        instance.queue.erase(queued);
    else
        --instance.busy;
    if (instance.busy < instance.slots && !instance.queue.empty()) {
        const auto next = instance.queue.front();
        instance.queue.pop_front();
        start_work(next);
    }
    if (is_controlled())
        apply_events(
            attempt->target,
            instance.admission->finish(attempt->id, completed_as, now()));
}

void simulation::restart_half()
{
    for (std::size_t i = 0; i < instances_.size(); i += 2)
        restart(i);
    publish_instances();
}

void simulation::restart(std::size_t index)
{
    auto& instance = instances_[index];
    instance.up = false;
    const auto lost = instance.attempts;
    instance.queue.clear();
    for (const auto& item : lost) {
        const auto attempt = item.second;
        attempt->ended = true;
        stop_work(*attempt);
        loop_.schedule_after(hop_delay, [this, attempt] {
            on_answer(
                attempt, {false, outcome::unknown,
                          refusal_reason::backend_failed, 0, false});
        });
    }
    instance.attempts.clear();
    instance.busy = 0;
    instance.admission =
        std::make_unique<admission_controller>(admission_settings{}, now());
    loop_.schedule_after(restart_downtime, [this, index] {
        auto& started = instances_[index];
        started.up = true;
        ++started.incarnation;
        started.warming_since = now();
        started.admission->restarted(
            plan_.slots_announced ? started.slots : 0, now());
        publish_instances();
    });
}

double simulation::reported_load(const instance_model& from) const
{
    const double load = std::min(
        1.0, static_cast<double>(from.busy + from.queue.size()) /
                 static_cast<double>(from.slots));
    switch (plan_.reports) {
    case load_report::frozen:
        return from.frozen_load == 0 ? load : from.frozen_load;
    case load_report::inverted:
        return 1 - load;
    case load_report::accurate:
        break;
    }
    return load;
}

} // namespace

std::string_view to_string(policy value)
{
    return policy_names.name(value);
}

run_record run(const scenario& plan, policy applied_policy, std::uint64_t seed)
{
    return simulation(plan, applied_policy, seed).run();
}

} // namespace fulmarjunction::bench
