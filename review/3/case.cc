/// @file
/// CONFIG: an answer whose body has no end is passed on beyond the time limit
/// of its route.
#include "../support/harness.hh"

using namespace review;

namespace {

constexpr int timeout_ms = 1000;
/// Time after `TimeoutMs` within which a request must have its final answer.
constexpr int allowed_delay_ms = 500;
constexpr int deadline_ms = 5000;
constexpr int requests = 12;
/// Requests without a final answer, and their share, that break the rule.
constexpr int allowed_unanswered = 7;
constexpr double allowed_share = 0.25;

std::string make_config()
{
    return R"({"Version":"r7","Routes":[
{"Name":"look","Host":"look.example","Prefix":"/look/","Kind":"idempotent",
"TimeoutMs":1000,"GoalMs":1500,"Priority":2,"Service":"calendar","Attempts":2,
"Public":true}],
"Services":[{"Name":"calendar","HealthPath":"/healthz","MaxConns":532,
"Proto":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]})";
}

/// Answers with bytes that are no answer and have no end, until the caller
/// closes. Without the disruption it works beyond the limit and then answers.
bool send_without_end(
    const tcp_socket& socket, const message&, endpoint::run& current)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + current.id +
                             "\r\nX-Response-Seal: seal-" + current.id +
                             "\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string piece(1000, 'x');
    if (!has_trouble()) {
        for (int i = 0; i < 30; ++i) {
            if (socket.is_closed_by_peer())
                return false;
            sleep_ms(100);
        }
        current.is_answered =
            socket.send_all(head + "3e8\r\n" + piece + "\r\n0\r\n\r\n");
        return current.is_answered;
    }
    bool is_open = socket.send_all(head);
    while (is_open && !socket.is_closed_by_peer()) {
        is_open = socket.send_all("3e8\r\n" + piece + "\r\n");
        sleep_ms(20);
    }
    return false;
}

void play()
{
    row_store store;
    store.put("op", "config", make_config());
    machine one("sidecar-anand-1", "anand", "calendar", store.at());
    machine two("sidecar-vadodara-1", "vadodara", "guides", store.at());
    endpoint server_one(one, 72);
    endpoint server_two(two, 54);
    server_one.answer = send_without_end;
    one.start();
    two.start();
    if (!one.wait_ready(10000) || !two.wait_ready(10000))
        give_up("the nodes are not ready");
    // The machines are in touch.
    sleep_ms(4500);

    std::vector<outcome> seen;
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (int i = 0; i < requests; ++i) {
        callers.emplace_back([&, i] {
            caller client(two.outbound(), "look.example");
            if (!client.connect())
                give_up("no connection to the node");
            // The caller waits until its own deadline, and closes then.
            const auto answered = client.send(
                "GET", "/look/x" + std::to_string(i),
                "look-" + std::to_string(i), "", deadline_ms, deadline_ms,
                false);
            client.close();
            const std::lock_guard lock(mutex);
            seen.push_back(answered);
        });
        sleep_ms(50);
    }
    for (auto& each : callers)
        each.join();

    int longer = 0;
    int unanswered = 0;
    for (const auto& request : seen) {
        const auto took = request.ended_ms - request.sent_ms;
        longer += took >= timeout_ms - 50 ? 1 : 0;
        if (took <= timeout_ms + allowed_delay_ms)
            continue;
        ++unanswered;
        std::printf(
            "CONFIG: %s had no final answer %.0f ms after it was sent (%s, "
            "status %d, %zu bytes of body)\n",
            request.id.c_str(), took, to_string(request.end), request.status,
            request.body_bytes);
    }
    std::printf(
        "%d requests lasted to TimeoutMs, %d had no final answer %d ms later\n",
        longer, unanswered, allowed_delay_ms);
    note("verdict: " + std::to_string(unanswered) + " without final answer");
    if (longer < 8)
        give_up("too few requests lasted to TimeoutMs");
    const bool is_broken =
        unanswered > allowed_unanswered && unanswered > longer * allowed_share;
    end_case(is_broken ? rule_broken : rule_held);
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
