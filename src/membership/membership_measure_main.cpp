// Measures the control traffic, state and processor time of a simulated fleet
// that runs the production classes in one process.
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

double processor_time_s()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) +
           static_cast<double>(used.tv_nsec) * 1e-9;
}

std::size_t count_live_nodes(const sim::fleet& fleet)
{
    std::size_t count = 0;
    for (const auto& node : fleet.nodes)
        count += node->up ? 1 : 0;
    return count;
}

// Runs the fleet for `span` seconds. Returns the mean over live nodes, and the
// maximum that one node sent in one second.
load measure(
    sim::fleet& fleet, int span,
    const std::function<void(int second)>& action = {})
{
    std::vector<sim::traffic> before;
    for (const auto& node : fleet.nodes)
        before.push_back(node->sent);
    load result;
    const double started = processor_time_s();
    std::vector<std::uint64_t> last;
    for (const auto& node : fleet.nodes)
        last.push_back(node->sent.bytes());
    for (int second = 0; second != span; ++second) {
        if (action)
            action(second);
        fleet.run(fj::seconds(1));
        for (const auto& node : fleet.nodes) {
            const auto bytes = node->sent.bytes();
            result.peak_bytes_per_second = std::max(
                result.peak_bytes_per_second, bytes - last[node->index]);
            last[node->index] = bytes;
        }
    }
    const double used = processor_time_s() - started;
    const double node_seconds =
        static_cast<double>(count_live_nodes(fleet)) * span;
    for (const auto& node : fleet.nodes) {
        const auto& initial = before[node->index];
        const auto& current = node->sent;
        result.bytes_per_second +=
            static_cast<double>(current.bytes() - initial.bytes()) /
            node_seconds;
        result.rows_bytes_per_second +=
            static_cast<double>(current.rows_bytes - initial.rows_bytes) /
            node_seconds;
        result.messages_per_second +=
            static_cast<double>(current.messages - initial.messages) /
            node_seconds;
        result.polls_per_second +=
            static_cast<double>(current.polls - initial.polls) / span;
        result.largest_probe =
            std::max(result.largest_probe, current.largest_probe);
    }
    result.processor_ms_per_second = used * 1000 / node_seconds;
    return result;
}

void print(std::size_t nodes, const char* phase, const load& measured)
{
    fmt::print(
        "| {} | {} | {:.2f} | {:.2f} | {:.1f} | {:.1f} | {} | {:.1f} | {:.3f} "
        "|\n",
        nodes, phase, measured.bytes_per_second / kilobyte,
        measured.rows_bytes_per_second / kilobyte, measured.messages_per_second,
        static_cast<double>(measured.peak_bytes_per_second) / kilobyte,
        measured.largest_probe, measured.polls_per_second,
        measured.processor_ms_per_second);
    std::fflush(stdout);
}

struct propagation_time
{
    double half_ms = 0;
    double all_ms = 0;
    bool complete = false;
};

