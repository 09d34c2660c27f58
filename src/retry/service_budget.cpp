#include <fulmarjunction/retry/service_budget.hpp>

#include <algorithm>

namespace fulmarjunction {

namespace {

/// Maximum number of retries that a node accumulates from first attempts, so
/// that retries earned long ago are not spent in one burst.
constexpr double max_accumulated = 5;

} // namespace

service_budget::service_budget(service_budget_settings settings)
    : settings_(settings)
{
}

void service_budget::set_nodes(std::size_t count)
{
    nodes_ = std::max<std::size_t>(1, count);
}

double service_budget::slack_share() const
{
    return settings_.slack / static_cast<double>(nodes_);
}

service_budget::bucket&
service_budget::refill(const service_name& service, time_point now)
{
    const auto [at, is_new] = buckets_.try_emplace(service);
    auto& current = at->second;
    if (is_new)
        current.updated_at = now;
    const auto elapsed = to_seconds(now - current.updated_at);
    current.tokens += slack_share() * elapsed / to_seconds(settings_.window);
    current.tokens = std::min(current.tokens, max_accumulated + slack_share());
    current.updated_at = now;
    return current;
}

void service_budget::count_first_attempt(
    const service_name& service, time_point now)
{
    refill(service, now).tokens += settings_.ratio;
}

bool service_budget::spend(
    const service_name& service, double cost, time_point now)
{
    auto& current = refill(service, now);
    // A retry that costs more than the bucket can hold would never be allowed,
    // so the tokens may become negative. The next retry waits until the debt is
    // paid off.
    if (current.tokens < 1)
        return false;
    current.tokens -= cost;
    return true;
}

} // namespace fulmarjunction
