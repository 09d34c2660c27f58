#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/unique/key_issuer.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace fulmarjunction {

namespace {

constexpr auto verdict_names = make_enum_table<begin_verdict>({
    {begin_verdict::run, "run"},
    {begin_verdict::answered, "answered"},
    {begin_verdict::in_progress, "in_progress"},
    {begin_verdict::refused, "refused"},
    {begin_verdict::forward, "forward"},
});

constexpr auto state_names = make_enum_table<handover_state>({
    {handover_state::serving, "serving"},
    {handover_state::draining, "draining"},
    {handover_state::frozen, "frozen"},
    {handover_state::writing, "writing"},
    {handover_state::done, "done"},
});

/// Estimated JSON text of one key in a piece, excluding its names, digest and
/// answer.
constexpr std::size_t piece_overhead_bytes = 512;

/// A new piece is started at this size. One more key with a kept answer of
/// maximum size still fits below `max_handover_piece_bytes`.
constexpr std::size_t piece_target_bytes = 512 * 1024;

/// Maximum number of tables of other issuers held at the same time.
constexpr std::size_t max_adopted_tables = 64;

/// Adopted tables are dropped after this many key lifetimes.
constexpr int adopted_table_lifetimes = 4;

enum class entry_state
{
    running,
    ended
};

struct entry
{
    client_account account;
    endpoint_name endpoint;
    std::string digest;
    std::int64_t expires_ms = 0;
    entry_state state = entry_state::running;
    outcome request_outcome = outcome::unknown;
    refusal_reason reason = refusal_reason::backend_failed;
    std::shared_ptr<const kept_answer> answer;
};

using entry_table = std::map<std::uint64_t, entry>;

std::size_t size_of(const kept_answer& answer)
{
    auto size = answer.body.size();
    for (const auto& field : answer.headers)
        size += field.name.size() + field.value.size();
    return size;
}

begin_decision refuse(outcome request_outcome, refusal_reason reason)
{
    begin_decision decision;
    decision.verdict = begin_verdict::refused;
    decision.refusal_details = {request_outcome, reason, 0};
    return decision;
}

begin_decision make_decision(begin_verdict verdict)
{
    begin_decision decision;
    decision.verdict = verdict;
    return decision;
}

begin_decision forward_to(instance_name issuer, incarnation_number incarnation)
{
    auto decision = make_decision(begin_verdict::forward);
    decision.issuer = std::move(issuer);
    decision.incarnation = incarnation;
    return decision;
}

/// Records for the most recent sequence numbers whether they were started.
class started_keys
{
public:
    explicit started_keys(std::size_t size)
        : bits_(std::max<std::size_t>(1, size))
    {
    }

    void add(std::uint64_t sequence)
    {
        next_ = sequence + 1;
        bits_[sequence % bits_.size()] = false;
    }

    void set(std::uint64_t sequence, bool started)
    {
        if (is_known(sequence))
            bits_[sequence % bits_.size()] = started;
    }

    /// Returns whether the key was certainly never started. False for keys that
    /// are too old to be recorded.
    bool is_unused(std::uint64_t sequence) const
    {
        return is_known(sequence) && !bits_[sequence % bits_.size()];
    }

private:
    bool is_known(std::uint64_t sequence) const
    {
        return sequence < next_ && next_ - sequence <= bits_.size();
    }

