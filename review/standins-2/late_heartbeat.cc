// A backend server leaves, the node that has acknowledged it is killed and
// started again, and a heartbeat from before the leave arrives late. Counts the
// requests that reach the backend server after that.
//
// Usage: late_heartbeat RECORD_FOLDER TEMPORARY_FOLDER

#include "standins.h"

using namespace review;

namespace {

constexpr long long drain_ms = 2000;
constexpr long long stable_window_ms = 3000;
/// How late the heartbeat arrives.
constexpr long long lateness_ms = 3000;
constexpr int caller_count = 8;
constexpr int requests_of_caller = 15;

constexpr std::string_view config =
    R"({"Version":"r3","Routes":[{"Name":"r-1","Host":"a.example",)"
    R"("Prefix":"/a/","Kind":"non_idempotent","TimeoutMs":2000,"GoalMs":1000,)"
    R"("Priority":1,"Service":"notes","Attempts":2,"Public":true}],)"
    R"("Services":[{"Name":"notes","HealthPath":"/healthz","MaxConns":500},)"
    R"({"Name":"front","HealthPath":"/healthz","MaxConns":500}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,)"
    R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

/// Sends requests from the machine of a node.
/// @return how many were answered with success
int send_requests(const node& from, int caller_number)
{
    int answered = 0;
    caller connection(from.callers);
    for (int i = 0; i < requests_of_caller; ++i) {
        request asked;
        asked.method = "POST";
        asked.host = "a.example";
        asked.target = "/a/x";
        asked.id =
            "t" + std::to_string(caller_number) + "-" + std::to_string(i);
        asked.body = "booking";
        asked.deadline_ms = 2000;
        record.write("request " + asked.id + " is sent");
        const auto answer = connection.send(asked);
        const int status = answer ? answer->status() : 0;
        record.write("request " + asked.id + " gets " + std::to_string(status));
        answered += status == 200 ? 1 : 0;
        sleep_ms(50);
    }
    return answered;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    record.open(std::string(argv[1]) + "/record.txt");
    limit_run_time(60);
    store platform;
    platform.put_config(std::string(config));
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<backend_server>> servers;
    const char* services[] = {"front", "notes", "notes"};
    for (int i = 0; i < 3; ++i) {
        const auto number = std::to_string(i + 1);
        nodes.push_back(std::make_unique<node>(
            "n" + number, "z1", services[i], free_port(), platform.port,
            argv[2]));
        nodes[i]->start();
        servers.push_back(
            std::make_unique<backend_server>(backend_server::options{
                "i-" + number, services[i], nodes[i]->backend,
                nodes[i]->heartbeats, 60, 1'000'000, 50}));
    }
    for (auto& each : nodes) {
        if (!each->wait_ready())
            return 2;
    }
    auto& leaving = *servers[1];
    auto& restarted = *nodes[1];
    sleep_ms(stable_window_ms + 1500);

    const auto late_heartbeat = leaving.make_heartbeat();
    const auto beat_at = now_ms();
    sleep_ms(100);
    if (leaving.deregister() != 200)
        return 2;
    const auto acknowledged_at = now_ms();
    std::atomic<int> reached = 0;
    leaving.on_run = [&](const message& found) {
        const auto after = now_ms() - acknowledged_at;
        record.write(
            "backend server i-2 runs " + found.header("x-attempt-id") + ", " +
            std::to_string(after) + " ms after the acknowledgement");
        reached += after > drain_ms ? 1 : 0;
    };
    if (has_trouble()) {
        restarted.signal(SIGKILL);
        restarted.wait();
        sleep_ms(300);
        restarted.start();
        if (!restarted.wait_ready())
            return 2;
    }
    const auto back_at = now_ms();
    sleep_until(beat_at + lateness_ms);
    if (has_trouble()) {
        const int status = leaving.post("heartbeat", late_heartbeat);
        record.write(
            "the heartbeat of " + std::to_string(beat_at) +
            " ms arrives late and gets " + std::to_string(status));
    }
    // From here on all nodes are in touch again.
    sleep_until(back_at + stable_window_ms + 200);
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < caller_count; ++i) {
        callers.emplace_back(
            [&, i] { answered += send_requests(*nodes[0], i); });
    }
    for (auto& each : callers)
        each.join();
    const auto result = std::to_string(reached) + " of " +
                        std::to_string(caller_count * requests_of_caller) +
                        " requests reached the backend server that had left, " +
                        std::to_string(answered) +
                        " were answered with success";
    record.write(result);
    std::printf("%s\n", result.c_str());
    if (answered == 0)
        return 2;
    return reached > 0 ? 1 : 0;
}
