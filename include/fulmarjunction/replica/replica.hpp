/// @file
/// An ordered copy of the table's rows.
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

/// Bounds of a replica.
struct replica_settings
{
    /// Largest row pushed or sent whole; a larger one goes in fragments.
    std::size_t fragment_bytes = 96 * 1024;
    /// Rows are pushed to neighbours up to this size; above it only the
    /// version is, and neighbours pull.
    std::size_t push_bytes = 4 * 1024;
    /// Deleted rows remembered for peers that are behind. Peers that are
    /// further behind get a snapshot.
    std::size_t max_tombstones = 4096;
    /// Largest row that is collected from fragments.
    std::size_t max_row_bytes = 8 * 1024 * 1024;
};

/// What a message did to the replica.
struct replica_update
{
    /// The version has advanced; neighbours are to be told (`push`).
    bool advanced = false;
    /// To be sent to the same peer: a gap was found or more pieces follow.
    std::optional<rows_request> pull;
};

/// Holds the newest rows. Versions only rise, and only whole: rows that
/// arrive in pieces are staged until the copy is complete at one version.
class replica
{
public:
    /// Called for each row that is applied, deletions included, in version
    /// order. Must not call back into the replica's non-const members.
    using observer = std::function<void(const table_row& row)>;

    explicit replica(replica_settings settings = {});

    /// Adds an observer; rows held already are reported to it at once.
    void observe(observer watch);

    /// Version up to which the copy is complete.
    table_version version() const { return version_; }

    /// Returns a row, or null when it is absent or deleted.
    const table_row* find(std::string_view key) const;

    /// Calls `visit` for each present row whose key starts with `prefix`.
    void for_each(
        std::string_view prefix,
        const std::function<void(const table_row&)>& visit) const;

    /// Applies what the table returned for `list(after)`.
    /// @param after version that the poll asked from, see `poll_after`
    replica_update apply_list(const row_list& list, table_version after);

    /// Version to poll the table from; ahead of `version()` while a long
    /// list is collected in several polls.
    table_version poll_after() const;

    /// Applies rows from a peer.
    replica_update apply_delta(const rows_delta& delta);

    /// A peer told its version (in a probe). Returns a pull request if it is
    /// ahead of this node.
    std::optional<rows_request> pull_if_behind(table_version version) const;

    /// Returns the request that continues from what is held.
    rows_request pull_request() const;

    /// Answers a peer's request with one piece.
    rows_delta answer(const rows_request& request) const;

    /// Returns what to push to a neighbour whose version is `known`: the
    /// rows when they are few, otherwise no rows and the new version.
    rows_delta push(table_version known) const;

    /// Present rows.
    std::size_t size() const { return rows_.size() - deleted_order_.size(); }
    /// Bytes held in keys and values, estimated by their JSON text.
    std::size_t bytes() const { return bytes_; }

private:
    using order_key = std::pair<table_version, std::string>;

    struct staging
    {
        bool snapshot = false;
        /// Everything up to here is held, in the rows or staged.
        table_version end = 0;
        /// Version at which the staged rows become complete.
        table_version target = 0;
        /// Newest version known when a snapshot began.
        table_version since = 0;
        std::map<std::string, table_row, std::less<>> rows;
        std::optional<partial_row> partial;
        std::string partial_text;
    };

    struct version_range
    {
        table_version base = 0;
        table_version end = 0;
        table_version head = 0;
        bool snapshot = false;
        /// Rows that were received earlier and staged belong to it.
        const partial_row* follows = nullptr;
    };

    struct held_row
    {
        table_row row;
        std::size_t bytes = 0;
    };

    replica_update apply_piece(
        const version_range& part, const std::vector<table_row>& rows,
        const row_fragment* fragment);
    table_version held_end() const;
    staging& open_staging(const version_range& part);
    bool continues_staged(const version_range& part) const;
    void raise_staged_end(table_version end);
    void stage(table_row row);
    bool stage_fragment(const row_fragment& fragment);
    void apply_complete(
        const version_range& part, const std::vector<table_row>& rows);
    void commit_staged();
    void remove_missing(const staging& staged);
    void apply_row(const table_row& row);
    void erase_row(const std::string& key);
    void trim_tombstones();
    void advance(table_version version);

    replica_settings settings_;
    std::vector<observer> observers_;
    std::map<std::string, held_row, std::less<>> rows_;
    std::set<order_key> order_;
    std::set<order_key> deleted_order_;
    std::optional<staging> staged_;
    table_version version_ = 0;
    /// Deletions after this version are all remembered.
    table_version deletions_from_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace fulmarjunction
