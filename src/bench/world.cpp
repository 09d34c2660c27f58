#include "world.hpp"

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
/// Extra attempts: for the whole tree, or for each hop of the baseline.
constexpr std::uint32_t extra_attempts = 2;
/// Requests that a backend server accepts without any control in front.
constexpr std::size_t most_connections = 600;

/// One attempt of a client: the root of a tree of calls.
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
    outcome what = outcome::unknown;
    refusal_reason reason = refusal_reason::backend_failed;
    std::uint32_t unspent = 0;
    /// Whether a call below this one was refused.
    bool refused_below = false;
    /// Highest level met below the instance that was called.
    service_level level_below{};
};
using call_done = std::function<void(const call_result&)>;

const service_level& higher(const service_level& a, const service_level& b)
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
    /// Level of a service below that was applied on the way here.
    service_level applied_below;
    call_done done;
};
using call_pointer = std::shared_ptr<call_state>;

/// An attempt at the node of a backend server.
struct attempt_state
{
    std::uint64_t id = 0;
    call_pointer call;
    std::size_t target = 0;
    std::uint32_t handed = 0;
    time_point sent;
    /// Level of the target's service that was applied.
    admission_level applied_level = 0;
    /// Set when the sender no longer waits.
    bool abandoned = false;
    bool ended = false;
    /// Work in progress at the backend server.
    std::optional<time_point> working_since;
    std::uint32_t unspent = 0;
    service_level level_below{};
};
using attempt_pointer = std::shared_ptr<attempt_state>;

struct instance_model
{
    instance_name name;
    std::size_t service = 0;
    std::size_t slots = 0;
    incarnation_number incarnation = 1;
    bool up = true;
    std::optional<time_point> cold_since;
    double frozen_load = 0;
    std::size_t busy = 0;
    std::deque<attempt_pointer> queue;
    std::unordered_map<std::uint64_t, attempt_pointer> attempts;
    std::unique_ptr<admission_controller> admission;
    std::unique_ptr<balancer> routes;
    std::unique_ptr<endpoint_levels> levels;
};

class world
{
public:
    world(const scenario& plan, policy how, std::uint64_t seed)
        : plan_(plan), policy_(how), random_(seed), arrivals_(seed + 1)
    {
        make_instances();
    }

    run_record run();

private:
    bool controlled() const { return policy_ == policy::fulmar; }
    time_point now() const { return loop_.now(); }
    double second() const { return to_seconds(now().time_since_epoch()); }
    double exponential(std::mt19937_64& from, double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(from);
    }

    void make_instances();
    void make_node(instance_model& made);
    void list_instances();
    void tick();

    void next_arrival(std::size_t account, std::size_t endpoint);
    double arrival_rate(std::size_t account, std::size_t endpoint) const;
    void send_root(std::size_t request);
    void end_root(const root_pointer& root, const call_result& result);
    void learn_below(
        std::size_t node, const entry_root& seen, const call_result& result);
    entry_root seen_root(const root_state& root) const;

    void try_call(const call_pointer& call);
    routing_choice choose(const call_state& call);
    void answered(const attempt_pointer& attempt, call_result result);
    void learn(const attempt_state& attempt, const call_result& result);

    void arrive(const attempt_pointer& attempt);
    void handle(std::size_t instance, const admission_events& events);
    void begin(const attempt_pointer& attempt);
    void work(
        const attempt_pointer& attempt, duration mean,
        const std::function<void()>& next);
    void stop_work(attempt_state& attempt);
    void call_next(const attempt_pointer& attempt);
    void end_attempt(
        const attempt_pointer& attempt, completion how,
        const call_result& result);
    void restart_half();
    void restart(std::size_t index);

    admission_flow flow_of(const call_state& call) const;
    double reported_load(const instance_model& from) const;
    double slowness(const instance_model& at) const;

