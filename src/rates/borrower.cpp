#include "borrower.hpp"

#include <algorithm>
#include <cmath>

namespace fulmarjunction::detail {

namespace {

/// Time constant of the estimate of an account's demand at this node.
constexpr double demand_window_s = 0.5;

/// Fewer tokens ahead are not worth a question: they mostly expire unused.
constexpr double least_ahead = 2;

/// A new question is sent ahead when the tokens at hand last no longer.
constexpr double low_mark_s = 0.1;

/// How long a holder's word about its level is used to choose holders.
constexpr duration level_memory = seconds(2);

/// Pause of a holder that did not answer or holds no share any more.
constexpr duration silent_pause = seconds(1);

/// Shortest pause of a holder that denied tokens.
constexpr milliseconds shortest_pause{5};

/// How long after a pause only one holder is asked at a time.
constexpr duration probing_memory = seconds(10);

/// Denials after which requests are refused while probing.
constexpr std::uint32_t probing_denials = 2;

/// Tokens left at a holder that end the probing.
constexpr std::uint32_t plenty_left = 2;

/// Part of a loan's lifetime after which unspent tokens are returned. The rest
/// is left for the message to arrive.
constexpr double return_after = 0.75;

/// Most holders asked at once for one gap.
constexpr std::uint32_t most_at_once = 8;

constexpr milliseconds default_retry{500};

/// Holders asked at once after a number of denials: 1, 1, 2, 4, 8.
std::uint32_t fan_out(std::uint32_t denials)
{
    if (denials < 2)
        return 1;
    return std::min(most_at_once, 1U << std::min(denials - 1, 3U));
}

milliseconds round_up(duration span)
{
    return std::chrono::ceil<milliseconds>(span);
}

} // namespace

std::uint64_t borrower::next_random()
{
    // SplitMix64: deterministic for a seed, good enough to spread questions.
    random_ += 0x9e3779b97f4a7c15ULL;
    auto mixed = random_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

void borrower::set_holders(const std::vector<holder_place>& holders)
{
    std::map<instance_name, holder_info> kept;
    for (const auto& place : holders) {
        auto found = holders_.find(place.name);
        auto& info = kept[place.name];
        if (found != holders_.end())
            info = std::move(found->second);
        info.same_zone = place.same_zone;
    }
    holders_ = std::move(kept);
}

void borrower::note_demand(time_point now)
{
    demand_ *= std::exp(-to_seconds(now - at_) / demand_window_s);
    demand_ += 1 / demand_window_s;
    at_ = now;
}

void borrower::settle(const loan& ended, std::uint32_t unspent)
{
    const auto found = holders_.find(ended.lender);
    if (found == holders_.end())
        return;
    auto& waiting = found->second.settlements;
    waiting.push_back({{ended.id, unspent}, ended.expires});
    while (waiting.size() > max_settled_loans)
        waiting.pop_front();
}

std::vector<settled_loan>
borrower::take_settlements(const instance_name& lender, time_point now)
{
    std::vector<settled_loan> taken;
    const auto found = holders_.find(lender);
    if (found == holders_.end())
        return taken;
    for (const auto& waiting : found->second.settlements) {
        if (now < waiting.expires)
            taken.push_back(waiting.loan);
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

std::uint32_t borrower::tokens(time_point now) const
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
        settle(first, 0);
        loans_.pop_front();
    }
    return true;
}

bool borrower::wait(
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

std::optional<rate_ticket> borrower::serve_first()
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
    while (const auto ticket = serve_first()) {
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
        return default_retry;
    return std::max(milliseconds(1), round_up(wait));
}

std::uint32_t borrower::waited_for() const
{
    std::uint32_t sum = 0;
    for (const auto& [id, open] : questions_) {
        if (!open.late)
            sum += open.needed;
    }
    return sum;
}

std::uint32_t
borrower::wanted_ahead(const borrower_view& view, time_point now) const
{
    const auto faded =
        demand_ * std::exp(-to_seconds(now - at_) / demand_window_s);
    const auto demand = std::min(faded, view.plan_rate);
    const auto wanted = demand * view.ahead_s;
    if (wanted < least_ahead || now < probing_until_)
        return 0;
    auto at_hand = view.own_level + tokens(now);
    for (const auto& [id, open] : questions_) {
        if (!open.late)
            at_hand += open.ahead;
    }
    if (at_hand > demand * low_mark_s)
        return 0;
    return static_cast<std::uint32_t>(wanted - at_hand);
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
        if (info.asked || now < info.blocked_until)
            continue;
        const bool told = info.left && now - info.told < level_memory;
        const bool low = told && *info.left < wanted;
        // Known to be low: last, the richest first. Otherwise nearest first,
        // and within a zone spread at random.
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

void borrower::send_question(
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
    info.asked = true;
    questions_[message.id] = {to, now, message.needed, message.ahead};
    ++counters.borrows_sent;
    effects.send.push_back({to, std::move(message)});
}

void borrower::refuse_exhausted(
    const borrower_view& view, time_point now, rate_effects& effects,
    rate_counters& counters)
{
    const auto retry = retry_after(view, now);
    if (!holders_.empty()) {
        paused_until_ =
            now + std::min<duration>(retry, view.settings.max_pause);
        probing_until_ = paused_until_ + probing_memory;
    }
    denials_ = 0;
    refuse_all(retry, effects, counters);
}

void borrower::ask(
    const borrower_view& view, std::uint64_t& next_id, time_point now,
    rate_effects& effects, rate_counters& counters)
{
    const bool probing = now < probing_until_;
    if (probing && denials_ >= probing_denials && has_waiting()) {
        refuse_exhausted(view, now, effects, counters);
        return;
    }
    const auto open = waited_for();
    const auto count = static_cast<std::uint32_t>(waiting_.size());
    const auto needed = count > open ? count - open : 0;
    auto ahead = wanted_ahead(view, now);
    if ((needed == 0 && ahead == 0) || (probing && open != 0))
        return;
    std::vector<const instance_name*> names;
    const auto infos = candidates(needed + ahead, now, names);
    if (infos.empty()) {
        if (open == 0 && has_waiting())
            refuse_exhausted(view, now, effects, counters);
        return;
    }
    const auto at_once = probing ? 1U : fan_out(denials_);
    for (std::size_t i = 0; i != infos.size() && i != at_once; ++i) {
        send_question(
            view, *names[i], *infos[i], needed, ahead, next_id, now, effects,
            counters);
        ahead = 0;
        if (needed == 0)
            return;
    }
}

void borrower::close(const instance_name& holder)
{
    const auto found = holders_.find(holder);
    if (found != holders_.end())
        found->second.asked = false;
}

bool borrower::receive(
    const instance_name& from, const borrow_answer& message,
    const rate_settings& settings, time_point now)
{
    const auto found = questions_.find(message.id);
    if (found == questions_.end() || found->second.holder != from)
        return false;
    const auto open = found->second;
    questions_.erase(found);
    close(from);
    const auto holder = holders_.find(from);
    const auto lifetime =
        std::min(message.lifetime, settings.max_loan_lifetime);
    const auto expires = open.sent + lifetime;
    const bool usable = message.tokens != 0 && now < expires;
    if (usable) {
        const auto return_at =
            open.sent + from_seconds(return_after * to_seconds(lifetime));
        loans_.push_back(
            {from, message.id, message.tokens, expires, return_at});
        denials_ = 0;
        paused_until_ = now;
        // A holder with little left shows that the account is still short.
        if (message.left >= plenty_left)
            probing_until_ = now;
    }
    if (holder == holders_.end())
        return true;
    auto& info = holder->second;
    info.left = message.left;
    info.told = now;
    if (!message.holds_share)
        info.blocked_until = now + silent_pause;
    else if (message.tokens < open.needed)
        info.blocked_until =
            now + std::clamp<milliseconds>(
                      message.retry_after, shortest_pause, settings.max_pause);
    if (open.needed != 0 && message.tokens == 0) {
        ++denials_;
    }
    return true;
}

bool borrower::fail(const instance_name& to, std::uint64_t id, time_point now)
{
    const auto found = questions_.find(id);
    if (found == questions_.end() || found->second.holder != to)
        return false;
    questions_.erase(found);
    close(to);
    const auto holder = holders_.find(to);
    if (holder != holders_.end())
        holder->second.blocked_until = now + silent_pause;
    return true;
}

void borrower::poll(
    const borrower_view& view, std::uint64_t& next_id, time_point now,
    rate_effects& effects, rate_counters& counters)
{
    for (auto it = questions_.begin(); it != questions_.end();) {
        auto& open = it->second;
        if (!open.late && now - open.sent >= view.settings.answer_timeout) {
            open.late = true;
            const auto holder = holders_.find(open.holder);
            if (holder != holders_.end())
                holder->second.blocked_until = now + silent_pause;
        }
        const bool useless = now - open.sent >= view.settings.max_loan_lifetime;
        if (useless)
            close(open.holder);
        it = useless ? questions_.erase(it) : std::next(it);
    }
    drop_expired(now);
    counters.tokens_expired += std::exchange(expired_tokens_, 0);
    for (auto it = loans_.begin(); it != loans_.end();) {
        if (now < it->return_at) {
            ++it;
            continue;
        }
        settle(*it, it->tokens);
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
        const auto ticket = *serve_first();
        effects.resolved.push_back(
            {ticket, rate_verdict::refused, retry_after(view, now)});
        ++counters.refused;
    }
    if (has_waiting())
        ask(view, next_id, now, effects, counters);
}

time_point borrower::next_poll(const rate_settings& settings) const
{
    auto next = time_point::max();
    for (const auto& [id, open] : questions_) {
        const auto span =
            open.late ? settings.max_loan_lifetime : settings.answer_timeout;
        next = std::min(next, open.sent + span);
    }
    for (const auto& held : loans_)
        next = std::min(next, held.return_at);
    if (!waiting_.empty())
        next = std::min(next, waiting_.front().since + settings.max_wait);
    return next;
}

} // namespace fulmarjunction::detail
