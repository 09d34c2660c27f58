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

/// Answer for accounts without a plan: only operators can change that.
constexpr milliseconds no_plan_retry{1000};

/// Nothing is claimed when the lease ends sooner.
constexpr duration least_lease_for_claims = seconds(1);

/// A loan must live long enough for an answer to travel between zones.
constexpr milliseconds shortest_loan{20};

/// Part of the time in which a share's burst refills that a loan may live:
/// loans then take up at most about half of the burst.
constexpr double loan_part_of_refill = 0.5;

/// Part of a loan's lifetime for which tokens are asked ahead; more would
/// mostly be returned unused.
constexpr double ahead_part_of_life = 0.75;

/// Denied borrowers come back after at most this part of the time in which
/// the bucket fills, so that it does not overflow meanwhile.
constexpr double denial_part_of_refill = 0.5;
constexpr milliseconds shortest_denial{50};

/// Rounding of times to whole milliseconds in messages.
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
milliseconds loan_lifetime(double refill_s, milliseconds longest)
{
    const auto part = from_seconds(loan_part_of_refill * refill_s);
    const auto least = std::min(shortest_loan, longest);
    return std::clamp(
        std::chrono::duration_cast<milliseconds>(part), least, longest);
}

/// Keeps the interval in which tokens come free for denied borrowers: each
/// is told a later time than the one before.
class denial_queue
{
public:
    milliseconds
    next(const share_bucket& bucket, milliseconds longest, time_point now)
    {
        const auto cap = std::clamp(
            std::chrono::duration_cast<milliseconds>(
                from_seconds(denial_part_of_refill * refill_seconds(bucket))),
            shortest_denial, std::max(shortest_denial, longest));
        const auto start = std::max(now + bucket.until_token(), next_token_);
        const auto told = std::min<time_point>(start, now + cap);
        if (bucket.rate() > 0)
            next_token_ =
                std::min(told + from_seconds(1 / bucket.rate()), now + cap);
        return std::chrono::ceil<milliseconds>(told - now);
    }

private:
    time_point next_token_;
};

/// All that a node keeps for one account.
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
    denial_queue denials;
    std::vector<instance_name> order;
    std::uint64_t order_generation = 0;
    std::optional<time_point> wake;
};

std::vector<instance_name>
by_weight(std::string_view key, std::vector<instance_name> candidates)
{
    return rendezvous_order(key, std::move(candidates));
}

