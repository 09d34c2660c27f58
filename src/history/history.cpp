#include <fulmarjunction/history/history.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace fulmarjunction {

namespace {

constexpr double microseconds_per_second = 1e6;

/// The largest rate and burst that may be in use from a point in time.
struct limit_step
{
    std::int64_t from_us = 0;
    double rate = 0;
    double burst = 0;
};

/// A plan and the interval in which any instance may apply it.
struct plan_span
{
    std::int64_t from_us = 0;
    std::int64_t to_us = 0;
    double rate = 0;
    double burst = 0;
};

constexpr std::int64_t no_end = INT64_MAX;

std::vector<plan_span> make_plan_spans(std::vector<plan_event> events)
{
    std::stable_sort(
        events.begin(), events.end(),
        [](const plan_event& a, const plan_event& b) {
            return a.at_us < b.at_us;
        });
    std::vector<plan_span> spans;
    for (std::size_t i = 0; i != events.size(); ++i) {
        // A plan may be in use until the change that follows it has settled.
        const bool last = i + 1 == events.size();
        const auto end =
            last ? no_end : events[i + 1].at_us + events[i + 1].settles_us;
        spans.push_back(
            {events[i].at_us, end, events[i].rate, events[i].burst});
    }
    return spans;
}

std::vector<limit_step> make_limit_steps(const std::vector<plan_span>& spans)
{
    std::vector<std::int64_t> boundaries;
    for (const auto& span : spans) {
        boundaries.push_back(span.from_us);
        if (span.to_us != no_end)
            boundaries.push_back(span.to_us);
    }
    std::sort(boundaries.begin(), boundaries.end());
    boundaries.erase(
        std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
    std::vector<limit_step> steps;
    for (const auto boundary : boundaries) {
        limit_step step{boundary, 0, 0};
        for (const auto& span : spans) {
            if (span.from_us > boundary || boundary >= span.to_us)
                continue;
            step.rate = std::max(step.rate, span.rate);
            step.burst = std::max(step.burst, span.burst);
        }
        steps.push_back(step);
    }
    return steps;
}

/// Computes the largest excess over all intervals in one pass: a bucket that
/// holds at most `burst` tokens and refills at `rate` must never be overdrawn.
class token_bucket
{
public:
    explicit token_bucket(std::vector<limit_step> steps)
        : steps_(std::move(steps))
    {
    }

    /// Takes one token.
    /// @return the number of tokens by which the bucket is overdrawn
    double take(std::int64_t at_us)
    {
        advance_to(at_us);
        level_ -= 1;
        return -level_;
    }

private:
    void refill(std::int64_t to_us)
    {
        if (current_ != 0) {
            const auto& step = steps_[current_ - 1];
            const auto elapsed_us = static_cast<double>(to_us - at_us_);
            level_ += step.rate * elapsed_us / microseconds_per_second;
            level_ = std::min(level_, step.burst);
        }
        at_us_ = to_us;
    }

    void advance_to(std::int64_t to_us)
    {
        while (current_ != steps_.size() && steps_[current_].from_us <= to_us) {
            refill(steps_[current_].from_us);
            const auto previous_burst =
                current_ == 0 ? 0.0 : steps_[current_ - 1].burst;
            const auto& next = steps_[current_];
            // The bound on intervals that begin now allows the larger burst
            // to be used immediately.
            level_ += std::max(0.0, next.burst - previous_burst);
            level_ = std::min(level_, next.burst);
            ++current_;
        }
        refill(to_us);
    }

    std::vector<limit_step> steps_;
    std::size_t current_ = 0;
    std::int64_t at_us_ = 0;
    double level_ = 0;
};

std::vector<history_violation> check_account(
    const std::string& account, std::vector<std::int64_t> times,
    std::vector<plan_event> plans, double tolerance)
{
    std::vector<history_violation> found;
    std::sort(times.begin(), times.end());
    token_bucket bucket(make_limit_steps(make_plan_spans(std::move(plans))));
    double max_excess = tolerance;
    std::int64_t max_excess_at = 0;
    for (const auto at : times) {
        const auto excess = bucket.take(at);
        if (excess > max_excess) {
            max_excess = excess;
            max_excess_at = at;
        }
    }
    if (max_excess > tolerance) {
        found.push_back(
            {"rate", account,
             std::to_string(max_excess) + " tokens over the plan at " +
                 std::to_string(max_excess_at) + " us"});
    }
    return found;
}

} // namespace

std::vector<history_violation> check_runs(const history& recorded)
{
    std::map<std::string, std::size_t> runs;
    for (const auto& run : recorded.runs)
        ++runs[run.request];
    std::vector<history_violation> found;
    for (const auto& [request, count] : runs) {
        if (count > 1)
            found.push_back(
                {"runs", request, "ran " + std::to_string(count) + " times"});
    }
    return found;
}

std::vector<history_violation>
check_rates(const history& recorded, double tolerance)
{
    std::map<std::string, std::vector<std::int64_t>> times;
    std::map<std::string, std::vector<plan_event>> plans;
    for (const auto& event : recorded.admitted)
        times[event.account].push_back(event.at_us);
    for (const auto& event : recorded.plans)
        plans[event.account].push_back(event);
    std::vector<history_violation> found;
    for (auto& [account, account_times] : times) {
        const auto violations = check_account(
            account, std::move(account_times), plans[account], tolerance);
        found.insert(found.end(), violations.begin(), violations.end());
    }
    return found;
}

std::vector<history_violation> check_not_run(const history& recorded)
{
    std::multimap<std::string, const run_event*> runs;
    for (const auto& run : recorded.runs)
        runs.emplace(run.request, &run);
    std::vector<history_violation> found;
    for (const auto& report : recorded.not_run) {
        const auto [first, last] = runs.equal_range(report.request);
        for (auto it = first; it != last; ++it) {
            const auto& run = *it->second;
            const bool same =
                !report.attempt.empty() && report.attempt == run.attempt;
            if (!same && run.at_us > report.at_us)
                continue;
            found.push_back(
                {"not_run", report.request,
                 "attempt '" + report.attempt + "' reported as not run at " +
                     std::to_string(report.at_us) + " us, but attempt '" +
                     run.attempt + "' ran at " + std::to_string(run.at_us) +
                     " us"});
        }
    }
    return found;
}

std::vector<history_violation> check_history(const history& recorded)
{
    auto found = check_runs(recorded);
    for (auto&& violations : {check_rates(recorded), check_not_run(recorded)})
        found.insert(found.end(), violations.begin(), violations.end());
    return found;
}

} // namespace fulmarjunction
