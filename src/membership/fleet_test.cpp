// Fleets of nodes under faults, alone and in pairs, on an injected clock.
#include "membership/fleet_simulation.hpp"

#include <fulmarjunction/core/log.hpp>

#include <catch2/catch.hpp>

namespace fj = fulmarjunction;
namespace sim = fulmarjunction::simulation;

namespace {

using fj::milliseconds;
using fj::seconds;

constexpr std::size_t zones = 3;
constexpr std::size_t services = 3;

// Checks what must hold at all times, and changes rows while the store is up.
class watched_fleet
{
public:
    sim::fleet fleet;

    watched_fleet(std::uint64_t seed, std::size_t size) : fleet(seed)
    {
        for (std::size_t i = 0; i != size; ++i)
            fleet.add(zones, services);
        seen_.resize(size);
        fleet.on_advance = [this](sim::node& one) { check_rise(one); };
        fleet.each_second = [this](sim::node& one) {
            check_serving(one);
            check_down(one);
        };
        for (auto& one : fleet.nodes)
            fleet.start(*one);
        write();
    }

    void set_store_down(bool down)
    {
        fleet.faults.store_down = down;
        if (down)
            outages_.push_back({fleet.now(), {}});
        else if (!outages_.empty())
            outages_.back().end = fleet.now();
    }

    void check_all_agree()
    {
        // What was written last has yet to spread.
        writing_ = false;
        fleet.run(seconds(2));
        for (const auto& viewer : fleet.nodes) {
            if (!viewer->up)
                continue;
            INFO("viewer " << viewer->record.name);
            CHECK(viewer->rows->version() == fleet.table.head());
            CHECK(decision(*viewer) == fj::freshness_decision::fresh);
            for (const auto& other : fleet.nodes)
                check_pair(*viewer, *other);
        }
        writing_ = true;
    }

    fj::freshness_decision decision(sim::node& one) const
    {
        return one.fresh->decide(fleet.now());
    }

private:
    struct seen
    {
        std::uint64_t generation = 0;
        fj::table_version version = 0;
    };

    // For how long a view was wrong, in one incarnation of both instances.
    struct wrong_view
    {
        std::uint64_t viewer = 0;
        std::uint64_t other = 0;
        bool dead = false;
        int seconds = 0;
    };
    struct outage
    {
        fj::time_point begin;
        std::optional<fj::time_point> end;
    };

    void write()
    {
        ++writes_;
        const auto key = fmt::format("key/{}", writes_ % 50);
        if (writing_) {
            if (const auto version = fleet.change(key, "v"))
                accepted_.emplace_back(fleet.now(), *version);
        }
        fleet.schedule(milliseconds(400), [this] { write(); });
    }

    void check_rise(const sim::node& one)
    {
        auto& last = seen_[one.index];
        if (last.generation != one.generation)
            last = {one.generation, 0};
        REQUIRE(one.rows->version() > last.version);
        last.version = one.rows->version();
    }

    // While links are sound, a live instance is down for as long as reports
    // last at most, and a dead or paused one is down after three missed
    // probes and the time that the reports take.
    void check_down(const sim::node& viewer)
    {
        const auto& faults = fleet.faults;
        const bool sound = !faults.is_cut && faults.loss == 0 &&
                           faults.max_delay == faults.min_delay;
        for (const auto& other : fleet.nodes) {
            auto& counts = wrong_[{viewer.index, other->index}];
            const bool dead = !other->up || other->paused;
            const auto name = other->record.name;
            const bool down =
                viewer.members->is_down(name) || !viewer.members->find(name);
            const bool same = counts.viewer == viewer.generation &&
                              counts.other == other->generation &&
                              counts.dead == dead;
            if (!sound || !same || down == dead)
                counts = {viewer.generation, other->generation, dead, 0};
            else
                ++counts.seconds;
            INFO(viewer.record.name << " about " << name);
            REQUIRE(counts.seconds <= (dead ? 8 : 11));
        }
    }

