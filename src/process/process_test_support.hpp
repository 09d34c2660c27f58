/// @file
/// Helpers of the process tests.
#pragma once

#include <fulmarjunction/fixture/deployment.hpp>
#include <fulmarjunction/fixture/sample_lists.hpp>
#include <fulmarjunction/history/history.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace fulmarjunction::process_test {

constexpr const char* large_account = "tartu-biogas";
constexpr const char* small_account = "rakvere-farm";
/// The plan "small" of the sample lists.
constexpr double small_rate = 5;
constexpr double small_burst = 10;

inline std::int64_t now_us()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               clock::now().time_since_epoch())
        .count();
}

inline int
count_status(const std::vector<fixture::caller_answer>& answers, int status)
{
    return static_cast<int>(std::count_if(
        answers.begin(), answers.end(),
        [status](const auto& answer) { return answer.status == status; }));
}

inline void pause(duration length)
{
    std::this_thread::sleep_for(length);
}

/// Returns how many runs of the request with this id were started.
inline std::size_t count_runs(
    const std::vector<fixture::recorded_run>& runs, const std::string& id)
{
    return static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [&id](const auto& run) {
            return run.id == id;
        }));
}

/// Sends requests of the small account and checks that the admitted ones are
/// within its rate.
///
/// A request is admitted at an unknown time between the start and the end of
/// its batch. The end is recorded, and the tolerance is the number of tokens
/// that the plan's rate adds during the longest batch, so that admissions
/// within the plan never fail the check.
class rate_monitor
{
public:
    explicit rate_monitor(fixture::deployment& deployment)
        : deployment_(deployment)
    {
        history_.plans.push_back(
            {now_us(), small_account, small_rate, small_burst});
    }

    std::vector<fixture::caller_answer> send(
        const std::vector<std::string>& addresses, const std::string& key,
        int count, duration timeout = milliseconds(1000))
    {
        std::vector<fixture::caller_request> requests;
        for (int i = 0; i != count; ++i) {
            for (const auto& address : addresses) {
                fixture::caller_request request{
                    address, "GET", "/notes/1", key};
                request.timeout = timeout;
                requests.push_back(request);
            }
        }
        const auto start = now_us();
        auto answers = deployment_.external_caller().send_all(requests);
        const auto end = now_us();
        max_batch_us_ = std::max(max_batch_us_, end - start);
        for (const auto& answer : answers) {
            if (answer.status == 200)
                history_.admitted.push_back({end, small_account});
        }
        return answers;
    }

    std::vector<history_violation> violations() const
    {
        const auto tolerance =
            small_rate * static_cast<double>(max_batch_us_) / 1e6 + 1e-3;
        return check_rates(history_, tolerance);
    }
    std::size_t admitted() const { return history_.admitted.size(); }

private:
    fixture::deployment& deployment_;
    history history_;
    std::int64_t max_batch_us_ = 0;
};

} // namespace fulmarjunction::process_test
