/// @file
/// Runs the main job of a small deployment and checks what came of it.

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
/// A node may hold little more after a large answer than before it.
constexpr std::int64_t flat_memory_kib = 8 * 1024;

/// Prints one row for each check and remembers whether all are as promised.
class report
{
public:
    void
    row(const std::string& what, const std::string& sent,
        const std::string& came, bool is_promised)
    {
        fmt::print(
            "{:<34} {:<34} {:<42} {}\n", what, sent, came,
            is_promised ? "ok" : "FAILED");
        std::fflush(stdout);
        all_promised_ = all_promised_ && is_promised;
    }
    bool all_promised() const { return all_promised_; }

private:
    bool all_promised_ = true;
};

int count_status(const std::vector<fixture::caller_answer>& answers, int status)
{
    return static_cast<int>(std::count_if(
        answers.begin(), answers.end(),
        [status](const auto& one) { return one.status == status; }));
}

std::int64_t resident_kib(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoll(line.substr(line.find(':') + 1));
    }
    return 0;
}

/// Returns the reasons of refusals with their counts.
std::string reasons(const std::vector<fixture::caller_answer>& answers)
{
    std::map<std::string, int> counts;
    for (const auto& one : answers) {
        if (one.status == 0 && one.failure)
            ++counts[std::string(to_string(one.failure->code))];
        else if (one.status != 200)
            ++counts[one.field("reason")];
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
    bool all_promised() const { return report_.all_promised(); }

private:
    void start();
    void simple_calls();
    void call_chain();
    void keys_are_checked();
    void rate_is_held();
    void unique_request_runs_once();
    void large_answer_streams();
    void planned_stop();
    void withdrawn_key();

    std::size_t runs_with(const std::string& id);
    fixture::caller_request get(const std::string& node, std::string target)
    {
        return {all_.node(node).callers, "GET", std::move(target), large_key_};
    }

    fixture::deployment all_;
    report report_;
    std::string large_key_;
    std::string small_key_;
};

void demo::start()
{
    all_.start_platform();
    all_.start_node({"notes-a", "tallinn-1", "notes"});
    all_.start_node({"notes-b", "rakvere", "notes"});
    all_.start_node({"transfers-a", "tallinn-1", "transfers"});
    const bool applied =
        all_.apply_lists(fixture::sample_accounts(), fixture::sample_plans());
    large_key_ = all_.create_key(large_account);
    small_key_ = all_.create_key(small_account);
    const bool ready = all_.wait_for_versions() &&
                       all_.wait_for_instances("notes", 2) &&
                       all_.wait_for_instances("transfers", 1) &&
                       all_.wait_for_shares(large_account) &&
                       all_.wait_for_shares(small_account);
    // The buckets of both accounts are full after burst / rate seconds.
    std::this_thread::sleep_for(fj::milliseconds(2100));
    report_.row(
        "deployment", "3 nodes, 2 services, 2 zones",
        applied && ready ? "ready" : "not ready", applied && ready);
}

void demo::simple_calls()
{
    std::vector<fixture::caller_request> requests;
    for (int i = 0; i != 60; ++i) {
        const auto* node = i % 3 == 0   ? "notes-a"
                           : i % 3 == 1 ? "notes-b"
                                        : "transfers-a";
        requests.push_back(get(node, fmt::format("/notes/{}", i)));
    }
    const auto answers = all_.external_caller().send_all(requests);
    const int answered = count_status(answers, 200);
    report_.row(
        "calls through every node", "60 lookups",
        fmt::format("{} answered{}", answered, reasons(answers)),
        answered == 60);
}

std::size_t demo::runs_with(const std::string& id)
{
    std::size_t runs = 0;
    for (auto* node : all_.nodes()) {
        for (const auto& run : all_.history(*node)) {
            if (run.id == id && run.account == large_account)
                ++runs;
        }
    }
    return runs;
}

void demo::call_chain()
{
    // The chain enters the service "notes" twice, so few run at once.
    const auto request =
        get("notes-a",
            "/notes/top?id=chain&call=%2Ftransfers%2Fstate%3Fid%3Dchain%26"
            "call%3D%252Fnotes%252Fleaf%253Fid%253Dchain");
    std::vector<fixture::caller_answer> answers;
    for (int i = 0; i != 5; ++i) {
        const auto some = all_.external_caller().send_all(
            std::vector<fixture::caller_request>(4, request));
        answers.insert(answers.end(), some.begin(), some.end());
    }
    const int answered = count_status(answers, 200);
    const auto runs = runs_with("chain");
    report_.row(
        "call chain of depth 3", "20 calls",
        fmt::format("{} answered, {} runs{}", answered, runs, reasons(answers)),
        answered == 20 && runs == 60);
}

void demo::keys_are_checked()
{
    auto request = get("notes-a", "/notes/1");
    request.api_key.clear();
    const auto missing = all_.external_caller().send(request);
    request.api_key = large_key_ + "x";
    const auto wrong = all_.external_caller().send(request);
    report_.row(
        "no key, wrong key", "2 lookups",
        missing.field("reason") + ", " + wrong.field("reason"),
        missing.status == 401 && wrong.status == 401);

    request = get("notes-a", "/notes/1?key=" + large_key_);
    const auto in_target = all_.external_caller().send(request);
    bool is_seen = false;
    for (auto* node : all_.nodes()) {
        for (const auto& run : all_.history(*node)) {
            is_seen = is_seen || (run.headers_json + run.target).find("fjk_") !=
                                     std::string::npos;
        }
    }
    report_.row(
        "key in the target", "1 lookup",
        in_target.field("reason") +
            (is_seen ? ", a key reached a backend" : ", no backend saw a key"),
        in_target.field("reason") == "key_misplaced" && !is_seen);

    request = get("notes-a", "/opening-hours");
    request.api_key.clear();
    const auto open = all_.external_caller().send(request);
    report_.row(
        "endpoint open to all", "1 call without a key",
        fmt::format("status {}", open.status), open.status == 200);
}

void demo::rate_is_held()
{
    // The small plan: 5 requests a second, 10 at once.
    std::vector<fixture::caller_request> requests;
    for (int i = 0; i != 60; ++i) {
        auto request = get(i % 2 == 0 ? "notes-a" : "notes-b", "/notes/small");
        request.api_key = small_key_;
        requests.push_back(request);
    }
    const auto started = fj::clock::now();
    const auto answers = all_.external_caller().send_all(requests);
    const auto took = fj::to_seconds(fj::clock::now() - started);
    const int answered = count_status(answers, 200);
    const int refused = count_status(answers, 429);
    report_.row(
        "account over its rate", "60 lookups at once, plan 5/s + 10",
        fmt::format("{} answered, {} refused", answered, refused),
        answered <= 10 + 5 * took + 1 && answered + refused == 60);
}

void demo::unique_request_runs_once()
{
    const auto keys = fixture::fetch_idempotency_keys(
        all_.external_caller(), all_.node("notes-a").callers, large_key_, 1);
    std::vector<fixture::caller_request> requests;
    for (const auto* node : {"notes-a", "notes-b", "transfers-a"}) {
        auto request = get(node, "/transfers/book?id=booking&work_ms=50");
        request.method = "POST";
        request.body = "{\"tonnes\":12}";
        request.headers.push_back(
            {"idempotency-key", keys.empty() ? "" : keys.front()});
        requests.push_back(request);
    }
    const auto answers = all_.external_caller().send_all(requests);
    const int answered = count_status(answers, 200);
    const auto runs = runs_with("booking");
    report_.row(
        "unique request", "1 booking sent to 3 nodes",
        fmt::format("{} answered, {} run", answered, runs),
        answered == 3 && runs == 1);
}

void demo::large_answer_streams()
{
    auto& node = all_.node("transfers-a");
    const auto before = resident_kib(node.daemon->pid());
    auto request =
        get("transfers-a",
            fmt::format("/exports/ledger?body_bytes={}", large_body_bytes));
    request.timeout = fj::seconds(60);
    const auto answer = all_.external_caller().send(request);
    const auto grown = resident_kib(node.daemon->pid()) - before;
    report_.row(
        "export of 256 MiB", "1 export",
        fmt::format(
            "{} MiB, node grew by {} KiB", answer.body_bytes >> 20, grown),
        answer.body_bytes == large_body_bytes && grown < flat_memory_kib);
}

void demo::planned_stop()
{
    auto& leaving = all_.node("notes-b");
    int sent = 0;
    int answered = 0;
    std::string failed;
    const auto begun = fj::clock::now();
    bool is_told = false;
    while (fj::clock::now() - begun < fj::seconds(5)) {
        std::vector<fixture::caller_request> requests(
            10, get("notes-a", "/notes/1?work_ms=40"));
        const auto answers = all_.external_caller().send_all(requests);
        sent += static_cast<int>(answers.size());
        answered += count_status(answers, 200);
        if (failed.empty())
            failed = reasons(answers);
        if (!is_told && fj::clock::now() - begun > fj::seconds(1)) {
            leaving.daemon->send_signal(SIGTERM);
            is_told = true;
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

void demo::withdrawn_key()
{
    const auto id = large_key_.substr(4, large_key_.find('_', 4) - 4);
    const auto request = get("transfers-a", "/notes/1");
    const auto before = all_.external_caller().send(request);
    const auto withdrawn = all_.ctl({"keys", "withdraw", id});
    const auto begun = fj::clock::now();
    fixture::caller_answer after;
    do {
        after = all_.external_caller().send(request);
    } while (after.status == 200 && fj::clock::now() - begun < fj::seconds(5));
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
    simple_calls();
    call_chain();
    keys_are_checked();
    rate_is_held();
    unique_request_runs_once();
    large_answer_streams();
    planned_stop();
    withdrawn_key();
}

} // namespace

int main()
{
    try {
        demo all;
        all.run();
        return all.all_promised() ? 0 : 1;
    } catch (const std::exception& thrown) {
        fmt::print(stderr, "demo failed: {}\n", thrown.what());
        return 1;
    }
}
