/// @file
/// What the process tests share.
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
        [status](const auto& one) { return one.status == status; }));
}

inline void pause(duration length)
{
    std::this_thread::sleep_for(length);
}

/// Returns how often a request with this id began to run.
inline std::size_t count_runs(
    const std::vector<fixture::recorded_run>& runs, const std::string& id)
{
    return static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [&id](const auto& run) {
            return run.id == id;
        }));
}

/// Sends requests of the small account and checks what was admitted.
///
/// A request was admitted at some time between the start and the end of its
/// batch. The end is recorded, and the tolerance is what the plan's rate gives
/// in the longest batch, so that an admission inside the plan never fails the
/// check.
class rate_watch
{
public:
    explicit rate_watch(fixture::deployment& all) : all_(all)
    {
        recorded_.plans.push_back(
            {now_us(), small_account, small_rate, small_burst});
    }

    std::vector<fixture::caller_answer> send(
        const std::vector<std::string>& addresses, const std::string& key,
        int count, duration timeout = milliseconds(1000))
    {
        std::vector<fixture::caller_request> requests;
        for (int i = 0; i != count; ++i) {
            for (const auto& to : addresses) {
                fixture::caller_request request{to, "GET", "/notes/1", key};
                request.timeout = timeout;
                requests.push_back(request);
            }
        }
        const auto begun = now_us();
        auto answers = all_.external_caller().send_all(requests);
        const auto ended = now_us();
        longest_us_ = std::max(longest_us_, ended - begun);
        for (const auto& one : answers) {
            if (one.status == 200)
                recorded_.admitted.push_back({ended, small_account});
        }
        return answers;
    }

    std::vector<history_violation> violations() const
    {
        const auto tolerance =
            small_rate * static_cast<double>(longest_us_) / 1e6 + 1e-3;
        return check_rates(recorded_, tolerance);
    }
    std::size_t admitted() const { return recorded_.admitted.size(); }

private:
    fixture::deployment& all_;
    history recorded_;
    std::int64_t longest_us_ = 0;
};

} // namespace fulmarjunction::process_test
