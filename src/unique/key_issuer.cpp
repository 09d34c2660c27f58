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

/// Text of one key in a piece beside its names and answer.
constexpr std::size_t piece_overhead_bytes = 512;

/// Pieces are cut here; one more key with a kept answer still fits.
constexpr std::size_t piece_target_bytes = 512 * 1024;

/// Tables of other issuers that are kept at once.
constexpr std::size_t most_adopted_tables = 64;

/// Adopted tables are dropped after this many lives of a key.
constexpr int adopted_lives = 4;

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
    outcome what = outcome::unknown;
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

begin_decision refuse(outcome what, refusal_reason reason)
{
    begin_decision decision;
    decision.verdict = begin_verdict::refused;
    decision.refusal_details = {what, reason, 0};
    return decision;
}

begin_decision verdict_of(begin_verdict verdict)
{
    begin_decision decision;
    decision.verdict = verdict;
    return decision;
}

begin_decision forward_to(instance_name issuer, incarnation_number incarnation)
{
    auto decision = verdict_of(begin_verdict::forward);
    decision.issuer = std::move(issuer);
    decision.incarnation = incarnation;
    return decision;
}

/// Remembers for the newest sequence numbers whether they were started.
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

    /// Returns whether the key is known not to be started.
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

/// A table taken over from a stopping node.
struct adopted_table
{
    std::uint64_t attempt = 0;
    std::uint32_t pieces = 0;
    std::int64_t frozen_at_ms = 0;
    /// Local time of the first piece: the issuer froze its table before.
    time_point received;
    std::set<std::uint32_t> seen;
    entry_table entries;
    bool active = false;
};

using issuer_incarnation = std::pair<instance_name, incarnation_number>;

entry to_entry(const open_key& key)
{
    entry made;
    made.account = key.account;
    made.endpoint = key.endpoint;
    made.digest = key.digest;
    made.expires_ms = key.expires_ms;
    made.state = entry_state::ended;
    made.what = key.request_outcome;
    made.reason = key.reason;
    made.answer = key.answer;
    return made;
}

