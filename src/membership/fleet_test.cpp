// Simulated fleets under single faults and pairs of faults.
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

// A fleet whose invariants are checked continuously, and whose rows are changed
// while the store is up.
class checked_fleet
{
public:
    sim::fleet fleet;

    checked_fleet(std::uint64_t seed, std::size_t size) : fleet(seed)
    {
        for (std::size_t i = 0; i != size; ++i)
            fleet.add(zones, services);
        last_versions_.resize(size);
        fleet.on_advance = [this](sim::simulated_node& node) {
            check_version_increases(node);
        };
        fleet.on_second = [this](sim::simulated_node& node) {
            check_serving(node);
            check_down(node);
        };
        for (auto& node : fleet.nodes)
            fleet.start(*node);
        write_periodically();
    }

    void set_store_down(bool down)
    {
        fleet.faults.store_down = down;
        if (down)
            outages_.push_back({fleet.now(), {}});
        else if (!outages_.empty())
            outages_.back().end = fleet.now();
    }

    void check_convergence()
    {
        // Writes are suspended so that the last ones can reach every node.
        is_writing_ = false;
        fleet.run(seconds(2));
        for (const auto& viewer : fleet.nodes) {
            if (!viewer->up)
                continue;
            INFO("viewer " << viewer->record.name);
            CHECK(viewer->row_replica->version() == fleet.table.head());
            CHECK(decision(*viewer) == fj::freshness_decision::fresh);
            for (const auto& other : fleet.nodes)
                check_pair(*viewer, *other);
        }
        is_writing_ = true;
    }

    fj::freshness_decision decision(sim::simulated_node& node) const
    {
        return node.freshness_state->decide(fleet.now());
    }

private:
    struct observed_version
    {
        std::uint64_t generation = 0;
        fj::table_version version = 0;
    };

    // For how many seconds a viewer had the wrong state of another instance,
    // within one incarnation of both.
    struct view_error
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

    void write_periodically()
    {
        ++writes_;
        const auto key = fmt::format("key/{}", writes_ % 50);
        if (is_writing_) {
            if (const auto version = fleet.change(key, "v"))
                accepted_.emplace_back(fleet.now(), *version);
        }
        fleet.schedule(milliseconds(400), [this] { write_periodically(); });
    }

    void check_version_increases(const sim::simulated_node& node)
    {
        auto& last = last_versions_[node.index];
        if (last.generation != node.generation)
            last = {node.generation, 0};
        REQUIRE(node.row_replica->version() > last.version);
        last.version = node.row_replica->version();
    }

    // While links have no faults, a live instance is seen as down for at most
    // the lifetime of the reports. A dead or paused one is seen as down after
    // three missed probes and the dissemination of the reports.
    void check_down(const sim::simulated_node& viewer)
    {
        const auto& faults = fleet.faults;
        const bool links_have_no_faults = !faults.is_cut && faults.loss == 0 &&
                                          faults.max_delay == faults.min_delay;
        for (const auto& other : fleet.nodes) {
            auto& counts = view_errors_[{viewer.index, other->index}];
            const bool dead = !other->up || other->paused;
            const auto name = other->record.name;
            const bool down =
                viewer.members->is_down(name) || !viewer.members->find(name);
            const bool same = counts.viewer == viewer.generation &&
                              counts.other == other->generation &&
                              counts.dead == dead;
            if (!links_have_no_faults || !same || down == dead)
                counts = {viewer.generation, other->generation, dead, 0};
            else
                ++counts.seconds;
            INFO(viewer.record.name << " about " << name);
            REQUIRE(counts.seconds <= (dead ? 8 : 11));
        }
    }

    // Time by which a change must be in force wherever keyed requests are
    // served. A change that the store accepted less than a poll interval before
    // it went down may not have been read by any node, which no rule can
    // detect.
    std::optional<fj::time_point> deadline(fj::time_point accepted) const
    {
        auto counted_from = accepted;
        for (const auto& interval : outages_) {
            if (accepted > interval.begin ||
                interval.begin > accepted + max_poll_delay)
                continue;
            if (!interval.end)
                return std::nullopt;
            counted_from = *interval.end;
        }
        return counted_from + fleet.fresh_settings.limit;
    }

