#include "borrower.hpp"
#include "ledger_keeper.hpp"
#include "share_bucket.hpp"

#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/core/placement.hpp>
#include <fulmarjunction/rates/rate_limiter.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace fulmarjunction {

namespace {

using detail::borrower_view;
using detail::keeper_view;
using detail::loan_key;
using detail::share_bucket;

constexpr auto verdict_names = make_enum_table<rate_verdict>({
    {rate_verdict::admitted, "admitted"},
    {rate_verdict::waiting, "waiting"},
    {rate_verdict::refused, "refused"},
});

constexpr auto step_names = make_enum_table<ledger_step>({
    {ledger_step::claim, "claim"},
    {ledger_step::lower, "lower"},
    {ledger_step::raise, "raise"},
    {ledger_step::release, "release"},
    {ledger_step::takeover, "takeover"},
});

/// Retry delay for accounts without a plan; only operators can assign one.
constexpr milliseconds no_plan_retry{1000};

/// No share is claimed when less of the lease is left.
constexpr duration min_lease_for_claims = seconds(1);

/// A loan must last long enough for an answer to travel between zones.
constexpr milliseconds min_loan_lifetime{20};

/// Maximum lifetime of a loan as a fraction of the time in which a share's
/// burst refills. Loans then take up at most about half of the burst.
constexpr double loan_refill_fraction = 0.5;

/// Fraction of a loan's lifetime for which tokens are requested ahead. More
/// would mostly be returned unused.
constexpr double ahead_lifetime_fraction = 0.75;

/// Denied borrowers retry after at most this fraction of the time in which the
/// bucket fills, so that it does not overflow in the meantime.
constexpr double denial_refill_fraction = 0.5;
constexpr milliseconds min_denial_retry{50};

/// Maximum error from rounding times in messages to whole milliseconds.
constexpr duration message_rounding = milliseconds(1);

double refill_seconds(double rate, double burst)
{
    return rate > 0 ? burst / rate : 0;
}

double refill_seconds(const share_bucket& bucket)
{
    return refill_seconds(bucket.rate(), bucket.burst());
}

/// @param refill_s time in which a share's burst refills, in seconds
milliseconds loan_lifetime(double refill_s, milliseconds max_lifetime)
{
    const auto lifetime = from_seconds(loan_refill_fraction * refill_s);
    const auto min_lifetime = std::min(min_loan_lifetime, max_lifetime);
    return std::clamp(
        std::chrono::duration_cast<milliseconds>(lifetime), min_lifetime,
        max_lifetime);
}

/// Assigns retry times to denied borrowers, one token interval apart, so that
/// each of them retries later than the one before.
class denial_scheduler
{
public:
    milliseconds next_retry(
        const share_bucket& bucket, milliseconds max_delay, time_point now)
    {
        const auto cap = std::clamp(
            std::chrono::duration_cast<milliseconds>(
                from_seconds(denial_refill_fraction * refill_seconds(bucket))),
            min_denial_retry, std::max(min_denial_retry, max_delay));
        const auto start = std::max(now + bucket.until_token(), next_token_);
        const auto retry_at = std::min<time_point>(start, now + cap);
        if (bucket.rate() > 0)
            next_token_ =
                std::min(retry_at + from_seconds(1 / bucket.rate()), now + cap);
        return std::chrono::ceil<milliseconds>(retry_at - now);
    }

private:
    time_point next_token_;
};

/// State that a node keeps for one account.
struct account_entry
{
    account_entry(
        client_account account, double fill_factor, std::uint64_t seed,
        time_point now)
        : name(std::move(account)), bucket(fill_factor, now), loans(seed, now)
    {
    }

