// A request crashes each backend server that runs it, and comes again. The
// crash takes longer than the route's timeout: until the process has ended, for
// example while its core is written, its port and its connections stay open.
// Counts how often the request reaches backend servers.
//
// Usage: slow_crash RECORD_FOLDER TEMPORARY_FOLDER

#include "standins.h"

using namespace review;

namespace {

constexpr long long stable_window_ms = 3000;
constexpr int allowed_retries = 3;
/// Time from the crash to the end of the process, and from there to its start.
constexpr long long crash_ms = 3000;
constexpr long long down_ms = 500;
constexpr long long resend_ms = 4000;
constexpr long long run_ms = 100'000;
constexpr int front_count = 2;
constexpr int node_count = 6;
constexpr int other_caller_count = 8;

constexpr std::string_view target = "/book/standing-order";
constexpr std::string_view order = "one sack";

constexpr std::string_view config =
    R"({"Version":"r3","Routes":[{"Name":"r-1","Host":"a.example",)"
    R"("Prefix":"/book/",)"
    R"("Kind":"non_idempotent","TimeoutMs":1000,"GoalMs":500,)"
    R"("Priority":1,"Service":"notes","Attempts":2,"Public":false}],)"
    R"("Services":[{"Name":"notes","HealthPath":"/healthz","MaxConns":500},)"
    R"({"Name":"front","HealthPath":"/healthz","MaxConns":500}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,)"
    R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"coop","ApiKeys":["key-1"],"Priority":1}]})";

std::mutex history_mutex;
/// Times at which the crashing request has reached backend servers.
std::vector<long long> reached_at;
std::map<std::string, int> answer_counts;

bool is_crashing(const message& found)
{
    return found.word(1) == target &&
           found.header("x-caller-service") == "front";
}

/// A backend server that starts again some time after it has crashed.
class supervised_server
{
public:
    supervised_server(std::string service, const node& beside)
        : service_(std::move(service)), beside_(beside)
    {
        start();
    }

    void supervise()
    {
        if (server_ && server_->has_crashed && !ends_at_)
            ends_at_ = now_ms() + crash_ms;
        if (ends_at_ && now_ms() >= *ends_at_) {
            ends_at_.reset();
            server_->stop();
            server_.reset();
            record.write("backend server " + id() + " has ended");
            back_at_ = now_ms() + down_ms;
        }
        if (!server_ && now_ms() >= back_at_)
            start();
    }

private:
    std::string id() const
    {
        return "i-" + beside_.name + "-" + std::to_string(starts_);
    }

    void start()
    {
        ++starts_;
        server_ = std::make_unique<backend_server>(backend_server::options{
            id(), service_, beside_.backend, beside_.heartbeats, 60,
            1'000'000 + now_ms(), 100});
        server_->crashes_on = is_crashing;
        server_->on_run = [name = id()](const message& found) {
            record.write(
                "backend server " + name + " runs " +
                found.header("x-attempt-id"));
            if (!is_crashing(found))
                return;
            const std::lock_guard guard(history_mutex);
            reached_at.push_back(now_ms());
        };
    }

    std::string service_;
    const node& beside_;
    int starts_ = 0;
    std::optional<long long> ends_at_;
    long long back_at_ = 0;
    std::unique_ptr<backend_server> server_;
};

/// Sends a request, records it and counts its answer.
void send_and_count(caller& from, const request& asked)
{
    record.write("request " + asked.id + " is sent");
    const auto answer = from.send(asked);
    const auto status =
        answer ? std::to_string(answer->status()) : std::string("no answer");
    record.write("request " + asked.id + " gets " + status);
    const auto kind = asked.id.substr(0, asked.id.find('-'));
    const std::lock_guard guard(history_mutex);
    ++answer_counts[kind + ": " + status];
}

/// Sends requests that crash nothing, from the machine of a node.
void run_other_caller(
    const node& from, int number, const std::atomic<bool>& is_over)
{
    caller connection(from.callers);
    for (int sent = 0; !is_over; ++sent) {
        request asked;
        asked.host = "a.example";
        asked.key = "key-1";
        asked.deadline_ms = 2000;
        asked.id =
            "booking-" + std::to_string(number) + "-" + std::to_string(sent);
        asked.method = "POST";
        asked.target = "/book/x";
        asked.body = asked.id;
        send_and_count(connection, asked);
        sleep_ms(100);
    }
}

/// Sends the crashing request again and again, from the machines of front in
/// turn.
void run_crashing_caller(
    const std::vector<std::unique_ptr<node>>& nodes,
    const std::atomic<bool>& is_over)
{
    for (int sent = 0; !is_over; ++sent) {
        caller connection(nodes[sent % front_count]->callers);
        request asked;
        asked.host = "a.example";
        asked.method = "POST";
        asked.target = target;
        asked.body = order;
        asked.key = "key-1";
        asked.id = "crashing-" + std::to_string(sent);
        asked.deadline_ms = 2000;
        send_and_count(connection, asked);
        for (int i = 0; i < 100 && !is_over; ++i)
            sleep_ms(resend_ms / 100);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    record.open(std::string(argv[1]) + "/record.txt");
    limit_run_time(117);
    store platform;
    platform.put_config(std::string(config));
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<supervised_server>> servers;
    const char* services[] = {"front", "front", "notes",
                              "notes", "notes", "notes"};
    for (int i = 0; i < node_count; ++i) {
        nodes.push_back(std::make_unique<node>(
            "n" + std::to_string(i + 1), "z1", services[i], free_port(),
            platform.port, argv[2]));
        nodes[i]->start();
        servers.push_back(
            std::make_unique<supervised_server>(services[i], *nodes[i]));
    }
    for (auto& each : nodes) {
        if (!each->wait_ready())
            return 2;
    }
    sleep_ms(stable_window_ms + 500);

    std::atomic<bool> is_over = false;
    std::vector<std::thread> callers;
    for (int i = 0; i < other_caller_count; ++i) {
        callers.emplace_back([&, i] {
            run_other_caller(*nodes[front_count + i % 4], i, is_over);
        });
    }
    if (has_trouble()) {
        callers.emplace_back([&] { run_crashing_caller(nodes, is_over); });
    }
    const auto end = now_ms() + run_ms;
    while (now_ms() < end) {
        for (auto& each : servers)
            each->supervise();
        sleep_ms(2);
    }
    is_over = true;
    for (auto& each : callers)
        each.join();

    const std::lock_guard guard(history_mutex);
    for (const auto& [what, count] : answer_counts)
        record.write("answers to " + what + ", " + std::to_string(count));
    int late_retries = 0;
    for (const auto at : reached_at) {
        const bool is_late =
            reached_at.size() > 2 && at > reached_at[2] + stable_window_ms;
        late_retries += is_late ? 1 : 0;
    }
    const auto result = "the request reached backend servers " +
                        std::to_string(reached_at.size()) + " times, " +
                        std::to_string(late_retries) + " of them more than " +
                        std::to_string(stable_window_ms) +
                        " ms after the third crash; " +
                        std::to_string(allowed_retries) + " are allowed";
    record.write(result);
    std::printf("%s\n", result.c_str());
    if (answer_counts["booking: 200"] == 0)
        return 2;
    return late_retries > allowed_retries ? 1 : 0;
}
