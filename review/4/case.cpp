/// @file
/// DRAIN: a node that has acknowledged that a backend server leaves takes it up
/// again at a late heartbeat.
#include "../support/harness.hpp"

using namespace review;

namespace {

constexpr double drain_ms = 2000;
constexpr double stable_window_ms = 3000;
/// A heartbeat may arrive seconds late; this one is 1.1 s late.
constexpr double heartbeat_delay_ms = 1100;
/// A backend server may serve on for many seconds after its leave.
constexpr double serves_on_ms = 9000;

std::string make_config()
{
    return R"({"Version":"r7","Routes":[
{"Name":"look","Host":"look.example","Prefix":"/look/","Kind":"idempotent",
"TimeoutMs":1000,"GoalMs":1500,"Priority":2,"Service":"calendar","Attempts":2,
"Public":true}],
"Services":[{"Name":"calendar","HealthPath":"/healthz","MaxConns":532,
"Proto":"h1","Tls":false},{"Name":"guides","HealthPath":"/healthz",
"MaxConns":424,"Proto":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]})";
}

void play()
{
    row_store store;
    store.put("op", "config", make_config());
    machine one("sidecar-anand-1", "anand", "calendar", store.at());
    machine two("sidecar-vadodara-1", "vadodara", "calendar", store.at());
    machine entry("sidecar-surat-1", "surat", "guides", store.at());
    endpoint server_one(one, 72);
    endpoint server_two(two, 72);
    endpoint server_entry(entry, 54);
    one.start();
    two.start();
    entry.start();
    if (!one.wait_ready(10000) || !two.wait_ready(10000) ||
        !entry.wait_ready(10000))
        give_up("the nodes are not ready");
    sleep_ms(4500);

    // Callers of a machine that is in touch all the while.
    std::atomic<bool> is_over{false};
    std::vector<std::thread> callers;
    std::mutex mutex;
    std::vector<outcome> seen;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&, i] {
            caller client(entry.outbound(), "look.example");
            for (int number = 0; !is_over; ++number) {
                sleep_ms(100);
                if (!client.connect())
                    continue;
                const auto answered = client.send(
                    "GET", "/look/x",
                    "look-" + std::to_string(i) + "-" + std::to_string(number),
                    "", 5000, 5000);
                const std::lock_guard lock(mutex);
                seen.push_back(answered);
            }
        });
    }

    // Planned work: the node beside the first backend server is stopped and
    // started again, while that server runs on.
    server_one.announce(false);
    one.stop();
    sleep_ms(500);
    const auto restarted_at = now_ms();
    one.start();
    if (!one.wait_ready(10000))
        give_up("the node is not ready after its restart");
    // The next heartbeat is sent within a period. Then the backend server
    // leaves, and says so.
    sleep_ms(restarted_at + 900 - now_ms());
    std::thread heartbeat([&] {
        server_one.send_heartbeat(has_trouble() ? heartbeat_delay_ms : 0);
    });
    sleep_ms(restarted_at + 1000 - now_ms());
    const bool is_acknowledged = server_one.deregister();
    const auto left_at = now_ms();
    if (!is_acknowledged)
        give_up("the leave was not acknowledged");
    heartbeat.join();
    sleep_ms(left_at + serves_on_ms - now_ms());
    is_over = true;
    for (auto& each : callers)
        each.join();

    // Both machines on the way are in touch from here on.
    const auto counted_from =
        std::max(left_at + drain_ms, restarted_at + stable_window_ms + 500);
    int late = 0;
    double last = 0;
    for (const auto& run : server_one.runs()) {
        if (run.started_ms <= counted_from)
            continue;
        ++late;
        last = std::max(last, run.started_ms);
        note("verdict: " + run.id + " reached " + server_one.id() + " " +
             std::to_string(run.started_ms - left_at) +
             " ms after its leave was acknowledged");
    }
    std::size_t answered = 0;
    for (const auto& request : seen)
        answered += request.status == 200 ? 1 : 0;
    if (late > 0) {
        std::printf(
            "DRAIN: %d requests reached %s later than %.0f ms after its leave "
            "was acknowledged, the last %.0f ms after it\n",
            late, server_one.id().c_str(), drain_ms, last - left_at);
    }
    std::printf(
        "%zu requests, %zu answered, %d reached the server that had left\n",
        seen.size(), answered, late);
    if (answered < 50)
        give_up("too few requests were answered");
    end_case(late > 0 ? rule_broken : rule_held);
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
