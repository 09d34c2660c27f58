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
/// The plan allows 2,000 requests a second.
constexpr int highest_rate = 1500;
/// The paths take turns, so that noise of the machine reaches all of them.
constexpr int rounds = 3;
constexpr fj::duration turn = fj::seconds(1);
constexpr fj::duration limit = fj::seconds(5);
/// New buckets are empty and fill at the plan's rate.
constexpr fj::duration filling_time = fj::seconds(3);

/// One way to the backend server.
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

fj::streamed_request make_request(const path& way)
{
    fj::streamed_request request;
    request.method = "GET";
    request.target = way.target;
    request.headers.push_back({"host", way.address});
    if (!way.key.empty())
        request.headers.push_back({"authorization", "Bearer " + way.key});
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
fj::awaitable<void> exchange(path& way, fj::time_point scheduled)
{
    auto request = make_request(way);
    const auto deadline = scheduled + limit;
    auto response = co_await way.client->send(std::move(request), deadline);
    bool is_whole = false;
    if (response && response.value().status == 200) {
        auto body = std::move(response.value().body);
        is_whole = co_await read_to_end(std::move(body));
    }
    if (!is_whole) {
        ++way.failed;
        co_return;
    }
    const auto took = fj::to_seconds(fj::clock::now() - scheduled);
    way.latencies_ms.push_back(1000 * took);
}

/// Starts requests at fixed times, whatever has become of earlier ones.
fj::awaitable<void> start_requests(path& way, int rate, int& running)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    const auto first = fj::clock::now();
    const auto count = static_cast<int>(rate * fj::to_seconds(turn));
    for (int index = 0; index < count; ++index) {
        const auto scheduled =
            first + fj::from_seconds(static_cast<double>(index) / rate);
        timer.expires_at(scheduled);
        co_await timer.async_wait(asio::use_awaitable);
        ++running;
        asio::co_spawn(
            executor, exchange(way, scheduled),
            [&running](const std::exception_ptr&) { --running; });
    }
    --running;
}

void run_turn(asio::io_context& context, path& way, int rate)
{
    // The starting coroutine counts as running.
    int running = 1;
    asio::co_spawn(context, start_requests(way, rate, running), asio::detached);
    context.restart();
    const auto deadline = fj::clock::now() + turn + 2 * limit;
    while (running > 0 && fj::clock::now() < deadline)
        context.run_one_for(fj::milliseconds(100));
    if (running > 0)
        throw std::runtime_error("requests do not end");
}

void run_measured_turn(fixture::deployment& all, path& way, int rate)
{
    const auto entry = all.node("entry").daemon->pid();
    const auto inner = all.node("inner").daemon->pid();
    const auto entry_before = processor_seconds(entry);
    const auto inner_before = processor_seconds(inner);
    run_turn(all.external_caller().context(), way, rate);
    way.entry_processor_s += processor_seconds(entry) - entry_before;
    way.inner_processor_s += processor_seconds(inner) - inner_before;
}

double percentile(const std::vector<double>& sorted, int percent)
{
    if (sorted.empty())
        return 0;
    const auto index = sorted.size() * static_cast<std::size_t>(percent) / 100;
    return sorted[std::min(index, sorted.size() - 1)];
}

void print_results(int rate, std::vector<path>& ways)
{
    constexpr int percents[] = {50, 90, 99};
    for (auto& way : ways)
        std::sort(way.latencies_ms.begin(), way.latencies_ms.end());
    const auto& direct = ways.front();
    for (const auto& way : ways) {
        fmt::print(
            "rate={} path={} answered={} failed={}", rate, way.name,
            way.latencies_ms.size(), way.failed);
        for (const auto percent : percents) {
            const auto value = percentile(way.latencies_ms, percent);
            const auto base = percentile(direct.latencies_ms, percent);
            fmt::print(
                " p{0}_ms={1:.3f} p{0}_ratio={2:.2f} p{0}_added_ms={3:.3f}",
                percent, value, base > 0 ? value / base : 0, value - base);
        }
        const auto answered =
            std::max<double>(1, static_cast<double>(way.latencies_ms.size()));
        fmt::print(
            " entry_processor_us={:.0f} inner_processor_us={:.0f}\n",
            1e6 * way.entry_processor_s / answered,
            1e6 * way.inner_processor_s / answered);
    }
    std::fflush(stdout);
}

std::vector<path> make_paths(fixture::deployment& all)
{
    const auto& entry = all.node("entry");
    const auto& inner = all.node("inner");
    const auto key = all.create_key(account);
    std::vector<path> ways{
        {"direct", inner.backend_address, "/origins?id=direct", ""},
        {"one_node", inner.callers, "/origins?id=one", key},
        {"two_nodes", entry.callers, "/origins?id=two", key}};
    for (auto& way : ways) {
        way.client = std::make_shared<fj::http_client>(
            all.external_caller().context().get_executor(),
            fixture::parse_endpoint(way.address), fj::http_limits());
    }
    return ways;
}

void prepare(fixture::deployment& all)
{
    all.start_platform();
    all.start_node({"entry", "zone-a", "notes", 64});
    all.start_node({"inner", "zone-b", "origins", 64});
    if (!all.apply_lists(fixture::sample_accounts(), fixture::sample_plans()) ||
        !all.wait_for_instances("origins", 1) || !all.wait_for_shares(account))
        throw std::runtime_error("the deployment is not ready");
    std::this_thread::sleep_for(filling_time);
}

void measure(const std::vector<int>& rates)
{
    fixture::deployment all;
    prepare(all);
    auto ways = make_paths(all);
    if (!all.wait_for_versions())
        throw std::runtime_error("the key is not at all nodes");
    auto& context = all.external_caller().context();
    // Connections are opened before the first measured turn.
    for (auto& way : ways)
        run_turn(context, way, rates.front());
    for (const auto rate : rates) {
        for (auto& way : ways) {
            way.latencies_ms.clear();
            way.failed = 0;
            way.entry_processor_s = 0;
            way.inner_processor_s = 0;
        }
        for (int round = 0; round < rounds; ++round) {
            for (auto& way : ways)
                run_measured_turn(all, way, rate);
        }
        print_results(rate, ways);
    }
    for (auto& way : ways)
        way.client->close();
}

} // namespace

int main(int count, char** arguments)
{
    try {
        std::vector<int> rates;
        for (int index = 1; index < count; ++index) {
            rates.push_back(std::stoi(arguments[index]));
            if (rates.back() < 1 || rates.back() > highest_rate)
                throw std::invalid_argument("a rate is 1 to 1500");
        }
        if (rates.empty())
            throw std::invalid_argument("no rates are given");
        measure(rates);
    } catch (const std::exception& problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return 1;
    }
    return 0;
}
