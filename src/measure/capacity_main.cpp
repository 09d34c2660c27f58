/// @file
/// Measures what real nodes without load cost at rising sizes.

#include <fulmarjunction/fixture/deployment.hpp>
#include <fulmarjunction/fixture/sample_lists.hpp>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace fj = fulmarjunction;
namespace fixture = fulmarjunction::fixture;
namespace json = boost::json;

namespace {

constexpr int zones = 7;
/// 2,600 instances in 390 services.
constexpr int instances_per_service = 7;
/// Each node has a backend server stand-in: 121 processes at most.
constexpr int largest_size = 60;
constexpr fj::duration settling_time = fj::seconds(8);
constexpr fj::duration span = fj::seconds(10);
constexpr int changes = 3;

double seconds_of(fj::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Processor time of a process so far, user and system, in seconds.
double processor_seconds(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/stat", process));
    std::string text;
    std::getline(file, text);
    // The second field, the name in parentheses, may contain spaces.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int field = 3; field < 14; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double resident_kib(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stod(line.substr(line.find(':') + 1));
    }
    return 0;
}

/// What the processes have used so far, summed over the nodes.
struct usage
{
    double processor_s = 0;
    double resident_kib = 0;
    double largest_resident_kib = 0;
    double bytes_in = 0;
    double bytes_out = 0;
    double table_gets = 0;
    double table_lists = 0;
    double table_commits = 0;
    fj::time_point taken_at;
};

double peer_bytes(
    fixture::deployment& all, const fixture::running_node& node,
    const std::string& kind)
{
    double sum = 0;
    for (const auto* side : {"server", "client"})
        sum += all.metric(
            node, fmt::format(
                      "fulmar_peer_events_total{{kind=\"{}\",side=\"{}\"}}",
                      kind, side));
    return sum;
}

usage take_usage(fixture::deployment& all)
{
    usage now;
    for (const auto* node : all.nodes()) {
        const auto process = node->daemon->pid();
        const auto processor = processor_seconds(process);
        const auto resident = resident_kib(process);
        now.processor_s += processor;
        now.resident_kib += resident;
        now.largest_resident_kib = std::max(now.largest_resident_kib, resident);
    }
    now.taken_at = fj::clock::now();
    for (const auto* node : all.nodes()) {
        now.bytes_in += peer_bytes(all, *node, "bytes_in");
        now.bytes_out += peer_bytes(all, *node, "bytes_out");
    }
    const auto answer =
        all.external_caller().send({all.platform_address(), "GET", "/control"});
    if (answer.status != 200)
        throw std::runtime_error("the platform stand-in does not answer");
    const auto counts = json::parse(answer.body);
    now.table_gets = counts.at("gets").to_number<double>();
    now.table_lists = counts.at("lists").to_number<double>();
    now.table_commits = counts.at("commits").to_number<double>();
    return now;
}

void print(int size, const std::string& name, double value)
{
    fmt::print("size={} {}={:.3f}\n", size, name, value);
    std::fflush(stdout);
}

void print_rates(int size, const usage& before, const usage& after)
{
    const auto took = seconds_of(after.taken_at - before.taken_at);
    const auto each = [&](double now, double then) {
        return (now - then) / took / size;
    };
    print(
        size, "processor_ms_per_node_s",
        1000 * each(after.processor_s, before.processor_s));
    print(size, "resident_kib_per_node", after.resident_kib / size);
    print(size, "resident_kib_largest", after.largest_resident_kib);
    print(
        size, "control_bytes_in_per_node_s",
        each(after.bytes_in, before.bytes_in));
    print(
        size, "control_bytes_out_per_node_s",
        each(after.bytes_out, before.bytes_out));
    print(
        size, "table_gets_per_s",
        (after.table_gets - before.table_gets) / took);
    print(
        size, "table_lists_per_s",
        (after.table_lists - before.table_lists) / took);
    print(
        size, "table_commits_per_s",
        (after.table_commits - before.table_commits) / took);
}

/// Gives keys and waits each time until all nodes have them.
void measure_changes(fixture::deployment& all, int size)
{
    for (int change = 0; change < changes; ++change) {
        const auto started = fj::clock::now();
        all.create_key("tartu-biogas");
        const auto given = fj::clock::now();
        if (!all.wait_for_versions())
            throw std::runtime_error("a change is not at all nodes");
        const auto seen = fj::clock::now();
        print(size, "change_command_ms", 1000 * seconds_of(given - started));
        print(size, "change_at_all_ms", 1000 * seconds_of(seen - started));
    }
}

void measure(int size)
{
    fixture::deployment all;
    all.start_platform();
    for (int index = 0; index < size; ++index) {
        fixture::node_spec spec;
        spec.name = fmt::format("node-{:02}", index);
        spec.zone = fmt::format("zone-{}", index % zones);
        spec.service = fmt::format("service-{}", index / instances_per_service);
        all.start_node(spec);
    }
    if (!all.apply_lists(fixture::sample_accounts(), fixture::sample_plans()))
        throw std::runtime_error("the lists are not at all nodes");
    std::this_thread::sleep_for(settling_time);
    const auto before = take_usage(all);
    std::this_thread::sleep_for(span);
    const auto after = take_usage(all);
    print_rates(size, before, after);
    measure_changes(all, size);
}

} // namespace

int main(int count, char** arguments)
{
    try {
        for (int index = 1; index < count; ++index) {
            const auto size = std::stoi(arguments[index]);
            if (size < 1 || size > largest_size)
                throw std::invalid_argument("a size is 1 to 60");
            measure(size);
        }
    } catch (const std::exception& problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return 1;
    }
    return 0;
}
