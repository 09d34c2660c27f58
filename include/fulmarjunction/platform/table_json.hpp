/// @file
/// JSON documents of the platform's protocol (docs/platform-protocol.md).
#pragma once

#include <fulmarjunction/platform/table_service.hpp>

#include <boost/json/value.hpp>

namespace fulmarjunction {

boost::json::value to_json(const table_row& row);
boost::json::value to_json(const row_list& list);
boost::json::value to_json(const table_transaction& change);

/// Parses a row of an answer; unknown fields are ignored.
result<table_row> parse_table_row(const boost::json::value& document);

/// Parses a list of an answer; rows must be in version order and not above
/// `complete_to`.
result<row_list> parse_row_list(const boost::json::value& document);

/// Parses a transaction of a request. Unknown fields are refused, because a
/// misspelled condition must not be ignored.
result<table_transaction>
parse_table_transaction(const boost::json::value& document);

} // namespace fulmarjunction
