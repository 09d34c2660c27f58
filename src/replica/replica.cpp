#include <fulmarjunction/replica/replica.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Bytes reserved for the members of a message other than its rows.
constexpr std::size_t message_overhead_bytes = 4 * 1024;
/// Worst-case growth of a fragment's text by JSON escaping: quotes and
/// backslashes take two bytes each.
constexpr std::size_t escape_factor = 2;
/// Minimum size of a fragment. A smaller one is not worth sending.
constexpr std::size_t min_fragment_bytes = 1024;
constexpr std::string_view audit_prefix = "audit/";

bool is_replicated(const table_row& row)
{
    return !row.key.starts_with(audit_prefix);
}

/// Returns the longest substring of `text` from `offset` that has at most
/// `limit` bytes and does not end inside a UTF-8 sequence.
std::string_view
utf8_substring(std::string_view text, std::size_t offset, std::size_t limit)
{
    auto size = std::min(limit, text.size() - offset);
    const auto is_continuation = [&](std::size_t index) {
        return (static_cast<unsigned char>(text[index]) & 0xc0U) == 0x80U;
    };
    while (size != 0 && offset + size != text.size() &&
           is_continuation(offset + size))
        --size;
    return text.substr(offset, size);
}

/// Adds rows to a piece up to the maximum message size.
class piece_builder
{
public:
    piece_builder(rows_delta& piece, const replica_settings& settings)
        : piece_(piece), settings_(settings)
    {
    }

    bool fits(std::size_t bytes) const { return bytes <= remaining_bytes_; }

    void add(const table_row& row, std::size_t bytes)
    {
        piece_.rows.push_back(row);
        remaining_bytes_ -= bytes;
    }

    void add_fragment(const table_row& row, std::uint64_t offset)
    {
        const auto text = boost::json::serialize(row.value);
        const auto start = offset <= text.size() ? offset : 0;
        auto limit = std::min(
            remaining_bytes_ / escape_factor, settings_.fragment_bytes);
        if (limit < min_fragment_bytes)
            limit = 0;
        piece_.fragment = row_fragment{
            row.key, row.version, start, text.size(),
            std::string(utf8_substring(text, start, limit))};
    }

private:
    rows_delta& piece_;
    const replica_settings& settings_;
    std::size_t remaining_bytes_ =
        max_rows_message_bytes - message_overhead_bytes;
};

} // namespace

replica::replica(replica_settings settings) : settings_(settings) {}

void replica::observe(observer callback)
{
    for (const auto& entry : rows_by_version_)
        callback(rows_.find(entry.second)->second.row);
    observers_.push_back(std::move(callback));
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
    auto it = rows_.lower_bound(prefix);
    for (; it != rows_.end() && it->first.starts_with(prefix); ++it) {
        if (!it->second.row.deleted)
            visit(it->second.row);
    }
}

table_version replica::held_end() const
{
    return staged_ ? staged_->end : version_;
}

table_version replica::poll_after() const
{
    // A peer sends a snapshot when it no longer holds the tombstones. The table
    // still does, so a poll continues from the last complete version.
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
    const version_range& range, const std::vector<table_row>& rows,
    const row_fragment* fragment)
{
    if (range.head <= version_)
        return {};
    const auto before = version_;
    if (range.follows != nullptr && !continues_staged(range))
        return {false, pull_request()};
    const bool is_complete = range.end >= range.head && fragment == nullptr &&
                             range.follows == nullptr;
    if (is_complete && !range.snapshot && range.base <= version_) {
        apply_complete(range, rows);
        return {version_ > before, std::nullopt};
    }
    if (!range.snapshot && range.base > held_end())
        return {false, pull_request()};

    auto& staged = open_staging(range);
    for (const auto& row : rows)
        stage(row);
    const bool made_progress =
        range.end > staged.end || !rows.empty() || fragment != nullptr;
    if (range.end > staged.end)
        raise_staged_end(range.end);
    if (fragment != nullptr && !stage_fragment(*fragment)) {
        staged_.reset();
        return {};
    }
    if (staged.end >= staged.target)
        commit_staged();
    replica_update update{version_ > before, std::nullopt};
    // Without progress this peer holds no more than this node; probes will find
    // a peer that does.
    if (staged_ && made_progress)
        update.pull = pull_request();
    return update;
}