    void check_serving(sim::simulated_node& node)
    {
        if (decision(node) == fj::freshness_decision::stale)
            return;
        fj::table_version needed = 0;
        for (const auto& [at, version] : accepted_) {
            const auto limit = deadline(at);
            if (limit && *limit < fleet.now())
                needed = version;
        }
        INFO(node.record.name);
        REQUIRE(node.row_replica->version() >= needed);
    }

    void check_pair(sim::simulated_node& viewer, sim::simulated_node& other)
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
        for (const auto& candidate :
             viewer.members->candidates(other.record.service)) {
            found = found || (candidate.name == name &&
                              candidate.incarnation ==
                                  other.members->self().incarnation);
        }
        CHECK(found);
    }

    // Maximum interval between polls of a reader, plus the duration of a poll.
    static constexpr auto max_poll_delay = milliseconds(1300);

    std::vector<observed_version> last_versions_;
    std::vector<outage> outages_;
    std::map<std::pair<std::size_t, std::size_t>, view_error> view_errors_;
    bool is_writing_ = true;
    std::vector<std::pair<fj::time_point, fj::table_version>> accepted_;
    int writes_ = 0;
};

struct fault_case
{
    const char* name;
    std::function<void(checked_fleet&)> begin;
    std::function<void(checked_fleet&)> end;
};

bool in_zone(const sim::fleet& fleet, std::size_t index, const char* zone)
{
    return fleet.nodes[index]->record.zone == zone;
}

void restore_links(checked_fleet& checked)
{
    checked.fleet.faults.is_cut = nullptr;
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
        {"lost answers", [](auto& f) { f.fleet.faults.answer_loss = 0.5; },
         [](auto& f) { f.fleet.faults.answer_loss = 0; }},
        {"zone lost",
         [](auto& f) {
             for (auto& node : f.fleet.nodes) {
                 if (node->record.zone == "zone1")
                     f.fleet.stop(*node);
             }
         },
         [](auto& f) {
             for (auto& node : f.fleet.nodes) {
                 if (node->record.zone == "zone1" && !node->up)
                     f.fleet.start(*node);
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
         restore_links},
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
         restore_links},
    };
    return cases;
}

void run_faults(
    std::uint64_t seed, const fault_case& first, const fault_case& second)
{
    INFO("seed " << seed << ": " << first.name << ", " << second.name);
    checked_fleet checked(seed, 9);
    auto& fleet = checked.fleet;
    fleet.run(seconds(8));
    checked.check_convergence();
    first.begin(checked);
    fleet.run(seconds(3));
    second.begin(checked);
    fleet.run(seconds(9));
    first.end(checked);
    second.end(checked);
    // A failed write of the own row may be in back-off; reports expire after
    // 10 s.
    fleet.run(seconds(20));
    checked.check_convergence();
}

// Suppresses warnings, since pauses and replaced rows are expected in these
// runs.
struct log_suppression
{
    log_suppression() { fj::set_log_level(fj::log_level::error); }
    ~log_suppression() { fj::set_log_level(fj::log_level::info); }
};

void run_all_faults(std::uint64_t seed)
{
    const log_suppression suppression;
    const auto& cases = fault_cases();
    for (std::size_t i = 0; i != cases.size(); ++i) {
        for (std::size_t j = i; j != cases.size(); ++j)
            run_faults(10'000 * seed + 100 * i + j, cases[i], cases[j]);
    }
}

} // namespace

TEST_CASE("fleet: all nodes agree after each fault and each pair of faults")
{
    run_all_faults(1);
}

TEST_CASE(
    "fleet: all nodes agree after each fault and pair, with many seeds",
    "[.soak]")
{
    for (std::uint64_t seed = 2; seed != 22; ++seed)
        run_all_faults(seed);
}

TEST_CASE("fleet: a node cut off from the fleet and the store becomes stale")
{
    checked_fleet checked(21, 9);
    auto& fleet = checked.fleet;
    fleet.run(seconds(8));
    fleet.faults.is_cut = [](std::size_t a, std::size_t b) {
        return (a == 2) != (b == 2);
    };
    fleet.faults.is_store_cut = [](std::size_t node) { return node == 2; };
    fleet.run(milliseconds(4500));
    CHECK(checked.decision(*fleet.nodes[2]) == fj::freshness_decision::stale);
    CHECK(checked.decision(*fleet.nodes[1]) == fj::freshness_decision::fresh);
}

