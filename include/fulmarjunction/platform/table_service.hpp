/// @file
/// Interface of the platform's transactional table service.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/names.hpp>

#include <boost/json/value.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmarjunction {

/// One row. A deleted row keeps its key and the version of the deletion.
struct table_row
{
    std::string key;
    boost::json::value value;
    table_version version = 0;
    bool deleted = false;
};

/// Version that a row must have for a transaction to take effect.
struct row_condition
{
    std::string key;
    /// 0 means that the row must be absent.
    table_version expected = 0;
};

/// Writes a row, or deletes it when `value` is empty.
struct row_write
{
    std::string key;
    std::optional<boost::json::value> value;
};

/// Conditions and writes that take effect atomically.
struct table_transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/// Rows changed after a version, in version order.
struct row_list
{
    std::vector<table_row> rows;
    /// Version up to which `rows` is complete.
    table_version complete_to = 0;
    /// Version of the table when the list was read.
    table_version head = 0;
};

/// Interface of the table service; an adapter sets its functions.
///
/// Errors: `errc::timeout`, `errc::connection_failed`,
/// `errc::connection_broken` and `errc::unavailable` do not determine whether a
/// transaction took effect, except for `errc::connection_failed`, which
/// means that nothing was sent. `errc::conflict` means that a condition did
/// not hold and nothing was written.
struct table_service
{
    /// Returns the row, or nothing when it is absent.
    std::function<awaitable<result<std::optional<table_row>>>(std::string key)>
        get;
    /// Returns rows changed after `after`, at most `limit`.
    std::function<awaitable<result<row_list>>(
        table_version after, std::size_t limit)>
        list;
    /// Commits and returns the new version.
    std::function<awaitable<result<table_version>>(table_transaction change)>
        commit;
};

/// Interface of the object store.
struct object_store
{
    std::function<awaitable<result<std::string>>(std::string name)> get;
    std::function<awaitable<result<void>>(std::string name, std::string data)>
        put;
};

} // namespace fulmarjunction
