#pragma once

#include <fulmarjunction/rates/rate_limiter.hpp>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fulmarjunction::detail {

/// Node state that a borrower reads.
struct borrower_view
{
    const rate_settings& settings;
    const rate_member& self;
    const client_account& account;
    /// Tokens in the node's own bucket.
    double own_level = 0;
    /// Time until the node's own bucket holds a token.
    duration own_wait{0};
    /// The account's rate; limits the tokens requested ahead.
    double plan_rate = 0;
    /// Span of demand for which the node requests tokens ahead, in seconds.
    double ahead_s = 0;
};

/// Manages the loans, waiting requests and borrow requests of one account on
/// one node.
class borrower
{
public:
    borrower(std::uint64_t seed, time_point now)
        : random_state_(seed), demand_updated_at_(now)
    {
    }

    /// A node that holds a share of the account.
    struct holder_location
    {
        instance_name name;
        bool same_zone = false;
    };
    /// Sets the holders of the account's shares, excluding this node.
    void set_holders(const std::vector<holder_location>& holders);

    /// Counts a request in the estimate of the demand.
    void record_demand(time_point now);

    /// Spends one borrowed token.
    bool spend(time_point now);

    /// Adds a request to the queue.
    /// @return false when the queue is full or the account is paused
    bool enqueue(rate_ticket ticket, const borrower_view& view, time_point now);
    bool cancel(rate_ticket ticket);
    /// Removes the first waiting request.
    std::optional<rate_ticket> pop_first();
    bool has_waiting() const { return !waiting_.empty(); }

    /// Requests the missing tokens from holders. Refuses all waiting requests
    /// when no holder is left to query.
    void request_loans(
        const borrower_view& view, std::uint64_t& next_id, time_point now,
        rate_effects& effects, rate_counters& counters);

    /// Handles an answer.
    /// @return false when it does not belong to an open borrow request
    bool receive(
        const instance_name& from, const borrow_answer& message,
        const rate_settings& settings, time_point now);
    /// Closes a borrow request that did not reach its holder.
    bool
    delivery_failed(const instance_name& to, std::uint64_t id, time_point now);

    /// Closes borrow requests and refuses waiting requests that took too long,
    /// and returns unspent loans before they expire.
    void poll(
        const borrower_view& view, std::uint64_t& next_id, time_point now,
        rate_effects& effects, rate_counters& counters);
    time_point next_poll(const rate_settings& settings) const;

    /// Refuses all waiting requests.
    void refuse_all(
        milliseconds retry_after, rate_effects& effects,
        rate_counters& counters);
    /// Returns the time after which a refused request should be retried.
    milliseconds retry_after(const borrower_view& view, time_point now) const;

    std::uint32_t borrowed_tokens(time_point now) const;
    std::size_t waiting_count() const { return waiting_.size(); }

private:
    struct loan
    {
        instance_name lender;
        std::uint64_t id = 0;
        std::uint32_t tokens = 0;
        time_point expires;
        time_point return_at;
    };
    /// A borrow request that has not been answered.
    struct open_request
    {
        instance_name holder;
        time_point sent;
        std::uint32_t needed = 0;
        std::uint32_t ahead = 0;
        /// Whether the answer timeout has passed. A later answer still counts.
        bool late = false;
    };
    struct unsent_settlement
    {
        settled_loan loan;
        time_point expires;
    };
    struct holder_info
    {
        bool same_zone = false;
        bool has_open_request = false;
        time_point blocked_until;
        /// Tokens left at the holder, as reported in its last answer.
        std::optional<std::uint32_t> left;
        time_point left_reported_at;
        std::deque<unsent_settlement> settlements;
    };
    struct waiting_request
    {
        rate_ticket ticket = 0;
        time_point since;
    };

    void drop_expired(time_point now);
    void queue_settlement(const loan& ended, std::uint32_t unspent);
    std::vector<settled_loan>
    take_settlements(const instance_name& lender, time_point now);
    std::vector<holder_info*> candidates(
        std::uint32_t wanted, time_point now,
        std::vector<const instance_name*>& names);
    std::uint32_t outstanding_needed() const;
    std::uint32_t
    ahead_shortfall(const borrower_view& view, time_point now) const;
    void send_request(
        const borrower_view& view, const instance_name& to, holder_info& info,
        std::uint32_t needed, std::uint32_t ahead, std::uint64_t& next_id,
        time_point now, rate_effects& effects, rate_counters& counters);
    void pause_and_refuse(
        const borrower_view& view, time_point now, rate_effects& effects,
        rate_counters& counters);
    std::uint64_t next_random();
    void clear_open_request(const instance_name& holder);

    std::uint64_t random_state_;
    time_point demand_updated_at_;
    double demand_ = 0;
    std::deque<loan> loans_;
    std::map<std::uint64_t, open_request> open_requests_;
    std::map<instance_name, holder_info> holders_;
    std::deque<waiting_request> waiting_;
    /// Denials since the last loan; the more, the more holders are queried at
    /// once.
    std::uint32_t denials_ = 0;
    /// No holder is queried until this time after all of them denied tokens.
    time_point paused_until_;
    /// After the pause, only one holder is queried at a time until a loan is
    /// given or this time is reached.
    time_point probing_until_;
    std::uint64_t expired_tokens_ = 0;
};

} // namespace fulmarjunction::detail
