/// @file
/// Runs the main use cases on a small deployment and checks the results.

#include <fulmarjunction/fixture/deployment.hpp>
#include <fulmarjunction/fixture/sample_lists.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <map>
#include <thread>

namespace fj = fulmarjunction;
namespace fixture = fulmarjunction::fixture;

namespace {

constexpr const char* large_account = "tartu-biogas";
constexpr const char* small_account = "rakvere-farm";
constexpr std::uint64_t large_body_bytes = 256ull * 1024 * 1024;
/// Limit on the growth of a node's peak memory while it relays a large
/// response.
constexpr std::int64_t max_memory_growth_kib = 8 * 1024;

/// Prints one row for each check and records whether all have passed.
class report
{
public:
    void
    row(const std::string& check, const std::string& sent,
        const std::string& observed, bool passed)
    {
        fmt::print(
            "{:<34} {:<34} {:<42} {}\n", check, sent, observed,
            passed ? "ok" : "FAILED");
        std::fflush(stdout);
        all_passed_ = all_passed_ && passed;
    }
    bool all_passed() const { return all_passed_; }

private:
    bool all_passed_ = true;
};

int count_status(const std::vector<fixture::caller_answer>& answers, int status)
{
    return static_cast<int>(std::count_if(
        answers.begin(), answers.end(),
        [status](const auto& answer) { return answer.status == status; }));
}

std::int64_t peak_resident_kib(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoll(line.substr(line.find(':') + 1));
    }
    return 0;
}

/// Returns the refusal and failure reasons with their counts.
std::string reasons(const std::vector<fixture::caller_answer>& answers)
{
    std::map<std::string, int> counts;
    for (const auto& answer : answers) {
        if (answer.status == 0 && answer.failure)
            ++counts[std::string(to_string(answer.failure->code))];
        else if (answer.status != 200)
            ++counts[answer.field("reason")];
    }
    std::string text;
    for (const auto& [reason, count] : counts)
        text += fmt::format(", {} {}", count, reason);
    return text;
}

/// The deployment and the keys of its two client accounts.
class demo
{
public:
    void run();
    bool all_passed() const { return report_.all_passed(); }

private:
    void start();
    void check_simple_calls();
    void check_call_chain();
    void check_keys();
    void check_rate_limit();
    void check_unique_request();
    void check_streaming();
    void check_planned_stop();
    void check_withdrawn_key();

    std::size_t count_runs(const std::string& id);
    fixture::caller_request get(const std::string& node, std::string target)
    {
        return {
            deployment_.node(node).callers, "GET", std::move(target),
            large_key_};
    }

    fixture::deployment deployment_;
    report report_;
    std::string large_key_;
    std::string small_key_;
};

void demo::start()
{
    deployment_.start_platform();
    deployment_.start_node({"notes-a", "tallinn-1", "notes"});
    deployment_.start_node({"notes-b", "rakvere", "notes"});
    deployment_.start_node({"transfers-a", "tallinn-1", "transfers"});
    const bool applied = deployment_.apply_lists(
        fixture::sample_accounts(), fixture::sample_plans());
    large_key_ = deployment_.create_key(large_account);
    small_key_ = deployment_.create_key(small_account);
    const bool ready = deployment_.wait_for_versions() &&
                       deployment_.wait_for_instances("notes", 2) &&
                       deployment_.wait_for_instances("transfers", 1) &&
                       deployment_.wait_for_shares(large_account) &&
                       deployment_.wait_for_shares(small_account);
    // The buckets of both accounts are full after burst / rate seconds.
    std::this_thread::sleep_for(fj::milliseconds(2100));
    report_.row(
        "deployment", "3 nodes, 2 services, 2 zones",
        applied && ready ? "ready" : "not ready", applied && ready);
}

