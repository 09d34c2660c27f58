/// @file
/// LOST: a node that stops takes requests until it ends, and ends while a
/// backend server is at work on one of them.
#include "../support/harness.hh"

using namespace review;

namespace {

constexpr double grace_ms = 6000;
/// A request counts at its end until 1 s after `GraceS`.
constexpr double counted_ms = grace_ms + 1000;
/// A request sent later than this after SIGTERM is not excused.
constexpr double excused_sent_ms = 3000;
/// Longest work of the kind of request `soil-advice`, whose route times out
/// after 4 s.
constexpr double long_work_ms = 3800;
/// Mean work of the kind of request `calendar-lookup`.
constexpr double short_work_ms = 160;
constexpr int short_timeout_ms = 1000;

std::string make_config()
{
    return R"({"Version":"r7","Routes":[
{"Name":"look","Host":"look.example","Prefix":"/look/","Kind":"idempotent",
"TimeoutMs":1000,"GoalMs":1500,"Priority":2,"Service":"calendar","Attempts":2,
"Public":true},
{"Name":"soil","Host":"look.example","Prefix":"/soil/","Kind":"idempotent",
"TimeoutMs":4000,"GoalMs":2000,"Priority":2,"Service":"soilbook","Attempts":2,
"Public":true}],
"Services":[{"Name":"calendar","HealthPath":"/healthz","MaxConns":532,
"Proto":"h1","Tls":false},{"Name":"soilbook","HealthPath":"/healthz",
"MaxConns":262,"Proto":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]})";
}

/// Sends one request after the other on one connection, which it keeps.
void keep_sending(
    const machine& target, double until, std::vector<outcome>& seen)
{
    caller client(target.outbound(), "look.example");
    for (int number = 0; now_ms() < until; ++number) {
        if (!client.connect()) {
            sleep_ms(20);
            continue;
        }
        seen.push_back(client.send(
            "GET", "/look/x", "look-" + std::to_string(number), "", 5000,
            5000));
    }
}

void play()
{
    row_store store;
    store.put("op", "config", make_config());
    // The only machine of its zone: when it is not ready, fewer than half of
    // the zone's nodes are, so its callers go on.
    machine soil("sidecar-anand-1", "anand", "soilbook", store.at());
    machine calendar("sidecar-surat-1", "surat", "calendar", store.at());
    endpoint soil_server(soil, 27);
    endpoint calendar_server(calendar, 72);
    soil_server.work = [](const message&) { return long_work_ms; };
    calendar_server.work = [](const message&) { return short_work_ms; };
    soil.start();
    calendar.start();
    if (!soil.wait_ready(10000) || !calendar.wait_ready(10000))
        give_up("the nodes are not ready");
    sleep_ms(4000);

    const auto stop_at = now_ms() + 500;
    std::vector<outcome> seen;
    std::thread kept([&] { keep_sending(soil, stop_at + counted_ms, seen); });
    // A caller of the other machine sends the long request while the stopping
    // node still takes some.
    std::thread other([&] {
        sleep_ms(stop_at + 1800 - now_ms());
        caller client(calendar.outbound(), "look.example");
        if (client.connect())
            client.send("GET", "/soil/x", "soil-0", "", 8000, 8000);
    });
    sleep_ms(stop_at - now_ms());
    if (has_trouble())
        soil.stop();
    const auto stopped_after = now_ms() - stop_at;
    kept.join();
    other.join();

    std::map<std::string, double> started;
    for (const auto& run : calendar_server.runs())
        started[run.id] = run.started_ms;
    std::size_t lost = 0;
    std::size_t complete = 0;
    for (const auto& request : seen) {
        complete += request.end == read_end::complete ? 1 : 0;
        const bool is_cut =
            request.end == read_end::ended || request.end == read_end::reset;
        const bool is_counted =
            request.sent_ms > stop_at + excused_sent_ms &&
            request.ended_ms <= stop_at + counted_ms &&
            request.ended_ms - request.sent_ms < short_timeout_ms;
        if (!is_cut || !is_counted || !started.contains(request.id))
            continue;
        ++lost;
        std::printf(
            "LOST: %s was sent %.0f ms after SIGTERM, began to run %.0f ms "
            "after it, and its connection ended (%s) %.0f ms after it\n",
            request.id.c_str(), request.sent_ms - stop_at,
            started[request.id] - stop_at, to_string(request.end),
            request.ended_ms - stop_at);
        note("verdict: lost " + request.id);
    }
    std::printf(
        "%zu requests on kept connections, %zu answered whole, %zu lost; the "
        "process ended %.0f ms after SIGTERM\n",
        seen.size(), complete, lost, has_trouble() ? stopped_after : 0.0);
    if (complete < 10)
        give_up("too few requests were answered");
    end_case(lost > 0 ? rule_broken : rule_held);
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
