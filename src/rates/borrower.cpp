#include "borrower.hpp"

#include <algorithm>
#include <cmath>

namespace fulmarjunction::detail {

namespace {

/// Time constant of the estimate of an account's demand at this node.
constexpr double demand_window_s = 0.5;

/// Fewer tokens are not requested ahead, because they mostly expire unused.
constexpr double min_ahead_tokens = 2;

/// Tokens are requested ahead when the available ones cover no more demand
/// than this.
constexpr double low_watermark_s = 0.1;

/// How long a holder's reported level is used to choose holders.
constexpr duration level_hint_lifetime = seconds(2);

/// Time for which a holder that did not answer or holds no share is not
/// queried.
constexpr duration unresponsive_pause = seconds(1);

/// Minimum time for which a holder that denied tokens is not queried.
constexpr milliseconds min_pause{5};

/// Time after a pause in which only one holder is queried at a time.
constexpr duration probing_period = seconds(10);

/// Denials while probing after which waiting requests are refused.
constexpr std::uint32_t max_probing_denials = 2;

/// Tokens left at a holder from which on a loan ends the probing.
constexpr std::uint32_t min_left_to_stop_probing = 2;

/// Fraction of a loan's lifetime after which unspent tokens are returned. The
/// rest is left for the message to arrive.
constexpr double return_after_fraction = 0.75;

/// Maximum number of holders queried at once for the same missing tokens.
constexpr std::uint32_t max_parallel_requests = 8;

constexpr milliseconds default_retry_after{500};

/// Returns the number of holders queried at once after 0, 1, 2, ... denials:
/// 1, 1, 2, 4, 8.
std::uint32_t fan_out(std::uint32_t denials)
{
    if (denials < 2)
        return 1;
    return std::min(max_parallel_requests, 1U << std::min(denials - 1, 3U));
}

milliseconds ceil_to_milliseconds(duration span)
{
    return std::chrono::ceil<milliseconds>(span);
}

} // namespace

std::uint64_t borrower::next_random()
{
    // SplitMix64 is deterministic for a seed and random enough to spread
    // borrow requests over holders.
    random_state_ += 0x9e3779b97f4a7c15ULL;
    auto mixed = random_state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

void borrower::set_holders(const std::vector<holder_location>& holders)
{
    std::map<instance_name, holder_info> updated;
    for (const auto& holder : holders) {
        auto found = holders_.find(holder.name);
        auto& info = updated[holder.name];
        if (found != holders_.end())
            info = std::move(found->second);
        info.same_zone = holder.same_zone;
    }
    holders_ = std::move(updated);
}

void borrower::record_demand(time_point now)
{
    demand_ *=
        std::exp(-to_seconds(now - demand_updated_at_) / demand_window_s);
    demand_ += 1 / demand_window_s;
    demand_updated_at_ = now;
}

void borrower::queue_settlement(const loan& ended, std::uint32_t unspent)
{
    const auto found = holders_.find(ended.lender);
    if (found == holders_.end())
        return;
    auto& settlements = found->second.settlements;
    settlements.push_back({{ended.id, unspent}, ended.expires});
    while (settlements.size() > max_settled_loans)
        settlements.pop_front();
}

std::vector<settled_loan>
borrower::take_settlements(const instance_name& lender, time_point now)
{
    std::vector<settled_loan> taken;
    const auto found = holders_.find(lender);
    if (found == holders_.end())
        return taken;
    for (const auto& unsent : found->second.settlements) {
        if (now < unsent.expires)
            taken.push_back(unsent.loan);
    }
    found->second.settlements.clear();
    return taken;
}

void borrower::drop_expired(time_point now)
{
    std::erase_if(loans_, [&](const loan& held) {
        if (now < held.expires)
            return false;
        expired_tokens_ += held.tokens;
        return true;
    });
}

std::uint32_t borrower::borrowed_tokens(time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& held : loans_) {
        if (now < held.expires)
            sum += held.tokens;
    }
    return sum;
}

bool borrower::spend(time_point now)
{
    drop_expired(now);
    if (loans_.empty())
        return false;
    auto& first = loans_.front();
    first.tokens -= 1;
    if (first.tokens == 0) {
        queue_settlement(first, 0);
        loans_.pop_front();
    }
    return true;
}

bool borrower::enqueue(
    rate_ticket ticket, const borrower_view& view, time_point now)
{
    if (now < paused_until_ || waiting_.size() >= view.settings.max_waiting)
        return false;
    waiting_.push_back({ticket, now});
    return true;
}

bool borrower::cancel(rate_ticket ticket)
{
    return std::erase_if(waiting_, [ticket](const waiting_request& request) {
               return request.ticket == ticket;
           }) != 0;
}

std::optional<rate_ticket> borrower::pop_first()
{
    if (waiting_.empty())
        return std::nullopt;
    const auto ticket = waiting_.front().ticket;
    waiting_.pop_front();
    return ticket;
}

void borrower::refuse_all(
    milliseconds retry, rate_effects& effects, rate_counters& counters)
{
    while (const auto ticket = pop_first()) {
        effects.resolved.push_back({*ticket, rate_verdict::refused, retry});
        ++counters.refused;
    }
}

milliseconds
borrower::retry_after(const borrower_view& view, time_point now) const
{
    auto wait = view.own_wait;
    if (now < paused_until_) {
        wait = std::min<duration>(wait, paused_until_ - now);
    } else {
        for (const auto& [name, info] : holders_)
            wait = std::min<duration>(wait, info.blocked_until - now);
    }
    if (holders_.empty() && view.own_wait >= seconds(1))
        return default_retry_after;
    return std::max(milliseconds(1), ceil_to_milliseconds(wait));
}

std::uint32_t borrower::outstanding_needed() const
{
    std::uint32_t sum = 0;
    for (const auto& [id, request] : open_requests_) {
        if (!request.late)
            sum += request.needed;
    }
    return sum;
}

std::uint32_t
borrower::ahead_shortfall(const borrower_view& view, time_point now) const
{
    const auto decayed_demand =
        demand_ *
        std::exp(-to_seconds(now - demand_updated_at_) / demand_window_s);
    const auto demand = std::min(decayed_demand, view.plan_rate);
    const auto wanted = demand * view.ahead_s;
    if (wanted < min_ahead_tokens || now < probing_until_)
        return 0;
    auto available = view.own_level + borrowed_tokens(now);
    for (const auto& [id, request] : open_requests_) {
        if (!request.late)
            available += request.ahead;
    }
    if (available > demand * low_watermark_s)
        return 0;
    return static_cast<std::uint32_t>(wanted - available);
}

std::vector<borrower::holder_info*> borrower::candidates(
    std::uint32_t wanted, time_point now,
    std::vector<const instance_name*>& names)
{
    struct ranked
    {
        int group;
        std::uint64_t order;
        const instance_name* name;
        holder_info* info;
    };
    std::vector<ranked> found;
    for (auto& [name, info] : holders_) {
        if (info.has_open_request || now < info.blocked_until)
            continue;
        const bool hint_valid =
            info.left && now - info.left_reported_at < level_hint_lifetime;
        const bool low = hint_valid && *info.left < wanted;
        // Holders in the own zone come first, then those in other zones, both
        // in random order. Holders known to be low come last, those with the
        // most tokens first.
        const int group = low ? 2 : (info.same_zone ? 0 : 1);
        const auto order =
            low ? max_loan_tokens - std::uint64_t{*info.left} : next_random();
        found.push_back({group, order, &name, &info});
    }
    std::sort(found.begin(), found.end(), [](const ranked& a, const ranked& b) {
        return std::tie(a.group, a.order) < std::tie(b.group, b.order);
    });
    std::vector<holder_info*> infos;
    for (const auto& entry : found) {
        names.push_back(entry.name);
        infos.push_back(entry.info);
    }
    return infos;
}

void borrower::send_request(
    const borrower_view& view, const instance_name& to, holder_info& info,
    std::uint32_t needed, std::uint32_t ahead, std::uint64_t& next_id,
    time_point now, rate_effects& effects, rate_counters& counters)
{
    borrow_request message;
    message.id = ++next_id;
    message.borrower = view.self.name;
    message.incarnation = view.self.incarnation;
    message.account = view.account;
    message.needed = std::min(needed, max_loan_tokens);
    message.ahead = std::min(ahead, max_loan_tokens);
    message.settled = take_settlements(to, now);
    info.has_open_request = true;
    open_requests_[message.id] = {to, now, message.needed, message.ahead};
    ++counters.borrows_sent;
    effects.send.push_back({to, std::move(message)});
}

void borrower::pause_and_refuse(
    const borrower_view& view, time_point now, rate_effects& effects,
    rate_counters& counters)
{
    const auto retry = retry_after(view, now);
    if (!holders_.empty()) {
        paused_until_ =
            now + std::min<duration>(retry, view.settings.max_pause);
        probing_until_ = paused_until_ + probing_period;
    }
    denials_ = 0;
    refuse_all(retry, effects, counters);
}

void borrower::request_loans(
    const borrower_view& view, std::uint64_t& next_id, time_point now,
    rate_effects& effects, rate_counters& counters)
{
    const bool probing = now < probing_until_;
    if (probing && denials_ >= max_probing_denials && has_waiting()) {
        pause_and_refuse(view, now, effects, counters);
        return;
    }
    const auto outstanding = outstanding_needed();
    const auto count = static_cast<std::uint32_t>(waiting_.size());
    const auto needed = count > outstanding ? count - outstanding : 0;
    auto ahead = ahead_shortfall(view, now);
    if ((needed == 0 && ahead == 0) || (probing && outstanding != 0))
        return;
    std::vector<const instance_name*> names;
    const auto infos = candidates(needed + ahead, now, names);
    if (infos.empty()) {
        if (outstanding == 0 && has_waiting())
            pause_and_refuse(view, now, effects, counters);
        return;
    }
    const auto parallel_requests = probing ? 1U : fan_out(denials_);
    for (std::size_t i = 0; i != infos.size() && i != parallel_requests; ++i) {
        send_request(
            view, *names[i], *infos[i], needed, ahead, next_id, now, effects,
            counters);
        ahead = 0;
        if (needed == 0)
            return;
    }
}

void borrower::clear_open_request(const instance_name& holder)
{
    const auto found = holders_.find(holder);
    if (found != holders_.end())
        found->second.has_open_request = false;
}

bool borrower::receive(
    const instance_name& from, const borrow_answer& message,
    const rate_settings& settings, time_point now)
{
    const auto found = open_requests_.find(message.id);
    if (found == open_requests_.end() || found->second.holder != from)
        return false;
    const auto request = found->second;
    open_requests_.erase(found);
    clear_open_request(from);
    const auto holder = holders_.find(from);
    const auto lifetime =
        std::min(message.lifetime, settings.max_loan_lifetime);
    const auto expires = request.sent + lifetime;
    const bool usable = message.tokens != 0 && now < expires;
    if (usable) {
        const auto return_at =
            request.sent +
            from_seconds(return_after_fraction * to_seconds(lifetime));
        loans_.push_back(
            {from, message.id, message.tokens, expires, return_at});
        denials_ = 0;
        paused_until_ = now;
        // A holder with few tokens left indicates that the account still has
        // too few tokens.
        if (message.left >= min_left_to_stop_probing)
            probing_until_ = now;
    }
    if (holder == holders_.end())
        return true;
    auto& info = holder->second;
    info.left = message.left;
    info.left_reported_at = now;
    if (!message.holds_share)
        info.blocked_until = now + unresponsive_pause;
    else if (message.tokens < request.needed)
        info.blocked_until =
            now + std::clamp<milliseconds>(
                      message.retry_after, min_pause, settings.max_pause);
    if (request.needed != 0 && message.tokens == 0) {
        ++denials_;
    }
    return true;
}

bool borrower::delivery_failed(
    const instance_name& to, std::uint64_t id, time_point now)
{
    const auto found = open_requests_.find(id);
    if (found == open_requests_.end() || found->second.holder != to)
        return false;
    open_requests_.erase(found);
    clear_open_request(to);
    const auto holder = holders_.find(to);
    if (holder != holders_.end())
        holder->second.blocked_until = now + unresponsive_pause;
    return true;
}

void borrower::poll(
    const borrower_view& view, std::uint64_t& next_id, time_point now,
    rate_effects& effects, rate_counters& counters)
{
    for (auto it = open_requests_.begin(); it != open_requests_.end();) {
        auto& request = it->second;
        if (!request.late &&
            now - request.sent >= view.settings.answer_timeout) {
            request.late = true;
            const auto holder = holders_.find(request.holder);
            if (holder != holders_.end())
                holder->second.blocked_until = now + unresponsive_pause;
        }
        const bool expired =
            now - request.sent >= view.settings.max_loan_lifetime;
        if (expired)
            clear_open_request(request.holder);
        it = expired ? open_requests_.erase(it) : std::next(it);
    }
    drop_expired(now);
    counters.tokens_expired += std::exchange(expired_tokens_, 0);
    for (auto it = loans_.begin(); it != loans_.end();) {
        if (now < it->return_at) {
            ++it;
            continue;
        }
        queue_settlement(*it, it->tokens);
        borrow_request message;
        message.id = ++next_id;
        message.borrower = view.self.name;
        message.incarnation = view.self.incarnation;
        message.account = view.account;
        message.settled = take_settlements(it->lender, now);
        counters.tokens_returned += it->tokens;
        if (!message.settled.empty()) {
            ++counters.settlements_sent;
            effects.send.push_back({it->lender, std::move(message)});
        }
        it = loans_.erase(it);
    }
    while (!waiting_.empty() &&
           now - waiting_.front().since >= view.settings.max_wait) {
        const auto ticket = *pop_first();
        effects.resolved.push_back(
            {ticket, rate_verdict::refused, retry_after(view, now)});
        ++counters.refused;
    }
    if (has_waiting())
        request_loans(view, next_id, now, effects, counters);
}

time_point borrower::next_poll(const rate_settings& settings) const
{
    auto next = time_point::max();
    for (const auto& [id, request] : open_requests_) {
        const auto span =
            request.late ? settings.max_loan_lifetime : settings.answer_timeout;
        next = std::min(next, request.sent + span);
    }
    for (const auto& held : loans_)
        next = std::min(next, held.return_at);
    if (!waiting_.empty())
        next = std::min(next, waiting_.front().since + settings.max_wait);
    return next;
}

} // namespace fulmarjunction::detail
