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
            CHECK(item->why.outcome == fj::outcome::not_run);
            reasons.push_back(item->why.reason);
        }
    }
    return reasons;
}

using ids = std::vector<std::uint64_t>;
using reasons = std::vector<fj::refusal_reason>;

fj::admission_settings one_place()
{
    fj::admission_settings settings;
    settings.min_limit = 1;
    settings.start_limit = 1;
    settings.max_limit = 1;
    settings.max_queue = 4;
    return settings;
}

// Starts what is waiting, one after the other, and returns the order.
ids drain(fj::admission_controller& admission, std::uint64_t running)
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
    auto heavy_too = heavy;
    heavy_too.id = 5;
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
         {make_request(2), make_request(3), heavy, heavy_too},
         {4, 5, 2, 3}},
    };
    for (const auto& row : rows) {
        INFO(row.name);
        fj::admission_controller admission(one_place(), start);
        CHECK(started(admission.offer(make_request(1), start)) == ids{1});
        for (const auto& request : row.waiting)
            CHECK(admission.offer(request, start).empty());
        CHECK(drain(admission, 1) == row.order);
    }
}

TEST_CASE("a full queue refuses the least important request")
{
    fj::admission_controller admission(one_place(), start);
    admission.offer(make_request(1), start);
    for (std::uint64_t id = 2; id != 6; ++id)
        CHECK(admission.offer(make_request(id), start).empty());
    const auto critical = make_request(6, fj::importance::critical);
    const auto events = admission.offer(critical, start);
    CHECK(refused(events) == reasons{fj::refusal_reason::overloaded});
    CHECK(admission.waiting() == 4);
    CHECK(drain(admission, 1).front() == 6);
}

TEST_CASE("deadlines are checked before any work")
{
    fj::admission_controller admission(one_place(), start);
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
    auto hurried = make_request(51);
    hurried.deadline = now + milliseconds(20);
    CHECK(
        refused(admission.offer(hurried, now)) ==
        reasons{fj::refusal_reason::deadline_too_short});
    // One that expires while it waits is refused, not started.
    auto waiting = make_request(52);
    waiting.deadline = now + milliseconds(150);
    CHECK(admission.offer(waiting, now).empty());
    CHECK(
        refused(admission.tick(now + milliseconds(100))) ==
        reasons{fj::refusal_reason::deadline_too_short});
    CHECK(admission.waiting() == 0);
}

TEST_CASE("a canceled request gives its place back and is not started")
{
    fj::admission_controller admission(one_place(), start);
    admission.offer(make_request(1), start);
    admission.offer(make_request(2), start);
    admission.offer(make_request(3), start);
    CHECK(admission.cancel(2, start).empty());
    CHECK(started(admission.cancel(1, start)) == ids{3});
    CHECK(admission.finish(1, fj::completion::succeeded, start).empty());
    CHECK(admission.in_flight() == 1);
}

TEST_CASE("an endpoint's entry refuses the roots that are refused below")
{
    std::mt19937_64 random(1);
    fj::endpoint_levels levels([&] { return random(); });
    auto now = start;
    std::size_t wasted = 0;
    std::size_t done = 0;
    const auto run = [&](std::size_t roots, double cut) {
        wasted = 0;
        done = 0;
        for (std::size_t i = 0; i != roots; ++i) {
            now += milliseconds(1);
            const fj::entry_root root{
                "e", "a",
                fj::priority_of(fj::importance::normal, root_of(random()))};
            if (!levels.admit(root, now))
                continue;
            const bool refused_below = root.priority < 1 + cut;
            const double level = cut > 0 ? 1 + cut : 0;
            levels.ended(root, {refused_below, {"s", level}}, now);
            ++(refused_below ? wasted : done);
        }
    };
    run(2000, 0.75);
    run(5000, 0.75);
    CHECK(done > 5000 * 0.25 * 0.9);
    CHECK(wasted < done / 10);
    CHECK(levels.level("e", "a", now).level > 1.6);
    CHECK(levels.level("e", "b", now).level == 0);
    CHECK(levels.level("e", "a", now + fj::seconds(1)).level == 0);
    // The level must not outlast the overload.
    run(5000, 0);
    run(1000, 0);
    CHECK(done == 1000);
}