    client_account name;
    share_bucket bucket;
    detail::borrower loans;
    detail::ledger_keeper keeper;
    denial_scheduler denials;
    std::vector<instance_name> order;
    std::uint64_t order_generation = 0;
    std::optional<time_point> scheduled_poll;
};

std::vector<instance_name>
sort_by_weight(std::string_view key, std::vector<instance_name> candidates)
{
    return rendezvous_order(key, std::move(candidates));
}

/// Returns all instances in order of preference: alternating between zones,
/// and within a zone by rendezvous hash.
std::vector<instance_name> preference_order(
    const client_account& account, const std::vector<rate_member>& members)
{
    std::map<availability_zone, std::vector<instance_name>> by_zone;
    for (const auto& member : members)
        by_zone[member.zone].push_back(member.name);
    std::vector<std::string> zones;
    std::size_t max_zone_size = 0;
    for (auto& [zone, names] : by_zone) {
        zones.push_back(zone);
        names = sort_by_weight(account, std::move(names));
        max_zone_size = std::max(max_zone_size, names.size());
    }
    zones = sort_by_weight(account, std::move(zones));
    std::vector<instance_name> order;
    order.reserve(members.size());
    for (std::size_t position = 0; position != max_zone_size; ++position) {
        for (const auto& zone : zones) {
            const auto& names = by_zone[zone];
            if (position < names.size())
                order.push_back(names[position]);
        }
    }
    return order;
}

} // namespace

std::string_view to_string(rate_verdict value)
{
    return verdict_names.name(value);
}

std::string_view to_string(ledger_step value)
{
    return step_names.name(value);
}

std::vector<instance_name> preferred_holders(
    const client_account& account, const std::vector<rate_member>& members,
    std::uint32_t count)
{
    const auto order = preference_order(account, members);
    std::vector<instance_name> holders;
    for (std::uint32_t i = 0; i != count && !order.empty(); ++i)
        holders.push_back(order[i % order.size()]);
    return holders;
}

class rate_limiter::impl
{
public:
    impl(rate_settings settings, rate_member self, std::uint64_t seed)
        : settings_(settings), self_(std::move(self)), random_(seed),
          members_(std::make_shared<const std::vector<rate_member>>())
    {
    }

    account_entry* find(const client_account& account)
    {
        const auto found = accounts_.find(account);
        return found == accounts_.end() ? nullptr : found->second.get();
    }

    account_entry* find_or_add(const client_account& account, time_point now)
    {
        if (auto* known = find(account))
            return known;
        if (accounts_.size() >= settings_.max_accounts)
            return nullptr;
        const auto fill_factor = 1 - std::max(1e-9, settings_.clock_rate_error);
        auto added = std::make_unique<account_entry>(
            account, fill_factor, next_random(), now);
        return (accounts_[account] = std::move(added)).get();
    }

    std::uint64_t next_random()
    {
        random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
        return placement_hash(
            {reinterpret_cast<const char*>(&random_), sizeof random_});
    }

    bool has_lease(time_point now) const
    {
        return lease_until_ && now < *lease_until_;
    }

    keeper_view
    make_keeper_view(const account_entry& account, time_point now) const
    {
        keeper_view view{settings_, self_,         account.name,
                         lapses_,   account.order, epoch_};
        view.may_claim = has_lease(now + min_lease_for_claims);
        view.stopping = stopping_;
        view.lent = account.bucket.lent();
        return view;
    }

    borrower_view make_borrower_view(const account_entry& account) const
    {
        borrower_view view{settings_, self_, account.name};
        view.own_level = account.bucket.level();
        view.own_wait = account.bucket.until_token();
        const auto& plan = account.keeper.plan();
        if (!plan)
            return view;
        view.plan_rate = plan->rate;
        const auto lifetime = loan_lifetime(
            refill_seconds(plan->rate, plan->burst),
            settings_.max_loan_lifetime);
        view.ahead_s = std::min(
            to_seconds(settings_.ahead_window),
            ahead_lifetime_fraction * to_seconds(lifetime));
        return view;
    }

