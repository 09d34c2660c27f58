// Measures the control traffic, state and processor time of a fleet of nodes
// that run the real decision objects in one process.
#include "membership/fleet_simulation.hpp"

#include <fulmarjunction/core/log.hpp>

#include <fmt/format.h>

#include <cstdlib>
#include <ctime>
#include <set>

namespace fj = fulmarjunction;
namespace sim = fulmarjunction::simulation;

namespace {

constexpr std::size_t zones = 7;
constexpr double kilobyte = 1000;

struct load
{
    double bytes_per_second = 0;
    double messages_per_second = 0;
    double rows_bytes_per_second = 0;
    std::uint64_t peak_bytes_per_second = 0;
    std::uint64_t largest_probe = 0;
    double polls_per_second = 0;
    double processor_ms_per_second = 0;
};

double processor_seconds()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) +
           static_cast<double>(used.tv_nsec) * 1e-9;
}

std::size_t live_nodes(const sim::fleet& fleet)
{
    std::size_t count = 0;
    for (const auto& one : fleet.nodes)
        count += one->up ? 1 : 0;
    return count;
}

// Runs for some seconds and returns the mean over live nodes, and the most
// that one node sent in one second.
load measure(
    sim::fleet& fleet, int span,
    const std::function<void(int second)>& act = {})
{
    std::vector<sim::traffic> before;
    for (const auto& one : fleet.nodes)
        before.push_back(one->sent);
    load result;
    const double started = processor_seconds();
    std::vector<std::uint64_t> last;
    for (const auto& one : fleet.nodes)
        last.push_back(one->sent.bytes());
    for (int second = 0; second != span; ++second) {
        if (act)
            act(second);
        fleet.run(fj::seconds(1));
        for (const auto& one : fleet.nodes) {
            const auto bytes = one->sent.bytes();
            result.peak_bytes_per_second = std::max(
                result.peak_bytes_per_second, bytes - last[one->index]);
            last[one->index] = bytes;
        }
    }
    const double used = processor_seconds() - started;
    const double units = static_cast<double>(live_nodes(fleet)) * span;
    for (const auto& one : fleet.nodes) {
        const auto& was = before[one->index];
        const auto& is = one->sent;
        result.bytes_per_second +=
            static_cast<double>(is.bytes() - was.bytes()) / units;
        result.rows_bytes_per_second +=
            static_cast<double>(is.rows_bytes - was.rows_bytes) / units;
        result.messages_per_second +=
            static_cast<double>(is.messages - was.messages) / units;
        result.polls_per_second +=
            static_cast<double>(is.polls - was.polls) / span;
        result.largest_probe = std::max(result.largest_probe, is.largest_probe);
    }
    result.processor_ms_per_second = used * 1000 / units;
    return result;
}

void print(std::size_t nodes, const char* phase, const load& one)
{
    fmt::print(
        "| {} | {} | {:.2f} | {:.2f} | {:.1f} | {:.1f} | {} | {:.1f} | {:.3f} "
        "|\n",
        nodes, phase, one.bytes_per_second / kilobyte,
        one.rows_bytes_per_second / kilobyte, one.messages_per_second,
        static_cast<double>(one.peak_bytes_per_second) / kilobyte,
        one.largest_probe, one.polls_per_second, one.processor_ms_per_second);
    std::fflush(stdout);
}

struct spread
{
    double half_ms = 0;
    double all_ms = 0;
    bool complete = false;
};

