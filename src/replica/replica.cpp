#include <fulmarjunction/replica/replica.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Room for a message's members besides its rows.
constexpr std::size_t message_overhead_bytes = 4 * 1024;
/// Quotes and backslashes in a fragment's text take two bytes each.
constexpr std::size_t escape_factor = 2;
/// A fragment below this size is not worth a message of its own.
constexpr std::size_t min_fragment_bytes = 1024;
constexpr std::string_view audit_prefix = "audit/";

bool is_copied(const table_row& row)
{
    return !row.key.starts_with(audit_prefix);
}

/// Returns the longest part of `text` from `offset` that has at most `limit`
/// bytes and does not end inside a UTF-8 sequence.
std::string_view
cut(std::string_view text, std::size_t offset, std::size_t limit)
{
    auto size = std::min(limit, text.size() - offset);
    const auto is_continuation = [&](std::size_t place) {
        return (static_cast<unsigned char>(text[place]) & 0xc0U) == 0x80U;
    };
    while (size != 0 && offset + size != text.size() &&
           is_continuation(offset + size))
        --size;
    return text.substr(offset, size);
}

/// Collects rows until a piece is full.
class piece_builder
{
public:
    piece_builder(rows_delta& piece, const replica_settings& settings)
        : piece_(piece), settings_(settings)
    {
    }

    bool fits(std::size_t bytes) const { return bytes <= room_; }

    void add(const table_row& row, std::size_t bytes)
    {
        piece_.rows.push_back(row);
        room_ -= bytes;
    }

    void add_fragment(const table_row& row, std::uint64_t offset)
    {
        const auto text = boost::json::serialize(row.value);
        const auto start = offset <= text.size() ? offset : 0;
        auto limit = std::min(room_ / escape_factor, settings_.fragment_bytes);
        if (limit < min_fragment_bytes)
            limit = 0;
        piece_.fragment = row_fragment{
            row.key, row.version, start, text.size(),
            std::string(cut(text, start, limit))};
    }

private:
    rows_delta& piece_;
    const replica_settings& settings_;
    std::size_t room_ = max_rows_message_bytes - message_overhead_bytes;
};

} // namespace

replica::replica(replica_settings settings) : settings_(settings) {}

void replica::observe(observer watch)
{
    for (const auto& entry : order_)
        watch(rows_.find(entry.second)->second.row);
    observers_.push_back(std::move(watch));
}

const table_row* replica::find(std::string_view key) const
{
    const auto found = rows_.find(key);
    if (found == rows_.end() || found->second.row.deleted)
        return nullptr;
    return &found->second.row;
}

void replica::for_each(
    std::string_view prefix,
    const std::function<void(const table_row&)>& visit) const
{
    auto place = rows_.lower_bound(prefix);
    for (; place != rows_.end() && place->first.starts_with(prefix); ++place) {
        if (!place->second.row.deleted)
            visit(place->second.row);
    }
}

table_version replica::held_end() const
{
    return staged_ ? staged_->end : version_;
}

table_version replica::poll_after() const
{
    // A snapshot was begun because the peer no longer remembers deletions;
    // the table does, so a poll continues from the complete copy.
    return staged_ && !staged_->snapshot ? staged_->end : version_;
}

replica_update replica::apply_list(const row_list& list, table_version after)
{
    const auto end = std::max(after, list.complete_to);
    return apply_piece(
        {after, end, std::max(end, list.head), false, nullptr}, list.rows,
        nullptr);
}

replica_update replica::apply_delta(const rows_delta& delta)
{
    const auto* fragment = delta.fragment ? &*delta.fragment : nullptr;
    const auto* follows = delta.follows ? &*delta.follows : nullptr;
    return apply_piece(
        {delta.base, delta.end, delta.head, delta.snapshot, follows},
        delta.rows, fragment);
}

