/// @file
/// Load of one tenant at its quota, and the check of the rule QUOTA.
#pragma once

#include "standins.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace review {

constexpr double quota_window_s = 5;
constexpr double quota_over = 0.1;
constexpr double quota_slack = 20;

inline std::uint64_t rank(const std::string& node, const std::string& tenant)
{
    const auto seed = XXH3_64bits(node.data(), node.size());
    return XXH3_64bits_withSeed(tenant.data(), tenant.size(), seed);
}

/// Returns a tenant's name for which these nodes come first, in this order, in
/// the order in which the system picks the node that counts a tenant's
/// requests. Nothing else depends on it: the operator may name tenants as it
/// likes.
inline std::string
tenant_for(const std::vector<std::string>& first, std::vector<std::string> rest)
{
    for (int i = 1;; ++i) {
        const auto tenant = "tenant" + std::to_string(i);
        bool is_right = true;
        for (std::size_t k = 0; k + 1 < first.size(); ++k)
            is_right =
                is_right && rank(first[k], tenant) > rank(first[k + 1], tenant);
        for (const auto& other : rest)
            is_right =
                is_right && rank(first.back(), tenant) > rank(other, tenant);
        if (is_right)
            return tenant;
    }
}

inline std::string
quota_config(const std::string& tenant, double rate, double burst)
{
    return json::serialize(json::object{
        {"Version", "r3"},
        {"Routes", json::array{json::object{
                       {"Name", "lookup"},
                       {"Host", "shop.example"},
                       {"Prefix", "/look/"},
                       {"Kind", "idempotent"},
                       {"TimeoutMs", 1000},
                       {"GoalMs", 800},
                       {"Priority", 2},
                       {"Service", "front"},
                       {"Attempts", 2}}}},
        {"Services", json::array{json::object{
                         {"Name", "front"}, {"HealthPath", "/healthz"}}}},
        {"Limits",
         json::object{
             {"MaxHeaderBytes", 16384},
             {"MaxBodyBytes", 1000000},
             {"HeaderTimeoutMs", 5000},
             {"IdleTimeoutMs", 15000}}},
        {"Tenants", json::array{json::object{
                        {"Name", tenant},
                        {"ApiKeys", json::array{"key-of-the-tenant"}},
                        {"Priority", 1},
                        {"RatePerS", rate},
                        {"Burst", burst}}}}});
}

/// What became of the tenant's requests.
class tenant_history
{
public:
    void sent(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        requests_[id].sent_at = now_s();
        record().line("%s sent", id.c_str());
    }

    void ran(const std::string& id, const std::string& tenant)
    {
        const std::lock_guard lock(mutex_);
        auto& request = requests_[id];
        if (request.ran_at == 0)
            request.ran_at = now_s();
        record().line("%s runs for %s", id.c_str(), tenant.c_str());
    }

    void answered(const std::string& id, int status)
    {
        const std::lock_guard lock(mutex_);
        ++statuses_[status];
        record().line("%s answered %d", id.c_str(), status);
    }

    /// Finds the window in which most requests were both sent and run.
    std::pair<std::size_t, double> busiest_window()
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::pair<double, double>> ran;
        for (const auto& [id, request] : requests_) {
            if (request.ran_at > 0)
                ran.emplace_back(request.sent_at, request.ran_at);
        }
        std::sort(ran.begin(), ran.end());
        std::pair<std::size_t, double> most{0, 0};
        for (std::size_t i = 0; i < ran.size(); ++i) {
            const double start = ran[i].first;
            std::size_t count = 0;
            for (std::size_t k = i;
                 k < ran.size() && ran[k].first <= start + quota_window_s; ++k)
                count += ran[k].second <= start + quota_window_s ? 1 : 0;
            if (count > most.first)
                most = {count, start};
        }
        return most;
    }

    std::map<int, std::size_t> statuses()
    {
        const std::lock_guard lock(mutex_);
        return statuses_;
    }

private:
    struct request_times
    {
        double sent_at = 0;
        double ran_at = 0;
    };

    std::mutex mutex_;
    std::map<std::string, request_times> requests_;
    std::map<int, std::size_t> statuses_;
};

/// An endpoint's work: a few milliseconds and a short answer.
inline work_function quick_work(tenant_history& history)
{
    return [&history](const http_message& request, stream& connection) {
        const auto id = request.header("x-attempt-id");
        history.ran(id, request.header("x-tenant"));
        sleep_s(0.01);
        connection.send(format_message(
            "HTTP/1.1 200 OK", answer_headers(id), "page of " + id));
    };
}

/// Clients on one machine, each on a connection of its own, that together send
/// `per_s` requests a second. A refused one comes again as a new request.
inline void start_clients(
    tenant_history& history, std::uint16_t port, int clients, double per_s,
    std::atomic<bool>& is_over)
{
    for (int i = 0; i < clients; ++i) {
        std::thread([&history, &is_over, port, i, clients, per_s] {
            const double period = clients / per_s;
            double next = now_s() + period * i / clients;
            stream connection;
            while (!is_over) {
                sleep_s(next - now_s());
                next = std::max(next + period, now_s());
                if (!connection.is_open() && !connection.connect(port, 1)) {
                    sleep_s(0.1);
                    continue;
                }
                const auto id = new_id();
                history.sent(id);
                connection.send(client_request(
                    "/look/" + id, id, 3000, "key-of-the-tenant"));
                const auto answer = read_message(connection, now_s() + 3);
                history.answered(id, answer ? answer->status() : 0);
                if (!answer || answer->header("connection") == "close")
                    connection.close();
            }
        }).detach();
    }
}

/// Reports the busiest window and ends the script.
[[noreturn]] inline void
judge_quota(tenant_history& history, double rate, double burst)
{
    const double bound =
        (rate * quota_window_s + burst) * (1 + quota_over) + quota_slack;
    const auto [count, start] = history.busiest_window();
    std::string text = "answers:";
    for (const auto& [status, number] : history.statuses())
        text += " " + std::to_string(status) + " x " + std::to_string(number);
    say(text);
    char line[200];
    std::snprintf(
        line, sizeof line,
        "QUOTA: at most %zu requests of the tenant sent and run within %.0f s "
        "(from %.2f s), bound %.0f",
        count, quota_window_s, start, bound);
    say(line);
    if (history.statuses()[200] < 100) {
        say("could not run: too few requests were served");
        finish(could_not_run);
    }
    const bool is_broken = static_cast<double>(count) > bound;
    say(is_broken ? "rule broken" : "rule held");
    finish(is_broken ? rule_broken : rule_held);
}

} // namespace review