    /// Sets the bucket to the amount that the ledger and the lease allow now.
    void refresh_bucket(account_entry& account, time_point now)
    {
        share_amount usable;
        if (has_lease(now))
            usable = account.keeper.usable(make_keeper_view(account, now));
        if (usable == account.bucket.amount())
            account.bucket.refill(now);
        else
            account.bucket.set_amount(usable, now);
    }

    void refresh_holders(account_entry& account)
    {
        std::vector<detail::borrower::holder_location> holders;
        for (const auto& entry : account.keeper.ledger().shares) {
            if (entry.holder == self_.name)
                continue;
            holders.push_back({entry.holder, is_in_own_zone(entry.holder)});
        }
        account.loans.set_holders(holders);
    }

    bool is_in_own_zone(const instance_name& name) const
    {
        const auto found = std::find_if(
            members_->begin(), members_->end(),
            [&](const rate_member& member) { return member.name == name; });
        return found != members_->end() && found->zone == self_.zone;
    }

    /// Gives tokens to waiting requests, then requests loans for the rest.
    void serve(account_entry& account, time_point now, rate_effects& effects)
    {
        while (account.loans.has_waiting() && spend(account, now)) {
            const auto ticket = *account.loans.pop_first();
            effects.resolved.push_back(
                {ticket, rate_verdict::admitted, milliseconds(0)});
            ++counters_.admitted;
        }
        account.loans.request_loans(
            make_borrower_view(account), next_id_, now, effects, counters_);
        for (const auto& ended : effects.resolved)
            tickets_.erase(ended.ticket);
        schedule(account);
    }

    bool spend(account_entry& account, time_point now)
    {
        return account.loans.spend(now) || account.bucket.spend(now);
    }

    void schedule(account_entry& account)
    {
        const auto next = account.loans.next_poll(settings_);
        if (account.scheduled_poll == next)
            return;
        if (account.scheduled_poll)
            scheduled_polls_.erase({*account.scheduled_poll, &account});
        account.scheduled_poll.reset();
        if (next != time_point::max()) {
            account.scheduled_poll = next;
            scheduled_polls_.insert({next, &account});
        }
    }

    void set_plan(
        const client_account& name, const std::optional<account_plan>& plan,
        time_point now)
    {
        auto* account = plan ? find_or_add(name, now) : find(name);
        if (account == nullptr)
            return;
        refresh_bucket(*account, now);
        account->keeper.set_plan(plan);
        refresh_bucket(*account, now);
    }

    result<void> apply_ledger_row(
        const client_account& name, const boost::json::value& value,
        table_version version, time_point now)
    {
        BOOST_OUTCOME_TRY(auto ledger, parse_share_ledger(value));
        auto* account = find_or_add(name, now);
        if (account == nullptr)
            return fail(errc::budget_exhausted, "apply share ledger");
        if (account->keeper.apply(std::move(ledger), version))
            ledger_changed(*account, now);
        return boost::outcome_v2::success();
    }

    void ledger_changed(account_entry& account, time_point now)
    {
        refresh_bucket(account, now);
        for (const auto& entry : account.keeper.ledger().shares)
            lapses_.expect(entry.holder, now);
        refresh_holders(account);
    }

    void renew_lease(time_point granted_until, time_point now)
    {
        // Other nodes wait only for `settings_.lease` before a takeover, so
        // this node must not assume a longer lease.
        const auto until =
            std::min<time_point>(granted_until, now + settings_.lease);
        if (lease_until_ && now >= *lease_until_)
            end_epoch(now);
        lease_until_ = lease_until_ ? std::max(*lease_until_, until) : until;
    }

    void end_epoch(time_point now)
    {
        for (auto& [name, account] : accounts_) {
            refresh_bucket(*account, now);
            account->bucket.clear(now);
        }
        ++epoch_;
        for (auto& [name, account] : accounts_)
            account->keeper.wake();
        ++counters_.lapses;
        lease_until_.reset();
        for (auto& [name, account] : accounts_)
            refresh_bucket(*account, now);
    }

