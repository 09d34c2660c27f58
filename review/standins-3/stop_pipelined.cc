// A node gets SIGTERM while clients on kept connections send idempotent
// requests before the first has been answered. A request that the node passes
// on to an endpoint has to be answered.
#include "standins.h"

using namespace review;

namespace {

constexpr int clients = 100;
/// One way from a client to its node, as in the users' deployments.
constexpr double client_link_s = 0.003;
/// An answer comes in parts.
constexpr int parts = 4;
constexpr double part_pause_s = 0.1;
constexpr std::size_t part_bytes = 3000;
constexpr double work_s = 0.1;
/// Requests of other machines' clients, some of which run at the endpoint
/// beside the node that stops.
constexpr std::string_view long_prefix = "/guide/long/";
constexpr double long_work_s = 2;
constexpr int long_clients = 15;
constexpr double grace_s = 6;

std::string config()
{
    return json::serialize(json::object{
        {"Version", "r3"},
        {"Routes", json::array{json::object{
                       {"Name", "guide"},
                       {"Host", "shop.example"},
                       {"Prefix", "/guide/"},
                       {"Kind", "idempotent"},
                       {"TimeoutMs", 2500},
                       {"GoalMs", 1200},
                       {"Priority", 2},
                       {"Service", "guides"},
                       {"Attempts", 2},
                       {"Public", true}}}},
        {"Services", json::array{json::object{
                         {"Name", "guides"}, {"HealthPath", "/healthz"}}}},
        {"Limits", json::object{
                       {"MaxHeaderBytes", 16384},
                       {"MaxBodyBytes", 1000000},
                       {"HeaderTimeoutMs", 5000},
                       {"IdleTimeoutMs", 15000}}}});
}

struct request_record
{
    double sent_at = 0;
    double run_at = 0;
    double run_ended_at = 0;
    bool is_answered = false;
    /// When its connection ended without an answer.
    double cut_at = 0;
};

std::mutex history_mutex;
std::map<std::string, request_record> history;
std::atomic<bool> is_over = false;

void run(const http_message& request, stream& connection)
{
    const auto id = request.header("x-attempt-id");
    {
        const std::lock_guard lock(history_mutex);
        history[id].run_at = now_s();
    }
    record().line("%s runs", id.c_str());
    const bool is_long = request.target().starts_with(long_prefix);
    sleep_s(is_long ? long_work_s : work_s);
    const std::string whole = format_message(
        "HTTP/1.1 200 OK", answer_headers(id),
        std::string(parts * part_bytes, 'a'));
    const auto head_bytes = whole.size() - parts * part_bytes;
    bool is_sent = connection.send(whole.substr(0, head_bytes));
    for (int i = 0; i < parts && is_sent; ++i) {
        if (i > 0)
            sleep_s(part_pause_s);
        is_sent = connection.send(std::string(part_bytes, 'a'));
    }
    const std::lock_guard lock(history_mutex);
    history[id].run_ended_at = now_s();
    record().line("%s its run ends%s", id.c_str(), is_sent ? "" : ", cut");
}

/// Sends long requests, one after the other.
void send_long_requests(std::uint16_t port)
{
    stream connection;
    while (!is_over) {
        if (!connection.is_open() && !connection.connect(port, 1))
            continue;
        const auto id = new_id();
        record().line("%s sent, long", id.c_str());
        connection.send(
            client_request(std::string(long_prefix) + id, id, 5000));
        const auto answer = read_message(connection, now_s() + 5);
        record().line(
            "%s answered %d", id.c_str(), answer ? answer->status() : 0);
        if (!answer || answer->header("connection") == "close")
            connection.close();
    }
}

/// One connection with up to two requests at a time. What the client sends
/// leaves, and what it gets is seen, one link delay later.
class pipelining_client
{
public:
    pipelining_client(std::uint16_t port, unsigned seed)
        : port_(port), random_(seed)
    {
    }