replica_update replica::apply_piece(
    const version_range& part, const std::vector<table_row>& rows,
    const row_fragment* fragment)
{
    if (part.head <= version_)
        return {};
    const auto before = version_;
    if (part.follows != nullptr && !continues_staged(part))
        return {false, pull_request()};
    const bool whole =
        part.end >= part.head && fragment == nullptr && part.follows == nullptr;
    if (whole && !part.snapshot && part.base <= version_) {
        apply_complete(part, rows);
        return {version_ > before, std::nullopt};
    }
    if (!part.snapshot && part.base > held_end())
        return {false, pull_request()};

    auto& staged = open_staging(part);
    for (const auto& row : rows)
        stage(row);
    const bool progress =
        part.end > staged.end || !rows.empty() || fragment != nullptr;
    if (part.end > staged.end)
        raise_staged_end(part.end);
    if (fragment != nullptr && !stage_fragment(*fragment)) {
        staged_.reset();
        return {};
    }
    if (staged.end >= staged.target)
        commit_staged();
    replica_update update{version_ > before, std::nullopt};
    // Without progress this peer has no more than we hold; the probes find
    // one that has.
    if (staged_ && progress)
        update.pull = pull_request();
    return update;
}

replica::staging& replica::open_staging(const version_range& part)
{
    if (!staged_ || part.snapshot) {
        staged_.emplace(staging{});
        staged_->snapshot = part.snapshot;
        staged_->end = part.snapshot ? 0 : version_;
        staged_->since = part.snapshot ? part.head : version_;
    }
    // Rows that changed between the piece's end and its head are missing
    // from the piece, so the copy is whole only at the head.
    staged_->target = std::max(staged_->target, part.head);
    return *staged_;
}

bool replica::continues_staged(const version_range& part) const
{
    return staged_ && staged_->partial &&
           staged_->partial->key == part.follows->key &&
           staged_->partial->version == part.follows->version &&
           staged_->partial->offset == part.follows->offset;
}

void replica::raise_staged_end(table_version end)
{
    staged_->end = end;
    staged_->partial.reset();
    staged_->partial_text.clear();
}

void replica::stage(table_row row)
{
    if (!is_copied(row))
        return;
    auto& held = staged_->rows[row.key];
    if (row.version > held.version)
        held = std::move(row);
}

bool replica::stage_fragment(const row_fragment& fragment)
{
    auto& staged = *staged_;
    if (fragment.total > settings_.max_row_bytes)
        return false;
    const bool continues = staged.partial &&
                           staged.partial->key == fragment.key &&
                           staged.partial->version == fragment.version &&
                           staged.partial->offset == fragment.offset;
    if (!continues) {
        staged.partial_text.clear();
        if (fragment.offset != 0) {
            staged.partial.reset();
            return true;
        }
    }
    staged.partial_text += fragment.text;
    staged.partial =
        partial_row{fragment.key, fragment.version, staged.partial_text.size()};
    if (staged.partial_text.size() != fragment.total)
        return true;

    boost::system::error_code failure;
    auto value = boost::json::parse(staged.partial_text, failure);
    if (failure)
        return false;
    stage({fragment.key, std::move(value), fragment.version, false});
    staged.partial_text.clear();
    // The next key in order: what follows this row.
    staged.partial =
        partial_row{fragment.key + std::string(1, '\0'), fragment.version, 0};
    return true;
}

void replica::apply_complete(
    const version_range& part, const std::vector<table_row>& rows)
{
    auto ordered = rows;
    std::stable_sort(
        ordered.begin(), ordered.end(),
        [](const table_row& left, const table_row& right) {
            return left.version < right.version;
        });
    for (const auto& row : ordered) {
        if (row.version > version_ && row.version <= part.end)
            apply_row(row);
    }
    advance(part.end);
}

void replica::commit_staged()
{
    const auto staged = std::move(*staged_);
    staged_.reset();
    if (staged.end <= version_)
        return;
    std::vector<table_row> rows;
    rows.reserve(staged.rows.size());
    for (const auto& [key, row] : staged.rows)
        rows.push_back(row);
    std::stable_sort(
        rows.begin(), rows.end(),
        [](const table_row& left, const table_row& right) {
            return left.version < right.version;
        });
    if (staged.snapshot)
        remove_missing(staged);
    for (const auto& row : rows)
        apply_row(row);
    if (staged.snapshot)
        deletions_from_ = staged.end;
    advance(staged.end);
}

void replica::remove_missing(const staging& staged)
{
    std::vector<std::string> missing;
    for (const auto& [key, held] : rows_) {
        if (!staged.rows.contains(key) && held.row.version <= staged.end)
            missing.push_back(key);
    }
    for (const auto& key : missing) {
        const bool was_present = find(key) != nullptr;
        erase_row(key);
        if (!was_present)
            continue;
        for (const auto& watch : observers_)
            watch({key, nullptr, staged.end, true});
    }
}

