#include <fulmarjunction/retry/service_budget.hpp>

#include <algorithm>

namespace fulmarjunction {

namespace {

/// Repeats that a node may save up from the ratio, in windows of first
/// requests: what was earned long ago must not be spent at once.
constexpr double max_saved = 5;

} // namespace

service_budget::service_budget(service_budget_settings settings)
    : settings_(settings)
{
}

void service_budget::set_nodes(std::size_t count)
{
    nodes_ = std::max<std::size_t>(1, count);
}

double service_budget::slack_part() const
{
    return settings_.slack / static_cast<double>(nodes_);
}

service_budget::account&
service_budget::refill(const service_name& service, time_point now)
{
    const auto [at, is_new] = accounts_.try_emplace(service);
    auto& current = at->second;
    if (is_new)
        current.updated_at = now;
    const auto passed = to_seconds(now - current.updated_at);
    current.tokens += slack_part() * passed / to_seconds(settings_.window);
    current.tokens = std::min(current.tokens, max_saved + slack_part());
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
    // A costly repeat may run the account into debt, or it would never be
    // allowed; the debt is paid before the next one.
    if (current.tokens < 1)
        return false;
    current.tokens -= cost;
    return true;
}

} // namespace fulmarjunction
