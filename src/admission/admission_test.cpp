#include <fulmarjunction/admission/admission.hpp>
#include <fulmarjunction/admission/endpoint_levels.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <random>

namespace fj = fulmarjunction;
using fj::milliseconds;

namespace {

const fj::time_point start{fj::seconds(100)};

fj::root_id root_of(std::uint64_t number)
{
    fj::root_id id;
    for (std::size_t i = 0; i != 8; ++i)
        id.bytes[i] = static_cast<std::uint8_t>(number >> (8 * i));
    return id;
}

fj::admission_request make_request(
    std::uint64_t id, fj::importance rank = fj::importance::normal,
    const fj::client_account& account = "a")
{
    fj::admission_request request;
    request.id = id;
    request.rank = rank;
    request.account = account;
    request.root = root_of(id);
    request.deadline = start + fj::seconds(60);
    return request;
}

std::vector<std::uint64_t> started(const fj::admission_events& events)
{
    std::vector<std::uint64_t> ids;
    for (const auto& event : events) {
        if (const auto* item = std::get_if<fj::admission_start>(&event))
            ids.push_back(item->id);
    }
    return ids;
}

std::vector<fj::refusal_reason> refused(const fj::admission_events& events)
{
    std::vector<fj::refusal_reason> reasons;
    for (const auto& event : events) {
        if (const auto* item = std::get_if<fj::admission_refuse>(&event)) {
            CHECK(item->details.outcome == fj::outcome::not_run);
            reasons.push_back(item->details.reason);
        }
    }
    return reasons;
}

using ids = std::vector<std::uint64_t>;
using reasons = std::vector<fj::refusal_reason>;

fj::admission_settings single_slot_settings()
{
    fj::admission_settings settings;
    settings.min_limit = 1;
    settings.start_limit = 1;
    settings.max_limit = 1;
    settings.max_queue = 4;
    return settings;
}

// Finishes requests one after the other until none waits, and returns the order
// in which they started.
ids finish_all(fj::admission_controller& admission, std::uint64_t running)
{
    ids order;
    for (;;) {
        const auto next = started(admission.finish(
            running, fj::completion::succeeded, start + milliseconds(1)));
        if (next.empty())
            return order;
        running = next.front();
        order.push_back(running);
    }
}

} // namespace

// Guards against a queue in which low importance or one busy account delays the
// other requests.
TEST_CASE("waiting requests start by importance, fairness, investment")
{
    using fj::importance;
    struct row
    {
        const char* name;
        std::vector<fj::admission_request> waiting;
        ids order;
    };
    auto child = make_request(3);
    child.invested = true;
    auto heavy = make_request(4, importance::normal, "b");
    heavy.weight = 2;
    auto second_heavy = heavy;
    second_heavy.id = 5;
    const row rows[] = {
        {"critical goes first",
         {make_request(2, importance::low), make_request(3),
          make_request(4, importance::critical),
          make_request(5, importance::high)},
         {4, 5, 3, 2}},
        {"an account that sends more waits behind the others",
         {make_request(2), make_request(3),
          make_request(4, importance::normal, "b")},
         {4, 2, 3}},
        {"a child of an admitted root goes before a new root",
         {make_request(2), child},
         {3, 2}},
        {"twice the weight gets two turns",
         {make_request(2), make_request(3), heavy, second_heavy},
         {4, 5, 2, 3}},
    };
    for (const auto& row : rows) {
        INFO(row.name);
        fj::admission_controller admission(single_slot_settings(), start);
        CHECK(started(admission.offer(make_request(1), start)) == ids{1});
        for (const auto& request : row.waiting)
            CHECK(admission.offer(request, start).empty());
        CHECK(finish_all(admission, 1) == row.order);
    }
}

// Guards against refusing an important request while less important ones wait.
TEST_CASE("a full queue refuses the least important request")
{
    fj::admission_controller admission(single_slot_settings(), start);
    admission.offer(make_request(1), start);
    for (std::uint64_t id = 2; id != 6; ++id)
        CHECK(admission.offer(make_request(id), start).empty());
    const auto critical = make_request(6, fj::importance::critical);
    const auto events = admission.offer(critical, start);
    CHECK(refused(events) == reasons{fj::refusal_reason::overloaded});
    CHECK(admission.waiting() == 4);
    CHECK(finish_all(admission, 1).front() == 6);
}