// Time from a condition's cause until it holds at half and at all live nodes.
spread
time_until(sim::fleet& fleet, const std::function<bool(sim::node&)>& holds)
{
    constexpr int max_steps = 60'000;
    spread result;
    const auto start = fleet.now();
    for (int step = 0; step != max_steps; ++step) {
        fleet.run(fj::milliseconds(step < 2000 ? 1 : 50));
        std::size_t count = 0;
        for (const auto& one : fleet.nodes)
            count += one->up && holds(*one) ? 1 : 0;
        const double ms = fj::to_seconds(fleet.now() - start) * 1000;
        if (result.half_ms == 0 && 2 * count >= live_nodes(fleet))
            result.half_ms = ms;
        if (count == live_nodes(fleet)) {
            result.all_ms = ms;
            result.complete = true;
            return result;
        }
        if (ms > 60'000)
            return result;
    }
    return result;
}

void print(std::size_t nodes, const char* what, const spread& one)
{
    fmt::print(
        "| {} | {} | {:.0f} | {} |\n", nodes, what, one.half_ms,
        one.complete ? fmt::format("{:.0f}", one.all_ms)
                     : std::string("not within 60 s"));
    std::fflush(stdout);
}

// Oldest confirmed poll over all live nodes, sampled once a second.
double oldest_confirmation(sim::fleet& fleet, int span)
{
    double oldest = 0;
    for (int second = 0; second != span; ++second) {
        fleet.run(fj::seconds(1));
        for (const auto& one : fleet.nodes) {
            const auto at = one->fresh->confirmed_at();
            if (one->up && at)
                oldest = std::max(oldest, fj::to_seconds(fleet.now() - *at));
        }
    }
    return oldest;
}

// Whether a node would route to the present incarnation of an instance.
bool is_candidate(const sim::node& viewer, const sim::node& instance)
{
    const auto list = viewer.members->candidates(instance.record.service);
    return std::any_of(
        list.begin(), list.end(), [&](const fj::service_candidate& one) {
            return one.name == instance.record.name &&
                   one.incarnation == instance.members->self().incarnation;
        });
}

void measure_spread(sim::fleet& fleet, std::size_t size)
{
    const auto version = fleet.change("key/a", "changed").value();
    print(size, "a change, from its commit", time_until(fleet, [&](auto& one) {
              return one.rows->version() >= version;
          }));
    auto& leaver = *fleet.nodes[size / 2];
    const auto name = leaver.record.name;
    leaver.members->leave(fleet.now());
    print(size, "a leave", time_until(fleet, [&](auto& one) {
              const auto view = one.members->find(name);
              return one.record.name == name || (view && view->status.leaving);
          }));
    auto& victim = *fleet.nodes[size / 3];
    fleet.stop(victim);
    print(size, "a crash, until it is down", time_until(fleet, [&](auto& one) {
              return one.members->is_down(victim.record.name);
          }));
    fleet.start(victim);
    print(
        size, "a restart at once, until it is a candidate",
        time_until(
            fleet, [&](auto& one) { return is_candidate(one, victim); }));
}

void lose_zone(sim::fleet& fleet)
{
    for (auto& one : fleet.nodes) {
        if (one->record.zone == "zone1")
            fleet.stop(*one);
    }
}

void restart_zone(sim::fleet& fleet)
{
    for (auto& one : fleet.nodes) {
        if (!one->up)
            fleet.start(*one);
    }
}

// Pairs of a live node and a dead one that it does not see as down.
std::size_t pairs_unseen(const sim::fleet& fleet)
{
    std::size_t unseen = 0;
    for (const auto& viewer : fleet.nodes) {
        for (const auto& other : fleet.nodes) {
            const bool wrong = viewer->up && !other->up &&
                               !viewer->members->is_down(other->record.name);
            unseen += wrong ? 1 : 0;
        }
    }
    return unseen;
}

void measure_zone_loss(std::size_t size)
{
    sim::fleet fleet(size);
    for (std::size_t i = 0; i != size; ++i)
        fleet.add(zones, std::max<std::size_t>(3, size * 390 / 2600));
    fleet.prime();
    fleet.run(fj::seconds(5));
    lose_zone(fleet);
    for (int part = 1; part <= 6; ++part) {
        const auto one = measure(fleet, 5);
        fmt::print(
            "| {} | {} | {:.2f} | {:.1f} | {} |\n", size, 5 * part,
            one.bytes_per_second / kilobyte,
            static_cast<double>(one.peak_bytes_per_second) / kilobyte,
            pairs_unseen(fleet));
        std::fflush(stdout);
    }
}

void measure_size(std::size_t size, bool traffic)
{
    sim::fleet fleet(size);
    const std::size_t services = std::max<std::size_t>(3, size * 390 / 2600);
    for (std::size_t i = 0; i != size; ++i)
        fleet.add(zones, services);
    fleet.prime();
    fleet.run(fj::seconds(10));
    // Large fleets are measured for a shorter time.
    const int span = size > 1500 ? 5 : 10;
    if (!traffic) {
        measure_spread(fleet, size);
        return;
    }
    print(size, "steady", measure(fleet, span));
    fmt::print(
        "# {} nodes: state of membership {} bytes, of the replica {} bytes, "
        "oldest confirmed poll {:.2f} s\n",
        size, fleet.nodes[0]->members->state_bytes(),
        fleet.nodes[0]->rows->bytes(), oldest_confirmation(fleet, 5));
    // 3,800 changes a day are one in 23 s.
    print(size, "one change in the span", measure(fleet, span, [&](int second) {
              if (second == 0)
                  fleet.change("key/daily", std::string(180, 'k'));
          }));
    print(size, "50 changes in 10 s", measure(fleet, 10, [&](int second) {
              for (int i = 0; i != 5; ++i) {
                  fleet.schedule(
                      fj::milliseconds(200 * i), [&fleet, second, i] {
                          fleet.change(
                              fmt::format("key/{}", 5 * second + i),
                              std::string(180, 'k'));
                      });
              }
          }));
    print(size, "rolling restart, 1 a second", measure(fleet, span, [&](int n) {
              auto& one = *fleet.nodes[static_cast<std::size_t>(n) % size];
              one.members->leave(fleet.now());
              fleet.schedule(fj::milliseconds(500), [&fleet, &one] {
                  fleet.stop(one);
                  fleet.start(one);
              });
          }));
    measure(fleet, 5);
    lose_zone(fleet);
    print(size, "zone lost, first 10 s", measure(fleet, 10));
    print(size, "zone lost, next 10 s", measure(fleet, 10));
    fmt::print(
        "# {} nodes: pairs not yet seen as down: {}\n", size,
        pairs_unseen(fleet));
    restart_zone(fleet);
    print(size, "zone back, first 10 s", measure(fleet, 10));
}

} // namespace

// Arguments: `traffic`, `spread` or `zone`, then the numbers of nodes.
int main(int argc, char** argv)
{
    const bool traffic = argc < 2 || std::string(argv[1]) == "traffic";
    fj::set_log_level(fj::log_level::error);
    if (traffic)
        fmt::print(
            "| nodes | phase | KB/s per node | of it rows | messages/s | peak "
            "KB in 1 s | largest probe, bytes | polls/s, fleet | CPU ms/s per "
            "node |\n|---|---|---|---|---|---|---|---|---|\n");
    else if (std::string(argv[1]) == "zone")
        fmt::print(
            "| nodes | s after the loss | KB/s per node | peak KB in 1 s | "
            "pairs not seen as down |\n|---|---|---|---|---|\n");
    else
        fmt::print(
            "| nodes | what | half, ms | all, ms |\n|---|---|---|---|\n");
    const bool zone = argc > 1 && std::string(argv[1]) == "zone";
    for (int i = 2; zone && i < argc; ++i)
        measure_zone_loss(std::strtoul(argv[i], nullptr, 10));
    for (int i = 2; !zone && i < argc; ++i)
        measure_size(std::strtoul(argv[i], nullptr, 10), traffic);
    return 0;
}
