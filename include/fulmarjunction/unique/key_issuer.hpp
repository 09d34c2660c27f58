/// @file
/// Issues idempotency keys and makes each unique request run at most once.
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

/// Limits of a key issuer.
struct issuer_settings
{
    /// Time from issue to expiry of a key.
    milliseconds key_lifetime{600'000};
    /// Maximum number of keys issued by one call.
    std::uint32_t max_keys_per_request = 1000;
    /// Maximum number of unexpired keys of one account.
    std::size_t max_open_keys_per_account = 20'000;
    /// Maximum number of unexpired keys of all accounts together; also limits
    /// the keys adopted from other issuers.
    std::size_t max_open_keys_total = 200'000;
    /// Maximum size of an answer that is kept: bytes of its header names and
    /// values and of its body.
    std::size_t max_kept_answer_bytes = 64 * 1024;
    /// Maximum bytes of answers kept for one account and for all accounts.
    std::size_t max_kept_bytes_per_account = 4 * 1024 * 1024;
    std::size_t max_kept_bytes_total = 32 * 1024 * 1024;
    /// Number of most recent keys for which a started bit is kept, so that an
    /// expired key can still be reported as never run. One bit each.
    std::size_t remembered_keys = 1 << 20;
};

/// How to handle a request that carries an idempotency key.
enum class begin_verdict
{
    /// Run it, then report its outcome with `finish`.
    run,
    /// Replay `begin_decision::answer`.
    answered,
    /// The same request is running: wait until `finish` is called for the key.
    in_progress,
    /// Refuse with `begin_decision::refusal_details`.
    refused,
    /// Forward it to `begin_decision::issuer`, or to its successor if a
    /// `handover` row names one. If neither incarnation is running any more,
    /// the outcome is unknown (`issuer_gone`).
    forward
};
std::string_view to_string(begin_verdict value);

/// Result of `key_issuer::begin`.
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

/// How the run of a request ended.
struct run_result
{
    outcome request_outcome = outcome::unknown;
    /// Ignored when the outcome is `answered`.
    refusal_reason reason = refusal_reason::backend_failed;
    /// Complete answer; empty when it could not be captured.
    std::optional<kept_answer> answer;
};

/// Event counts since the issuer was created.
struct issuer_counters
{
    std::uint64_t issued = 0;
    std::uint64_t started = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t not_kept = 0;
    std::uint64_t adopted = 0;
};

/// Progress of a planned stop.
enum class handover_state
{
    serving,
    /// No key is issued or started; resends are still answered.
    draining,
    /// The table is being sent; requests with its keys are refused with an
    /// unknown outcome.
    frozen,
    /// The handover row is being written.
    writing,
    /// The successor named in the row answers for the keys.
    done
};
std::string_view to_string(handover_state value);

/// A piece of the table, to be sent to `to` as `POST /control/handover`.
struct outgoing_piece
{
    instance_name to;
    handover_piece message;
};

/// Issues idempotency keys and stores the outcomes of their requests.
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
    ///         `errc::budget_exhausted` when a limit on open keys would be
    ///         exceeded, or `errc::unavailable` during a stop
    result<std::vector<std::string>>
    issue(const client_account& account, std::uint32_t count, time_point now);

    /// Decides how to handle a request. The verdict `run` marks the key as
    /// started.
    /// @param digest hash of the request's method, target and body
    begin_decision begin(
        std::string_view key, const client_account& account,
        const endpoint_name& endpoint, std::string_view digest, time_point now);

    /// Reports how a run ended. With the outcome `not_run` the key becomes
    /// unused again.
    void finish(std::string_view key, run_result ended, time_point now);

    /// Drops expired keys, their kept answers and outdated adopted tables.
    void expire(time_point now);

    /// Starts a planned stop: from now on no key is issued or started.
    void begin_stop(time_point now);
    /// Number of runs in progress.
    std::size_t running() const;

    /// Freezes the table for a successor. Runs in progress are handed over with
    /// an unknown outcome. After a failure it may be called again with another
    /// successor, until `write_handover` has returned a transaction.
    /// @return false when the successor can no longer be chosen
    bool freeze(
        const instance_name& successor,
        incarnation_number successor_incarnation, time_point now);
    /// Returns at most `limit` pieces that are not confirmed yet.
    std::vector<outgoing_piece> pieces(std::size_t limit) const;
    /// Records the successor's confirmation of a piece.
    void confirm(const instance_name& from, const handover_receipt& receipt);
    /// Returns the transaction that writes the handover row once all pieces
    /// are confirmed, and nothing before. After a lost answer the same
    /// transaction may be committed again; `errc::conflict` then means that
    /// the earlier commit took effect.
    std::optional<table_transaction> write_handover();
    /// Reports that the handover row has been committed.
    void handover_written();
    handover_state state() const;

    /// Accepts a piece from a stopping node.
    /// @return the confirmation to send back, or the reason for the rejection
    result<handover_receipt> adopt_piece(
        const instance_name& from, const handover_piece& piece, time_point now);
    /// Applies a row `handover/<issuer>/<incarnation>`. The adopted table is
    /// used only when it is complete and the row names this instance and its
    /// incarnation.
    void apply_handover_row(const handover_row& row, time_point now);

    const issuer_counters& counters() const;
    /// Number of started keys in this issuer's and all adopted tables.
    std::size_t entries() const;
    /// Bytes of kept answers in all tables.
    std::size_t kept_bytes() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarjunction
