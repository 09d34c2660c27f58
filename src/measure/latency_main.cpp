/// @file
/// Compares the latency of a call to a backend server directly, through one
/// node, and through an entry node and the node beside the backend server.

#include <fulmarjunction/fixture/deployment.hpp>
#include <fulmarjunction/fixture/sample_lists.hpp>
#include <fulmarjunction/http/http.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace fj = fulmarjunction;
namespace fixture = fulmarjunction::fixture;
namespace asio = boost::asio;

namespace {

constexpr const char* account = "tartu-biogas";
/// Stays below the 2,000 requests per second that the plan allows.
constexpr int max_rate = 1500;
/// The paths are measured in alternating turns, so that noise of the instance
/// affects all of them.
constexpr int rounds = 3;
constexpr fj::duration turn_length = fj::seconds(1);
constexpr fj::duration request_timeout = fj::seconds(5);
/// New token buckets are empty and fill at the plan's rate.
constexpr fj::duration bucket_fill_time = fj::seconds(3);

/// A path to the backend server, with its results.
struct path
{
    std::string name;
    std::string address;
    std::string target;
    std::string key;
    std::shared_ptr<fj::http_client> client;
    std::vector<double> latencies_ms;
    int failed = 0;
    /// Processor time of both nodes during the turns of this path.
    double entry_processor_s = 0;
    double inner_processor_s = 0;
};

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

fj::streamed_request make_request(const path& route)
{
    fj::streamed_request request;
    request.method = "GET";
    request.target = route.target;
    request.headers.push_back({"host", route.address});
    if (!route.key.empty())
        request.headers.push_back({"authorization", "Bearer " + route.key});
    request.content_length = 0;
    request.body = fj::string_body("");
    return request;
}

fj::awaitable<bool> read_to_end(fj::body_reader body)
{
    std::vector<char> chunk(4096);
    for (;;) {
        const auto size = co_await body(asio::buffer(chunk));
        if (!size)
            co_return false;
        if (size.value() == 0)
            co_return true;
    }
}

/// Sends one request and records its latency from the scheduled time, so
/// that a late start or a queue in this process counts as latency.
fj::awaitable<void> exchange(path& route, fj::time_point scheduled)
{
    auto request = make_request(route);
    const auto deadline = scheduled + request_timeout;
    auto response = co_await route.client->send(std::move(request), deadline);
    bool is_complete = false;
    if (response && response.value().status == 200) {
        auto body = std::move(response.value().body);
        is_complete = co_await read_to_end(std::move(body));
    }
    if (!is_complete) {
        ++route.failed;
        co_return;
    }
    const auto latency_s = fj::to_seconds(fj::clock::now() - scheduled);
    route.latencies_ms.push_back(1000 * latency_s);
}

/// Starts requests at fixed times, whether or not earlier ones have completed.
fj::awaitable<void> start_requests(path& route, int rate, int& running)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    const auto first = fj::clock::now();
    const auto count = static_cast<int>(rate * fj::to_seconds(turn_length));
    for (int index = 0; index < count; ++index) {
        const auto scheduled =
            first + fj::from_seconds(static_cast<double>(index) / rate);
        timer.expires_at(scheduled);
        co_await timer.async_wait(asio::use_awaitable);
        ++running;
        asio::co_spawn(
            executor, exchange(route, scheduled),
            [&running](const std::exception_ptr&) { --running; });
    }
    --running;
}

void run_turn(asio::io_context& context, path& route, int rate)
{
    // The coroutine that starts the requests counts as running.
    int running = 1;
    asio::co_spawn(
        context, start_requests(route, rate, running), asio::detached);
    context.restart();
    const auto deadline = fj::clock::now() + turn_length + 2 * request_timeout;
    while (running > 0 && fj::clock::now() < deadline)
        context.run_one_for(fj::milliseconds(100));
    if (running > 0)
        throw std::runtime_error("requests did not complete in time");
}