    const scenario& plan_;
    policy policy_;
    std::mt19937_64 random_;
    /// Arrivals have their own numbers, so every policy gets the same.
    std::mt19937_64 arrivals_;
    event_loop loop_;
    std::vector<instance_model> instances_;
    std::unordered_map<instance_name, std::size_t> index_of_;
    std::uint64_t next_attempt_ = 1;
    run_record record_;
};

void world::make_instances()
{
    for (std::size_t service = 0; service != services().size(); ++service) {
        const auto& model = services()[service];
        for (std::size_t i = 0; i != model.instances; ++i) {
            instance_model made;
            made.name = fmt::format("{}-{}", model.name, i);
            made.service = service;
            made.slots = model.slots;
            index_of_[made.name] = instances_.size();
            make_node(made);
            instances_.push_back(std::move(made));
        }
    }
    list_instances();
}

void world::make_node(instance_model& made)
{
    const auto random = [this] { return random_(); };
    made.admission =
        std::make_unique<admission_controller>(admission_settings{}, now());
    made.admission->restarted(plan_.slots_announced ? made.slots : 0, now());
    made.routes = std::make_unique<balancer>("z", random);
    made.levels = std::make_unique<endpoint_levels>(random);
}

void world::list_instances()
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

void world::tick()
{
    for (std::size_t i = 0; i != instances_.size(); ++i)
        handle(i, instances_[i].admission->tick(now()));
    loop_.after(tick_period, [this] { tick(); });
}

run_record world::run()
{
    for (std::size_t a = 0; a != accounts().size(); ++a) {
        for (std::size_t e = 0; e != endpoints().size(); ++e)
            next_arrival(a, e);
    }
    if (controlled())
        tick();
    if (plan_.restart_at != duration::zero())
        loop_.at(time_point{plan_.restart_at}, [this] { restart_half(); });
    loop_.at(time_point{seconds(2)}, [this] {
        for (auto& item : instances_)
            item.frozen_load = reported_load(item);
    });
    // Requests at the end get their time to be answered.
    loop_.run_until(time_point{plan_.length + 2 * client_timeout});
    return std::move(record_);
}

double world::arrival_rate(std::size_t account, std::size_t endpoint) const
{
    const auto& who = accounts()[account];
    if (plan_.only_critical &&
        endpoints()[endpoint].rank != importance::critical)
        return 0;
    return endpoints()[endpoint].rate * who.part * plan_.demand(second()) *
           plan_.account_demand(who.name, second());
}

void world::next_arrival(std::size_t account, std::size_t endpoint)
{
    const double rate = arrival_rate(account, endpoint);
    // The rate is constant but for steps; looking again each 0.1 s meets
    // them, and a Poisson process may be restarted at any time.
    constexpr double look_again = 0.1;
    const double wait = rate > 0 ? exponential(arrivals_, 1 / rate) : 1e9;
    if (wait > look_again) {
        if (now() < time_point{plan_.length})
            loop_.after(from_seconds(look_again), [this, account, endpoint] {
                next_arrival(account, endpoint);
            });
        return;
    }
    loop_.after(from_seconds(wait), [this, account, endpoint] {
        if (now() >= time_point{plan_.length})
            return;
        record_.requests.push_back(
            {account, endpoint, now(), plan_.resends, false, false, "none"});
        send_root(record_.requests.size() - 1);
        next_arrival(account, endpoint);
    });
}

