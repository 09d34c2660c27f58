/// @file
/// Makes each unique request run at most once.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/platform/table_service.hpp>
#include <fulmarjunction/unique/handover_messages.hpp>
#include <fulmarjunction/unique/idempotency_key.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Bounds of a key issuer.
struct issuer_settings
{
    /// How long a key may be used.
    milliseconds key_lifetime{600'000};
    /// Keys in one answer.
    std::uint32_t max_keys_per_request = 1000;
    /// Keys of one account that are issued and have not expired.
    std::size_t max_open_keys_per_account = 20'000;
    /// Keys of all accounts that are issued and have not expired.
    std::size_t max_open_keys_total = 200'000;
    /// Largest answer that is kept, in bytes of head and body.
    std::size_t max_kept_answer_bytes = 64 * 1024;
    /// Bytes of answers kept for one account and for all.
    std::size_t max_kept_bytes_per_account = 4 * 1024 * 1024;
    std::size_t max_kept_bytes_total = 32 * 1024 * 1024;
    /// Started keys that are remembered past their expiry, one bit each.
    std::size_t remembered_keys = 1 << 20;
};

/// What to do with a request that came with an idempotency key.
enum class begin_verdict
{
    /// Run it, and tell the end with `finish`.
    run,
    /// Answer with `begin_decision::answer`.
    answered,
    /// It is running: wait until `finish` was called for the key.
    in_progress,
    /// Refuse with `begin_decision::refusal_details`.
    refused,
    /// Forward it to `begin_decision::issuer`, unless a `handover` row names
    /// a successor; where neither lives, the outcome is unknown
    /// (`issuer_gone`).
    forward
};
std::string_view to_string(begin_verdict value);

/// Answer to `key_issuer::begin`.
struct begin_decision
{
    begin_verdict verdict = begin_verdict::refused;
    /// Set when the verdict is `answered`.
    std::shared_ptr<const kept_answer> answer;
    /// Set when the verdict is `refused`.
    refusal refusal_details;
    /// Set when the verdict is `forward`.
    instance_name issuer;
    incarnation_number incarnation = 0;
};

/// End of a run.
struct run_result
{
    outcome request_outcome = outcome::unknown;
    /// Why, unless the outcome is `answered`.
    refusal_reason reason = refusal_reason::backend_failed;
    /// The answer, when it could be kept.
    std::optional<kept_answer> answer;
};

/// Counters for metrics.
struct issuer_counters
{
    std::uint64_t issued = 0;
    std::uint64_t started = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t not_kept = 0;
    std::uint64_t adopted = 0;
};

/// State of a planned stop.
enum class handover_state
{
    serving,
    /// No key is issued and no key is started; resends are answered.
    draining,
    /// The table is being sent; nothing is answered for its keys.
    frozen,
    /// The handover row is being written.
    writing,
    /// The successor named in the row answers.
    done
};
std::string_view to_string(handover_state value);

/// A piece of the table to send to `to` as `POST /control/handover`.
struct outgoing_piece
{
    instance_name to;
    handover_piece message;
};

/// Issues idempotency keys and keeps the outcomes of their requests.
class key_issuer
{
public:
    key_issuer(
        issuer_settings settings, instance_name self,
        incarnation_number incarnation, key_secret secret, time_point now);
    ~key_issuer();
    key_issuer(key_issuer&&) noexcept;
    key_issuer& operator=(key_issuer&&) noexcept;

    /// Issues `count` keys to an account.
    /// @return the keys, `errc::invalid_argument` for a count out of range,
    ///         `errc::budget_exhausted` past a limit on open keys or
    ///         `errc::unavailable` during a stop
    result<std::vector<std::string>>
    issue(const client_account& account, std::uint32_t count, time_point now);

    /// Decides about a request. A verdict `run` marks the key as started.
    /// @param digest hash of the request's method, target and body
    begin_decision begin(
        std::string_view key, const client_account& account,
        const endpoint_name& endpoint, std::string_view digest, time_point now);

    /// Tells the end of a run. `not_run` returns the key to unused.
    void finish(std::string_view key, run_result ended, time_point now);

    /// Forgets what has expired.
    void expire(time_point now);

    /// Starts a planned stop: no key is issued or started any more.
    void begin_stop(time_point now);
    /// Runs that have not ended.
    std::size_t running() const;

    /// Freezes the table for a successor. Runs that have not ended are handed
    /// over as unknown. After a failure it may be called again with another
    /// successor, until `write_handover` has been called.
    /// @return false when it is too late for another successor
    bool freeze(
        const instance_name& successor,
        incarnation_number successor_incarnation, time_point now);
    /// Returns pieces that have not been confirmed.
    std::vector<outgoing_piece> pieces(std::size_t most) const;
    /// Takes the successor's confirmation of a piece.
    void confirm(const instance_name& from, const handover_receipt& receipt);
    /// Returns the transaction that names the successor, once all pieces are
    /// confirmed; nothing before. It may be committed again with the same
    /// content after a lost answer; `errc::conflict` then means that it had
    /// taken effect.
    std::optional<table_transaction> write_handover();
    /// The handover row has been written.
    void handover_written();
    handover_state state() const;

    /// Takes a piece from a stopping node.
    /// @return the confirmation to send back, or why it is not accepted
    result<handover_receipt> adopt_piece(
        const instance_name& from, const handover_piece& piece, time_point now);
    /// Gives a row `handover/<issuer>/<incarnation>`. The table is used only
    /// when it is complete and the row names this instance's incarnation.
    void apply_handover_row(const handover_row& row, time_point now);

    const issuer_counters& counters() const;
    /// Keys in the table, and bytes of kept answers.
    std::size_t entries() const;
    std::size_t kept_bytes() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