    std::vector<bool> bits_;
    std::uint64_t next_ = 0;
};

/// Issued keys of one account that have not expired.
struct open_batches
{
    struct batch
    {
        std::int64_t expires_ms = 0;
        std::uint32_t count = 0;
    };
    std::deque<batch> batches;
    std::size_t count = 0;
};

/// Key table adopted from a stopping node.
struct adopted_table
{
    std::uint64_t attempt = 0;
    std::uint32_t piece_count = 0;
    std::int64_t frozen_at_ms = 0;
    /// Local time when the first piece arrived, which is after the issuer froze
    /// its table.
    time_point received_at;
    std::set<std::uint32_t> received_pieces;
    entry_table entries;
    bool active = false;
};

using issuer_incarnation = std::pair<instance_name, incarnation_number>;

entry to_entry(const open_key& key)
{
    entry converted;
    converted.account = key.account;
    converted.endpoint = key.endpoint;
    converted.digest = key.digest;
    converted.expires_ms = key.expires_ms;
    converted.state = entry_state::ended;
    converted.request_outcome = key.request_outcome;
    converted.reason = key.reason;
    converted.answer = key.answer;
    return converted;
}

open_key to_open_key(std::uint64_t sequence, const entry& known)
{
    open_key key;
    key.sequence = sequence;
    key.account = known.account;
    key.endpoint = known.endpoint;
    key.digest = known.digest;
    key.expires_ms = known.expires_ms;
    // A run in progress may still end with any outcome.
    const bool ended = known.state == entry_state::ended;
    key.request_outcome = ended ? known.request_outcome : outcome::unknown;
    key.reason = ended ? known.reason : refusal_reason::issuer_gone;
    if (ended)
        key.answer = known.answer;
    return key;
}

std::size_t text_size(const open_key& key)
{
    auto size = piece_overhead_bytes + key.account.size() +
                key.endpoint.size() + key.digest.size();
    if (key.answer) {
        // Base64 takes four bytes for three; 64 bytes cover the JSON syntax of
        // each header field.
        size += size_of(*key.answer) * 4 / 3 + key.answer->headers.size() * 64;
    }
    return size;
}

} // namespace

std::string_view to_string(begin_verdict value)
{
    return verdict_names.name(value);
}

std::string_view to_string(handover_state value)
{
    return state_names.name(value);
}

class key_issuer::impl
{
public:
    impl(
        issuer_settings settings, instance_name self,
        incarnation_number incarnation, key_secret secret, time_point now)
        : settings_(settings), self_(std::move(self)),
          incarnation_(incarnation), secret_(secret), start_(now),
          started_(settings.remembered_keys)
    {
    }

    std::int64_t clock_ms(time_point now) const
    {
        return to_milliseconds(now - start_);
    }

    result<std::vector<std::string>>
    issue(const client_account& account, std::uint32_t count, time_point now)
    {
        const std::string step = "issue idempotency keys";
        if (state_ != handover_state::serving)
            return fail(errc::unavailable, step);
        if (count == 0 || count > settings_.max_keys_per_request)
            return fail(errc::invalid_argument, step);
        expire_batches(clock_ms(now));
        auto& open = open_keys_[account];
        if (open.count + count > settings_.max_open_keys_per_account ||
            open_keys_total_ + count > settings_.max_open_keys_total)
            return fail(errc::budget_exhausted, step);
        std::vector<std::string> keys;
        idempotency_key key{self_, incarnation_, 0, account, 0};
        key.expires_ms = clock_ms(now) + settings_.key_lifetime.count();
        for (std::uint32_t i = 0; i != count; ++i) {
            key.sequence = next_sequence_;
            BOOST_OUTCOME_TRY(auto text, format_key(key, secret_));
            started_.add(next_sequence_++);
            keys.push_back(std::move(text));
        }
        open.batches.push_back({key.expires_ms, count});
        open.count += count;
        open_keys_total_ += count;
        counters_.issued += count;
        return keys;
    }

    void expire_batches(std::int64_t now_ms)
    {
        for (auto it = open_keys_.begin(); it != open_keys_.end();) {
            auto& open = it->second;
            while (!open.batches.empty() &&
                   open.batches.front().expires_ms <= now_ms) {
                open.count -= open.batches.front().count;
                open_keys_total_ -= open.batches.front().count;
                open.batches.pop_front();
            }
            it = open.count == 0 ? open_keys_.erase(it) : std::next(it);
        }
    }

    /// A parsed key and the table that holds its entry.
    struct key_location
    {
        idempotency_key key;
        entry_table* entries = nullptr;
        std::int64_t now_ms = 0;
        bool is_own = false;
    };

    bool is_own_key(const idempotency_key& key) const
    {
        return key.issuer == self_ && key.incarnation == incarnation_;
    }

