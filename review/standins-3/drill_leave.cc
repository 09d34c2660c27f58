// An endpoint says that it leaves. Then the store comes back from a copy that
// is some seconds old, and all processes of the system are killed at once and
// started again. A heartbeat from before the leave arrives late. No request may
// reach the endpoint.
#include "standins.h"

using namespace review;

namespace {

constexpr double drain_s = 2;
constexpr double stable_window_s = 3;
constexpr double away_s = 0.8;
/// How late the heartbeat arrives that was sent before the leave.
constexpr double lateness_s = 5;

std::string config()
{
    return json::serialize(json::object{
        {"Version", "r3"},
        {"Routes", json::array{json::object{
                       {"Name", "lookup"},
                       {"Host", "shop.example"},
                       {"Prefix", "/look/"},
                       {"Kind", "idempotent"},
                       {"TimeoutMs", 1000},
                       {"GoalMs", 800},
                       {"Priority", 2},
                       {"Service", "front"},
                       {"Attempts", 2},
                       {"Public", true}}}},
        {"Services", json::array{json::object{
                         {"Name", "front"}, {"HealthPath", "/healthz"}}}},
        {"Limits", json::object{
                       {"MaxHeaderBytes", 16384},
                       {"MaxBodyBytes", 1000000},
                       {"HeaderTimeoutMs", 5000},
                       {"IdleTimeoutMs", 15000}}}});
}

struct run_entry
{
    double at = 0;
    std::string endpoint_id;
};

std::mutex history_mutex;
std::vector<run_entry> runs;
std::map<int, int> statuses;
std::atomic<bool> is_over = false;

} // namespace

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = arguments[1];
    record().open(folder + "/record.txt");
    const std::string temporary = arguments[2];

    store platform;
    platform.put("config", config());
    std::vector<std::unique_ptr<endpoint>> endpoints;
    std::vector<std::unique_ptr<node>> nodes;
    for (const std::string name : {"side-a", "side-b", "side-c"}) {
        const auto id = "i-" + name + "-" + new_id();
        endpoints.push_back(std::make_unique<endpoint>(
            "front", "east",
            [id](const http_message& request, stream& connection) {
                const auto attempt = request.header("x-attempt-id");
                record().line("%s reaches %s", attempt.c_str(), id.c_str());
                {
                    const std::lock_guard lock(history_mutex);
                    runs.push_back({now_s(), id});
                }
                sleep_s(0.02);
                connection.send(format_message(
                    "HTTP/1.1 200 OK", answer_headers(attempt),
                    "page of " + attempt));
            },
            id));
        nodes.push_back(std::make_unique<node>(
            node::settings{
                name, "east", "front", endpoints.back()->address(),
                platform.address()},
            temporary));
        nodes.back()->start();
        endpoints.back()->start_heartbeats(nodes.back()->heartbeats(), 1.5);
    }
    const auto fail = [&](const std::string& why) {
        say("could not run: " + why);
        nodes.clear();
        finish(could_not_run);
    };
    const auto wait_until_ready = [&] {
        for (const auto& started : nodes) {
            if (!started->wait_until_ready(15))
                fail(started->name() + " is not ready");
        }
    };
    wait_until_ready();
    sleep_s(6);
    say("clients start at side-b and side-c");
    for (int i = 0; i < 20; ++i) {
        std::thread([port = nodes[1 + i % 2]->callers()] {
            stream connection;
            while (!is_over) {
                sleep_s(0.1);
                if (!connection.is_open() && !connection.connect(port, 1))
                    continue;
                const auto id = new_id();
                record().line("%s sent", id.c_str());
                connection.send(client_request("/look/" + id, id, 3000));
                const auto answer = read_message(connection, now_s() + 3);
                const int status = answer ? answer->status() : 0;
                record().line("%s answered %d", id.c_str(), status);
                {
                    const std::lock_guard lock(history_mutex);
                    ++statuses[status];
                }
                if (!answer || answer->header("connection") == "close")
                    connection.close();
            }
        }).detach();
    }
    sleep_s(2);
    platform.take_copy();
    sleep_s(1);

    auto& leaving = *endpoints[0];
    const auto port = nodes[0]->heartbeats();
    const int late_sequence = leaving.stop_heartbeats();
    const double late_sent_at = now_s();
    sleep_s(0.2);
    if (!leaving.deregister(port))
        fail("the leave is not acknowledged");
    const double acknowledged_at = now_s();
    say("the leave of " + leaving.id() + " is acknowledged");
    sleep_s(1.5);
    if (has_trouble())
        platform.come_back_from_copy(away_s);
    else
        sleep_s(away_s);
    sleep_s(1);
    say("all processes are killed and start again");
    for (const auto& killed : nodes)
        killed->signal(SIGKILL);
    for (const auto& killed : nodes)
        killed->wait_for_end(2);
    sleep_s(0.3);
    const double started_at = now_s();
    for (const auto& killed : nodes)
        killed->start();
    wait_until_ready();
    sleep_s(late_sent_at + lateness_s - now_s());
    say("a heartbeat from before the leave arrives late");
    leaving.send_heartbeat(port, late_sequence, "ready");
    sleep_s(7);
    is_over = true;
    sleep_s(1);
    nodes.clear();

    const std::lock_guard lock(history_mutex);
    // Both the bound of the rule and the time from which the machines are in
    // touch again have to be past.
    const double from =
        std::max(acknowledged_at + drain_s, started_at + 0.5 + stable_window_s);
    std::size_t late = 0;
    double first = 0;
    for (const auto& run : runs) {
        if (run.endpoint_id == leaving.id() && run.at > from && ++late == 1)
            first = run.at;
    }
    std::string text = "answers:";
    for (const auto& [status, count] : statuses)
        text += " " + std::to_string(status) + " x " + std::to_string(count);
    say(text);
    char line[200];
    std::snprintf(
        line, sizeof line,
        "DRAIN: %zu requests reached the endpoint in breach, the first %.1f s "
        "after the acknowledgement",
        late, late > 0 ? first - acknowledged_at : 0.0);
    say(line);
    if (statuses[200] < 100) {
        say("could not run: too few requests were served");
        finish(could_not_run);
    }
    say(late > 0 ? "rule broken" : "rule held");
    finish(late > 0 ? rule_broken : rule_held);
}
