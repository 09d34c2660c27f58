// Two machines are added. Between their starts the store comes back from a copy
// that is some seconds old. A tenant that asks for more than its quota must not
// get more than it.
#include "quota.h"

using namespace review;

namespace {

constexpr double rate = 60;
constexpr double burst = 60;
constexpr double away_s = 0.8;

} // namespace

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = arguments[1];
    record().open(folder + "/record.txt");
    const std::string temporary = arguments[2];

    // The first added machine counts the tenant's requests; the one that was
    // there first would be next.
    const auto tenant = tenant_for({"side-c", "side-a"}, {"side-b", "side-d"});
    say("tenant " + tenant);
    store platform;
    platform.put("config", quota_config(tenant, rate, burst));

    tenant_history history;
    std::vector<std::unique_ptr<endpoint>> endpoints;
    std::vector<std::unique_ptr<node>> nodes;
    const auto add = [&](const std::string& name, const std::string& zone) {
        endpoints.push_back(
            std::make_unique<endpoint>("front", zone, quick_work(history)));
        nodes.push_back(std::make_unique<node>(
            node::settings{
                name, zone, "front", endpoints.back()->address(),
                platform.address()},
            temporary));
        nodes.back()->start();
        endpoints.back()->start_heartbeats(nodes.back()->heartbeats(), 1.5);
    };
    const auto fail = [&](const std::string& why) {
        say("could not run: " + why);
        nodes.clear();
        finish(could_not_run);
    };
    add("side-a", "east");
    add("side-b", "west");
    for (const auto& started : nodes) {
        if (!started->wait_until_ready(15))
            fail(started->name() + " is not ready");
    }
    sleep_s(8);
    platform.take_copy();
    sleep_s(1);
    say("machine side-c is added");
    add("side-c", "east");
    if (!nodes.back()->wait_until_ready(15))
        fail("side-c is not ready");
    sleep_s(3);
    if (has_trouble()) {
        platform.come_back_from_copy(away_s);
    } else {
        sleep_s(away_s);
    }
    sleep_s(2);
    say("machine side-d is added");
    add("side-d", "west");
    if (!nodes.back()->wait_until_ready(15))
        fail("side-d is not ready");
    sleep_s(2);

    say("clients of the tenant start at side-a and side-d");
    std::atomic<bool> is_over = false;
    start_clients(history, nodes[0]->callers(), 40, 200, is_over);
    start_clients(history, nodes[3]->callers(), 40, 200, is_over);
    sleep_s(15);
    is_over = true;
    sleep_s(1.5);
    for (const auto& key : platform.own_keys())
        record().line("row %s", key.c_str());
    nodes.clear();
    judge_quota(history, rate, burst);
}