// Guards against running requests whose callers give up before the answer.
TEST_CASE("deadlines are checked before any work")
{
    fj::admission_controller admission(single_slot_settings(), start);
    auto late = make_request(1);
    late.deadline = start;
    CHECK(
        refused(admission.offer(late, start)) ==
        reasons{fj::refusal_reason::deadline_expired});

    // Learn a service time of 100 ms.
    auto now = start;
    for (std::uint64_t id = 10; id != 40; ++id) {
        admission.offer(make_request(id), now);
        now += milliseconds(100);
        admission.finish(id, fj::completion::succeeded, now);
    }
    admission.offer(make_request(50), now);
    auto urgent = make_request(51);
    urgent.deadline = now + milliseconds(20);
    CHECK(
        refused(admission.offer(urgent, now)) ==
        reasons{fj::refusal_reason::deadline_too_short});
    // A request whose time runs short while it waits is refused, not started.
    auto waiting = make_request(52);
    waiting.deadline = now + milliseconds(150);
    CHECK(admission.offer(waiting, now).empty());
    CHECK(
        refused(admission.tick(now + milliseconds(100))) ==
        reasons{fj::refusal_reason::deadline_too_short});
    CHECK(admission.waiting() == 0);
}

// Guards against losing the slot of a canceled request and against starting one
// that was canceled while it waited.
TEST_CASE("a canceled request frees its slot and is not started")
{
    fj::admission_controller admission(single_slot_settings(), start);
    admission.offer(make_request(1), start);
    admission.offer(make_request(2), start);
    admission.offer(make_request(3), start);
    CHECK(admission.cancel(2, start).empty());
    CHECK(started(admission.cancel(1, start)) == ids{3});
    CHECK(admission.finish(1, fj::completion::succeeded, start).empty());
    CHECK(admission.in_flight() == 1);
}

// Guards against work wasted on roots that a downstream service refuses, and
// against a level that persists after the overload.
TEST_CASE("an entry node refuses the roots that are refused downstream")
{
    std::mt19937_64 random(1);
    fj::endpoint_levels levels([&] { return random(); });
    auto now = start;
    std::size_t wasted = 0;
    std::size_t completed = 0;
    const auto run = [&](std::size_t roots, double refused_share) {
        wasted = 0;
        completed = 0;
        for (std::size_t i = 0; i != roots; ++i) {
            now += milliseconds(1);
            const fj::entry_root root{
                "e", "a",
                fj::priority_of(fj::importance::normal, root_of(random()))};
            if (!levels.admit(root, now))
                continue;
            const bool refused_downstream = root.priority < 1 + refused_share;
            const double level = refused_share > 0 ? 1 + refused_share : 0;
            levels.ended(root, {refused_downstream, {"s", level}}, now);
            ++(refused_downstream ? wasted : completed);
        }
    };
    run(2000, 0.75);
    run(5000, 0.75);
    CHECK(completed > 5000 * 0.25 * 0.9);
    CHECK(wasted < completed / 10);
    CHECK(levels.level("e", "a", now).level > 1.6);
    CHECK(levels.level("e", "b", now).level == 0);
    CHECK(levels.level("e", "a", now + fj::seconds(1)).level == 0);
    // The level must not outlast the overload.
    run(5000, 0);
    run(1000, 0);
    CHECK(completed == 1000);
}

namespace {

// Simulates a backend server with 20 slots and a service time of 50 ms, so 400
// requests per second, and Poisson arrivals from two accounts.
struct overload_simulation
{
    explicit overload_simulation(std::size_t slots) : admission({}, start)
    {
        admission.restarted(slots, start);
    }

    void run(fj::duration length, double rate_a, double rate_b)
    {
        const auto end = now + length;
        for (; now < end; now += milliseconds(1)) {
            arrive("a", rate_a);
            arrive("b", rate_b);
            while (!end_times.empty() && end_times.begin()->first <= now) {
                const auto id = end_times.begin()->second;
                end_times.erase(end_times.begin());
                apply(admission.finish(id, fj::completion::succeeded, now));
            }
            apply(admission.tick(now));
        }
    }