void demo::check_simple_calls()
{
    std::vector<fixture::caller_request> requests;
    for (int i = 0; i != 60; ++i) {
        const auto* node = i % 3 == 0   ? "notes-a"
                           : i % 3 == 1 ? "notes-b"
                                        : "transfers-a";
        requests.push_back(get(node, fmt::format("/notes/{}", i)));
    }
    const auto answers = deployment_.external_caller().send_all(requests);
    const int answered = count_status(answers, 200);
    report_.row(
        "calls through every node", "60 lookups",
        fmt::format("{} answered{}", answered, reasons(answers)),
        answered == 60);
}

std::size_t demo::count_runs(const std::string& id)
{
    std::size_t runs = 0;
    for (auto* node : deployment_.nodes()) {
        for (const auto& run : deployment_.history(*node)) {
            if (run.id == id && run.account == large_account)
                ++runs;
        }
    }
    return runs;
}

void demo::check_call_chain()
{
    // The chain passes the service "notes" twice, so only 4 run at once.
    const auto request =
        get("notes-a",
            "/notes/top?id=chain&call=%2Ftransfers%2Fstate%3Fid%3Dchain%26"
            "call%3D%252Fnotes%252Fleaf%253Fid%253Dchain");
    std::vector<fixture::caller_answer> answers;
    for (int i = 0; i != 5; ++i) {
        const auto batch = deployment_.external_caller().send_all(
            std::vector<fixture::caller_request>(4, request));
        answers.insert(answers.end(), batch.begin(), batch.end());
    }
    const int answered = count_status(answers, 200);
    const auto runs = count_runs("chain");
    report_.row(
        "call chain of depth 3", "20 calls",
        fmt::format("{} answered, {} runs{}", answered, runs, reasons(answers)),
        answered == 20 && runs == 60);
}

void demo::check_keys()
{
    auto request = get("notes-a", "/notes/1");
    request.api_key.clear();
    const auto missing = deployment_.external_caller().send(request);
    request.api_key = large_key_ + "x";
    const auto wrong = deployment_.external_caller().send(request);
    report_.row(
        "no key, wrong key", "2 lookups",
        missing.field("reason") + ", " + wrong.field("reason"),
        missing.status == 401 && wrong.status == 401);

    request = get("notes-a", "/notes/1?key=" + large_key_);
    const auto in_target = deployment_.external_caller().send(request);
    bool key_leaked = false;
    for (auto* node : deployment_.nodes()) {
        for (const auto& run : deployment_.history(*node)) {
            key_leaked =
                key_leaked || (run.headers_json + run.target).find("fjk_") !=
                                  std::string::npos;
        }
    }
    report_.row(
        "key in the target", "1 lookup",
        in_target.field("reason") + (key_leaked ? ", a key reached a backend"
                                                : ", no backend saw a key"),
        in_target.field("reason") == "key_misplaced" && !key_leaked);

    request = get("notes-a", "/opening-hours");
    request.api_key.clear();
    const auto open = deployment_.external_caller().send(request);
    report_.row(
        "endpoint open to all", "1 call without a key",
        fmt::format("status {}", open.status), open.status == 200);
}

void demo::check_rate_limit()
{
    // The small plan allows 5 requests per second with a burst of 10.
    std::vector<fixture::caller_request> requests;
    for (int i = 0; i != 60; ++i) {
        auto request = get(i % 2 == 0 ? "notes-a" : "notes-b", "/notes/small");
        request.api_key = small_key_;
        requests.push_back(request);
    }
    const auto started = fj::clock::now();
    const auto answers = deployment_.external_caller().send_all(requests);
    const auto elapsed_s = fj::to_seconds(fj::clock::now() - started);
    const int answered = count_status(answers, 200);
    const int refused = count_status(answers, 429);
    report_.row(
        "account over its rate", "60 lookups at once, plan 5/s + 10",
        fmt::format("{} answered, {} refused", answered, refused),
        answered <= 10 + 5 * elapsed_s + 1 && answered + refused == 60);
}

