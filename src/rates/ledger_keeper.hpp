#pragma once

#include "lapse_tracker.hpp"

#include <fulmarjunction/rates/rate_limiter.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarjunction::detail {

/// Node state that a ledger keeper reads.
struct keeper_view
{
    const rate_settings& settings;
    const rate_member& self;
    const client_account& account;
    const lapse_tracker& lapses;
    /// All live instances, in this account's order of preference.
    const std::vector<instance_name>& order;
    /// Number of times this node's lease has lapsed.
    std::uint64_t epoch = 0;
    /// Whether this node's lease is valid for long enough to claim shares.
    bool may_claim = false;
    bool stopping = false;
    /// Tokens lent out. A lower amount is written only once its burst covers
    /// them.
    double lent = 0;
};

/// Decides which changes this node writes to the share ledger of one account
/// and what amount of it this node may use.
class ledger_keeper
{
public:
    void set_plan(const std::optional<account_plan>& plan)
    {
        plan_ = plan;
        wake();
    }
    /// Returns whether `plan_change` would return nothing now.
    bool is_idle(time_point now) const { return now < idle_until_; }
    /// Ends the idle period, because a change may be due now.
    void wake() { idle_until_ = time_point::min(); }
    const std::optional<account_plan>& plan() const { return plan_; }

    /// Applies a row; versions not newer than the known one are ignored.
    /// @return whether the row was newer
    bool apply(share_ledger ledger, table_version version);
    const share_ledger& ledger() const { return ledger_; }

    /// Returns the amount that this node may use while its lease is valid.
    share_amount usable(const keeper_view& view) const;

    /// Returns the change that is due, if any.
    std::optional<ledger_change>
    plan_change(const keeper_view& view, std::uint64_t id, time_point now);
    /// Handles the result of a change.
    /// @param jitter random number that spreads the retries of different nodes
    void change_done(
        std::uint64_t id, const result<table_version>& committed,
        std::uint64_t jitter, time_point now);
    bool holds_any(const rate_member& self) const;
    std::size_t own_entry_count(const keeper_view& view) const;

private:
    /// A ledger that limits the usable amount, because a write of it may still
    /// take effect.
    struct bound
    {
        /// The write can succeed only while the row is at this version.
        table_version expected = 0;
        share_ledger written;
    };
    struct pending_change
    {
        std::uint64_t id = 0;
        share_ledger written;
        time_point since;
    };
    struct draft
    {
        share_ledger ledger;
        std::optional<ledger_step> step;
        std::vector<row_condition> conditions;
    };

    bool is_own(const share_entry& entry, const keeper_view& view) const;
    bool is_usable(const share_entry& entry, const keeper_view& view) const;
    bool is_in_plan(const share_entry& entry, const keeper_view& view) const;
    share_amount
    own_sum(const share_ledger& ledger, const keeper_view& view) const;
    void draft_lower(draft& change, const keeper_view& view);
    void
    draft_removal(draft& change, const keeper_view& view, time_point now) const;
    void draft_claims(draft& change, const keeper_view& view, time_point now);
    void draft_reclaim(draft& change, const keeper_view& view) const;
    void draft_raise(draft& change, const keeper_view& view) const;
    void
    draft_rebalance(draft& change, const keeper_view& view, time_point now);
    bool
    is_claim_due(std::uint32_t index, const keeper_view& view, time_point now);
    share_amount available(const share_ledger& ledger) const;
    ledger_change
    make_change(draft change, const keeper_view& view, std::uint64_t id);

    std::optional<account_plan> plan_;
    share_ledger ledger_;
    table_version version_ = 0;
    std::vector<bound> bounds_;
    std::optional<pending_change> pending_;
    time_point retry_at_;
    time_point idle_until_ = time_point::min();
    /// Whether lowering an amount is delayed until loans have ended.
    bool waits_for_loans_ = false;
    /// Since when this node has seen each index as free.
    std::map<std::uint32_t, time_point> free_since_;
    std::optional<time_point> surplus_since_;
};

} // namespace fulmarjunction::detail