replica::staging& replica::open_staging(const version_range& range)
{
    if (!staged_ || range.snapshot) {
        staged_.emplace(staging{});
        staged_->snapshot = range.snapshot;
        staged_->end = range.snapshot ? 0 : version_;
        staged_->since = range.snapshot ? range.head : version_;
    }
    // Rows that changed between the piece's end and its head are missing from
    // the piece, so the staged rows are consistent only at the head.
    staged_->target = std::max(staged_->target, range.head);
    return *staged_;
}

bool replica::continues_staged(const version_range& range) const
{
    return staged_ && staged_->partial &&
           staged_->partial->key == range.follows->key &&
           staged_->partial->version == range.follows->version &&
           staged_->partial->offset == range.follows->offset;
}

void replica::raise_staged_end(table_version end)
{
    staged_->end = end;
    staged_->partial.reset();
    staged_->partial_text.clear();
}

void replica::stage(table_row row)
{
    if (!is_replicated(row))
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
    // Resumes at the next possible key after this row.
    staged.partial =
        partial_row{fragment.key + std::string(1, '\0'), fragment.version, 0};
    return true;
}

void replica::apply_complete(
    const version_range& range, const std::vector<table_row>& rows)
{
    auto ordered = rows;
    std::stable_sort(
        ordered.begin(), ordered.end(),
        [](const table_row& left, const table_row& right) {
            return left.version < right.version;
        });
    for (const auto& row : ordered) {
        if (row.version > version_ && row.version <= range.end)
            apply_row(row);
    }
    advance(range.end);
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
        delete_missing_rows(staged);
    for (const auto& row : rows)
        apply_row(row);
    if (staged.snapshot)
        deletions_from_ = staged.end;
    advance(staged.end);
}

void replica::delete_missing_rows(const staging& staged)
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
        for (const auto& callback : observers_)
            callback({key, nullptr, staged.end, true});
    }
}

void replica::erase_row(const std::string& key)
{
    const auto found = rows_.find(key);
    if (found == rows_.end())
        return;
    const version_key position{found->second.row.version, key};
    bytes_ -= found->second.bytes;
    rows_by_version_.erase(position);
    tombstones_by_version_.erase(position);
    rows_.erase(found);
}

void replica::apply_row(const table_row& row)
{
    if (!is_replicated(row))
        return;
    const auto found = rows_.find(row.key);
    if (found != rows_.end() && found->second.row.version >= row.version)
        return;
    erase_row(row.key);
    const auto size = row_size(row);
    rows_.emplace(row.key, held_row{row, size});
    bytes_ += size;
    rows_by_version_.emplace(row.version, row.key);
    if (row.deleted)
        tombstones_by_version_.emplace(row.version, row.key);
    for (const auto& callback : observers_)
        callback(row);
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
    while (tombstones_by_version_.size() > settings_.max_tombstones) {
        const auto oldest = *tombstones_by_version_.begin();
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

    auto position =
        rows_by_version_.lower_bound({piece.base + 1, std::string()});
    if (partial != nullptr && partial->version > piece.base) {
        position =
            rows_by_version_.lower_bound({partial->version, partial->key});
        piece.follows = *partial;
    }
    piece_builder builder(piece, settings_);
    std::size_t rows_at_end = 0;
    for (; position != rows_by_version_.end(); ++position) {
        const auto& held = rows_.find(position->second)->second;
        if (piece.snapshot && held.row.deleted)
            continue;
        const bool starts_version =
            piece.rows.empty() || piece.rows.back().version != position->first;
        if (starts_version && !piece.rows.empty()) {
            piece.end = piece.rows.back().version;
            rows_at_end = piece.rows.size();
        }
        const bool is_continued =
            partial != nullptr && partial->offset != 0 &&
            *position == version_key{partial->version, partial->key};
        if (!is_continued && held.bytes <= settings_.fragment_bytes &&
            builder.fits(held.bytes)) {
            builder.add(held.row, held.bytes);
            continue;
        }
        if (rows_at_end != 0) {
            // Ends the piece at a complete version. The next piece starts with
            // this version.
            piece.rows.resize(rows_at_end);
        } else {
            builder.add_fragment(held.row, is_continued ? partial->offset : 0);
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
    auto position = rows_by_version_.lower_bound({known + 1, std::string()});
    for (; position != rows_by_version_.end(); ++position) {
        const auto& held = rows_.find(position->second)->second;
        bytes += held.bytes;
        if (bytes > settings_.push_bytes)
            return announcement;
        delta.rows.push_back(held.row);
    }
    return delta;
}

} // namespace fulmarjunction
