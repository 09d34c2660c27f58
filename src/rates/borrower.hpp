#pragma once

#include <fulmarjunction/rates/rate_limiter.hpp>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fulmarjunction::detail {

/// What a borrower needs to know of the node around it.
struct borrower_view
{
    const rate_settings& settings;
    const rate_member& self;
    const client_account& account;
    /// Tokens in the node's own bucket.
    double own_level = 0;
    /// Time until the own bucket holds a token.
    duration own_wait{0};
    /// The account's rate; bounds what is asked ahead.
    double plan_rate = 0;
    /// How much of its demand the node asks for ahead, in seconds.
    double ahead_s = 0;
};

/// Loans, waiting requests and questions of one account at one node.
class borrower
{
public:
    borrower(std::uint64_t seed, time_point now) : random_(seed), at_(now) {}

    /// Sets who holds shares, without this node.
    struct holder_place
    {
        instance_name name;
        bool same_zone = false;
    };
    void set_holders(const std::vector<holder_place>& holders);

    /// Notes a request for the estimate of the demand.
    void note_demand(time_point now);

    /// Spends one token on loan.
    bool spend(time_point now);

    /// Puts a request into the queue.
    /// @return false when the queue is full or the account is paused
    bool wait(rate_ticket ticket, const borrower_view& view, time_point now);
    bool cancel(rate_ticket ticket);
    /// Removes the first waiting request.
    std::optional<rate_ticket> serve_first();
    bool has_waiting() const { return !waiting_.empty(); }

    /// Asks holders for what is missing. Refuses all that wait when there is
    /// nobody left to ask.
    void
    ask(const borrower_view& view, std::uint64_t& next_id, time_point now,
        rate_effects& effects, rate_counters& counters);

    /// Takes an answer; false when it is not to an open question.
    bool receive(
        const instance_name& from, const borrow_answer& message,
        const rate_settings& settings, time_point now);
    /// Closes a question that did not reach its holder.
    bool fail(const instance_name& to, std::uint64_t id, time_point now);

    /// Ends what took too long and returns loans before they expire.
    void poll(
        const borrower_view& view, std::uint64_t& next_id, time_point now,
        rate_effects& effects, rate_counters& counters);
    time_point next_poll(const rate_settings& settings) const;

    /// Refuses all that wait.
    void refuse_all(
        milliseconds retry_after, rate_effects& effects,
        rate_counters& counters);
    /// When a refused request should come again.
    milliseconds retry_after(const borrower_view& view, time_point now) const;

    std::uint32_t tokens(time_point now) const;
    std::size_t waiting() const { return waiting_.size(); }

private:
    struct loan
    {
        instance_name lender;
        std::uint64_t id = 0;
        std::uint32_t tokens = 0;
        time_point expires;
        time_point return_at;
    };
    struct question
    {
        instance_name holder;
        time_point sent;
        std::uint32_t needed = 0;
        std::uint32_t ahead = 0;
        /// The answer took too long; it still counts when it comes.
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
        bool asked = false;
        time_point blocked_until;
        /// Tokens left, as the holder's last answer said.
        std::optional<std::uint32_t> left;
        time_point told;
        std::deque<unsent_settlement> settlements;
    };
    struct waiting_request
    {
        rate_ticket ticket = 0;
        time_point since;
    };

    void drop_expired(time_point now);
    void settle(const loan& ended, std::uint32_t unspent);
    std::vector<settled_loan>
    take_settlements(const instance_name& lender, time_point now);
    std::vector<holder_info*> candidates(
        std::uint32_t wanted, time_point now,
        std::vector<const instance_name*>& names);
    std::uint32_t waited_for() const;
    std::uint32_t wanted_ahead(const borrower_view& view, time_point now) const;
    void send_question(
        const borrower_view& view, const instance_name& to, holder_info& info,
        std::uint32_t needed, std::uint32_t ahead, std::uint64_t& next_id,
        time_point now, rate_effects& effects, rate_counters& counters);
    void refuse_exhausted(
        const borrower_view& view, time_point now, rate_effects& effects,
        rate_counters& counters);
    std::uint64_t next_random();
    void close(const instance_name& holder);

    std::uint64_t random_;
    time_point at_;
    double demand_ = 0;
    std::deque<loan> loans_;
    std::map<std::uint64_t, question> questions_;
    std::map<instance_name, holder_info> holders_;
    std::deque<waiting_request> waiting_;
    /// Denials since the last loan: more holders are asked at once.
    std::uint32_t denials_ = 0;
    /// After all holders refused: nobody is asked until then, and only one
    /// holder at a time until a loan is given or the memory ends.
    time_point paused_until_;
    time_point probing_until_;
    std::uint64_t expired_tokens_ = 0;
};

} // namespace fulmarjunction::detail