void replica::erase_row(const std::string& key)
{
    const auto found = rows_.find(key);
    if (found == rows_.end())
        return;
    const order_key place{found->second.row.version, key};
    bytes_ -= found->second.bytes;
    order_.erase(place);
    deleted_order_.erase(place);
    rows_.erase(found);
}

void replica::apply_row(const table_row& row)
{
    if (!is_copied(row))
        return;
    const auto found = rows_.find(row.key);
    if (found != rows_.end() && found->second.row.version >= row.version)
        return;
    erase_row(row.key);
    const auto size = row_size(row);
    rows_.emplace(row.key, held_row{row, size});
    bytes_ += size;
    order_.emplace(row.version, row.key);
    if (row.deleted)
        deleted_order_.emplace(row.version, row.key);
    for (const auto& watch : observers_)
        watch(row);
}

void replica::advance(table_version version)
{
    version_ = std::max(version_, version);
    if (staged_ && staged_->target <= version_)
        staged_.reset();
    else if (staged_ && !staged_->snapshot && staged_->end < version_)
        raise_staged_end(version_);
    trim_tombstones();
}

void replica::trim_tombstones()
{
    while (deleted_order_.size() > settings_.max_tombstones) {
        const auto oldest = *deleted_order_.begin();
        deletions_from_ = std::max(deletions_from_, oldest.first);
        erase_row(oldest.second);
    }
}

std::optional<rows_request> replica::pull_if_behind(table_version version) const
{
    if (version <= version_)
        return std::nullopt;
    return pull_request();
}

rows_request replica::pull_request() const
{
    if (!staged_)
        return {version_, version_, std::nullopt};
    return {staged_->end, staged_->since, staged_->partial};
}

rows_delta replica::answer(const rows_request& request) const
{
    rows_delta piece;
    piece.head = version_;
    piece.snapshot = request.since < deletions_from_;
    piece.base = piece.snapshot ? 0 : std::min(request.after, version_);
    piece.end = piece.base;
    const auto* partial =
        !piece.snapshot && request.partial ? &*request.partial : nullptr;
    if (!piece.snapshot && request.after >= version_) {
        piece.base = piece.end = piece.head = request.after;
        return piece;
    }

    auto place = order_.lower_bound({piece.base + 1, std::string()});
    if (partial != nullptr && partial->version > piece.base) {
        place = order_.lower_bound({partial->version, partial->key});
        piece.follows = *partial;
    }
    piece_builder builder(piece, settings_);
    std::size_t rows_at_end = 0;
    for (; place != order_.end(); ++place) {
        const auto& held = rows_.find(place->second)->second;
        if (piece.snapshot && held.row.deleted)
            continue;
        const bool starts_version =
            piece.rows.empty() || piece.rows.back().version != place->first;
        if (starts_version && !piece.rows.empty()) {
            piece.end = piece.rows.back().version;
            rows_at_end = piece.rows.size();
        }
        const bool continued =
            partial != nullptr && partial->offset != 0 &&
            *place == order_key{partial->version, partial->key};
        if (!continued && held.bytes <= settings_.fragment_bytes &&
            builder.fits(held.bytes)) {
            builder.add(held.row, held.bytes);
            continue;
        }
        if (rows_at_end != 0) {
            // The piece ends with a whole version; this one starts the next.
            piece.rows.resize(rows_at_end);
        } else {
            builder.add_fragment(held.row, continued ? partial->offset : 0);
        }
        return piece;
    }
    piece.end = version_;
    return piece;
}

rows_delta replica::push(table_version known) const
{
    rows_delta announcement{version_, version_, version_, false, {}, {}, {}};
    if (known < deletions_from_ || known >= version_)
        return announcement;
    rows_delta delta{known, version_, version_, false, {}, {}, {}};
    std::size_t bytes = 0;
    auto place = order_.lower_bound({known + 1, std::string()});
    for (; place != order_.end(); ++place) {
        const auto& held = rows_.find(place->second)->second;
        bytes += held.bytes;
        if (bytes > settings_.push_bytes)
            return announcement;
        delta.rows.push_back(held.row);
    }
    return delta;
}

} // namespace fulmarjunction