namespace {

// A backend server with 20 places and 50 ms for each request, which is 400
// requests a second, and Poisson arrivals of two accounts.
struct overload_run
{
    explicit overload_run(std::size_t slots) : admission({}, start)
    {
        admission.restarted(slots, start);
    }

    void run(fj::duration length, double rate_a, double rate_b)
    {
        const auto end = now + length;
        for (; now < end; now += milliseconds(1)) {
            arrive("a", rate_a);
            arrive("b", rate_b);
            while (!ends.empty() && ends.begin()->first <= now) {
                const auto id = ends.begin()->second;
                ends.erase(ends.begin());
                take(admission.finish(id, fj::completion::succeeded, now));
            }
            take(admission.tick(now));
        }
    }

    void arrive(const fj::client_account& account, double rate)
    {
        std::poisson_distribution<int> count(rate / 1000);
        for (int left = count(random); left != 0; --left) {
            auto request =
                make_request(++last_id, fj::importance::normal, account);
            request.root = root_of(random());
            request.deadline = now + fj::seconds(1);
            offered[account] += 1;
            requests[last_id] = request;
            take(admission.offer(request, now));
        }
    }

    void take(const fj::admission_events& events)
    {
        for (const auto id : started(events)) {
            const auto& request = requests.at(id);
            done[request.account] += 1;
            lowest[request.account] = std::min(
                lowest[request.account], 1 - fj::shedding_hash(request.root));
            // Requests beyond the places share the server's speed.
            const double share =
                std::max(1.0, static_cast<double>(admission.in_flight()) / 20);
            ends.emplace(now + fj::from_seconds(0.05 * share), id);
        }
        refused(events);
    }

    void forget()
    {
        offered.clear();
        done.clear();
        lowest = {{"a", 1}, {"b", 1}};
    }

    std::mt19937_64 random{3};
    fj::time_point now = start;
    fj::admission_controller admission;
    std::uint64_t last_id = 0;
    std::map<std::uint64_t, fj::admission_request> requests;
    std::multimap<fj::time_point, std::uint64_t> ends;
    std::map<fj::client_account, double> offered;
    std::map<fj::client_account, double> done;
    std::map<fj::client_account, double> lowest;
};

} // namespace

TEST_CASE("an account at 10x its rate does not take from the other")
{
    overload_run run(20);
    run.run(fj::seconds(3), 150, 150);
    run.run(fj::seconds(3), 1500, 150);
    run.forget();
    run.run(fj::seconds(5), 1500, 150);
    CHECK(run.done["b"] > 0.98 * run.offered["b"]);
    CHECK(run.done["a"] + run.done["b"] > 0.93 * 400 * 5);
    // The roots of the heavy account that survive are those of high hash.
    CHECK(run.lowest["a"] > 0.5);
    CHECK(run.admission.level({"a", false}, run.now) > 1.5);
    CHECK(run.admission.level({"b", false}, run.now) < 1.1);
    // Nothing is refused when the surge is over.
    run.run(fj::seconds(2), 100, 150);
    run.forget();
    run.run(fj::seconds(3), 100, 150);
    CHECK(run.done["a"] == run.offered["a"]);
}

TEST_CASE("the limit follows the server where slots are not announced")
{
    overload_run run(0);
    CHECK(run.admission.limit() == 8);
    run.run(fj::seconds(20), 900, 900);
    CHECK(run.admission.limit() >= 18);
    CHECK(run.admission.limit() <= 80);
}

TEST_CASE("a restart ramps up from the start limit, also without demand")
{
    overload_run run(80);
    run.run(fj::seconds(5), 50, 50);
    CHECK(run.admission.limit() == 80);
    run.admission.restarted(80, run.now);
    CHECK(run.admission.limit() == 8);
}

TEST_CASE("a server slowed by another service keeps its limit")
{
    fj::admission_controller admission({}, start);
    admission.restarted(20, start);
    auto now = start;
    for (std::uint64_t id = 1; id != 4000; ++id) {
        admission.offer(make_request(id), now);
        if (id > 20)
            admission.finish(id - 20, fj::completion::succeeded, now);
        // After a while the calls that it makes take 40 times as long.
        admission.call_started(id, now + milliseconds(1));
        now += milliseconds(id < 1000 ? 2 : 10);
        admission.call_ended(id, now);
        admission.tick(now);
    }
    CHECK(admission.limit() == 20);
}
