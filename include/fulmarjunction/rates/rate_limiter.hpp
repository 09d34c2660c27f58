/// @file
/// Enforces the rate and burst of client accounts across the fleet.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/platform/table_service.hpp>
#include <fulmarjunction/rates/borrow_messages.hpp>
#include <fulmarjunction/rates/share_ledger.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmarjunction {

/// Limits and periods of a rate limiter.
struct rate_settings
{
    /// Length of this instance's lease, which is renewed in the table.
    milliseconds lease{6 * 3600 * 1000};
    /// Maximum lifetime of a loan. It is shorter for an account whose burst is
    /// small relative to its rate, because loans count against the burst.
    milliseconds max_loan_lifetime{300};
    /// Span of its recent demand for which a borrower requests tokens ahead.
    milliseconds ahead_window{250};
    /// Maximum time that a request waits for a token.
    milliseconds max_wait{100};
    /// Time without an answer after which another holder is queried.
    milliseconds answer_timeout{40};
    /// Maximum pause in borrowing for an account after all holders have denied
    /// tokens. It bounds the messages for an account far above its rate.
    milliseconds max_pause{4000};
    /// Requests of one account that may wait at once: what arrives at one
    /// node in about 100 ms at 40,000 requests a second.
    std::size_t max_waiting = 4096;
    /// Maximum number of accounts for which the limiter keeps state.
    std::size_t max_accounts = 100'000;
    /// Maximum relative error of a clock that runs fast; buckets fill slower
    /// by this fraction. The default is the kernel's maximum slew (500 ppm).
    double clock_rate_error = 0.0005;
};

/// An instance, as known to membership.
struct rate_member
{
    instance_name name;
    availability_zone zone;
    incarnation_number incarnation = 0;
};

/// Immutable list of instances, shared so that each new list is stored once.
using rate_members = std::shared_ptr<const std::vector<rate_member>>;

/// The row `instance/<name>` as observed in the table.
struct observed_instance
{
    instance_name name;
    /// False when the row is absent or deleted.
    bool present = false;
    incarnation_number incarnation = 0;
    std::uint64_t renewals = 0;
    /// Version of the row.
    table_version version = 0;
};

/// Identifies a waiting request; 0 means none.
using rate_ticket = std::uint64_t;

/// Outcome of a request for one token.
enum class rate_verdict
{
    admitted,
    /// A loan was requested; `rate_effects::resolved` reports the outcome.
    waiting,
    refused
};
std::string_view to_string(rate_verdict value);

/// A message to send to `to` as `POST /control/borrow`.
struct outgoing_borrow
{
    instance_name to;
    borrow_request message;
};

/// Outcome of a waiting request.
struct resolved_ticket
{
    rate_ticket ticket = 0;
    /// `admitted` or `refused`.
    rate_verdict verdict = rate_verdict::refused;
    milliseconds retry_after{0};
};

/// Actions that the caller of the limiter must carry out.
struct rate_effects
{
    /// Send each of these once; reporting a failure to send is optional.
    std::vector<outgoing_borrow> send;
    std::vector<resolved_ticket> resolved;
};

/// Result of `rate_limiter::take`.
struct take_decision
{
    rate_verdict verdict = rate_verdict::refused;
    /// Set while the verdict is `waiting`.
    rate_ticket ticket = 0;
    /// Set when the verdict is `refused`.
    milliseconds retry_after{0};
    rate_effects effects;
};

/// Why a share ledger is written.
enum class ledger_step
{
    claim,
    lower,
    raise,
    release,
    /// Replaces or removes an entry whose holder's lease has lapsed.
    takeover
};
std::string_view to_string(ledger_step value);

/// A transaction to commit. At most one is pending for each account.
struct ledger_change
{
    std::uint64_t id = 0;
    client_account account;
    ledger_step step = ledger_step::claim;
    table_transaction transaction;
};

/// Counters for metrics.
struct rate_counters
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t waited = 0;
    std::uint64_t borrows_sent = 0;
    std::uint64_t settlements_sent = 0;
    std::uint64_t tokens_borrowed = 0;
    std::uint64_t tokens_lent = 0;
    std::uint64_t tokens_returned = 0;
    std::uint64_t tokens_expired = 0;
    std::uint64_t lapses = 0;
    std::uint64_t changes = 0;
};

