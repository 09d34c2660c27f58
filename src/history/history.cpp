#include <fulmarjunction/history/history.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace fulmarjunction {

namespace {

constexpr double microseconds_per_second = 1e6;

/// The largest rate and burst that may be in use from a time on.
struct limit_step
{
    std::int64_t from_us = 0;
    double rate = 0;
    double burst = 0;
};

/// A plan and the span in which some instance may apply it.
struct plan_span
{
    std::int64_t from_us = 0;
    std::int64_t to_us = 0;
    double rate = 0;
    double burst = 0;
};

constexpr std::int64_t end_of_time = INT64_MAX;

std::vector<plan_span> spans_of(std::vector<plan_event> events)
{
    std::stable_sort(
        events.begin(), events.end(),
        [](const plan_event& a, const plan_event& b) {
            return a.at_us < b.at_us;
        });
    std::vector<plan_span> spans;
    for (std::size_t i = 0; i != events.size(); ++i) {
        // Every earlier plan may be in use until a change after it settled.
        const bool last = i + 1 == events.size();
        const auto end =
            last ? end_of_time : events[i + 1].at_us + events[i + 1].settles_us;
        spans.push_back(
            {events[i].at_us, end, events[i].rate, events[i].burst});
    }
    return spans;
}

std::vector<limit_step> limits_of(const std::vector<plan_span>& spans)
{
    std::vector<std::int64_t> edges;
    for (const auto& span : spans) {
        edges.push_back(span.from_us);
        if (span.to_us != end_of_time)
            edges.push_back(span.to_us);
    }
    std::sort(edges.begin(), edges.end());
    edges.erase(std::unique(edges.begin(), edges.end()), edges.end());
    std::vector<limit_step> steps;
    for (const auto edge : edges) {
        limit_step step{edge, 0, 0};
        for (const auto& span : spans) {
            if (span.from_us > edge || edge >= span.to_us)
                continue;
            step.rate = std::max(step.rate, span.rate);
            step.burst = std::max(step.burst, span.burst);
        }
        steps.push_back(step);
    }
    return steps;
}

/// The largest excess over all intervals, by one pass: a bucket that holds
/// `burst` at most and fills with `rate` must never be overdrawn.
class strict_bucket
{
public:
    explicit strict_bucket(std::vector<limit_step> steps)
        : steps_(std::move(steps))
    {
    }

    /// Takes one token.
    /// @return by how much the bucket is overdrawn
    double take(std::int64_t at_us)
    {
        move_to(at_us);
        level_ -= 1;
        return -level_;
    }

private:
    void fill(std::int64_t to_us)
    {
        if (current_ != 0) {
            const auto& step = steps_[current_ - 1];
            const auto span = static_cast<double>(to_us - at_us_);
            level_ += step.rate * span / microseconds_per_second;
            level_ = std::min(level_, step.burst);
        }
        at_us_ = to_us;
    }

    void move_to(std::int64_t to_us)
    {
        while (current_ != steps_.size() && steps_[current_].from_us <= to_us) {
            fill(steps_[current_].from_us);
            const auto before =
                current_ == 0 ? 0.0 : steps_[current_ - 1].burst;
            const auto& next = steps_[current_];
            // A larger burst may be used at once as far as the promise for
            // intervals that begin now goes.
            level_ += std::max(0.0, next.burst - before);
            level_ = std::min(level_, next.burst);
            ++current_;
        }
        fill(to_us);
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
    strict_bucket bucket(limits_of(spans_of(std::move(plans))));
    double worst = tolerance;
    std::int64_t worst_at = 0;
    for (const auto at : times) {
        const auto over = bucket.take(at);
        if (over > worst) {
            worst = over;
            worst_at = at;
        }
    }
    if (worst > tolerance) {
        found.push_back(
            {"rate", account,
             std::to_string(worst) + " tokens over the plan at " +
                 std::to_string(worst_at) + " us"});
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
    for (auto& [account, list] : times) {
        const auto part =
            check_account(account, std::move(list), plans[account], tolerance);
        found.insert(found.end(), part.begin(), part.end());
    }
    return found;
}

std::vector<history_violation> check_not_run(const history& recorded)
{
    std::multimap<std::string, const run_event*> runs;
    for (const auto& run : recorded.runs)
        runs.emplace(run.request, &run);
    std::vector<history_violation> found;
    for (const auto& told : recorded.not_run) {
        const auto [first, last] = runs.equal_range(told.request);
        for (auto it = first; it != last; ++it) {
            const auto& run = *it->second;
            const bool same =
                !told.attempt.empty() && told.attempt == run.attempt;
            if (!same && run.at_us > told.at_us)
                continue;
            found.push_back(
                {"not_run", told.request,
                 "attempt '" + told.attempt + "' told at " +
                     std::to_string(told.at_us) + " us, but attempt '" +
                     run.attempt + "' ran at " + std::to_string(run.at_us) +
                     " us"});
        }
    }
    return found;
}

std::vector<history_violation> check_history(const history& recorded)
{
    auto found = check_runs(recorded);
    for (auto&& part : {check_rates(recorded), check_not_run(recorded)})
        found.insert(found.end(), part.begin(), part.end());
    return found;
}

} // namespace fulmarjunction
