// JSON encoding of the items of probe messages, also used to compute their
// size.
#pragma once

#include <fulmarjunction/membership/probe_messages.hpp>

#include <boost/json/array.hpp>

namespace fulmarjunction::detail {

boost::json::array to_json(const zone_evidence& entry);
boost::json::array to_json(const instance_status& status);
boost::json::array to_json(const failure_report& report);

} // namespace fulmarjunction::detail