    take_decision take(const client_account& name, time_point now)
    {
        take_decision decision;
        auto* account = find(name);
        const bool usable_plan = account != nullptr && account->keeper.plan() &&
                                 share_count(*account->keeper.plan()) != 0;
        if (!usable_plan) {
            decision.retry_after = no_plan_retry;
            ++counters_.refused;
            return decision;
        }
        refresh_bucket(*account, now);
        account->loans.record_demand(now);
        if (!account->loans.has_waiting() && spend(*account, now)) {
            decision.verdict = rate_verdict::admitted;
            ++counters_.admitted;
            serve(*account, now, decision.effects);
            return decision;
        }
        const auto ticket = ++next_ticket_;
        const auto view = make_borrower_view(*account);
        if (!account->loans.enqueue(ticket, view, now)) {
            decision.retry_after = account->loans.retry_after(view, now);
            ++counters_.refused;
            return decision;
        }
        tickets_[ticket] = account;
        serve(*account, now, decision.effects);
        complete_decision(ticket, decision);
        return decision;
    }

    /// Moves the outcome of the request itself, if there is one yet, from the
    /// effects into the decision.
    void complete_decision(rate_ticket ticket, take_decision& decision)
    {
        auto& resolved = decision.effects.resolved;
        const auto found = std::find_if(
            resolved.begin(), resolved.end(),
            [ticket](const resolved_ticket& ended) {
                return ended.ticket == ticket;
            });
        if (found == resolved.end()) {
            decision.verdict = rate_verdict::waiting;
            decision.ticket = ticket;
            ++counters_.waited;
            return;
        }
        decision.verdict = found->verdict;
        decision.retry_after = found->retry_after;
        resolved.erase(found);
    }

    void cancel(rate_ticket ticket)
    {
        const auto found = tickets_.find(ticket);
        if (found == tickets_.end())
            return;
        found->second->loans.cancel(ticket);
        schedule(*found->second);
        tickets_.erase(found);
    }

    borrow_answer lend(
        const instance_name& from, const borrow_request& message,
        time_point now)
    {
        borrow_answer answer;
        answer.id = message.id;
        answer.account = message.account;
        auto* account = find(message.account);
        if (account == nullptr || from != message.borrower)
            return answer;
        refresh_bucket(*account, now);
        auto& bucket = account->bucket;
        for (const auto& loan : message.settled)
            bucket.settle(
                {from, message.incarnation, loan.id}, loan.unspent, now);
        answer.holds_share = bucket.amount().rate > 0;
        if (message.needed == 0 && message.ahead == 0)
            return answer;
        lend_tokens(*account, message, answer, now);
        answer.left = static_cast<std::uint32_t>(
            std::min<double>(bucket.level(), max_loan_tokens));
        if (answer.holds_share && answer.tokens < message.needed)
            answer.retry_after =
                account->denials.next_retry(bucket, settings_.max_pause, now);
        return answer;
    }

    void lend_tokens(
        account_entry& account, const borrow_request& message,
        borrow_answer& answer, time_point now)
    {
        auto& bucket = account.bucket;
        const loan_key key{message.borrower, message.incarnation, message.id};
        if (const auto* known = bucket.find(key)) {
            // A duplicate gets the same answer; the borrower uses only one.
            answer.tokens = known->tokens;
            answer.lifetime = known->lifetime;
            return;
        }
        const auto lifetime =
            loan_lifetime(refill_seconds(bucket), settings_.max_loan_lifetime);
        const auto hold =
            from_seconds(detail::clock_margin * to_seconds(lifetime)) +
            message_rounding;
        // A loan must not outlive the lease that allows it.
        if (!has_lease(now + hold))
            return;
        answer.tokens = bucket.lend(
            key, message.needed, message.ahead, lifetime, hold, now);
        answer.lifetime = lifetime;
        counters_.tokens_lent += answer.tokens;
    }