    /// Finds the table of a key. Returns false when this node does not answer
    /// for the key at present.
    bool locate(key_location& location, time_point now)
    {
        if (is_own_key(location.key)) {
            location.entries = &entries_;
            location.now_ms = clock_ms(now);
            location.is_own = true;
            return state_ == handover_state::serving ||
                   state_ == handover_state::draining;
        }
        const auto found =
            adopted_.find({location.key.issuer, location.key.incarnation});
        if (found == adopted_.end() || !found->second.active)
            return false;
        auto& table = found->second;
        location.entries = &table.entries;
        location.now_ms =
            table.frozen_at_ms + to_milliseconds(now - table.received_at);
        return true;
    }

    begin_decision decide_not_served(const idempotency_key& key) const
    {
        const bool is_staged =
            adopted_.count({key.issuer, key.incarnation}) != 0;
        if (is_own_key(key) && state_ == handover_state::done)
            return forward_to(successor_, successor_incarnation_);
        if (is_own_key(key) || is_staged)
            return refuse(outcome::unknown, refusal_reason::draining);
        return forward_to(key.issuer, key.incarnation);
    }

    begin_decision begin(
        std::string_view text, const client_account& account,
        const endpoint_name& endpoint, std::string_view digest, time_point now)
    {
        auto parsed = parse_key(text, secret_);
        if (!parsed)
            return refuse(
                outcome::not_run, refusal_reason::bad_idempotency_key);
        key_location location;
        location.key = std::move(parsed.value());
        if (location.key.account != account)
            return refuse(
                outcome::not_run, refusal_reason::idempotency_key_reused);
        if (!locate(location, now))
            return decide_not_served(location.key);
        const auto found = location.entries->find(location.key.sequence);
        if (found != location.entries->end())
            return decide_resend(found->second, endpoint, digest);
        if (location.now_ms >= location.key.expires_ms)
            return decide_expired(location);
        return start(location, endpoint, digest);
    }

    begin_decision decide_resend(
        const entry& known, const endpoint_name& endpoint,
        std::string_view digest)
    {
        if (known.endpoint != endpoint || known.digest != digest)
            return refuse(
                outcome::not_run, refusal_reason::idempotency_key_reused);
        if (known.state == entry_state::running)
            return make_decision(begin_verdict::in_progress);
        ++counters_.replayed;
        if (known.request_outcome != outcome::answered)
            return refuse(known.request_outcome, known.reason);
        if (!known.answer)
            return refuse(outcome::answered, refusal_reason::answer_not_kept);
        auto decision = make_decision(begin_verdict::answered);
        decision.answer = known.answer;
        return decision;
    }

    /// Decides about an expired key without an entry, which never runs again.
    begin_decision decide_expired(const key_location& location) const
    {
        const bool is_unused =
            location.is_own && started_.is_unused(location.key.sequence);
        if (is_unused)
            return refuse(
                outcome::not_run, refusal_reason::bad_idempotency_key);
        return refuse(outcome::unknown, refusal_reason::answer_not_kept);
    }

    begin_decision start(
        const key_location& location, const endpoint_name& endpoint,
        std::string_view digest)
    {
        if (state_ != handover_state::serving)
            return refuse(outcome::not_run, refusal_reason::draining);
        // Entries are kept until the key expires, so a started key always has
        // one. If that invariant is broken, the key must still not run again.
        if (location.is_own && !started_.is_unused(location.key.sequence))
            return refuse(outcome::unknown, refusal_reason::answer_not_kept);
        entry started;
        started.account = location.key.account;
        started.endpoint = endpoint;
        started.digest = std::string(digest);
        started.expires_ms = location.key.expires_ms;
        location.entries->emplace(location.key.sequence, std::move(started));
        if (location.is_own)
            started_.set(location.key.sequence, true);
        ++running_;
        ++counters_.started;
        return make_decision(begin_verdict::run);
    }