open_key to_open_key(std::uint64_t sequence, const entry& known)
{
    open_key key;
    key.sequence = sequence;
    key.account = known.account;
    key.endpoint = known.endpoint;
    key.digest = known.digest;
    key.expires_ms = known.expires_ms;
    // A run that has not ended may yet end in any way.
    const bool ended = known.state == entry_state::ended;
    key.request_outcome = ended ? known.what : outcome::unknown;
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
        // Base64 takes four bytes for three; each field has its own frame.
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
        auto& open = open_[account];
        if (open.count + count > settings_.max_open_keys_per_account ||
            open_in_all_ + count > settings_.max_open_keys_total)
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
        open_in_all_ += count;
        counters_.issued += count;
        return keys;
    }

    void expire_batches(std::int64_t now_ms)
    {
        for (auto it = open_.begin(); it != open_.end();) {
            auto& open = it->second;
            while (!open.batches.empty() &&
                   open.batches.front().expires_ms <= now_ms) {
                open.count -= open.batches.front().count;
                open_in_all_ -= open.batches.front().count;
                open.batches.pop_front();
            }
            it = open.count == 0 ? open_.erase(it) : std::next(it);
        }
    }

    /// A key with the table that knows it.
    struct located
    {
        idempotency_key key;
        entry_table* entries = nullptr;
        std::int64_t now_ms = 0;
        bool own = false;
    };

    bool is_own(const idempotency_key& key) const
    {
        return key.issuer == self_ && key.incarnation == incarnation_;
    }

    /// Finds the table of a key; none when this node does not answer for it.
    bool locate(located& place, time_point now)
    {
        if (is_own(place.key)) {
            place.entries = &entries_;
            place.now_ms = clock_ms(now);
            place.own = true;
            return state_ == handover_state::serving ||
                   state_ == handover_state::draining;
        }
        const auto found =
            adopted_.find({place.key.issuer, place.key.incarnation});
        if (found == adopted_.end() || !found->second.active)
            return false;
        auto& table = found->second;
        place.entries = &table.entries;
        place.now_ms =
            table.frozen_at_ms + to_milliseconds(now - table.received);
        return true;
    }

    begin_decision elsewhere(const idempotency_key& key) const
    {
        const bool staged = adopted_.count({key.issuer, key.incarnation}) != 0;
        if (is_own(key) && state_ == handover_state::done)
            return forward_to(successor_, successor_incarnation_);
        if (is_own(key) || staged)
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
        located place;
        place.key = std::move(parsed.value());
        if (place.key.account != account)
            return refuse(
                outcome::not_run, refusal_reason::idempotency_key_reused);
        if (!locate(place, now))
            return elsewhere(place.key);
        const auto found = place.entries->find(place.key.sequence);
        if (found != place.entries->end())
            return resend(found->second, endpoint, digest);
        if (place.now_ms >= place.key.expires_ms)
            return expired(place);
        return start(place, endpoint, digest);
    }

    begin_decision resend(
        const entry& known, const endpoint_name& endpoint,
        std::string_view digest)
    {
        if (known.endpoint != endpoint || known.digest != digest)
            return refuse(
                outcome::not_run, refusal_reason::idempotency_key_reused);
        if (known.state == entry_state::running)
            return verdict_of(begin_verdict::in_progress);
        ++counters_.replayed;
        if (known.what != outcome::answered)
            return refuse(known.what, known.reason);
        if (!known.answer)
            return refuse(outcome::answered, refusal_reason::answer_not_kept);
        auto decision = verdict_of(begin_verdict::answered);
        decision.answer = known.answer;
        return decision;
    }

    /// A key past its expiry and without an entry is never started again.
    begin_decision expired(const located& place) const
    {
        const bool unused = place.own && started_.is_unused(place.key.sequence);
        if (unused)
            return refuse(
                outcome::not_run, refusal_reason::bad_idempotency_key);
        return refuse(outcome::unknown, refusal_reason::answer_not_kept);
    }

    begin_decision start(
        const located& place, const endpoint_name& endpoint,
        std::string_view digest)
    {
        if (state_ != handover_state::serving)
            return refuse(outcome::not_run, refusal_reason::draining);
        // Entries are kept until the key expires, so a started key without
        // an entry cannot be; if it were, it must not run again.
        if (place.own && !started_.is_unused(place.key.sequence))
            return refuse(outcome::unknown, refusal_reason::answer_not_kept);
        entry made;
        made.account = place.key.account;
        made.endpoint = endpoint;
        made.digest = std::string(digest);
        made.expires_ms = place.key.expires_ms;
        place.entries->emplace(place.key.sequence, std::move(made));
        if (place.own)
            started_.set(place.key.sequence, true);
        ++running_;
        ++counters_.started;
        return verdict_of(begin_verdict::run);
    }

    void finish(std::string_view text, run_result ended, time_point now)
    {
        auto parsed = parse_key(text, secret_);
        if (!parsed)
            return;
        located place;
        place.key = std::move(parsed.value());
        const bool answers = locate(place, now);
        if (place.entries == nullptr)
            return;
        const auto found = place.entries->find(place.key.sequence);
        if (found == place.entries->end() ||
            found->second.state != entry_state::running)
            return;
        --running_;
        // After the freeze the successor says unknown, so this does too.
        if (!answers) {
            found->second.state = entry_state::ended;
            return;
        }
        if (ended.request_outcome == outcome::not_run) {
            if (place.own)
                started_.set(place.key.sequence, false);
            place.entries->erase(found);
            return;
        }
        end_entry(found->second, std::move(ended));
    }

    void end_entry(entry& known, run_result ended)
    {
        known.state = entry_state::ended;
        known.what = ended.request_outcome;
        known.reason = ended.reason;
        if (ended.request_outcome == outcome::answered && ended.answer)
            keep_answer(known, std::move(*ended.answer));
        if (ended.request_outcome == outcome::answered && !known.answer)
            ++counters_.not_kept;
    }

    void keep_answer(entry& known, kept_answer answer)
    {
        const auto size = size_of(answer);
        auto& kept = kept_by_account_[known.account];
        if (size > settings_.max_kept_answer_bytes ||
            kept + size > settings_.max_kept_bytes_per_account ||
            kept_ + size > settings_.max_kept_bytes_total)
            return;
        kept += size;
        kept_ += size;
        known.answer = std::make_shared<const kept_answer>(std::move(answer));
    }

    void forget_answer(const entry& known)
    {
        if (!known.answer)
            return;
        const auto size = size_of(*known.answer);
        const auto kept = kept_by_account_.find(known.account);
        if (kept != kept_by_account_.end()) {
            kept->second -= size;
            if (kept->second == 0)
                kept_by_account_.erase(kept);
        }
        kept_ -= size;
    }

    void expire_entries(entry_table& entries, std::int64_t now_ms)
    {
        // Keys are issued in order of expiry; runs that last longer stay.
        for (auto it = entries.begin(); it != entries.end();) {
            if (it->second.expires_ms > now_ms)
                break;
            if (it->second.state == entry_state::running) {
                ++it;
                continue;
            }
            forget_answer(it->second);
            it = entries.erase(it);
        }
    }

    void expire(time_point now)
    {
        expire_batches(clock_ms(now));
        // A frozen table must stay as it was sent.
        if (state_ == handover_state::serving ||
            state_ == handover_state::draining)
            expire_entries(entries_, clock_ms(now));
        for (auto it = adopted_.begin(); it != adopted_.end();) {
            auto& table = it->second;
            const auto age = now - table.received;
            if (table.active)
                expire_entries(
                    table.entries, table.frozen_at_ms + to_milliseconds(age));
            if (age < adopted_lives * settings_.key_lifetime) {
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
            forget_answer(known);
            if (known.state == entry_state::running)
                --running_;
        }
        table.entries.clear();
        table.seen.clear();
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
        cut_pieces();
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

    void cut_pieces()
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

    std::vector<outgoing_piece> pieces(std::size_t most) const
    {
        std::vector<outgoing_piece> unconfirmed;
        if (state_ != handover_state::frozen)
            return unconfirmed;
        for (const auto& piece : pieces_) {
            if (unconfirmed.size() == most)
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
        const bool complete = state_ == handover_state::frozen &&
                              confirmed_.size() == pieces_.size();
        if (!complete && state_ != handover_state::writing)
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
        const bool valid =
            from == piece.issuer && from != self_ && piece.index < piece.count;
        if (!valid)
            return fail(errc::invalid_argument, step, from);
        // A node that stops itself would lose the table again.
        if (state_ != handover_state::serving)
            return fail(errc::unavailable, step, from);
        BOOST_OUTCOME_TRY(auto* table, stage(piece, now));
        const handover_receipt receipt{
            piece.issuer, piece.incarnation, piece.attempt, piece.index};
        if (table->active || !table->seen.insert(piece.index).second)
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
        if (known == adopted_.end() && adopted_.size() >= most_adopted_tables)
            return fail(errc::budget_exhausted, step, piece.issuer);
        if (entries() + piece.keys.size() > settings_.max_open_keys_total)
            return fail(errc::budget_exhausted, step, piece.issuer);
        auto& table = adopted_[id];
        const bool stale = piece.attempt < table.attempt ||
                           (table.active && piece.attempt != table.attempt);
        if (stale)
            return fail(errc::conflict, step, piece.issuer);
        if (piece.attempt > table.attempt) {
            drop_table(table);
            table.attempt = piece.attempt;
            table.pieces = piece.count;
            table.frozen_at_ms = piece.frozen_at_ms;
            table.received = now;
        }
        if (piece.count != table.pieces)
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
            table.seen.size() != table.pieces)
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
    std::unordered_map<client_account, open_batches> open_;
    std::size_t open_in_all_ = 0;
    entry_table entries_;
    std::size_t running_ = 0;
    std::unordered_map<client_account, std::size_t> kept_by_account_;
    std::size_t kept_ = 0;
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

std::vector<outgoing_piece> key_issuer::pieces(std::size_t most) const
{
    return impl_->pieces(most);
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
    return impl_->kept_;
}

} // namespace fulmarjunction