    rate_effects receive(
        const instance_name& from, const borrow_answer& message, time_point now)
    {
        rate_effects effects;
        auto* account = find(message.account);
        if (account == nullptr)
            return effects;
        refresh_bucket(*account, now);
        if (account->loans.receive(from, message, settings_, now)) {
            counters_.tokens_borrowed += message.tokens;
            serve(*account, now, effects);
        }
        return effects;
    }

    rate_effects delivery_failed(const outgoing_borrow& lost, time_point now)
    {
        rate_effects effects;
        auto* account = find(lost.message.account);
        if (account == nullptr ||
            !account->loans.delivery_failed(lost.to, lost.message.id, now))
            return effects;
        refresh_bucket(*account, now);
        serve(*account, now, effects);
        return effects;
    }

    rate_effects poll(time_point now)
    {
        rate_effects effects;
        while (!scheduled_polls_.empty() &&
               scheduled_polls_.begin()->first <= now) {
            auto& account = *scheduled_polls_.begin()->second;
            scheduled_polls_.erase(scheduled_polls_.begin());
            account.scheduled_poll.reset();
            refresh_bucket(account, now);
            account.loans.poll(
                make_borrower_view(account), next_id_, now, effects, counters_);
            serve(account, now, effects);
        }
        return effects;
    }

    void refresh_order(account_entry& account)
    {
        if (account.order_generation == generation_)
            return;
        account.order = preference_order(account.name, *members_);
        account.order_generation = generation_;
        account.keeper.wake();
    }

    std::vector<ledger_change> plan_changes(time_point now)
    {
        std::vector<ledger_change> changes;
        for (auto& [name, account] : accounts_) {
            refresh_order(*account);
            if (account->keeper.is_idle(now))
                continue;
            refresh_bucket(*account, now);
            auto change = account->keeper.plan_change(
                make_keeper_view(*account, now), next_change_ + 1, now);
            if (!change)
                continue;
            ++next_change_;
            ++counters_.changes;
            open_changes_[change->id] = account.get();
            // Amounts that the change lowers are applied before it is written.
            refresh_bucket(*account, now);
            changes.push_back(std::move(*change));
        }
        return changes;
    }

    void change_done(
        std::uint64_t id, const result<table_version>& committed,
        time_point now)
    {
        const auto found = open_changes_.find(id);
        if (found == open_changes_.end())
            return;
        auto& account = *found->second;
        open_changes_.erase(found);
        refresh_bucket(account, now);
        account.keeper.change_done(id, committed, next_random(), now);
        ledger_changed(account, now);
    }

    bool is_released() const
    {
        return std::none_of(
            accounts_.begin(), accounts_.end(), [&](const auto& entry) {
                return entry.second->keeper.holds_any(self_);
            });
    }

    rate_account_state
    account_state_of(const client_account& name, time_point now) const
    {
        rate_account_state state;
        const auto found = accounts_.find(name);
        if (found == accounts_.end())
            return state;
        const auto& account = *found->second;
        const auto view = make_keeper_view(account, now);
        if (has_lease(now))
            state.usable = account.keeper.usable(view);
        state.level = account.bucket.level();
        state.lent = account.bucket.lent();
        state.borrowed = account.loans.borrowed_tokens(now);
        state.waiting = account.loans.waiting_count();
        state.claimed_shares = account.keeper.ledger().shares.size();
        const auto& plan = account.keeper.plan();
        state.wanted_shares = plan ? share_count(*plan) : 0;
        return state;
    }

    void set_members(rate_members members)
    {
        members_ = std::move(members);
        ++generation_;
        for (auto& [name, account] : accounts_)
            refresh_holders(*account);
    }

private:
    friend class rate_limiter;

