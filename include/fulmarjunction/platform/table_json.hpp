/// @file
/// JSON documents of the platform's protocol (docs/platform-protocol.md).
#pragma once

#include <fulmarjunction/platform/table_service.hpp>

#include <boost/json/value.hpp>

namespace fulmarjunction {

boost::json::value to_json(const table_row& row);
boost::json::value to_json(const row_list& list);
boost::json::value to_json(const table_transaction& change);

/// Reads a row of an answer; unknown fields are ignored.
result<table_row> parse_table_row(const boost::json::value& document);

/// Reads a list of an answer; rows must be in version order and not above
/// `complete_to`.
result<row_list> parse_row_list(const boost::json::value& document);

/// Reads a transaction of a request; unknown fields are refused, because a
/// condition that is misspelt must not be dropped.
result<table_transaction>
parse_table_transaction(const boost::json::value& document);

} // namespace fulmarjunction
