/// @file
/// Measures the processor time, memory and control traffic of idle nodes at
/// increasing fleet sizes.

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
/// The ratio of a fleet of 2,600 instances in 390 services.
constexpr int instances_per_service = 7;
/// Each node has a backend server stand-in: 121 processes at most.
constexpr int max_size = 60;
constexpr fj::duration settling_time = fj::seconds(8);
constexpr fj::duration measuring_time = fj::seconds(10);
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

/// Resources used since the start of the processes, summed over the nodes.
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
    fixture::deployment& deployment, const fixture::running_node& node,
    const std::string& kind)
{
    double sum = 0;
    for (const auto* side : {"server", "client"})
        sum += deployment.metric(
            node, fmt::format(
                      "fulmar_peer_events_total{{kind=\"{}\",side=\"{}\"}}",
                      kind, side));
    return sum;
}

usage take_usage(fixture::deployment& deployment)
{
    usage total;
    for (const auto* node : deployment.nodes()) {
        const auto process = node->daemon->pid();
        const auto processor = processor_seconds(process);
        const auto resident = resident_kib(process);
        total.processor_s += processor;
        total.resident_kib += resident;
        total.largest_resident_kib =
            std::max(total.largest_resident_kib, resident);
    }
    total.taken_at = fj::clock::now();
    for (const auto* node : deployment.nodes()) {
        total.bytes_in += peer_bytes(deployment, *node, "bytes_in");
        total.bytes_out += peer_bytes(deployment, *node, "bytes_out");
    }
    const auto response = deployment.external_caller().send(
        {deployment.platform_address(), "GET", "/control"});
    if (response.status != 200)
        throw std::runtime_error("the platform stand-in does not answer");
    const auto counts = json::parse(response.body);
    total.table_gets = counts.at("gets").to_number<double>();
    total.table_lists = counts.at("lists").to_number<double>();
    total.table_commits = counts.at("commits").to_number<double>();
    return total;
}

void print(int size, const std::string& name, double value)
{
    fmt::print("size={} {}={:.3f}\n", size, name, value);
    std::fflush(stdout);
}

void print_rates(int size, const usage& before, const usage& after)
{
    const auto elapsed_s = seconds_of(after.taken_at - before.taken_at);
    const auto per_node = [&](double later, double earlier) {
        return (later - earlier) / elapsed_s / size;
    };
    print(
        size, "processor_ms_per_node_s",
        1000 * per_node(after.processor_s, before.processor_s));
    print(size, "resident_kib_per_node", after.resident_kib / size);
    print(size, "resident_kib_largest", after.largest_resident_kib);
    print(
        size, "control_bytes_in_per_node_s",
        per_node(after.bytes_in, before.bytes_in));
    print(
        size, "control_bytes_out_per_node_s",
        per_node(after.bytes_out, before.bytes_out));
    print(
        size, "table_gets_per_s",
        (after.table_gets - before.table_gets) / elapsed_s);
    print(
        size, "table_lists_per_s",
        (after.table_lists - before.table_lists) / elapsed_s);
    print(
        size, "table_commits_per_s",
        (after.table_commits - before.table_commits) / elapsed_s);
}

/// Issues API keys one by one and measures the time until all nodes have each.
void measure_changes(fixture::deployment& deployment, int size)
{
    for (int change = 0; change < changes; ++change) {
        const auto started_at = fj::clock::now();
        deployment.create_key("tartu-biogas");
        const auto issued_at = fj::clock::now();
        if (!deployment.wait_for_versions())
            throw std::runtime_error("a change did not reach all nodes");
        const auto applied_at = fj::clock::now();
        print(
            size, "change_command_ms",
            1000 * seconds_of(issued_at - started_at));
        print(
            size, "change_at_all_ms",
            1000 * seconds_of(applied_at - started_at));
    }
}

void measure(int size)
{
    fixture::deployment deployment;
    deployment.start_platform();
    for (int index = 0; index < size; ++index) {
        fixture::node_spec spec;
        spec.name = fmt::format("node-{:02}", index);
        spec.zone = fmt::format("zone-{}", index % zones);
        spec.service = fmt::format("service-{}", index / instances_per_service);
        deployment.start_node(spec);
    }
    if (!deployment.apply_lists(
            fixture::sample_accounts(), fixture::sample_plans()))
        throw std::runtime_error(
            "the accounts and plans did not reach all nodes");
    std::this_thread::sleep_for(settling_time);
    const auto before = take_usage(deployment);
    std::this_thread::sleep_for(measuring_time);
    const auto after = take_usage(deployment);
    print_rates(size, before, after);
    measure_changes(deployment, size);
}

} // namespace

int main(int count, char** arguments)
{
    try {
        for (int index = 1; index < count; ++index) {
            const auto size = std::stoi(arguments[index]);
            if (size < 1 || size > max_size)
                throw std::invalid_argument("a size must be from 1 to 60");
            measure(size);
        }
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
    return 0;
}
