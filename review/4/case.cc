/// @file
/// DRAIN: a node that has acknowledged that a backend server leaves takes it up
/// again at a late heartbeat.
#include "../support/harness.hh"

using namespace review;

namespace {

constexpr double drain_ms = 2000;
constexpr double stable_window_ms = 3000;
/// A heartbeat may arrive seconds late; this one is 1.1 s late.
constexpr double heartbeat_delay_ms = 1100;
/// A backend server may serve on for many seconds after its leave.
constexpr double serves_on_ms = 6000;
/// Mean work of the kind of request `dispatch-confirm`.
constexpr double work_ms = 210;

std::string make_config()
{
    return R"({"Version":"r7","Routes":[
{"Name":"confirm","Host":"look.example","Prefix":"/confirm/",
"Kind":"non_idempotent","TimeoutMs":1200,"GoalMs":1500,"Priority":0,
"Service":"dispatch","Attempts":2,"Public":true}],
"Services":[{"Name":"dispatch","HealthPath":"/healthz","MaxConns":532,
"Proto":"h1","Tls":false},{"Name":"guides","HealthPath":"/healthz",
"MaxConns":424,"Proto":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]})";
}

void play()
{
    row_store store;
    store.put("op", "config", make_config());
    machine one("sidecar-anand-1", "anand", "dispatch", store.at());
    machine two("sidecar-vadodara-1", "vadodara", "dispatch", store.at());
    machine entry("sidecar-surat-1", "surat", "guides", store.at());
    endpoint server_one(one, 72);
    endpoint server_two(two, 72);
    endpoint server_entry(entry, 54);
    server_one.work = [](const message&) { return work_ms; };
    server_two.work = [](const message&) { return work_ms; };
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
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&, i] {
            caller client(entry.outbound(), "look.example");
            for (int number = 0; !is_over; ++number) {
                sleep_ms(50);
                if (!client.connect())
                    continue;
                const auto answered = client.send(
                    "POST", "/confirm/x",
                    "confirm-" + std::to_string(i) + "-" +
                        std::to_string(number),
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
    // The backend server ends. It had asked for no more work.
    sleep_ms(left_at + serves_on_ms - now_ms());
    server_one.end();
    sleep_ms(1500);
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
        note(
            "verdict: " + run.id + " reached " + server_one.id() + " " +
            std::to_string(run.started_ms - left_at) +
            " ms after its leave was acknowledged");
    }
    std::size_t answered = 0;
    for (const auto& request : seen)
        answered += request.status == 200 ? 1 : 0;
    std::size_t cut = 0;
    for (const auto& run : server_one.runs())
        cut += run.is_answered ? 0 : 1;
    if (late > 0) {
        std::printf(
            "DRAIN: %d requests reached %s later than %.0f ms after its leave "
            "was acknowledged, the last %.0f ms after it; %zu ended with it\n",
            late, server_one.id().c_str(), drain_ms, last - left_at, cut);
    }
    std::printf(
        "%zu requests, %zu answered with success, %d reached the server that "
        "had left\n",
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