void run_measured_turn(fixture::deployment& deployment, path& route, int rate)
{
    const auto entry = deployment.node("entry").daemon->pid();
    const auto inner = deployment.node("inner").daemon->pid();
    const auto entry_before = processor_seconds(entry);
    const auto inner_before = processor_seconds(inner);
    run_turn(deployment.external_caller().context(), route, rate);
    route.entry_processor_s += processor_seconds(entry) - entry_before;
    route.inner_processor_s += processor_seconds(inner) - inner_before;
}

double percentile(const std::vector<double>& sorted, int percent)
{
    if (sorted.empty())
        return 0;
    const auto index = sorted.size() * static_cast<std::size_t>(percent) / 100;
    return sorted[std::min(index, sorted.size() - 1)];
}

void print_results(int rate, std::vector<path>& routes)
{
    constexpr int percents[] = {50, 90, 99};
    for (auto& route : routes)
        std::sort(route.latencies_ms.begin(), route.latencies_ms.end());
    const auto& direct = routes.front();
    for (const auto& route : routes) {
        fmt::print(
            "rate={} path={} answered={} failed={}", rate, route.name,
            route.latencies_ms.size(), route.failed);
        for (const auto percent : percents) {
            const auto value = percentile(route.latencies_ms, percent);
            const auto base = percentile(direct.latencies_ms, percent);
            fmt::print(
                " p{0}_ms={1:.3f} p{0}_ratio={2:.2f} p{0}_added_ms={3:.3f}",
                percent, value, base > 0 ? value / base : 0, value - base);
        }
        const auto answered =
            std::max<double>(1, static_cast<double>(route.latencies_ms.size()));
        fmt::print(
            " entry_processor_us={:.0f} inner_processor_us={:.0f}\n",
            1e6 * route.entry_processor_s / answered,
            1e6 * route.inner_processor_s / answered);
    }
    std::fflush(stdout);
}

std::vector<path> make_paths(fixture::deployment& deployment)
{
    const auto& entry = deployment.node("entry");
    const auto& inner = deployment.node("inner");
    const auto key = deployment.create_key(account);
    std::vector<path> routes{
        {"direct", inner.backend_address, "/origins?id=direct", ""},
        {"one_node", inner.callers, "/origins?id=one", key},
        {"two_nodes", entry.callers, "/origins?id=two", key}};
    for (auto& route : routes) {
        route.client = std::make_shared<fj::http_client>(
            deployment.external_caller().context().get_executor(),
            fixture::parse_endpoint(route.address), fj::http_limits());
    }
    return routes;
}

void prepare(fixture::deployment& deployment)
{
    deployment.start_platform();
    deployment.start_node({"entry", "zone-a", "notes", 64});
    deployment.start_node({"inner", "zone-b", "origins", 64});
    if (!deployment.apply_lists(
            fixture::sample_accounts(), fixture::sample_plans()) ||
        !deployment.wait_for_instances("origins", 1) ||
        !deployment.wait_for_shares(account))
        throw std::runtime_error("the deployment is not ready");
    std::this_thread::sleep_for(bucket_fill_time);
}

void measure(const std::vector<int>& rates)
{
    fixture::deployment deployment;
    prepare(deployment);
    auto routes = make_paths(deployment);
    if (!deployment.wait_for_versions())
        throw std::runtime_error("the API key did not reach all nodes");
    auto& context = deployment.external_caller().context();
    // An unmeasured turn opens the connections first.
    for (auto& route : routes)
        run_turn(context, route, rates.front());
    for (const auto rate : rates) {
        for (auto& route : routes) {
            route.latencies_ms.clear();
            route.failed = 0;
            route.entry_processor_s = 0;
            route.inner_processor_s = 0;
        }
        for (int round = 0; round < rounds; ++round) {
            for (auto& route : routes)
                run_measured_turn(deployment, route, rate);
        }
        print_results(rate, routes);
    }
    for (auto& route : routes)
        route.client->close();
}

} // namespace

int main(int count, char** arguments)
{
    try {
        std::vector<int> rates;
        for (int index = 1; index < count; ++index) {
            rates.push_back(std::stoi(arguments[index]));
            if (rates.back() < 1 || rates.back() > max_rate)
                throw std::invalid_argument("a rate must be from 1 to 1500");
        }
        if (rates.empty())
            throw std::invalid_argument("no rates given");
        measure(rates);
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
    return 0;
}