    void arrive(const fj::client_account& account, double rate)
    {
        std::poisson_distribution<int> count(rate / 1000);
        for (int remaining = count(random); remaining != 0; --remaining) {
            auto request =
                make_request(++last_id, fj::importance::normal, account);
            request.root = root_of(random());
            request.deadline = now + fj::seconds(1);
            offered[account] += 1;
            requests[last_id] = request;
            apply(admission.offer(request, now));
        }
    }

    void apply(const fj::admission_events& events)
    {
        for (const auto id : started(events)) {
            const auto& request = requests.at(id);
            completed[request.account] += 1;
            min_position[request.account] = std::min(
                min_position[request.account],
                1 - fj::shedding_hash(request.root));
            // Above 20 requests in flight, all of them share the server's
            // speed.
            const double share =
                std::max(1.0, static_cast<double>(admission.in_flight()) / 20);
            end_times.emplace(now + fj::from_seconds(0.05 * share), id);
        }
        refused(events);
    }

    void reset_counts()
    {
        offered.clear();
        completed.clear();
        min_position = {{"a", 1}, {"b", 1}};
    }

    std::mt19937_64 random{3};
    fj::time_point now = start;
    fj::admission_controller admission;
    std::uint64_t last_id = 0;
    std::map<std::uint64_t, fj::admission_request> requests;
    std::multimap<fj::time_point, std::uint64_t> end_times;
    std::map<fj::client_account, double> offered;
    std::map<fj::client_account, double> completed;
    std::map<fj::client_account, double> min_position;
};

} // namespace

// Guards against a surge of one account that reduces the throughput of another.
TEST_CASE("an account at 10x its rate does not take from the other")
{
    overload_simulation simulation(20);
    simulation.run(fj::seconds(3), 150, 150);
    simulation.run(fj::seconds(3), 1500, 150);
    simulation.reset_counts();
    simulation.run(fj::seconds(5), 1500, 150);
    CHECK(simulation.completed["b"] > 0.98 * simulation.offered["b"]);
    CHECK(
        simulation.completed["a"] + simulation.completed["b"] > 0.93 * 400 * 5);
    // The admitted roots of the heavy account are those with high positions.
    CHECK(simulation.min_position["a"] > 0.5);
    CHECK(simulation.admission.level({"a", false}, simulation.now) > 1.5);
    CHECK(simulation.admission.level({"b", false}, simulation.now) < 1.1);
    // Nothing is refused after the surge.
    simulation.run(fj::seconds(2), 100, 150);
    simulation.reset_counts();
    simulation.run(fj::seconds(3), 100, 150);
    CHECK(simulation.completed["a"] == simulation.offered["a"]);
}

// Guards against a limit that stays at its start value or exceeds the capacity
// of the server by far.
TEST_CASE("the limit follows the server where slots are not announced")
{
    overload_simulation simulation(0);
    CHECK(simulation.admission.limit() == 8);
    simulation.run(fj::seconds(20), 900, 900);
    CHECK(simulation.admission.limit() >= 18);
    CHECK(simulation.admission.limit() <= 80);
}

// Guards against sending full load to a cold server, and against a ramp-up that
// stops while there is little demand.
TEST_CASE("a restart ramps up from the start limit, also without demand")
{
    overload_simulation simulation(80);
    simulation.run(fj::seconds(5), 50, 50);
    CHECK(simulation.admission.limit() == 80);
    simulation.admission.restarted(80, simulation.now);
    CHECK(simulation.admission.limit() == 8);
}

// Guards against lowering the limit because a downstream service is slow.
TEST_CASE("a server slowed by another service keeps its limit")
{
    fj::admission_controller admission({}, start);
    admission.restarted(20, start);
    auto now = start;
    for (std::uint64_t id = 1; id != 4000; ++id) {
        admission.offer(make_request(id), now);
        if (id > 20)
            admission.finish(id - 20, fj::completion::succeeded, now);
        // After 1000 requests, the downstream call takes 9 ms instead of 1 ms
        // and each request takes five times as long.
        admission.call_started(id, now + milliseconds(1));
        now += milliseconds(id < 1000 ? 2 : 10);
        admission.call_ended(id, now);
        admission.tick(now);
    }
    CHECK(admission.limit() == 20);
}