/// All instances in order of preference: zones in turn, and within a zone by
/// rendezvous hash.
std::vector<instance_name> preference_order(
    const client_account& account, const std::vector<rate_member>& members)
{
    std::map<availability_zone, std::vector<instance_name>> by_zone;
    for (const auto& member : members)
        by_zone[member.zone].push_back(member.name);
    std::vector<std::string> zones;
    std::size_t deepest = 0;
    for (auto& [zone, names] : by_zone) {
        zones.push_back(zone);
        names = by_weight(account, std::move(names));
        deepest = std::max(deepest, names.size());
    }
    zones = by_weight(account, std::move(zones));
    std::vector<instance_name> order;
    order.reserve(members.size());
    for (std::size_t turn = 0; turn != deepest; ++turn) {
        for (const auto& zone : zones) {
            const auto& names = by_zone[zone];
            if (turn < names.size())
                order.push_back(names[turn]);
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
        const auto fill = 1 - std::max(1e-9, settings_.clock_rate_error);
        auto made =
            std::make_unique<account_entry>(account, fill, next_random(), now);
        return (accounts_[account] = std::move(made)).get();
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

    keeper_view view_of(const account_entry& account, time_point now) const
    {
        keeper_view view{settings_, self_,         account.name,
                         lapses_,   account.order, epoch_};
        view.may_claim = has_lease(now + least_lease_for_claims);
        view.stopping = stopping_;
        view.lent = account.bucket.lent();
        return view;
    }

    borrower_view borrow_view(const account_entry& account) const
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
            ahead_part_of_life * to_seconds(lifetime));
        return view;
    }

    /// Applies what the ledger and the lease allow at this moment.
    void refresh(account_entry& account, time_point now)
    {
        share_amount usable;
        if (has_lease(now))
            usable = account.keeper.usable(view_of(account, now));
        if (usable == account.bucket.amount())
            account.bucket.refill(now);
        else
            account.bucket.set_amount(usable, now);
    }

    void refresh_holders(account_entry& account)
    {
        std::vector<detail::borrower::holder_place> places;
        for (const auto& entry : account.keeper.ledger().shares) {
            if (entry.holder == self_.name)
                continue;
            places.push_back({entry.holder, is_in_own_zone(entry.holder)});
        }
        account.loans.set_holders(places);
    }

    bool is_in_own_zone(const instance_name& name) const
    {
        const auto found = std::find_if(
            members_->begin(), members_->end(),
            [&](const rate_member& member) { return member.name == name; });
        return found != members_->end() && found->zone == self_.zone;
    }

    /// Gives tokens to those that wait, then asks for what is missing.
    void serve(account_entry& account, time_point now, rate_effects& effects)
    {
        while (account.loans.has_waiting() && spend(account, now)) {
            const auto ticket = *account.loans.serve_first();
            effects.resolved.push_back(
                {ticket, rate_verdict::admitted, milliseconds(0)});
            ++counters_.admitted;
        }
        account.loans.ask(
            borrow_view(account), next_id_, now, effects, counters_);
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
        if (account.wake == next)
            return;
        if (account.wake)
            wakes_.erase({*account.wake, &account});
        account.wake.reset();
        if (next != time_point::max()) {
            account.wake = next;
            wakes_.insert({next, &account});
        }
    }

    void set_plan(
        const client_account& name, const std::optional<account_plan>& plan,
        time_point now)
    {
        auto* account = plan ? find_or_add(name, now) : find(name);
        if (account == nullptr)
            return;
        refresh(*account, now);
        account->keeper.set_plan(plan);
        refresh(*account, now);
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
        refresh(account, now);
        for (const auto& entry : account.keeper.ledger().shares)
            lapses_.expect(entry.holder, now);
        refresh_holders(account);
    }

    void renew_lease(time_point granted_until, time_point now)
    {
        // Others wait for the lapse of `settings_.lease`, never longer.
        const auto until =
            std::min<time_point>(granted_until, now + settings_.lease);
        if (lease_until_ && now >= *lease_until_)
            end_epoch(now);
        lease_until_ = lease_until_ ? std::max(*lease_until_, until) : until;
    }

    void end_epoch(time_point now)
    {
        for (auto& [name, account] : accounts_) {
            refresh(*account, now);
            account->bucket.clear(now);
        }
        ++epoch_;
        for (auto& [name, account] : accounts_)
            account->keeper.wake();
        ++counters_.lapses;
        lease_until_.reset();
        for (auto& [name, account] : accounts_)
            refresh(*account, now);
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
        refresh(*account, now);
        account->loans.note_demand(now);
        if (!account->loans.has_waiting() && spend(*account, now)) {
            decision.verdict = rate_verdict::admitted;
            ++counters_.admitted;
            serve(*account, now, decision.effects);
            return decision;
        }
        const auto ticket = ++next_ticket_;
        const auto view = borrow_view(*account);
        if (!account->loans.wait(ticket, view, now)) {
            decision.retry_after = account->loans.retry_after(view, now);
            ++counters_.refused;
            return decision;
        }
        tickets_[ticket] = account;
        serve(*account, now, decision.effects);
        settle_decision(ticket, decision);
        return decision;
    }

    /// Moves the end of the request's own wait into the decision.
    void settle_decision(rate_ticket ticket, take_decision& decision)
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
        refresh(*account, now);
        auto& bucket = account->bucket;
        for (const auto& loan : message.settled)
            bucket.settle(
                {from, message.incarnation, loan.id}, loan.unspent, now);
        answer.holds_share = bucket.amount().rate > 0;
        if (message.needed == 0 && message.ahead == 0)
            return answer;
        lend_from(*account, message, answer, now);
        answer.left = static_cast<std::uint32_t>(
            std::min<double>(bucket.level(), max_loan_tokens));
        if (answer.holds_share && answer.tokens < message.needed)
            answer.retry_after =
                account->denials.next(bucket, settings_.max_pause, now);
        return answer;
    }

    void lend_from(
        account_entry& account, const borrow_request& message,
        borrow_answer& answer, time_point now)
    {
        auto& bucket = account.bucket;
        const loan_key key{message.borrower, message.incarnation, message.id};
        if (const auto* known = bucket.find(key)) {
            // A duplicate gets the same answer; the borrower uses one.
            answer.tokens = known->tokens;
            answer.lifetime = known->lifetime;
            return;
        }
        const auto lifetime =
            loan_lifetime(refill_seconds(bucket), settings_.max_loan_lifetime);
        const auto held =
            from_seconds(detail::clock_margin * to_seconds(lifetime)) +
            message_rounding;
        // A loan must not outlive the lease that allows it.
        if (!has_lease(now + held))
            return;
        answer.tokens = bucket.lend(
            key, message.needed, message.ahead, lifetime, held, now);
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
        refresh(*account, now);
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
            !account->loans.fail(lost.to, lost.message.id, now))
            return effects;
        refresh(*account, now);
        serve(*account, now, effects);
        return effects;
    }

    rate_effects poll(time_point now)
    {
        rate_effects effects;
        while (!wakes_.empty() && wakes_.begin()->first <= now) {
            auto& account = *wakes_.begin()->second;
            wakes_.erase(wakes_.begin());
            account.wake.reset();
            refresh(account, now);
            account.loans.poll(
                borrow_view(account), next_id_, now, effects, counters_);
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
            if (account->keeper.is_quiet(now))
                continue;
            refresh(*account, now);
            auto change = account->keeper.plan_change(
                view_of(*account, now), next_change_ + 1, now);
            if (!change)
                continue;
            ++next_change_;
            ++counters_.changes;
            open_changes_[change->id] = account.get();
            // What the change lowers is applied before it is written.
            refresh(*account, now);
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
        refresh(account, now);
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
        const auto view = view_of(account, now);
        if (has_lease(now))
            state.usable = account.keeper.usable(view);
        state.level = account.bucket.level();
        state.lent = account.bucket.lent();
        state.borrowed = account.loans.tokens(now);
        state.waiting = account.loans.waiting();
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
    std::set<std::pair<time_point, account_entry*>> wakes_;
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
    if (impl_->wakes_.empty())
        return time_point::max();
    return impl_->wakes_.begin()->first;
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
        impl_->refresh(*account, now);
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
