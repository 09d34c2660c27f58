/// @file
/// QUOTA: a lost answer of the store leaves two nodes that each keep the whole
/// rate of every tenant.
#include "../support/harness.hh"

using namespace review;

namespace {

constexpr double rate_per_s = 30;
constexpr double burst = 30;
constexpr double quota_window_ms = 5000;
constexpr double quota_over = 0.1;
constexpr double quota_slack = 20;
/// A late write is done 1 to 6 s after its call.
constexpr double late_ms = 4000;
constexpr int tenants = 6;
constexpr int callers_per_tenant = 4;
/// Requests a second that the callers of one machine send for one tenant.
constexpr double sent_per_s = 45;
constexpr double traffic_ms = 12000;

std::string name_of(int tenant)
{
    return "tenant-" + std::to_string(tenant);
}

std::string make_config()
{
    std::string text = R"({"Version":"r7","Routes":[{"Name":"look",
"Host":"look.example","Prefix":"/look/","Kind":"idempotent","TimeoutMs":1000,
"GoalMs":1500,"Priority":2,"Service":"calendar","Attempts":2,"Public":false}],
"Services":[{"Name":"calendar","HealthPath":"/healthz","MaxConns":532,
"Proto":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[)";
    for (int i = 0; i < tenants; ++i) {
        text += i == 0 ? "" : ",";
        text += "{\"Name\":\"" + name_of(i) + "\",\"ApiKeys\":[\"key-of-" +
                name_of(i) + "\"],\"Priority\":1,\"RatePerS\":30,\"Burst\":30}";
    }
    return text + "]}";
}

void send_traffic(const machine& target, int tenant, int index, double until)
{
    caller client(target.outbound(), "look.example");
    const double pause = 1000.0 * callers_per_tenant / sent_per_s;
    double next = now_ms() + pause * index / callers_per_tenant;
    for (int number = 0; now_ms() < until; ++number) {
        sleep_ms(next - now_ms());
        next = std::max(next + pause, now_ms());
        if (!client.connect())
            continue;
        client.send(
            "GET", "/look/x",
            target.name() + "-" + name_of(tenant) + "-" +
                std::to_string(index) + "-" + std::to_string(number),
            "key-of-" + name_of(tenant), 5000, 5000);
    }
}

/// Returns the most requests that ran within one window.
std::size_t most_in_window(std::vector<double> runs)
{
    std::sort(runs.begin(), runs.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < runs.size(); ++last) {
        while (runs[last] - runs[first] > quota_window_ms)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

void play()
{
    row_store store;
    store.put("op", "config", make_config());
    machine one("sidecar-anand-1", "anand", "calendar", store.at());
    machine two("sidecar-vadodara-1", "vadodara", "calendar", store.at());
    machine added("sidecar-surat-1", "surat", "calendar", store.at());
    endpoint server_one(one, 72);
    endpoint server_two(two, 72);
    one.start();
    two.start();
    if (!one.wait_ready(10000) || !two.wait_ready(10000))
        give_up("the nodes are not ready");
    sleep_ms(3000);

    // Planned work: a machine is stopped and started again. Meanwhile, the
    // answer to a write is lost, and the write is done later.
    if (has_trouble()) {
        store.late_write = [](const std::string&) {
            return std::optional(late_ms);
        };
    }
    one.send_signal(SIGTERM, "SIGTERM");
    const bool has_ended = one.wait_end(6000).has_value();
    store.late_write = nullptr;
    if (!has_ended)
        one.kill_now();
    sleep_ms(500);
    one.start();
    if (!one.wait_ready(10000))
        give_up("the first node is not ready after its restart");
    // The store has been sound for longer than `StableWindowMs`.
    sleep_ms(7500);
    // Planned work: an endpoint is added, and its machine with it.
    endpoint server_added(added, 72);
    added.start();
    if (!added.wait_ready(10000))
        give_up("the added node is not ready");
    sleep_ms(5000);

    const auto until = now_ms() + traffic_ms;
    std::vector<std::thread> callers;
    for (const auto* target : {&one, &two, &added}) {
        for (int tenant = 0; tenant < tenants; ++tenant) {
            for (int i = 0; i < callers_per_tenant; ++i) {
                callers.emplace_back(
                    [=] { send_traffic(*target, tenant, i, until); });
            }
        }
    }
    for (auto& each : callers)
        each.join();

    std::map<std::string, std::vector<double>> runs;
    for (auto* server : {&server_one, &server_two, &server_added}) {
        for (const auto& run : server->runs())
            runs[run.request.header("x-tenant")].push_back(run.started_ms);
    }
    const auto allowed =
        (rate_per_s * quota_window_ms / 1000 + burst) * (1 + quota_over) +
        quota_slack;
    bool is_broken = false;
    for (int tenant = 0; tenant < tenants; ++tenant) {
        const auto& ran = runs[name_of(tenant)];
        if (ran.empty())
            give_up("no request of a tenant ran");
        const auto most = most_in_window(ran);
        const bool is_over = static_cast<double>(most) > allowed;
        is_broken = is_broken || is_over;
        std::printf(
            "%s: %zu requests of %s ran within %.0f s, %.0f are allowed; %zu "
            "ran in %.0f s\n",
            is_over ? "QUOTA" : "held", most, name_of(tenant).c_str(),
            quota_window_ms / 1000, allowed, ran.size(), traffic_ms / 1000);
        note(
            "verdict: " + name_of(tenant) + " " + std::to_string(most) +
            " in one window, allowed " + std::to_string(allowed));
    }
    end_case(is_broken ? rule_broken : rule_held);
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