    void run_until_over()
    {
        while (!is_over) {
            if (!connection_.is_open() && !connection_.connect(port_, 1)) {
                sleep_s(0.1);
                continue;
            }
            serve_pair();
            if (connection_.is_open())
                sleep_s(0.05);
        }
    }

private:
    double between(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    void send_request()
    {
        const auto id = new_id();
        sleep_s(client_link_s);
        waiting_.push_back(id);
        {
            const std::lock_guard lock(history_mutex);
            history[id].sent_at = now_s();
        }
        record().line(
            "%s sent, %zu before it on the connection", id.c_str(),
            waiting_.size() - 1);
        connection_.send(client_request("/guide/" + id, id, 5000));
    }

    /// Sends a request and, unless its answer has begun to arrive, another one
    /// behind it; then reads the answers.
    void serve_pair()
    {
        send_request();
        const double second_at = now_s() + between(0.085, 0.125);
        // What arrives within the last link delay hasn't been seen yet.
        const double seen_until = second_at - client_link_s;
        bool has_begun = false;
        while (now_s() < seen_until && !has_begun)
            has_begun = connection_.receive(seen_until) != 0;
        sleep_s(second_at - now_s());
        if (!has_begun)
            send_request();
        const double deadline = now_s() + 5;
        bool is_closing = false;
        while (!waiting_.empty()) {
            const auto answer = read_message(connection_, deadline);
            if (!answer || is_closing) {
                end_connection();
                return;
            }
            const std::lock_guard lock(history_mutex);
            const auto id = waiting_.front();
            waiting_.erase(waiting_.begin());
            history[id].is_answered = true;
            record().line("%s answered %d", id.c_str(), answer->status());
            is_closing = answer->header("connection") == "close";
        }
        if (is_closing)
            end_connection();
    }

    void end_connection()
    {
        for (const auto& id : waiting_) {
            const std::lock_guard lock(history_mutex);
            history[id].cut_at = now_s();
            record().line("%s its connection ends unanswered", id.c_str());
        }
        waiting_.clear();
        connection_.close();
    }

    std::uint16_t port_;
    std::mt19937 random_;
    stream connection_;
    std::vector<std::string> waiting_;
};

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
    const auto add = [&](const std::string& name, const std::string& zone,
                         const std::string& service) {
        endpoints.push_back(std::make_unique<endpoint>(service, zone, run));
        nodes.push_back(std::make_unique<node>(
            node::settings{
                name, zone, service, endpoints.back()->address(),
                platform.address()},
            temporary));
        nodes.back()->start();
        endpoints.back()->start_heartbeats(nodes.back()->heartbeats(), 1.5);
    };
    // Each is the only machine of its zone, so that its clients go on to send
    // to it when it isn't ready.
    add("side-a", "anand", "guides");
    add("side-b", "surat", "guides");
    add("side-c", "vadodara", "guides");
    add("side-d", "surat", "guides");
    add("side-e", "vadodara", "guides");
    for (const auto& started : nodes) {
        if (!started->wait_until_ready(15)) {
            say("could not run: " + started->name() + " is not ready");
            nodes.clear();
            finish(could_not_run);
        }
    }
    sleep_s(4);
    say("clients start");
    std::vector<std::thread> threads;
    threads.reserve(long_clients + clients);
    for (int i = 0; i < long_clients; ++i) {
        threads.emplace_back(
            [port = nodes[1]->callers()] { send_long_requests(port); });
    }
    for (unsigned i = 0; i < clients; ++i) {
        threads.emplace_back([port = nodes[0]->callers(), i] {
            pipelining_client(port, i + 1).run_until_over();
        });
        sleep_s(0.01);
    }
    sleep_s(3);
    const double term_at = now_s();
    if (has_trouble()) {
        say("side-a gets SIGTERM");
        nodes[0]->signal(SIGTERM);
        if (!nodes[0]->wait_for_end(grace_s))
            say("side-a has not ended in its grace");
    } else {
        sleep_s(grace_s);
    }
    is_over = true;
    sleep_s(1);
    for (auto& thread : threads)
        thread.detach();
    nodes.clear();

    const std::lock_guard lock(history_mutex);
    int answered = 0;
    int lost = 0;
    for (const auto& [id, request] : history) {
        answered += request.is_answered ? 1 : 0;
        const bool is_lost = request.cut_at > 0 && request.run_at > 0 &&
                             request.sent_at >= term_at &&
                             request.sent_at <= term_at + grace_s + 1;
        if (!is_lost)
            continue;
        // The endpoint was at work neither at the deadline nor in the last
        // sixth of the grace.
        if (request.run_ended_at > term_at + grace_s * 5 / 6 ||
            request.run_ended_at - request.sent_at > 2)
            continue;
        ++lost;
        char line[200];
        std::snprintf(
            line, sizeof line,
            "lost: %s, sent %.3f s after the SIGTERM, run %.3f s after, "
            "connection ended %.3f s after",
            id.c_str(), request.sent_at - term_at, request.run_at - term_at,
            request.cut_at - term_at);
        say(line);
    }
    say("LOST: " + std::to_string(lost) + " passed on and not answered, " +
        std::to_string(answered) + " answered");
    if (answered < 100) {
        say("could not run: too few answers");
        finish(could_not_run);
    }
    say(lost > 0 ? "rule broken" : "rule held");
    finish(lost > 0 ? rule_broken : rule_held);
}