void demo::check_unique_request()
{
    const auto keys = fixture::fetch_idempotency_keys(
        deployment_.external_caller(), deployment_.node("notes-a").callers,
        large_key_, 1);
    std::vector<fixture::caller_request> requests;
    for (const auto* node : {"notes-a", "notes-b", "transfers-a"}) {
        auto request = get(node, "/transfers/book?id=booking&work_ms=50");
        request.method = "POST";
        request.body = "{\"tonnes\":12}";
        request.headers.push_back(
            {"idempotency-key", keys.empty() ? "" : keys.front()});
        requests.push_back(request);
    }
    const auto answers = deployment_.external_caller().send_all(requests);
    const int answered = count_status(answers, 200);
    const auto runs = count_runs("booking");
    report_.row(
        "unique request", "1 booking sent to 3 nodes",
        fmt::format("{} answered, {} run", answered, runs),
        answered == 3 && runs == 1);
}

void demo::check_streaming()
{
    auto& node = deployment_.node("transfers-a");
    const auto before = peak_resident_kib(node.daemon->pid());
    auto request =
        get("transfers-a",
            fmt::format("/exports/ledger?body_bytes={}", large_body_bytes));
    request.timeout = fj::seconds(60);
    const auto answer = deployment_.external_caller().send(request);
    const auto growth_kib = peak_resident_kib(node.daemon->pid()) - before;
    report_.row(
        "export of 256 MiB", "1 export",
        fmt::format(
            "{} MiB, node grew by {} KiB", answer.body_bytes >> 20, growth_kib),
        answer.body_bytes == large_body_bytes &&
            growth_kib < max_memory_growth_kib);
}

void demo::check_planned_stop()
{
    auto& leaving = deployment_.node("notes-b");
    int sent = 0;
    int answered = 0;
    std::string failed;
    const auto started = fj::clock::now();
    bool is_signaled = false;
    while (fj::clock::now() - started < fj::seconds(5)) {
        std::vector<fixture::caller_request> requests(
            10, get("notes-a", "/notes/1?work_ms=40"));
        const auto answers = deployment_.external_caller().send_all(requests);
        sent += static_cast<int>(answers.size());
        answered += count_status(answers, 200);
        if (failed.empty())
            failed = reasons(answers);
        if (!is_signaled && fj::clock::now() - started > fj::seconds(1)) {
            leaving.daemon->send_signal(SIGTERM);
            is_signaled = true;
        }
    }
    const auto ended = leaving.daemon->wait(fj::seconds(30));
    const bool is_clean = ended && ended->code == 0;
    report_.row(
        "planned stop under load", fmt::format("{} lookups", sent),
        fmt::format(
            "{} answered, node {}{}", answered,
            is_clean ? "stopped" : "did not stop", failed),
        answered == sent && is_clean);
}

void demo::check_withdrawn_key()
{
    const auto id = large_key_.substr(4, large_key_.find('_', 4) - 4);
    const auto request = get("transfers-a", "/notes/1");
    const auto before = deployment_.external_caller().send(request);
    const auto withdrawn = deployment_.ctl({"keys", "withdraw", id});
    const auto started = fj::clock::now();
    fixture::caller_answer after;
    do {
        after = deployment_.external_caller().send(request);
    } while (after.status == 200 &&
             fj::clock::now() - started < fj::seconds(5));
    report_.row(
        "key withdrawn, same connection", "lookups until refused",
        fmt::format(
            "{} before, {} within 5 s", before.status, after.field("reason")),
        withdrawn.code == 0 && before.status == 200 && after.status == 401);
}

void demo::run()
{
    fmt::print("{:<34} {:<34} {:<42}\n", "what", "sent", "what came of it");
    start();
    check_simple_calls();
    check_call_chain();
    check_keys();
    check_rate_limit();
    check_unique_request();
    check_streaming();
    check_planned_stop();
    check_withdrawn_key();
}

} // namespace

int main()
{
    try {
        demo program;
        program.run();
        return program.all_passed() ? 0 : 1;
    } catch (const std::exception& error) {
        fmt::print(stderr, "demo failed: {}\n", error.what());
        return 1;
    }
}
