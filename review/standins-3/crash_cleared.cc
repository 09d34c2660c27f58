// A request crashes each endpoint that begins to run it, and comes again. Other
// requests of the same client on the same path begin with the same 4 KiB, and
// are harmless. The crashing one must not reach endpoints over and over.
#include "standins.h"

using namespace review;

namespace {

constexpr double stable_window_s = 3;
constexpr std::size_t allowed_retries = 3;
constexpr int crashes_before_count = 3;
/// Until a crashed endpoint is back.
constexpr double down_s = 2;
/// The time between two copies of the crashing request.
constexpr double copy_pause_s = 4;
constexpr double length_s = 80;
constexpr std::size_t common_bytes = 4200;

std::string config()
{
    return json::serialize(json::object{
        {"Version", "r3"},
        {"Routes", json::array{json::object{
                       {"Name", "confirm"},
                       {"Host", "shop.example"},
                       {"Prefix", "/confirm/"},
                       {"Kind", "non_idempotent"},
                       {"TimeoutMs", 1200},
                       {"GoalMs", 1000},
                       {"Priority", 0},
                       {"Service", "dispatch"},
                       {"Attempts", 2}}}},
        {"Services",
         json::array{
             json::object{{"Name", "dispatch"}, {"HealthPath", "/healthz"}},
             json::object{{"Name", "front"}, {"HealthPath", "/healthz"}}}},
        {"Limits",
         json::object{
             {"MaxHeaderBytes", 16384},
             {"MaxBodyBytes", 1000000},
             {"HeaderTimeoutMs", 5000},
             {"IdleTimeoutMs", 15000}}},
        {"Tenants", json::array{json::object{
                        {"Name", "north"},
                        {"ApiKeys", json::array{"key-of-north"}},
                        {"Priority", 1}}}}});
}

/// What the bodies have in common, such as the text of a form.
std::string common_part()
{
    return std::string(common_bytes, 'f');
}

std::string crashing_body()
{
    return common_part() + "sack of feed no. 0";
}

std::string harmless_body(int number)
{
    return common_part() + "sack of feed no. " + std::to_string(number);
}

std::mutex history_mutex;
/// When the crashing request reached an endpoint.
std::vector<double> arrivals;
int crashes = 0;
double third_crash_at = 0;
std::map<int, int> statuses;
std::atomic<bool> is_over = false;

void run(endpoint& self, const http_message& request, stream& connection)
{
    const auto id = request.header("x-attempt-id");
    if (request.body != crashing_body()) {
        sleep_s(0.02);
        connection.send(format_message(
            "HTTP/1.1 200 OK", answer_headers(id), "confirmed " + id));
        return;
    }
    {
        const std::lock_guard lock(history_mutex);
        arrivals.push_back(now_s());
        if (has_trouble() && ++crashes == crashes_before_count)
            third_crash_at = now_s();
    }
    record().line("%s reaches %s", id.c_str(), self.id().c_str());
    sleep_s(0.03);
    if (has_trouble()) {
        record().line("%s crashes %s", id.c_str(), self.id().c_str());
        self.crash(down_s);
        return;
    }
    connection.send(format_message(
        "HTTP/1.1 200 OK", answer_headers(id), "confirmed " + id));
}

/// Sends a request and waits for its answer.
void send_request(stream& connection, std::uint16_t port, std::string body)
{
    if (!connection.is_open() && !connection.connect(port, 1))
        return;
    const auto id = new_id();
    const bool is_crashing = body == crashing_body();
    record().line("%s sent%s", id.c_str(), is_crashing ? ", crashing" : "");
    connection.send(format_message(
        "POST /confirm/monthly HTTP/1.1",
        {{"Host", "shop.example"},
         {"X-Attempt-Id", id},
         {"X-Deadline-Ms", "3000"},
         {"Authorization", "Bearer key-of-north"}},
        body));
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
    const std::vector<std::string> names = {
        "side-a", "side-b", "side-c", "side-d"};
    endpoints.resize(names.size());
    for (std::size_t i = 0; i < names.size(); ++i) {
        const std::string service = i == 0 ? "front" : "dispatch";
        endpoints[i] = std::make_unique<endpoint>(
            service, "east",
            [&endpoints, i](const http_message& request, stream& connection) {
                run(*endpoints[i], request, connection);
            });
        nodes.push_back(std::make_unique<node>(
            node::settings{
                names[i], "east", service, endpoints[i]->address(),
                platform.address()},
            temporary));
        nodes.back()->start();
        endpoints[i]->start_heartbeats(nodes.back()->heartbeats(), 1.5);
    }
    for (const auto& started : nodes) {
        if (!started->wait_until_ready(15)) {
            say("could not run: " + started->name() + " is not ready");
            nodes.clear();
            finish(could_not_run);
        }
    }
    sleep_s(6);
    say("the client starts");
    const auto port = nodes[0]->callers();
    std::atomic<int> next_number = 1;
    for (int i = 0; i < 4; ++i) {
        std::thread([port, &next_number] {
            stream connection;
            while (!is_over) {
                send_request(connection, port, harmless_body(next_number++));
                sleep_s(0.15);
            }
        }).detach();
    }
    const double end = now_s() + length_s;
    stream connection;
    while (now_s() < end) {
        sleep_s(copy_pause_s);
        send_request(connection, port, crashing_body());
    }
    is_over = true;
    sleep_s(3.5);
    nodes.clear();

    const std::lock_guard lock(history_mutex);
    std::size_t late = 0;
    for (const double at : arrivals) {
        if (crashes >= crashes_before_count &&
            at > third_crash_at + stable_window_s)
            ++late;
    }
    std::string text = "answers:";
    for (const auto& [status, count] : statuses)
        text += " " + std::to_string(status) + " x " + std::to_string(count);
    say(text);
    say("BUDGET: the request reached endpoints " +
        std::to_string(arrivals.size()) + " times and crashed " +
        std::to_string(crashes) + ", " + std::to_string(late) +
        " retries more than 3 s after the third crash, " +
        std::to_string(allowed_retries) + " allowed");
    if (statuses[200] < 100) {
        say("could not run: too few requests were served");
        finish(could_not_run);
    }
    const bool is_broken = late > allowed_retries;
    say(is_broken ? "rule broken" : "rule held");
    finish(is_broken ? rule_broken : rule_held);
}