/// State of one account on this node, for metrics and operators.
struct rate_account_state
{
    /// Rate and burst that this node may use now.
    share_amount usable;
    /// Tokens in the node's own bucket, and tokens lent out that have not
    /// expired.
    double level = 0;
    double lent = 0;
    /// Tokens borrowed from other nodes that may still be spent.
    std::uint32_t borrowed = 0;
    std::size_t waiting = 0;
    std::size_t claimed_shares = 0;
    std::uint32_t wanted_shares = 0;
};

/// Manages the token buckets, loans and share claims of all accounts on one
/// node.
///
/// The limiter never admits more than the ledger grants to this node: it uses
/// an entry only after reading a row that contains it, applies a lower value
/// before writing it, and checks its lease at each use. All times are read
/// from this node's monotonic clock and must not decrease from call to call.
class rate_limiter
{
public:
    /// @param seed seeds the random order in which holders are queried
    rate_limiter(rate_settings settings, rate_member self, std::uint64_t seed);
    ~rate_limiter();
    rate_limiter(rate_limiter&&) noexcept;
    rate_limiter& operator=(rate_limiter&&) noexcept;

    /// Sets or changes an account's plan, as read from the catalog.
    void set_plan(
        const client_account& account, const account_plan& plan,
        time_point now);
    /// Removes the plan of an account that was deleted or has no plan any
    /// more; its requests are refused.
    void remove_plan(const client_account& account, time_point now);

    /// Replaces the list of instances that are alive, ready and not leaving,
    /// including this one.
    void set_members(rate_members members, time_point now);

    /// Applies the row `shares/<account>` as read from the table, from the
    /// replica or after a commit. Versions older than a known one are ignored.
    /// @return an error when the value cannot be parsed; the account then
    ///         keeps the ledger it had
    result<void> apply_ledger_row(
        const client_account& account, const boost::json::value& value,
        table_version version, time_point now);

    /// Records the row `instance/<name>` of any instance, including this one;
    /// a deleted row is passed as not present. The time until its lease
    /// lapses is measured from the first call with its present state.
    void observe_instance(const observed_instance& seen, time_point now);

    /// Extends this node's lease after a successful renewal. The lease ends
    /// `rate_settings::lease` after a time read before the renewal was sent.
    /// A renewal that is answered after the lease has ended starts a new
    /// epoch, in which shares must be claimed again.
    void renew_lease(time_point granted_until, time_point now);

    /// Ends this node's lease because its instance row was deleted or
    /// replaced. No share is usable until it is claimed again under a new
    /// lease.
    void lose_lease(time_point now);

    /// Takes one token for a request of this account.
    take_decision take(const client_account& account, time_point now);

    /// Cancels the wait of the request with this ticket.
    void cancel(rate_ticket ticket);

    /// Answers a borrow request of another node.
    /// @param from the authenticated name of the peer; a request that names
    ///        another borrower is denied
    borrow_answer lend(
        const instance_name& from, const borrow_request& message,
        time_point now);

    /// Applies the answer to a borrow request. Only the first answer to a
    /// request that is still open counts.
    rate_effects receive(
        const instance_name& from, const borrow_answer& message,
        time_point now);

    /// Queries another holder because a borrow request could not be delivered.
    /// Without this call the answer timeout has the same effect, only later.
    rate_effects delivery_failed(const outgoing_borrow& lost, time_point now);

    /// Refuses requests that waited too long, queries other holders and returns
    /// unspent loans.
    rate_effects poll(time_point now);

    /// Returns when `poll` must be called next, or `time_point::max()` if no
    /// call is needed.
    time_point next_poll() const;

    /// Returns the ledger changes that are due. Call it about every 200 ms
    /// while the store is up, and report each result to `change_done`.
    std::vector<ledger_change> plan_changes(time_point now);

    /// Reports the result of a change. After `errc::conflict` or any other
    /// error, read the row and pass it to `apply_ledger_row` first.
    /// @param committed the new version, or the error
    void change_done(
        std::uint64_t id, const result<table_version>& committed,
        time_point now);

    /// Starts a planned stop: `plan_changes` releases all shares and claims
    /// none; requests still get tokens through loans.
    void begin_stop(time_point now);
    /// Returns whether this node holds no share any more.
    bool is_released() const;

    rate_account_state
    account_state(const client_account& account, time_point now) const;
    const rate_counters& counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// Returns the preferred holder of each share of an account, ordered by
/// rendezvous hash and alternating between availability zones. Instances
/// repeat when there are fewer of them than shares. The result is empty if
/// there are no instances.
std::vector<instance_name> preferred_holders(
    const client_account& account, const std::vector<rate_member>& members,
    std::uint32_t count);

} // namespace fulmarjunction