// Time from now until a condition holds at half and at all live nodes.
propagation_time time_until(
    sim::fleet& fleet, const std::function<bool(sim::simulated_node&)>& holds)
{
    constexpr int max_steps = 60'000;
    propagation_time result;
    const auto start = fleet.now();
    for (int step = 0; step != max_steps; ++step) {
        fleet.run(fj::milliseconds(step < 2000 ? 1 : 50));
        std::size_t count = 0;
        for (const auto& node : fleet.nodes)
            count += node->up && holds(*node) ? 1 : 0;
        const double ms = fj::to_seconds(fleet.now() - start) * 1000;
        if (result.half_ms == 0 && 2 * count >= count_live_nodes(fleet))
            result.half_ms = ms;
        if (count == count_live_nodes(fleet)) {
            result.all_ms = ms;
            result.complete = true;
            return result;
        }
        if (ms > 60'000)
            return result;
    }
    return result;
}

void print(
    std::size_t nodes, const char* event, const propagation_time& measured)
{
    fmt::print(
        "| {} | {} | {:.0f} | {} |\n", nodes, event, measured.half_ms,
        measured.complete ? fmt::format("{:.0f}", measured.all_ms)
                          : std::string("not within 60 s"));
    std::fflush(stdout);
}

// Maximum age of the last confirmed poll over all live nodes, sampled once a
// second.
double max_confirmation_age(sim::fleet& fleet, int span)
{
    double oldest = 0;
    for (int second = 0; second != span; ++second) {
        fleet.run(fj::seconds(1));
        for (const auto& node : fleet.nodes) {
            const auto at = node->freshness_state->confirmed_at();
            if (node->up && at)
                oldest = std::max(oldest, fj::to_seconds(fleet.now() - *at));
        }
    }
    return oldest;
}

// Whether a node would route to the current incarnation of an instance.
bool is_candidate(
    const sim::simulated_node& viewer, const sim::simulated_node& instance)
{
    const auto list = viewer.members->candidates(instance.record.service);
    return std::any_of(
        list.begin(), list.end(), [&](const fj::service_candidate& candidate) {
            return candidate.name == instance.record.name &&
                   candidate.incarnation ==
                       instance.members->self().incarnation;
        });
}

void measure_propagation(sim::fleet& fleet, std::size_t size)
{
    const auto version = fleet.change("key/a", "changed").value();
    print(size, "a change, from its commit", time_until(fleet, [&](auto& node) {
              return node.row_replica->version() >= version;
          }));
    auto& leaving_node = *fleet.nodes[size / 2];
    const auto name = leaving_node.record.name;
    leaving_node.members->leave(fleet.now());
    print(size, "a leave", time_until(fleet, [&](auto& node) {
              const auto view = node.members->find(name);
              return node.record.name == name || (view && view->status.leaving);
          }));
    auto& crashed_node = *fleet.nodes[size / 3];
    fleet.stop(crashed_node);
    print(size, "a crash, until it is down", time_until(fleet, [&](auto& node) {
              return node.members->is_down(crashed_node.record.name);
          }));
    fleet.start(crashed_node);
    print(
        size, "a restart at once, until it is a candidate",
        time_until(fleet, [&](auto& node) {
            return is_candidate(node, crashed_node);
        }));
}

void stop_zone(sim::fleet& fleet)
{
    for (auto& node : fleet.nodes) {
        if (node->record.zone == "zone1")
            fleet.stop(*node);
    }
}

void restart_zone(sim::fleet& fleet)
{
    for (auto& node : fleet.nodes) {
        if (!node->up)
            fleet.start(*node);
    }
}

// Counts the pairs of a live node and a dead one that it does not see as down.
std::size_t count_undetected_pairs(const sim::fleet& fleet)
{
    std::size_t undetected = 0;
    for (const auto& viewer : fleet.nodes) {
        for (const auto& other : fleet.nodes) {
            const bool wrong = viewer->up && !other->up &&
                               !viewer->members->is_down(other->record.name);
            undetected += wrong ? 1 : 0;
        }
    }
    return undetected;
}

void measure_zone_loss(std::size_t size)
{
    sim::fleet fleet(size);
    for (std::size_t i = 0; i != size; ++i)
        fleet.add(zones, std::max<std::size_t>(3, size * 390 / 2600));
    fleet.start_converged();
    fleet.run(fj::seconds(5));
    stop_zone(fleet);
    for (int interval = 1; interval <= 6; ++interval) {
        const auto measured = measure(fleet, 5);
        fmt::print(
            "| {} | {} | {:.2f} | {:.1f} | {} |\n", size, 5 * interval,
            measured.bytes_per_second / kilobyte,
            static_cast<double>(measured.peak_bytes_per_second) / kilobyte,
            count_undetected_pairs(fleet));
        std::fflush(stdout);
    }
}

void measure_size(std::size_t size, bool traffic)
{
    sim::fleet fleet(size);
    const std::size_t services = std::max<std::size_t>(3, size * 390 / 2600);
    for (std::size_t i = 0; i != size; ++i)
        fleet.add(zones, services);
    fleet.start_converged();
    fleet.run(fj::seconds(10));
    // Large fleets are measured for a shorter time.
    const int span = size > 1500 ? 5 : 10;
    if (!traffic) {
        measure_propagation(fleet, size);
        return;
    }
    print(size, "steady", measure(fleet, span));
    fmt::print(
        "# {} nodes: state of membership {} bytes, of the replica {} bytes, "
        "oldest confirmed poll {:.2f} s\n",
        size, fleet.nodes[0]->members->state_bytes(),
        fleet.nodes[0]->row_replica->bytes(), max_confirmation_age(fleet, 5));
    // 3,800 changes a day are one every 23 s.
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
              auto& node = *fleet.nodes[static_cast<std::size_t>(n) % size];
              node.members->leave(fleet.now());
              fleet.schedule(fj::milliseconds(500), [&fleet, &node] {
                  fleet.stop(node);
                  fleet.start(node);
              });
          }));
    measure(fleet, 5);
    stop_zone(fleet);
    print(size, "zone lost, first 10 s", measure(fleet, 10));
    print(size, "zone lost, next 10 s", measure(fleet, 10));
    fmt::print(
        "# {} nodes: pairs not yet seen as down: {}\n", size,
        count_undetected_pairs(fleet));
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
