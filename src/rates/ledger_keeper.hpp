#pragma once

#include "lapse_tracker.hpp"

#include <fulmarjunction/rates/rate_limiter.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarjunction::detail {

/// What a ledger keeper needs to know of the node around it.
struct keeper_view
{
    const rate_settings& settings;
    const rate_member& self;
    const client_account& account;
    const lapse_tracker& lapses;
    /// Preferred order of all live instances for this account.
    const std::vector<instance_name>& order;
    /// How often the own lease has lapsed.
    std::uint64_t epoch = 0;
    /// Whether the own lease is valid for long enough to claim.
    bool may_claim = false;
    bool stopping = false;
    /// Tokens lent out; a lower amount is written only when they fit it.
    double lent = 0;
};

/// Decides what this node writes into the share ledger of one account, and
/// how much of the ledger this node may use.
class ledger_keeper
{
public:
    void set_plan(const std::optional<account_plan>& plan)
    {
        plan_ = plan;
        wake();
    }
    /// Returns whether `plan_change` would return nothing now.
    bool is_quiet(time_point now) const { return now < quiet_until_; }
    /// Something changed that may make a change due at once.
    void wake() { quiet_until_ = time_point::min(); }
    const std::optional<account_plan>& plan() const { return plan_; }

    /// Takes a row; older versions than the known one are ignored.
    /// @return whether the row was newer
    bool apply(share_ledger ledger, table_version version);
    const share_ledger& ledger() const { return ledger_; }

    /// Returns the amount that this node may use, while its lease is valid.
    share_amount usable(const keeper_view& view) const;

    /// Returns a change that is due.
    std::optional<ledger_change>
    plan_change(const keeper_view& view, std::uint64_t id, time_point now);
    /// Tells the end of a change.
    /// @param jitter random number that spreads new tries over the nodes
    void change_done(
        std::uint64_t id, const result<table_version>& committed,
        std::uint64_t jitter, time_point now);
    bool holds_any(const rate_member& self) const;
    std::size_t own_entries(const keeper_view& view) const;

private:
    /// A lower value that is applied because a write of it may yet arrive.
    struct bound
    {
        /// The write can arrive only while the row is at this version.
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
    bool is_kept(const share_entry& entry, const keeper_view& view) const;
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
    bool is_turn(std::uint32_t index, const keeper_view& view, time_point now);
    share_amount available(const share_ledger& ledger) const;
    ledger_change
    make_change(draft change, const keeper_view& view, std::uint64_t id);

    std::optional<account_plan> plan_;
    share_ledger ledger_;
    table_version version_ = 0;
    std::vector<bound> bounds_;
    std::optional<pending_change> pending_;
    time_point retry_at_;
    time_point quiet_until_ = time_point::min();
    /// Whether a lower amount waits until loans have ended.
    bool waits_for_loans_ = false;
    /// Since when each index has been free for this node's eyes.
    std::map<std::uint32_t, time_point> free_since_;
    std::optional<time_point> crowded_since_;
};

} // namespace fulmarjunction::detail
