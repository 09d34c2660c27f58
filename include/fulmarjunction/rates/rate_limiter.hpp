/// @file
/// Enforces the rate and burst of client accounts over the fleet.
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

/// Bounds and periods of a rate limiter.
struct rate_settings
{
    /// Length of this instance's lease, as it is renewed in the table.
    milliseconds lease{6 * 3600 * 1000};
    /// Longest lifetime of a loan. It is shorter for an account whose burst is
    /// small beside its rate, because loans count against the burst.
    milliseconds max_loan_lifetime{300};
    /// How much of its own recent demand a borrower asks for ahead.
    milliseconds ahead_window{250};
    /// Longest time that a request waits for a loan.
    milliseconds max_wait{100};
    /// After this time without an answer another holder is asked.
    milliseconds answer_timeout{40};
    /// Longest pause between two questions for an account that all holders
    /// have refused. It bounds messages of an account far above its rate.
    milliseconds max_pause{4000};
    /// Requests of one account that may wait at once: what arrives at one
    /// node in about 100 ms at 40,000 requests a second.
    std::size_t max_waiting = 4096;
    /// Accounts for which the limiter keeps state.
    std::size_t max_accounts = 100'000;
    /// By how much a clock may run fast: buckets fill that much slower. The
    /// default is the most by which the kernel slews a clock (500 ppm).
    double clock_rate_error = 0.0005;
};

/// Another instance, as membership knows it.
struct rate_member
{
    instance_name name;
    availability_zone zone;
    incarnation_number incarnation = 0;
};

/// Instances, shared so that each change of them is stored once.
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

/// Names a waiting request; 0 names none.
using rate_ticket = std::uint64_t;

/// What becomes of a request for one token.
enum class rate_verdict
{
    admitted,
    /// A loan has been asked for; `rate_effects::resolved` tells the end.
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

/// End of a wait.
struct resolved_ticket
{
    rate_ticket ticket = 0;
    /// `admitted` or `refused`.
    rate_verdict verdict = rate_verdict::refused;
    milliseconds retry_after{0};
};

/// What the caller of the limiter has to do.
struct rate_effects
{
    /// Send each of these once; a failure to send needs no report.
    std::vector<outgoing_borrow> send;
    std::vector<resolved_ticket> resolved;
};

/// Answer to `rate_limiter::take`.
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

/// A transaction to commit. At most one is open for each account.
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

/// State of one account at this node, for metrics and operators.
struct rate_account_state
{
    /// Amount that this node may use now.
    share_amount usable;
    /// Tokens in the own bucket, and lent out and not yet expired.
    double level = 0;
    double lent = 0;
    /// Tokens on loan from others that may still be spent.
    std::uint32_t borrowed = 0;
    std::size_t waiting = 0;
    std::size_t claimed_shares = 0;
    std::uint32_t wanted_shares = 0;
};

/// Token buckets, loans and share claims of one node over all accounts.
///
/// The limiter never admits more than the ledger allows to this node: it
/// uses an entry only after the row was seen with it, applies a lower value
/// before it is written, and checks its lease at each use. All times are
/// this node's monotonic clock and must not decrease from call to call.
class rate_limiter
{
public:
    /// @param seed spreads questions over holders; any number
    rate_limiter(rate_settings settings, rate_member self, std::uint64_t seed);
    ~rate_limiter();
    rate_limiter(rate_limiter&&) noexcept;
    rate_limiter& operator=(rate_limiter&&) noexcept;

    /// Sets or changes an account's plan, as the catalog has it.
    void set_plan(
        const client_account& account, const account_plan& plan,
        time_point now);
    /// The account is gone or has no plan: its requests are refused.
    void remove_plan(const client_account& account, time_point now);

    /// Replaces the live, ready and not leaving instances, with this one.
    void set_members(rate_members members, time_point now);

    /// Gives the row `shares/<account>` as read from the table, the replica
    /// or after a commit. Older versions than one already seen are ignored.
    /// @return an error when the value cannot be parsed; the account then
    ///         keeps the ledger it had
    result<void> apply_ledger_row(
        const client_account& account, const boost::json::value& value,
        table_version version, time_point now);

    /// Gives the row `instance/<name>` of any instance, also of this one; a
    /// deleted row is given as not present. The lapse of its
    /// lease is counted from the first call with its present state.
    void observe_instance(const observed_instance& seen, time_point now);

    /// Gives the end of the own lease after a successful renewal: `lease`
    /// after a time taken before the renewal was sent. A renewal that is
    /// answered after the lease had ended starts a new epoch, in which
    /// shares must be claimed again.
    void renew_lease(time_point granted_until, time_point now);

    /// The own instance row was deleted or replaced: nothing is usable until
    /// shares are claimed again under a new lease.
    void lose_lease(time_point now);

    /// Asks for one token for a request of this account.
    take_decision take(const client_account& account, time_point now);

    /// The request with this ticket does not wait any more.
    void cancel(rate_ticket ticket);

    /// Answers a borrow request of another node.
    /// @param from the authenticated name of the peer; a request that names
    ///        another borrower is denied
    borrow_answer lend(
        const instance_name& from, const borrow_request& message,
        time_point now);

    /// Takes the answer to a borrow request. Only the first answer to a
    /// request that is still open counts.
    rate_effects receive(
        const instance_name& from, const borrow_answer& message,
        time_point now);

    /// The borrow request could not be delivered: another holder is asked.
    /// Without this call the answer's timeout has the same effect, later.
    rate_effects delivery_failed(const outgoing_borrow& lost, time_point now);

    /// Ends waits that took too long, asks other holders, returns loans.
    rate_effects poll(time_point now);

    /// Returns when `poll` must be called next; `time_point::max()` if not.
    time_point next_poll() const;

    /// Returns ledger changes that are due. Call it each 200 ms or so while
    /// the store is up, and tell each result with `change_done`.
    std::vector<ledger_change> plan_changes(time_point now);

    /// Tells the end of a change. After `errc::conflict`, and after any other
    /// error, read the row and pass it to `apply_ledger_row` first.
    /// @param committed the new version, or the error
    void change_done(
        std::uint64_t id, const result<table_version>& committed,
        time_point now);

    /// Starts a planned stop: shares are released by `plan_changes`, nothing
    /// is claimed, and requests still get tokens by loans.
    void begin_stop(time_point now);
    /// Returns whether no share is held any more.
    bool is_released() const;

    rate_account_state
    account_state(const client_account& account, time_point now) const;
    const rate_counters& counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// Preferred holders of an account's shares, one for each index: by
/// rendezvous hash, taking availability zones in turn. Instances repeat when
/// there are fewer of them than shares; empty without instances.
std::vector<instance_name> preferred_holders(
    const client_account& account, const std::vector<rate_member>& members,
    std::uint32_t count);

} // namespace fulmarjunction
