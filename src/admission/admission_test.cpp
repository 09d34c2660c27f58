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
            CHECK(item->why.what == fj::outcome::not_run);
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