    void finish(std::string_view text, run_result ended, time_point now)
    {
        auto parsed = parse_key(text, secret_);
        if (!parsed)
            return;
        key_location location;
        location.key = std::move(parsed.value());
        const bool is_served = locate(location, now);
        if (location.entries == nullptr)
            return;
        const auto found = location.entries->find(location.key.sequence);
        if (found == location.entries->end() ||
            found->second.state != entry_state::running)
            return;
        --running_;
        // The frozen table was handed over with an unknown outcome for this
        // run, so the outcome must stay unknown here as well.
        if (!is_served) {
            found->second.state = entry_state::ended;
            return;
        }
        if (ended.request_outcome == outcome::not_run) {
            if (location.is_own)
                started_.set(location.key.sequence, false);
            location.entries->erase(found);
            return;
        }
        complete_entry(found->second, std::move(ended));
    }

    void complete_entry(entry& known, run_result ended)
    {
        known.state = entry_state::ended;
        known.request_outcome = ended.request_outcome;
        known.reason = ended.reason;
        if (ended.request_outcome == outcome::answered && ended.answer)
            keep_answer(known, std::move(*ended.answer));
        if (ended.request_outcome == outcome::answered && !known.answer)
            ++counters_.not_kept;
    }

    void keep_answer(entry& known, kept_answer answer)
    {
        const auto size = size_of(answer);
        auto& account_bytes = kept_bytes_by_account_[known.account];
        if (size > settings_.max_kept_answer_bytes ||
            account_bytes + size > settings_.max_kept_bytes_per_account ||
            kept_bytes_ + size > settings_.max_kept_bytes_total)
            return;
        account_bytes += size;
        kept_bytes_ += size;
        known.answer = std::make_shared<const kept_answer>(std::move(answer));
    }

    void release_answer(const entry& known)
    {
        if (!known.answer)
            return;
        const auto size = size_of(*known.answer);
        const auto account_bytes = kept_bytes_by_account_.find(known.account);
        if (account_bytes != kept_bytes_by_account_.end()) {
            account_bytes->second -= size;
            if (account_bytes->second == 0)
                kept_bytes_by_account_.erase(account_bytes);
        }
        kept_bytes_ -= size;
    }

    void expire_entries(entry_table& entries, std::int64_t now_ms)
    {
        // Keys are issued in order of expiry, so the scan ends at the first
        // unexpired key. Entries of runs in progress stay until the run ends.
        for (auto it = entries.begin(); it != entries.end();) {
            if (it->second.expires_ms > now_ms)
                break;
            if (it->second.state == entry_state::running) {
                ++it;
                continue;
            }
            release_answer(it->second);
            it = entries.erase(it);
        }
    }

    void expire(time_point now)
    {
        expire_batches(clock_ms(now));
        // A frozen table must not change while it is handed over.
        if (state_ == handover_state::serving ||
            state_ == handover_state::draining)
            expire_entries(entries_, clock_ms(now));
        for (auto it = adopted_.begin(); it != adopted_.end();) {
            auto& table = it->second;
            const auto age = now - table.received_at;
            if (table.active)
                expire_entries(
                    table.entries, table.frozen_at_ms + to_milliseconds(age));
            if (age < adopted_table_lifetimes * settings_.key_lifetime) {
                ++it;
                continue;
            }
            drop_table(table);
            it = adopted_.erase(it);
        }
    }

    void drop_table(adopted_table& table)
    {
        for (const auto& [sequence, known] : table.entries) {
            release_answer(known);
            if (known.state == entry_state::running)
                --running_;
        }
        table.entries.clear();
        table.received_pieces.clear();
    }

    bool freeze(
        const instance_name& successor,
        incarnation_number successor_incarnation, time_point now)
    {
        if (state_ != handover_state::draining &&
            state_ != handover_state::frozen)
            return false;
        if (state_ == handover_state::draining)
            frozen_at_ms_ = clock_ms(now);
        state_ = handover_state::frozen;
        successor_ = successor;
        successor_incarnation_ = successor_incarnation;
        ++attempt_;
        confirmed_.clear();
        split_into_pieces();
        return true;
    }

    handover_piece empty_piece() const
    {
        handover_piece piece;
        piece.issuer = self_;
        piece.incarnation = incarnation_;
        piece.attempt = attempt_;
        piece.frozen_at_ms = frozen_at_ms_;
        return piece;
    }

