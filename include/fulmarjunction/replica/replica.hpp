/// @file
/// Local replica of the table's rows, ordered by version.
#pragma once

#include <fulmarjunction/platform/table_service.hpp>
#include <fulmarjunction/replica/rows_messages.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarjunction {

/// Limits of a replica.
struct replica_settings
{
    /// Maximum size of a row that is sent whole; a larger row is sent in
    /// fragments.
    std::size_t fragment_bytes = 96 * 1024;
    /// Maximum total size of rows pushed to neighbours. Above it only the
    /// version is pushed, and the neighbours pull the rows.
    std::size_t push_bytes = 4 * 1024;
    /// Maximum number of tombstones (deleted rows) kept for peers that are
    /// behind. Peers that miss older deletions get a snapshot.
    std::size_t max_tombstones = 4096;
    /// Maximum size of a row that is assembled from fragments.
    std::size_t max_row_bytes = 8 * 1024 * 1024;
};

/// Effect of a message on the replica.
struct replica_update
{
    /// The version has advanced, so the change is to be pushed to neighbours
    /// (`push`).
    bool advanced = false;
    /// Request to send to the same peer, because a gap was found or more pieces
    /// follow.
    std::optional<rows_request> pull;
};

/// Holds the newest known rows. The version never decreases, and each version
/// becomes visible as a whole: rows that arrive in pieces are staged until they
/// are complete at one version.
class replica
{
public:
    /// Called in version order for each applied row, including deletions. Must
    /// not call non-const members of the replica.
    using observer = std::function<void(const table_row& row)>;

    explicit replica(replica_settings settings = {});

    /// Adds an observer and calls it for all rows that are already held.
    void observe(observer callback);

    /// Version up to which the replica is complete.
    table_version version() const { return version_; }

    /// Returns a row, or null when it is absent or deleted.
    const table_row* find(std::string_view key) const;

    /// Calls `visit` for each present row whose key starts with `prefix`.
    void for_each(
        std::string_view prefix,
        const std::function<void(const table_row&)>& visit) const;

    /// Applies the result of `list(after)` on the table.
    /// @param after version from which the poll requested rows, see
    ///        `poll_after`
    replica_update apply_list(const row_list& list, table_version after);

    /// Version after which to poll the table. It is ahead of `version()` while
    /// a long list is fetched in several polls.
    table_version poll_after() const;

    /// Applies rows received from a peer.
    replica_update apply_delta(const rows_delta& delta);

    /// Returns a pull request if a peer's version (from a probe) is ahead of
    /// this replica.
    std::optional<rows_request> pull_if_behind(table_version version) const;

    /// Returns the request for the rows after those held or staged.
    rows_request pull_request() const;

    /// Returns the next piece of rows for a peer's request.
    rows_delta answer(const rows_request& request) const;

    /// Returns the message to push to a neighbour at version `known`: the
    /// changed rows if they are small enough, otherwise only the new version.
    rows_delta push(table_version known) const;

    /// Number of rows that are not deleted.
    std::size_t size() const
    {
        return rows_.size() - tombstones_by_version_.size();
    }
    /// Estimated bytes of the rows held, by the size of their JSON text.
    std::size_t bytes() const { return bytes_; }

private:
    using version_key = std::pair<table_version, std::string>;

    /// Rows received in pieces that are not complete yet.
    struct staging
    {
        bool snapshot = false;
        /// All rows up to this version are held, applied or staged.
        table_version end = 0;
        /// Version at which the staged rows become complete.
        table_version target = 0;
        /// Newest version known when the snapshot began.
        table_version since = 0;
        std::map<std::string, table_row, std::less<>> rows;
        std::optional<partial_row> partial;
        std::string partial_text;
    };

    /// Versions that a piece covers.
    struct version_range
    {
        table_version base = 0;
        table_version end = 0;
        table_version head = 0;
        bool snapshot = false;
        /// Position that the piece continues from; the rows before it must be
        /// staged. Null if the piece starts at `base`.
        const partial_row* follows = nullptr;
    };

    struct held_row
    {
        table_row row;
        std::size_t bytes = 0;
    };

    replica_update apply_piece(
        const version_range& range, const std::vector<table_row>& rows,
        const row_fragment* fragment);
    table_version held_end() const;
    staging& open_staging(const version_range& range);
    bool continues_staged(const version_range& range) const;
    void raise_staged_end(table_version end);
    void stage(table_row row);
    bool stage_fragment(const row_fragment& fragment);
    void apply_complete(
        const version_range& range, const std::vector<table_row>& rows);
    void commit_staged();
    void delete_missing_rows(const staging& staged);
    void apply_row(const table_row& row);
    void erase_row(const std::string& key);
    void trim_tombstones();
    void advance(table_version version);

    replica_settings settings_;
    std::vector<observer> observers_;
    std::map<std::string, held_row, std::less<>> rows_;
    std::set<version_key> rows_by_version_;
    std::set<version_key> tombstones_by_version_;
    std::optional<staging> staged_;
    table_version version_ = 0;
    /// All deletions after this version are still held as tombstones.
    table_version deletions_from_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace fulmarjunction