    // When a change must be in force wherever keyed requests are served. One
    // that the store accepted less than a poll's interval before it went
    // down may have been read by nobody, and no rule can tell.
    std::optional<fj::time_point> deadline(fj::time_point accepted) const
    {
        auto counted_from = accepted;
        for (const auto& one : outages_) {
            if (accepted > one.begin || one.begin > accepted + unread)
                continue;
            if (!one.end)
                return std::nullopt;
            counted_from = *one.end;
        }
        return counted_from + fleet.fresh_settings.limit;
    }

    void check_serving(sim::node& one)
    {
        if (decision(one) == fj::freshness_decision::stale)
            return;
        fj::table_version needed = 0;
        for (const auto& [at, version] : accepted_) {
            const auto due = deadline(at);
            if (due && *due < fleet.now())
                needed = version;
        }
        INFO(one.record.name);
        REQUIRE(one.rows->version() >= needed);
    }

    void check_pair(sim::node& viewer, sim::node& other)
    {
        INFO("other " << other.record.name);
        const auto name = other.record.name;
        if (!other.up) {
            CHECK(
                (viewer.members->is_down(name) || !viewer.members->find(name)));
            return;
        }
        CHECK_FALSE(viewer.members->is_down(name));
        bool found = false;
        for (const auto& one :
             viewer.members->candidates(other.record.service)) {
            found =
                found || (one.name == name &&
                          one.incarnation == other.members->self().incarnation);
        }
        CHECK(found);
    }

    // Longest interval between polls of a reader, and a poll's duration.
    static constexpr auto unread = milliseconds(1300);