void world::send_root(std::size_t request)
{
    auto root = std::make_shared<root_state>();
    root->request = request;
    for (auto& byte : root->id.bytes)
        byte = static_cast<std::uint8_t>(random_());
    const auto& model = endpoints()[record_.requests[request].endpoint];
    root->priority = priority_of(model.rank, root->id);
    root->deadline = now() + client_timeout;
    root->entry = random_() % instances_.size();
    loop_.at(root->deadline, [this, root] {
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
    const auto seen = seen_root(*root);
    auto& levels = *instances_[root->entry].levels;
    if (controlled() && !levels.admit(seen, now(), entry_margin)) {
        loop_.after(hop_delay, [this, root] {
            end_root(
                root, {false, outcome::not_run, refusal_reason::overloaded, 0,
                       false});
        });
        return;
    }
    call->done = [this, root, seen](const call_result& result) {
        learn_below(root->entry, seen, result);
        loop_.after(
            hop_delay, [this, root, result] { end_root(root, result); });
    };
    call->applied_below = levels.level(seen.endpoint, seen.account, now());
    loop_.after(hop_delay, [this, call] { try_call(call); });
}

void world::learn_below(
    std::size_t node, const entry_root& seen, const call_result& result)
{
    // A refusal before any work, and a lost answer, tell nothing of below.
    const bool told = result.succeeded || result.what == outcome::answered ||
                      result.level_below.level > 0;
    if (controlled() && told)
        instances_[node].levels->ended(
            seen, {result.refused_below, result.level_below}, now());
}

entry_root world::seen_root(const root_state& root) const
{
    const auto& request = record_.requests[root.request];
    return {
        endpoints()[request.endpoint].name, accounts()[request.account].name,
        root.priority};
}

void world::end_root(const root_pointer& root, const call_result& result)
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

admission_flow world::flow_of(const call_state& call) const
{
    const auto& request = record_.requests[call.root->request];
    return {accounts()[request.account].name, call.hop != 0};
}

routing_choice world::choose(const call_state& call)
{
    if (controlled())
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

void world::try_call(const call_pointer& call)
{
    if (controlled() && now() >= call->root->deadline) {
        call->done(
            {false, outcome::not_run, refusal_reason::deadline_expired,
             call->budget.left(), false});
        return;
    }
    const auto choice = choose(*call);
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
    if (call->applied_below.service == services()[call->hop].name)
        attempt->applied_level =
            std::max(attempt->applied_level, call->applied_below.level);
    attempt->sent = now();
    if (controlled())
        attempt->handed = call->budget.delegate(call->budget.left());
    call->tried.insert(instances_[target].name);
    instances_[call->sender].routes->sent(instances_[target].name, now());
    loop_.after(hop_delay, [this, attempt] { arrive(attempt); });
    if (controlled())
        return;
    loop_.after(client_timeout, [this, attempt] {
        answered(
            attempt, {false, outcome::unknown, refusal_reason::backend_failed,
                      0, false});
    });
}

void world::learn(const attempt_state& attempt, const call_result& result)
{
    const auto& target = instances_[attempt.target];
    routing_observation seen;
    const bool refused_here = result.what == outcome::not_run;
    seen.result = result.what;
    if (!result.succeeded && !result.refused_below)
        seen.reason = result.reason;
    // A failure that came from below is an answer of this instance.
    if (result.refused_below)
        seen.result = outcome::answered;
    seen.latency = now() - attempt.sent;
    seen.flow = flow_of(*attempt.call);
    if (result.what != outcome::unknown || refused_here)
        seen.level = target.admission->level(seen.flow, now());
    seen.reported_load = reported_load(target);
    instances_[attempt.call->sender].routes->ended(target.name, seen, now());
}

void world::answered(const attempt_pointer& attempt, call_result result)
{
    if (attempt->abandoned)
        return;
    attempt->abandoned = true;
    const auto& call = attempt->call;
    if (controlled())
        learn(*attempt, result);
    call->budget.reclaim(attempt->handed, result.unspent);
    if (!result.succeeded) {
        failed_attempt failed;
        failed.result = result.what;
        failed.reason = result.reason;
        failed.body_replayable = true;
        const bool again =
            !controlled() || (!result.refused_below && may_retry(failed));
        if (result.reason == refusal_reason::overloaded)
            call->after_overload = true;
        if (again && call->budget.spend()) {
            ++record_.extra_attempts;
            try_call(call);
            return;
        }
    }
    result.unspent = call->budget.left();
    call->done(result);
}

void world::arrive(const attempt_pointer& attempt)
{
    auto& here = instances_[attempt->target];
    const auto refuse = [&](refusal_reason reason, outcome what) {
        end_attempt(
            attempt, completion::refused,
            {false, what, reason, attempt->handed, false});
    };
    if (!here.up) {
        refuse(refusal_reason::backend_failed, outcome::not_run);
        return;
    }
    here.attempts[attempt->id] = attempt;
    if (!controlled()) {
        const auto most_waiting = policy_ == policy::no_control
                                      ? most_connections - here.slots
                                      : 2 * here.slots;
        if (here.busy < here.slots)
            begin(attempt);
        else if (here.queue.size() < most_waiting)
            here.queue.push_back(attempt);
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
    const auto seen = seen_root(root);
    if (!here.levels->admit(seen, now())) {
        end_attempt(
            attempt, completion::refused,
            {false, outcome::not_run, refusal_reason::overloaded,
             attempt->handed, false,
             here.levels->level(seen.endpoint, seen.account, now())});
        return;
    }
    handle(attempt->target, here.admission->offer(offered, now()));
}

void world::handle(std::size_t instance, const admission_events& events)
{
    auto& here = instances_[instance];
    for (const auto& event : events) {
        if (const auto* start = std::get_if<admission_start>(&event)) {
            const auto attempt = here.attempts.at(start->id);
            // The node cancels the request at the backend server when the
            // deadline has passed.
            loop_.at(attempt->call->root->deadline, [this, attempt] {
                end_attempt(
                    attempt, completion::timed_out,
                    {false, outcome::unknown, refusal_reason::deadline_expired,
                     0, false});
            });
            if (here.busy < here.slots)
                begin(attempt);
            else
                here.queue.push_back(attempt);
        } else {
            const auto& refused = std::get<admission_refuse>(event);
            const auto attempt = here.attempts.at(refused.id);
            attempt->ended = true;
            here.attempts.erase(refused.id);
            const call_result result{
                false, outcome::not_run, refused.details.reason,
                attempt->handed, false};
            loop_.after(hop_delay, [this, attempt, result] {
                answered(attempt, result);
            });
        }
    }
}

double world::slowness(const instance_model& at) const
{
    double factor = 1;
    if (at.service + 1 == services().size())
        factor = plan_.slowness(second());
    if (at.cold_since) {
        const double age = to_seconds(now() - *at.cold_since);
        const double left =
            std::clamp(1 - age / to_seconds(cold_time), 0.0, 1.0);
        factor *= 1 + (cold_slowness - 1) * left;
    }
    return factor;
}

void world::begin(const attempt_pointer& attempt)
{
    auto& here = instances_[attempt->target];
    ++here.busy;
    work(attempt, services()[here.service].before, [this, attempt] {
        call_next(attempt);
    });
}

void world::work(
    const attempt_pointer& attempt, duration mean,
    const std::function<void()>& next)
{
    if (mean == duration::zero()) {
        next();
        return;
    }
    // Half of the time is fixed and half varies.
    const double half = to_seconds(mean) / 2;
    const double taken = (half + exponential(random_, half)) *
                         slowness(instances_[attempt->target]);
    attempt->working_since = now();
    loop_.after(from_seconds(taken), [this, attempt, next] {
        if (attempt->ended)
            return;
        stop_work(*attempt);
        next();
    });
}

void world::stop_work(attempt_state& attempt)
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

void world::call_next(const attempt_pointer& attempt)
{
    const auto& call = *attempt->call;
    const auto& request = record_.requests[call.root->request];
    const auto finish = [this, attempt] {
        const auto left = attempt->handed == 0 ? 0 : attempt->unspent;
        work(
            attempt, services()[instances_[attempt->target].service].after,
            [this, attempt, left] {
                end_attempt(
                    attempt, completion::succeeded,
                    {true, outcome::answered, {}, left, false});
            });
    };
    attempt->unspent = attempt->handed;
    if (call.hop + 1 == endpoints()[request.endpoint].depth) {
        finish();
        return;
    }
    const auto child_service = services()[call.hop + 1].name;
    auto child = std::make_shared<call_state>();
    child->root = call.root;
    child->hop = call.hop + 1;
    child->sender = attempt->target;
    const auto seen = seen_root(*call.root);
    child->applied_below = higher(
        call.applied_below, instances_[attempt->target].levels->level(
                                seen.endpoint, seen.account, now()));
    child->budget = retry_budget(
        policy_ == policy::per_hop_retries ? extra_attempts : attempt->handed);
    if (controlled())
        instances_[attempt->target].admission->call_started(attempt->id, now());
    child->done = [this, attempt, finish, child_service,
                   seen](const call_result& result) {
        if (attempt->ended)
            return;
        auto& here = instances_[attempt->target];
        if (controlled()) {
            here.admission->call_ended(attempt->id, now());
            auto flow = flow_of(*attempt->call);
            flow.invested = true;
            attempt->level_below = higher(
                result.level_below,
                {child_service,
                 here.routes->level(child_service, flow, now())});
            auto told = result;
            told.level_below = attempt->level_below;
            learn_below(attempt->target, seen, told);
        }
        attempt->unspent = result.unspent;
        if (result.succeeded) {
            finish();
            return;
        }
        const bool refused =
            result.refused_below || result.what == outcome::not_run;
        end_attempt(
            attempt, completion::failed,
            {false, outcome::answered, result.reason, result.unspent, refused});
    };
    try_call(child);
}

void world::end_attempt(
    const attempt_pointer& attempt, completion how, const call_result& result)
{
    if (attempt->ended)
        return;
    attempt->ended = true;
    stop_work(*attempt);
    auto& here = instances_[attempt->target];
    const bool known = here.attempts.erase(attempt->id) != 0;
    loop_.after(
        hop_delay, [this, attempt, result] { answered(attempt, result); });
    if (!known || how == completion::refused)
        return;
    const auto queued =
        std::find(here.queue.begin(), here.queue.end(), attempt);
    if (queued != here.queue.end())
        here.queue.erase(queued);
    else
        --here.busy;
    if (here.busy < here.slots && !here.queue.empty()) {
        const auto next = here.queue.front();
        here.queue.pop_front();
        begin(next);
    }
    if (controlled())
        handle(
            attempt->target, here.admission->finish(attempt->id, how, now()));
}

void world::restart_half()
{
    for (std::size_t i = 0; i < instances_.size(); i += 2)
        restart(i);
    list_instances();
}

void world::restart(std::size_t index)
{
    auto& here = instances_[index];
    here.up = false;
    const auto lost = here.attempts;
    here.queue.clear();
    for (const auto& item : lost) {
        const auto attempt = item.second;
        attempt->ended = true;
        stop_work(*attempt);
        loop_.after(hop_delay, [this, attempt] {
            answered(
                attempt, {false, outcome::unknown,
                          refusal_reason::backend_failed, 0, false});
        });
    }
    here.attempts.clear();
    here.busy = 0;
    here.admission =
        std::make_unique<admission_controller>(admission_settings{}, now());
    loop_.after(restart_down, [this, index] {
        auto& back = instances_[index];
        back.up = true;
        ++back.incarnation;
        back.cold_since = now();
        back.admission->restarted(
            plan_.slots_announced ? back.slots : 0, now());
        list_instances();
    });
}

double world::reported_load(const instance_model& from) const
{
    const double load = std::min(
        1.0, static_cast<double>(from.busy + from.queue.size()) /
                 static_cast<double>(from.slots));
    switch (plan_.reports) {
    case load_report::frozen:
        return from.frozen_load == 0 ? load : from.frozen_load;
    case load_report::inverted:
        return 1 - load;
    case load_report::honest:
        break;
    }
    return load;
}

} // namespace

std::string_view to_string(policy value)
{
    return policy_names.name(value);
}

run_record run(const scenario& plan, policy how, std::uint64_t seed)
{
    return world(plan, how, seed).run();
}

} // namespace fulmarjunction::bench