    rate_settings settings_;
    rate_member self_;
    std::uint64_t random_;
    rate_members members_;
    std::uint64_t generation_ = 1;
    std::unordered_map<client_account, std::unique_ptr<account_entry>>
        accounts_;
    std::set<std::pair<time_point, account_entry*>> scheduled_polls_;
    std::unordered_map<rate_ticket, account_entry*> tickets_;
    std::map<std::uint64_t, account_entry*> open_changes_;
    detail::lapse_tracker lapses_;
    std::optional<time_point> lease_until_;
    std::uint64_t epoch_ = 0;
    bool stopping_ = false;
    std::uint64_t next_id_ = 0;
    std::uint64_t next_change_ = 0;
    rate_ticket next_ticket_ = 0;
    rate_counters counters_;
};

rate_limiter::rate_limiter(
    rate_settings settings, rate_member self, std::uint64_t seed)
    : impl_(std::make_unique<impl>(settings, std::move(self), seed))
{
}

rate_limiter::~rate_limiter() = default;
rate_limiter::rate_limiter(rate_limiter&&) noexcept = default;
rate_limiter& rate_limiter::operator=(rate_limiter&&) noexcept = default;

void rate_limiter::set_plan(
    const client_account& account, const account_plan& plan, time_point now)
{
    impl_->set_plan(account, plan, now);
}

void rate_limiter::remove_plan(const client_account& account, time_point now)
{
    impl_->set_plan(account, std::nullopt, now);
}

void rate_limiter::set_members(rate_members members, time_point)
{
    impl_->set_members(std::move(members));
}

result<void> rate_limiter::apply_ledger_row(
    const client_account& account, const boost::json::value& value,
    table_version version, time_point now)
{
    return impl_->apply_ledger_row(account, value, version, now);
}

void rate_limiter::observe_instance(
    const observed_instance& seen, time_point now)
{
    impl_->lapses_.observe(seen, now);
}

void rate_limiter::renew_lease(time_point granted_until, time_point now)
{
    impl_->renew_lease(granted_until, now);
}

void rate_limiter::lose_lease(time_point now)
{
    impl_->end_epoch(now);
}

take_decision rate_limiter::take(const client_account& account, time_point now)
{
    return impl_->take(account, now);
}

void rate_limiter::cancel(rate_ticket ticket)
{
    impl_->cancel(ticket);
}

borrow_answer rate_limiter::lend(
    const instance_name& from, const borrow_request& message, time_point now)
{
    return impl_->lend(from, message, now);
}

rate_effects rate_limiter::receive(
    const instance_name& from, const borrow_answer& message, time_point now)
{
    return impl_->receive(from, message, now);
}

rate_effects
rate_limiter::delivery_failed(const outgoing_borrow& lost, time_point now)
{
    return impl_->delivery_failed(lost, now);
}

rate_effects rate_limiter::poll(time_point now)
{
    return impl_->poll(now);
}

time_point rate_limiter::next_poll() const
{
    if (impl_->scheduled_polls_.empty())
        return time_point::max();
    return impl_->scheduled_polls_.begin()->first;
}

std::vector<ledger_change> rate_limiter::plan_changes(time_point now)
{
    return impl_->plan_changes(now);
}

void rate_limiter::change_done(
    std::uint64_t id, const result<table_version>& committed, time_point now)
{
    impl_->change_done(id, committed, now);
}

void rate_limiter::begin_stop(time_point now)
{
    impl_->stopping_ = true;
    for (auto& [name, account] : impl_->accounts_) {
        account->keeper.wake();
        impl_->refresh_bucket(*account, now);
    }
}

bool rate_limiter::is_released() const
{
    return impl_->is_released();
}

rate_account_state
rate_limiter::account_state(const client_account& account, time_point now) const
{
    return impl_->account_state_of(account, now);
}

const rate_counters& rate_limiter::counters() const
{
    return impl_->counters_;
}

} // namespace fulmarjunction