TEST_CASE("fleet: a node that reaches only the store is fresh by its own polls")
{
    checked_fleet checked(22, 9);
    auto& fleet = checked.fleet;
    fleet.run(seconds(8));
    fleet.faults.is_cut = [](std::size_t, std::size_t) { return true; };
    int fresh = 0;
    int samples = 0;
    for (int i = 0; i != 200; ++i) {
        fleet.run(milliseconds(100));
        for (const auto& node : fleet.nodes) {
            ++samples;
            fresh += checked.decision(*node) == fj::freshness_decision::fresh
                         ? 1
                         : 0;
        }
    }
    CHECK(fresh == samples);
}

TEST_CASE("fleet: running and restarted nodes serve during a store outage")
{
    checked_fleet checked(23, 12);
    auto& fleet = checked.fleet;
    fleet.run(seconds(8));
    checked.set_store_down(true);
    fleet.run(seconds(2));
    fleet.stop(*fleet.nodes[7]);
    fleet.start(*fleet.nodes[7]);
    int refused = 0;
    for (int i = 0; i != 600; ++i) {
        fleet.run(milliseconds(100));
        for (const auto& node : fleet.nodes) {
            const bool booting = node->index == 7 && i < 30;
            refused += !booting && checked.decision(*node) ==
                                       fj::freshness_decision::stale
                           ? 1
                           : 0;
        }
    }
    CHECK(refused == 0);
    // Changes that no node had read when the store went down stay unknown.
    CHECK(
        fleet.nodes[7]->row_replica->version() ==
        fleet.nodes[1]->row_replica->version());
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
        checked_fleet checked(24, 30);
        auto& fleet = checked.fleet;
        fleet.run(seconds(8));
        checked.set_store_down(store_down);
        fleet.faults.loss = 0.1;
        fleet.nodes[4]->backend_draining = true;
        fleet.nodes[5]->members->leave(fleet.now());
        fleet.nodes[6]->backend_up = false;
        fleet.run(seconds(5));
        for (const auto& node : fleet.nodes) {
            for (const std::size_t gone : {4, 5, 6}) {
                const auto& record = fleet.nodes[gone]->record;
                for (const auto& candidate :
                     node->members->candidates(record.service))
                    CHECK(candidate.name != record.name);
            }
        }
    }
}

TEST_CASE("fleet: a crash is detected within 6 s, a restart at once")
{
    checked_fleet checked(25, 30);
    auto& fleet = checked.fleet;
    fleet.run(seconds(8));
    auto& crashed = *fleet.nodes[11];
    fleet.stop(crashed);
    fleet.run(seconds(6));
    for (const auto& node : fleet.nodes)
        CHECK((!node->up || node->members->is_down(crashed.record.name)));
    fleet.start(crashed);
    fleet.run(seconds(3));
    checked.check_convergence();
}

TEST_CASE("fleet: the last of three nodes detects that both others are down")
{
    checked_fleet checked(26, 3);
    auto& fleet = checked.fleet;
    fleet.run(seconds(8));
    fleet.stop(*fleet.nodes[0]);
    fleet.stop(*fleet.nodes[1]);
    fleet.run(seconds(8));
    const auto& last = *fleet.nodes[2]->members;
    CHECK(last.is_down(fleet.nodes[0]->record.name));
    CHECK(last.is_down(fleet.nodes[1]->record.name));
    CHECK(last.live().size() == 1);
}

TEST_CASE("fleet: broken links of one node do not mark other nodes as down")
{
    for (const std::size_t size : {4, 5, 6, 7, 9, 13}) {
        INFO(size);
        checked_fleet checked(27, size);
        auto& fleet = checked.fleet;
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
    checked_fleet checked(28, 9);
    auto& fleet = checked.fleet;
    for (auto& node : fleet.nodes)
        node->record.lease = seconds(30);
    for (auto& node : fleet.nodes) {
        fleet.stop(*node);
        fleet.start(*node);
    }
    fleet.run(seconds(8));
    const auto key = fj::instance_row_key(fleet.nodes[4]->record.name);
    fleet.stop(*fleet.nodes[4]);
    fleet.run(seconds(18));
    CHECK(fleet.table.get(key));
    fleet.run(seconds(20));
    CHECK_FALSE(fleet.table.get(key));
    fleet.run(seconds(120));
    for (auto& node : fleet.nodes) {
        if (node->up)
            CHECK(fleet.table.get(fj::instance_row_key(node->record.name)));
    }
    checked.check_convergence();
}
