#include "ledger_keeper.hpp"

#include <algorithm>

namespace fulmarjunction::detail {

namespace {

/// Delay between the claims of successive shares, so that their preferred
/// holders seldom write the same row at once.
constexpr duration claim_spacing = milliseconds(100);

/// Time for which each further instance in order waits for the one before it.
constexpr duration claim_fallback = seconds(5);

/// Number of instances in order of preference that may claim a share.
constexpr std::size_t claim_ranks = 3;

/// Time after which a node releases a surplus share whose preferred holder has
/// none.
constexpr duration rebalance_delay = seconds(5);

/// Interval at which an account with no change due is checked.
constexpr duration idle_period = seconds(1);

/// A change without a result is considered in doubt after this time.
constexpr duration change_timeout = seconds(10);

/// A share is claimed only with at least 1/4 of its target amount and raised
/// only by at least 1/10 of it, so that a plan that is still settling does not
/// cause many small writes.
constexpr std::int64_t min_claim_divisor = 4;
constexpr std::int64_t min_raise_divisor = 10;

constexpr std::int64_t one_token = 1000;

const std::string accounts_row = "catalog/accounts";
const std::string plans_row = "catalog/plans";

bool is_worth_claiming(const share_amount& amount, const share_amount& share)
{
    return amount.burst >= one_token && amount.rate > 0 &&
           amount.rate * min_claim_divisor >= share.rate &&
           amount.burst * min_claim_divisor >= share.burst;
}

bool is_worth_raising(
    const share_amount& from, const share_amount& to,
    const share_amount& target)
{
    if (from == to)
        return false;
    if (to == target)
        return true;
    const auto gain = to - from;
    return gain.rate * min_raise_divisor >= target.rate ||
           gain.burst * min_raise_divisor >= target.burst;
}

void erase_index(share_ledger& ledger, std::uint32_t index)
{
    std::erase_if(ledger.shares, [index](const share_entry& entry) {
        return entry.index == index;
    });
}

void insert_entry(share_ledger& ledger, const share_entry& entry)
{
    erase_index(ledger, entry.index);
    const auto position = std::find_if(
        ledger.shares.begin(), ledger.shares.end(),
        [&](const share_entry& other) { return other.index > entry.index; });
    ledger.shares.insert(position, entry);
}

share_entry own_entry(
    std::uint32_t index, const share_amount& amount, const keeper_view& view)
{
    share_entry entry;
    entry.index = index;
    entry.holder = view.self.name;
    entry.incarnation = view.self.incarnation;
    entry.epoch = view.epoch;
    entry.lease = view.settings.lease;
    entry.amount = amount;
    return entry;
}

} // namespace

bool ledger_keeper::apply(share_ledger ledger, table_version version)
{
    if (version <= version_)
        return false;
    ledger_ = std::move(ledger);
    version_ = version;
    wake();
    // A write that is conditional on an older version cannot succeed any more.
    std::erase_if(bounds_, [version](const bound& pending) {
        return pending.expected < version;
    });
    return true;
}

bool ledger_keeper::is_own(
    const share_entry& entry, const keeper_view& view) const
{
    return entry.holder == view.self.name &&
           entry.incarnation == view.self.incarnation;
}

bool ledger_keeper::is_usable(
    const share_entry& entry, const keeper_view& view) const
{
    return is_own(entry, view) && entry.epoch == view.epoch;
}

bool ledger_keeper::is_in_plan(
    const share_entry& entry, const keeper_view& view) const
{
    return plan_ && !view.stopping && entry.index < share_count(*plan_);
}

share_amount ledger_keeper::own_sum(
    const share_ledger& ledger, const keeper_view& view) const
{
    share_amount sum;
    for (const auto& entry : ledger.shares) {
        if (is_usable(entry, view) && is_in_plan(entry, view))
            sum = sum + lower_of(entry.amount, share_of(*plan_));
    }
    return sum;
}

share_amount ledger_keeper::usable(const keeper_view& view) const
{
    auto sum = own_sum(ledger_, view);
    for (const auto& pending : bounds_)
        sum = lower_of(sum, own_sum(pending.written, view));
    return sum;
}

bool ledger_keeper::holds_any(const rate_member& self) const
{
    return std::any_of(
        ledger_.shares.begin(), ledger_.shares.end(),
        [&](const share_entry& entry) {
            return entry.holder == self.name &&
                   entry.incarnation == self.incarnation;
        });
}

std::size_t ledger_keeper::own_entry_count(const keeper_view& view) const
{
    return static_cast<std::size_t>(std::count_if(
        ledger_.shares.begin(), ledger_.shares.end(),
        [&](const share_entry& entry) { return is_usable(entry, view); }));
}

share_amount ledger_keeper::available(const share_ledger& ledger) const
{
    return plan_ ? to_amount(*plan_) - ledger.sum() : share_amount{};
}

/// Lowers or releases own entries that exceed the plan.
void ledger_keeper::draft_lower(draft& change, const keeper_view& view)
{
    const auto lowered_sum = usable(view);
    if (view.lent * 1000 > static_cast<double>(lowered_sum.burst)) {
        waits_for_loans_ = true;
        return;
    }
    for (const auto& entry : ledger_.shares) {
        if (!is_own(entry, view))
            continue;
        if (!is_in_plan(entry, view)) {
            erase_index(change.ledger, entry.index);
            change.step = ledger_step::release;
        } else if (!fits(entry.amount, share_of(*plan_))) {
            auto& lowered = *change.ledger.find(entry.index);
            lowered.amount = lower_of(entry.amount, share_of(*plan_));
            if (!change.step)
                change.step = ledger_step::lower;
        }
    }
}

/// Removes entries of lapsed holders whose index the plan no longer has.
void ledger_keeper::draft_removal(
    draft& change, const keeper_view& view, time_point now) const
{
    const auto count = plan_ ? share_count(*plan_) : 0;
    if (view.order.empty() || view.stopping)
        return;
    for (const auto& entry : ledger_.shares) {
        const auto position = count == 0 ? 0 : entry.index % count;
        const bool is_assigned =
            view.order[position % view.order.size()] == view.self.name;
        if (entry.index < count || is_own(entry, view) || !is_assigned)
            continue;
        if (!view.lapses.has_lapsed(entry, now))
            continue;
        erase_index(change.ledger, entry.index);
        change.conditions.push_back(view.lapses.condition(entry.holder));
        change.step = ledger_step::takeover;
    }
}

/// Claims own entries of an earlier epoch again.
void ledger_keeper::draft_reclaim(draft& change, const keeper_view& view) const
{
    for (const auto& entry : ledger_.shares) {
        if (!is_own(entry, view) || is_usable(entry, view))
            continue;
        erase_index(change.ledger, entry.index);
        const auto amount =
            lower_of(share_of(*plan_), available(change.ledger));
        change.step = ledger_step::claim;
        if (is_worth_claiming(amount, share_of(*plan_)))
            insert_entry(change.ledger, own_entry(entry.index, amount, view));
    }
}

bool ledger_keeper::is_claim_due(
    std::uint32_t index, const keeper_view& view, time_point now)
{
    const auto size = view.order.size();
    const auto self =
        std::find(view.order.begin(), view.order.end(), view.self.name);
    if (self == view.order.end())
        return false;
    const auto position = static_cast<std::size_t>(self - view.order.begin());
    const auto rank = (position + size - index % size) % size;
    if (rank >= claim_ranks)
        return false;
    const auto since = free_since_.try_emplace(index, now).first->second;
    const auto delay = index * claim_spacing + rank * claim_fallback;
    return now - since >= delay;
}

/// Claims free shares and takes over those of lapsed holders.
void ledger_keeper::draft_claims(
    draft& change, const keeper_view& view, time_point now)
{
    if (view.order.empty())
        return;
    const auto share = share_of(*plan_);
    for (std::uint32_t index = 0; index != share_count(*plan_); ++index) {
        const auto* entry = change.ledger.find(index);
        const bool own = entry != nullptr && is_own(*entry, view);
        const bool lapsed =
            entry != nullptr && !own && view.lapses.has_lapsed(*entry, now);
        if (entry != nullptr && !lapsed) {
            free_since_.erase(index);
            continue;
        }
        if (!is_claim_due(index, view, now))
            continue;
        auto remaining = change.ledger;
        erase_index(remaining, index);
        const auto amount = lower_of(share, available(remaining));
        if (!is_worth_claiming(amount, share))
            continue;
        if (lapsed)
            change.conditions.push_back(view.lapses.condition(entry->holder));
        insert_entry(remaining, own_entry(index, amount, view));
        change.ledger = std::move(remaining);
        if (!change.step)
            change.step = lapsed ? ledger_step::takeover : ledger_step::claim;
    }
}

void ledger_keeper::draft_raise(draft& change, const keeper_view& view) const
{
    const auto share = share_of(*plan_);
    for (auto& entry : change.ledger.shares) {
        // draft_lower delays lowering this entry until its loans have ended.
        if (!is_usable(entry, view) || !fits(entry.amount, share))
            continue;
        const auto target =
            lower_of(share, entry.amount + available(change.ledger));
        if (!is_worth_raising(entry.amount, target, share))
            continue;
        entry.amount = target;
        if (!change.step)
            change.step = ledger_step::raise;
    }
}

/// Releases one of several own shares whose preferred holder has none.
void ledger_keeper::draft_rebalance(
    draft& change, const keeper_view& view, time_point now)
{
    const auto holds = [&](const instance_name& name) {
        return std::any_of(
            ledger_.shares.begin(), ledger_.shares.end(),
            [&](const share_entry& entry) { return entry.holder == name; });
    };
    const share_entry* surplus = nullptr;
    if (own_entry_count(view) >= 2 && !view.order.empty()) {
        for (const auto& entry : ledger_.shares) {
            const auto& preferred = view.order[entry.index % view.order.size()];
            if (is_usable(entry, view) && !holds(preferred))
                surplus = &entry;
        }
    }
    if (surplus == nullptr) {
        surplus_since_.reset();
        return;
    }
    if (!surplus_since_)
        surplus_since_ = now;
    if (now - *surplus_since_ < rebalance_delay)
        return;
    auto released = change.ledger;
    erase_index(released, surplus->index);
    const auto remaining = own_sum(released, view);
    if (view.lent * 1000 > static_cast<double>(remaining.burst))
        return;
    change.ledger = std::move(released);
    change.step = ledger_step::release;
    surplus_since_ = now;
}

std::optional<ledger_change> ledger_keeper::plan_change(
    const keeper_view& view, std::uint64_t id, time_point now)
{
    if (pending_ && now - pending_->since >= change_timeout)
        pending_.reset();
    if (pending_ || now < retry_at_ || now < idle_until_)
        return std::nullopt;
    draft change{ledger_, std::nullopt, {}};
    waits_for_loans_ = false;
    draft_lower(change, view);
    draft_removal(change, view, now);
    const bool can_raise =
        !change.step && view.may_claim && !view.stopping && plan_;
    if (can_raise) {
        draft_reclaim(change, view);
        draft_claims(change, view, now);
        draft_raise(change, view);
        if (change.step) {
            change.conditions.push_back(
                {accounts_row, plan_->accounts_version});
            change.conditions.push_back({plans_row, plan_->plans_version});
        } else {
            draft_rebalance(change, view, now);
        }
    }
    if (!change.step) {
        // No share is free and none has to be lowered. Without a call of
        // `wake`, only a lapse, which takes seconds, can make a change due.
        if (free_since_.empty() && !waits_for_loans_)
            idle_until_ = now + idle_period;
        return std::nullopt;
    }
    pending_ = pending_change{id, change.ledger, now};
    return make_change(std::move(change), view, id);
}

ledger_change ledger_keeper::make_change(
    draft change, const keeper_view& view, std::uint64_t id)
{
    // The write may take effect at any time from here on, so the amounts that
    // it lowers are applied now. Those that it raises are applied once the row
    // has been read.
    const bool known_bound =
        std::any_of(bounds_.begin(), bounds_.end(), [&](const bound& other) {
            return other.expected == version_ && other.written == change.ledger;
        });
    if (!known_bound)
        bounds_.push_back({version_, change.ledger});
    ledger_change prepared;
    prepared.id = id;
    prepared.account = view.account;
    prepared.step = *change.step;
    const auto key = share_row_key(view.account);
    prepared.transaction.conditions.push_back({key, version_});
    for (auto& condition : change.conditions) {
        const auto known = std::any_of(
            prepared.transaction.conditions.begin(),
            prepared.transaction.conditions.end(),
            [&](const row_condition& other) {
                return other.key == condition.key;
            });
        if (!known)
            prepared.transaction.conditions.push_back(std::move(condition));
    }
    prepared.transaction.writes.push_back({key, to_json(change.ledger)});
    return prepared;
}

void ledger_keeper::change_done(
    std::uint64_t id, const result<table_version>& committed,
    std::uint64_t jitter, time_point now)
{
    if (!pending_ || pending_->id != id)
        return;
    const auto written = std::move(pending_->written);
    pending_.reset();
    if (committed) {
        apply(written, committed.value());
        return;
    }
    const bool conflict = committed.error().code == errc::conflict;
    const auto spread = milliseconds(jitter % 400);
    retry_at_ = now + (conflict ? milliseconds(100) : seconds(1)) + spread;
}

} // namespace fulmarjunction::detail