    void split_into_pieces()
    {
        pieces_.assign(1, empty_piece());
        std::size_t size = 0;
        for (const auto& [sequence, known] : entries_) {
            auto key = to_open_key(sequence, known);
            if (size >= piece_target_bytes) {
                pieces_.push_back(empty_piece());
                size = 0;
            }
            size += text_size(key);
            pieces_.back().keys.push_back(std::move(key));
        }
        for (std::size_t i = 0; i != pieces_.size(); ++i) {
            pieces_[i].index = static_cast<std::uint32_t>(i);
            pieces_[i].count = static_cast<std::uint32_t>(pieces_.size());
        }
    }

    std::vector<outgoing_piece> pieces(std::size_t limit) const
    {
        std::vector<outgoing_piece> unconfirmed;
        if (state_ != handover_state::frozen)
            return unconfirmed;
        for (const auto& piece : pieces_) {
            if (unconfirmed.size() == limit)
                break;
            if (confirmed_.count(piece.index) == 0)
                unconfirmed.push_back({successor_, piece});
        }
        return unconfirmed;
    }

    void confirm(const instance_name& from, const handover_receipt& receipt)
    {
        if (from == successor_ && receipt.issuer == self_ &&
            receipt.incarnation == incarnation_ &&
            receipt.attempt == attempt_ && receipt.index < pieces_.size())
            confirmed_.insert(receipt.index);
    }

    std::optional<table_transaction> write_handover()
    {
        const bool is_complete = state_ == handover_state::frozen &&
                                 confirmed_.size() == pieces_.size();
        if (!is_complete && state_ != handover_state::writing)
            return std::nullopt;
        state_ = handover_state::writing;
        const auto key = handover_row_key(self_, incarnation_);
        const handover_row row{
            self_, incarnation_, attempt_, successor_, successor_incarnation_};
        table_transaction change;
        change.conditions.push_back({key, 0});
        change.writes.push_back({key, to_json(row)});
        return change;
    }

    result<handover_receipt> adopt_piece(
        const instance_name& from, const handover_piece& piece, time_point now)
    {
        const std::string step = "adopt handover piece";
        const bool is_valid =
            from == piece.issuer && from != self_ && piece.index < piece.count;
        if (!is_valid)
            return fail(errc::invalid_argument, step, from);
        // This node hands over only its own table when it stops, so an adopted
        // table would be lost.
        if (state_ != handover_state::serving)
            return fail(errc::unavailable, step, from);
        BOOST_OUTCOME_TRY(auto* table, stage(piece, now));
        const handover_receipt receipt{
            piece.issuer, piece.incarnation, piece.attempt, piece.index};
        if (table->active || !table->received_pieces.insert(piece.index).second)
            return receipt;
        for (const auto& key : piece.keys) {
            auto known = to_entry(key);
            const auto answer = std::exchange(known.answer, nullptr);
            if (answer)
                keep_answer(known, *answer);
            table->entries.emplace(key.sequence, std::move(known));
        }
        return receipt;
    }

    result<adopted_table*> stage(const handover_piece& piece, time_point now)
    {
        const std::string step = "adopt handover piece";
        const issuer_incarnation id{piece.issuer, piece.incarnation};
        const auto known = adopted_.find(id);
        if (known == adopted_.end() && adopted_.size() >= max_adopted_tables)
            return fail(errc::budget_exhausted, step, piece.issuer);
        if (entries() + piece.keys.size() > settings_.max_open_keys_total)
            return fail(errc::budget_exhausted, step, piece.issuer);
        auto& table = adopted_[id];
        const bool is_stale = piece.attempt < table.attempt ||
                              (table.active && piece.attempt != table.attempt);
        if (is_stale)
            return fail(errc::conflict, step, piece.issuer);
        if (piece.attempt > table.attempt) {
            drop_table(table);
            table.attempt = piece.attempt;
            table.piece_count = piece.count;
            table.frozen_at_ms = piece.frozen_at_ms;
            table.received_at = now;
        }
        if (piece.count != table.piece_count)
            return fail(errc::conflict, step, piece.issuer);
        return &table;
    }

