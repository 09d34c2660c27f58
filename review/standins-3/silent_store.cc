// The open connections of all machines to the store go silent for good, new
// ones work. A change of the configuration has to be in force in time at the
// machines that are in touch.
#include "standins.h"

using namespace review;

namespace {

constexpr double apply_s = 2;
constexpr double stable_window_s = 3;
/// From the silence until the operator's change.
constexpr double change_after_s = 1;
constexpr int rounds = 10;
constexpr double round_s = 9;

/// Returns the service that has the route in a version.
std::string service_of(int version)
{
    return version % 2 == 0 ? "even" : "odd";
}

/// Each version moves the route to the other service.
std::string config(int version)
{
    return json::serialize(json::object{
        {"Version", "r" + std::to_string(version)},
        {"Routes", json::array{json::object{
                       {"Name", "lookup"},
                       {"Host", "shop.example"},
                       {"Prefix", "/look/"},
                       {"Kind", "idempotent"},
                       {"TimeoutMs", 1000},
                       {"GoalMs", 800},
                       {"Priority", 2},
                       {"Service", service_of(version)},
                       {"Attempts", 2},
                       {"Public", true}}}},
        {"Services",
         json::array{
             json::object{{"Name", "even"}, {"HealthPath", "/healthz"}},
             json::object{{"Name", "odd"}, {"HealthPath", "/healthz"}}}},
        {"Limits", json::object{
                       {"MaxHeaderBytes", 16384},
                       {"MaxBodyBytes", 1000000},
                       {"HeaderTimeoutMs", 5000},
                       {"IdleTimeoutMs", 15000}}}});
}

std::atomic<int> run_by_new = 0;
std::atomic<int> run_by_old = 0;

/// Sends requests on the route to one node until `until`.
/// @param from requests sent later have to be run by the new service
void look(
    const node& target, int version, double changed_at, double from,
    double until)
{
    stream connection;
    double last = 0;
    while (now_s() < until) {
        sleep_s(0.03);
        if (!connection.is_open() && !connection.connect(target.callers(), 1))
            continue;
        const auto id = new_id();
        const double sent_at = now_s();
        connection.send(client_request("/look/" + id, id, 1000));
        const auto answer = read_message(connection, now_s() + 1);
        const auto body = answer ? answer->body : "";
        record().line(
            "%s sent at %.4f to %s in r%d, answered %d by %s", id.c_str(),
            sent_at, target.name().c_str(), version,
            answer ? answer->status() : 0, body.c_str());
        if (!answer || answer->header("connection") == "close")
            connection.close();
        if (body == service_of(version)) {
            ++run_by_new;
        } else if (body == service_of(version + 1) && sent_at > from) {
            ++run_by_old;
            last = sent_at;
        }
    }
    if (last > 0) {
        char line[200];
        std::snprintf(
            line, sizeof line,
            "%s: a request sent %.2f s after the acknowledgement is run by the "
            "old service",
            target.name().c_str(), last - changed_at);
        say(line);
    }
}

} // namespace

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = arguments[1];
    record().open(folder + "/record.txt");
    const std::string temporary = arguments[2];

    store platform;
    platform.put("config", config(1));
    silencing_proxy way_to_store(platform.port());
    std::vector<std::unique_ptr<endpoint>> endpoints;
    std::vector<std::unique_ptr<node>> nodes;
    for (const std::string name :
         {"side-a", "side-b", "side-c", "side-d", "side-e", "side-f"}) {
        const auto service = service_of(static_cast<int>(nodes.size()));
        endpoints.push_back(std::make_unique<endpoint>(
            service, "east",
            [service](const http_message& request, stream& connection) {
                const auto id = request.header("x-attempt-id");
                record().line("%s runs at %s", id.c_str(), service.c_str());
                connection.send(format_message(
                    "HTTP/1.1 200 OK", answer_headers(id), service));
            }));
        nodes.push_back(std::make_unique<node>(
            node::settings{
                name, "east", service, endpoints.back()->address(),
                way_to_store.address()},
            temporary));
        nodes.back()->start();
        endpoints.back()->start_heartbeats(nodes.back()->heartbeats(), 1.5);
    }
    for (const auto& started : nodes) {
        if (!started->wait_until_ready(15)) {
            say("could not run: " + started->name() + " is not ready");
            nodes.clear();
            finish(could_not_run);
        }
    }
    sleep_s(8);
    for (int round = 0; round < rounds; ++round) {
        const double round_at = now_s();
        const int version = round + 2;
        if (has_trouble())
            say("the open connections to the store go silent: " +
                std::to_string(way_to_store.silence()));
        sleep_s(change_after_s);
        platform.put("config", config(version));
        const double acknowledged_at = now_s();
        say("version r" + std::to_string(version) + " is acknowledged");
        const double from =
            std::max(acknowledged_at + apply_s, round_at + stable_window_s);
        std::vector<std::thread> lookers;
        lookers.reserve(nodes.size());
        for (const auto& target : nodes) {
            lookers.emplace_back([&, version] {
                look(*target, version, acknowledged_at, from, from + 3);
            });
        }
        for (auto& looker : lookers)
            looker.join();
        // The phases of the nodes' calls to the store differ from round to
        // round.
        sleep_s(round_at + round_s + 0.17 * round - now_s());
    }
    nodes.clear();
    say("CONFIG: " + std::to_string(run_by_old) +
        " requests run by the old service after the bound, " +
        std::to_string(run_by_new) + " by the new one");
    if (run_by_new < 100) {
        say("could not run: too few requests were served");
        finish(could_not_run);
    }
    say(run_by_old > 0 ? "rule broken" : "rule held");
    finish(run_by_old > 0 ? rule_broken : rule_held);
}