    std::vector<seen> seen_;
    std::vector<outage> outages_;
    std::map<std::pair<std::size_t, std::size_t>, wrong_view> wrong_;
    bool writing_ = true;
    std::vector<std::pair<fj::time_point, fj::table_version>> accepted_;
    int writes_ = 0;
};

struct fault_case
{
    const char* name;
    std::function<void(watched_fleet&)> begin;
    std::function<void(watched_fleet&)> end;
};

bool in_zone(const sim::fleet& fleet, std::size_t index, const char* zone)
{
    return fleet.nodes[index]->record.zone == zone;
}

void heal_links(watched_fleet& watched)
{
    watched.fleet.faults.is_cut = nullptr;
}

const std::vector<fault_case>& fault_cases()
{
    static const std::vector<fault_case> cases = {
        {"loss", [](auto& f) { f.fleet.faults.loss = 0.15; },
         [](auto& f) { f.fleet.faults.loss = 0; }},
        {"delay and reorder",
         [](auto& f) { f.fleet.faults.max_delay = milliseconds(700); },
         [](auto& f) { f.fleet.faults.max_delay = milliseconds(1); }},
        {"duplicates", [](auto& f) { f.fleet.faults.duplicate = 0.5; },
         [](auto& f) { f.fleet.faults.duplicate = 0; }},
        {"store down", [](auto& f) { f.set_store_down(true); },
         [](auto& f) { f.set_store_down(false); }},
        {"lost answers", [](auto& f) { f.fleet.faults.lost_answers = 0.5; },
         [](auto& f) { f.fleet.faults.lost_answers = 0; }},
        {"zone lost",
         [](auto& f) {
             for (auto& one : f.fleet.nodes) {
                 if (one->record.zone == "zone1")
                     f.fleet.stop(*one);
             }
         },
         [](auto& f) {
             for (auto& one : f.fleet.nodes) {
                 if (one->record.zone == "zone1" && !one->up)
                     f.fleet.start(*one);
             }
         }},
        {"crash", [](auto& f) { f.fleet.stop(*f.fleet.nodes[3]); },
         [](auto&) {}},
        {"restart",
         [](auto& f) {
             f.fleet.stop(*f.fleet.nodes[5]);
             f.fleet.start(*f.fleet.nodes[5]);
         },
         [](auto&) {}},
        {"pause", [](auto& f) { f.fleet.pause(*f.fleet.nodes[6]); },
         [](auto& f) {
             if (f.fleet.nodes[6]->up)
                 f.fleet.resume(*f.fleet.nodes[6]);
         }},
        {"cut link",
         [](auto& f) {
             f.fleet.faults.is_cut = [](std::size_t a, std::size_t b) {
                 return a + b == 2 && a != b;
             };
         },
         heal_links},
        {"split",
         [](auto& f) {
             f.fleet.faults.is_cut = [&f](std::size_t a, std::size_t b) {
                 return in_zone(f.fleet, a, "zone2") !=
                        in_zone(f.fleet, b, "zone2");
             };
             f.fleet.faults.is_store_cut = [&f](std::size_t a) {
                 return in_zone(f.fleet, a, "zone2");
             };
         },
         [](auto& f) {
             f.fleet.faults.is_cut = nullptr;
             f.fleet.faults.is_store_cut = nullptr;
         }},
        {"one way",
         [](auto& f) {
             f.fleet.faults.is_cut = [](std::size_t, std::size_t to) {
                 return to == 4;
             };
         },
         heal_links},
    };
    return cases;
}

void run_faults(
    std::uint64_t seed, const fault_case& first, const fault_case& second)
{
    INFO("seed " << seed << ": " << first.name << ", " << second.name);
    watched_fleet watched(seed, 9);
    auto& fleet = watched.fleet;
    fleet.run(seconds(8));
    watched.check_all_agree();
    first.begin(watched);
    fleet.run(seconds(3));
    second.begin(watched);
    fleet.run(seconds(9));
    first.end(watched);
    second.end(watched);
    // A failing own row may wait for its back-off; reports expire after 10 s.
    fleet.run(seconds(20));
    watched.check_all_agree();
}

// Pauses and replaced rows are expected in these runs.
struct quiet_log
{
    quiet_log() { fj::set_log_level(fj::log_level::error); }
    ~quiet_log() { fj::set_log_level(fj::log_level::info); }
};

void run_all_faults(std::uint64_t seed)
{
    const quiet_log quiet;
    const auto& cases = fault_cases();
    for (std::size_t i = 0; i != cases.size(); ++i) {
        for (std::size_t j = i; j != cases.size(); ++j)
            run_faults(10'000 * seed + 100 * i + j, cases[i], cases[j]);
    }
}

} // namespace

TEST_CASE("fleet: every fault alone and in pairs, everyone agrees afterwards")
{
    run_all_faults(1);
}

TEST_CASE("fleet: the same with many seeds", "[.soak]")
{
    for (std::uint64_t seed = 2; seed != 22; ++seed)
        run_all_faults(seed);
}

TEST_CASE("fleet: a node cut off from the fleet and the store goes stale")
{
    watched_fleet watched(21, 9);
    auto& fleet = watched.fleet;
    fleet.run(seconds(8));
    fleet.faults.is_cut = [](std::size_t a, std::size_t b) {
        return (a == 2) != (b == 2);
    };
    fleet.faults.is_store_cut = [](std::size_t node) { return node == 2; };
    fleet.run(milliseconds(4500));
    CHECK(watched.decision(*fleet.nodes[2]) == fj::freshness_decision::stale);
    CHECK(watched.decision(*fleet.nodes[1]) == fj::freshness_decision::fresh);
}

TEST_CASE("fleet: a node alone with the store is fresh by its own polls")
{
    watched_fleet watched(22, 9);
    auto& fleet = watched.fleet;
    fleet.run(seconds(8));
    fleet.faults.is_cut = [](std::size_t, std::size_t) { return true; };
    int fresh = 0;
    int samples = 0;
    for (int i = 0; i != 200; ++i) {
        fleet.run(milliseconds(100));
        for (const auto& one : fleet.nodes) {
            ++samples;
            fresh +=
                watched.decision(*one) == fj::freshness_decision::fresh ? 1 : 0;
        }
    }
    CHECK(fresh == samples);
}

TEST_CASE("fleet: a whole outage of the store stops nobody, boots included")
{
    watched_fleet watched(23, 12);
    auto& fleet = watched.fleet;
    fleet.run(seconds(8));
    watched.set_store_down(true);
    fleet.run(seconds(2));
    fleet.stop(*fleet.nodes[7]);
    fleet.start(*fleet.nodes[7]);
    int refused = 0;
    for (int i = 0; i != 600; ++i) {
        fleet.run(milliseconds(100));
        for (const auto& one : fleet.nodes) {
            const bool booting = one->index == 7 && i < 30;
            refused += !booting && watched.decision(*one) ==
                                       fj::freshness_decision::stale
                           ? 1
                           : 0;
        }
    }
    CHECK(refused == 0);
    // What nobody had read when the store went down stays unknown.
    CHECK(fleet.nodes[7]->rows->version() == fleet.nodes[1]->rows->version());
    const auto incarnation = fleet.nodes[7]->members->self().incarnation;
    const auto seen =
        fleet.nodes[1]->members->find(fleet.nodes[7]->record.name);
    REQUIRE(seen);
    CHECK(seen->record.incarnation == incarnation);
}

TEST_CASE("fleet: a draining backend server and a leaving node get no new "
          "work within 5 s, also without the store")
{
    for (const bool store_down : {false, true}) {
        watched_fleet watched(24, 30);
        auto& fleet = watched.fleet;
        fleet.run(seconds(8));
        watched.set_store_down(store_down);
        fleet.faults.loss = 0.1;
        fleet.nodes[4]->backend_draining = true;
        fleet.nodes[5]->members->leave(fleet.now());
        fleet.nodes[6]->backend_up = false;
        fleet.run(seconds(5));
        for (const auto& one : fleet.nodes) {
            for (const std::size_t gone : {4, 5, 6}) {
                const auto& record = fleet.nodes[gone]->record;
                for (const auto& candidate :
                     one->members->candidates(record.service))
                    CHECK(candidate.name != record.name);
            }
        }
    }
}

TEST_CASE("fleet: a crash is seen within 6 s, a restart at once")
{
    watched_fleet watched(25, 30);
    auto& fleet = watched.fleet;
    fleet.run(seconds(8));
    auto& victim = *fleet.nodes[11];
    fleet.stop(victim);
    fleet.run(seconds(6));
    for (const auto& one : fleet.nodes)
        CHECK((!one->up || one->members->is_down(victim.record.name)));
    fleet.start(victim);
    fleet.run(seconds(3));
    watched.check_all_agree();
}

TEST_CASE("fleet: of three nodes the last one sees both others down")
{
    watched_fleet watched(26, 3);
    auto& fleet = watched.fleet;
    fleet.run(seconds(8));
    fleet.stop(*fleet.nodes[0]);
    fleet.stop(*fleet.nodes[1]);
    fleet.run(seconds(8));
    const auto& last = *fleet.nodes[2]->members;
    CHECK(last.is_down(fleet.nodes[0]->record.name));
    CHECK(last.is_down(fleet.nodes[1]->record.name));
    CHECK(last.live().size() == 1);
}

TEST_CASE("fleet: one node's broken links mark nobody else as down")
{
    for (const std::size_t size : {4, 5, 6, 7, 9, 13}) {
        INFO(size);
        watched_fleet watched(27, size);
        auto& fleet = watched.fleet;
        fleet.run(seconds(8));
        fleet.faults.is_cut = [](std::size_t, std::size_t to) {
            return to == 0;
        };
        for (int i = 0; i != 150; ++i) {
            fleet.run(milliseconds(200));
            for (const auto& viewer : fleet.nodes) {
                for (const auto& other : fleet.nodes) {
                    if (viewer->index != 0 && other->index != 0)
                        REQUIRE_FALSE(
                            viewer->members->is_down(other->record.name));
                }
            }
        }
    }
}

TEST_CASE("fleet: rows of crashed instances are deleted after their lease")
{
    watched_fleet watched(28, 9);
    auto& fleet = watched.fleet;
    for (auto& one : fleet.nodes)
        one->record.lease = seconds(30);
    for (auto& one : fleet.nodes) {
        fleet.stop(*one);
        fleet.start(*one);
    }
    fleet.run(seconds(8));
    const auto key = fj::instance_row_key(fleet.nodes[4]->record.name);
    fleet.stop(*fleet.nodes[4]);
    fleet.run(seconds(18));
    CHECK(fleet.table.get(key));
    fleet.run(seconds(20));
    CHECK_FALSE(fleet.table.get(key));
    fleet.run(seconds(120));
    for (auto& one : fleet.nodes) {
        if (one->up)
            CHECK(fleet.table.get(fj::instance_row_key(one->record.name)));
    }
    watched.check_all_agree();
}