    void apply_handover_row(const handover_row& row)
    {
        if (row.successor != self_ || row.successor_incarnation != incarnation_)
            return;
        const auto found = adopted_.find({row.issuer, row.incarnation});
        if (found == adopted_.end())
            return;
        auto& table = found->second;
        if (table.active || table.attempt != row.attempt ||
            table.received_pieces.size() != table.piece_count)
            return;
        table.active = true;
        ++counters_.adopted;
    }

    std::size_t entries() const
    {
        auto count = entries_.size();
        for (const auto& [id, table] : adopted_)
            count += table.entries.size();
        return count;
    }

private:
    friend class key_issuer;

    issuer_settings settings_;
    instance_name self_;
    incarnation_number incarnation_;
    key_secret secret_;
    time_point start_;
    started_keys started_;
    std::uint64_t next_sequence_ = 1;
    std::unordered_map<client_account, open_batches> open_keys_;
    std::size_t open_keys_total_ = 0;
    entry_table entries_;
    std::size_t running_ = 0;
    std::unordered_map<client_account, std::size_t> kept_bytes_by_account_;
    std::size_t kept_bytes_ = 0;
    handover_state state_ = handover_state::serving;
    std::int64_t frozen_at_ms_ = 0;
    std::uint64_t attempt_ = 0;
    instance_name successor_;
    incarnation_number successor_incarnation_ = 0;
    std::vector<handover_piece> pieces_;
    std::set<std::uint32_t> confirmed_;
    std::map<issuer_incarnation, adopted_table> adopted_;
    issuer_counters counters_;
};

key_issuer::key_issuer(
    issuer_settings settings, instance_name self,
    incarnation_number incarnation, key_secret secret, time_point now)
    : impl_(std::make_unique<impl>(
          settings, std::move(self), incarnation, secret, now))
{
}

key_issuer::~key_issuer() = default;
key_issuer::key_issuer(key_issuer&&) noexcept = default;
key_issuer& key_issuer::operator=(key_issuer&&) noexcept = default;

result<std::vector<std::string>> key_issuer::issue(
    const client_account& account, std::uint32_t count, time_point now)
{
    return impl_->issue(account, count, now);
}

begin_decision key_issuer::begin(
    std::string_view key, const client_account& account,
    const endpoint_name& endpoint, std::string_view digest, time_point now)
{
    auto decision = impl_->begin(key, account, endpoint, digest, now);
    if (decision.verdict == begin_verdict::refused)
        ++impl_->counters_.refused;
    return decision;
}

void key_issuer::finish(std::string_view key, run_result ended, time_point now)
{
    impl_->finish(key, std::move(ended), now);
}

void key_issuer::expire(time_point now)
{
    impl_->expire(now);
}

void key_issuer::begin_stop(time_point)
{
    if (impl_->state_ == handover_state::serving)
        impl_->state_ = handover_state::draining;
}

std::size_t key_issuer::running() const
{
    return impl_->running_;
}

bool key_issuer::freeze(
    const instance_name& successor, incarnation_number successor_incarnation,
    time_point now)
{
    return impl_->freeze(successor, successor_incarnation, now);
}

std::vector<outgoing_piece> key_issuer::pieces(std::size_t limit) const
{
    return impl_->pieces(limit);
}

void key_issuer::confirm(
    const instance_name& from, const handover_receipt& receipt)
{
    impl_->confirm(from, receipt);
}

std::optional<table_transaction> key_issuer::write_handover()
{
    return impl_->write_handover();
}

void key_issuer::handover_written()
{
    if (impl_->state_ == handover_state::writing)
        impl_->state_ = handover_state::done;
}

handover_state key_issuer::state() const
{
    return impl_->state_;
}

result<handover_receipt> key_issuer::adopt_piece(
    const instance_name& from, const handover_piece& piece, time_point now)
{
    return impl_->adopt_piece(from, piece, now);
}

void key_issuer::apply_handover_row(const handover_row& row, time_point)
{
    impl_->apply_handover_row(row);
}

const issuer_counters& key_issuer::counters() const
{
    return impl_->counters_;
}

std::size_t key_issuer::entries() const
{
    return impl_->entries();
}

std::size_t key_issuer::kept_bytes() const
{
    return impl_->kept_bytes_;
}

} // namespace fulmarjunction
