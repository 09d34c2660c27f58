// The node that counts a tenant's requests is restarted twice within a minute,
// both times as planned. A tenant that begins to ask for more than its quota
// during the second restart must not get more than it.
#include "quota.hpp"

using namespace review;

namespace {

constexpr double rate = 100;
constexpr double burst = 200;
constexpr double grace_s = 6;

} // namespace

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = arguments[1];
    record().open(folder + "/record.txt");
    const std::string temporary = arguments[2];

    // The tenant's clients are at side-a. side-b counts its requests, side-c is
    // next.
    const auto tenant = tenant_for({"side-b", "side-c"}, {"side-a", "side-d"});
    say("tenant " + tenant);
    store platform;
    platform.put("config", quota_config(tenant, rate, burst));

    tenant_history history;
    std::vector<std::unique_ptr<endpoint>> endpoints;
    std::vector<std::unique_ptr<node>> nodes;
    for (const std::string name : {"side-a", "side-b", "side-c", "side-d"}) {
        endpoints.push_back(
            std::make_unique<endpoint>("front", "east", quick_work(history)));
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
    for (const auto& started : nodes) {
        if (!started->wait_until_ready(15))
            fail(started->name() + " is not ready");
    }
    auto& counting = *nodes[1];
    const auto restart = [&] {
        say("side-b is restarted as planned");
        counting.signal(SIGTERM);
        if (!counting.wait_for_end(grace_s + 1))
            fail("side-b has not ended");
        counting.start();
        if (!counting.wait_until_ready(15))
            fail("side-b is not ready");
    };
    sleep_s(8);
    say("clients of the tenant send less than its quota");
    std::atomic<bool> is_quiet_over = false;
    start_clients(history, nodes[0]->callers(), 40, 80, is_quiet_over);
    sleep_s(3);
    restart();
    sleep_s(12);
    std::atomic<bool> is_over = false;
    std::thread planned_work([&] {
        if (has_trouble())
            restart();
    });
    sleep_s(1);
    say("clients of the tenant send many times its quota");
    is_quiet_over = true;
    start_clients(history, nodes[0]->callers(), 80, 500, is_over);
    sleep_s(12);
    is_over = true;
    planned_work.join();
    sleep_s(1.5);
    nodes.clear();
    judge_quota(history, rate, burst);
}
