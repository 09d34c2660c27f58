/// @file
/// Requested behaviour and recorded runs of a backend server stand-in.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace fulmarjunction::detail {

/// Behaviour of one request, as specified by the query parameters of its
/// target.
struct run_plan
{
    std::string id;
    milliseconds work{0};
    std::uint64_t body_bytes = 0;
    milliseconds chunk_interval{0};
    int status = 200;
    bool crash = false;
    bool refuse = false;
    bool hang = false;
    bool truncate = false;
    bool parallel = false;
    /// Targets of the child calls, in order.
    std::vector<std::string> calls;
    std::string call_method = "GET";
};

/// Parses the query parameters of a target. Unknown parameters are an error,
/// because with a misspelt one a test would pass without injecting its fault.
result<run_plan> parse_run_plan(std::string_view target);

/// One run, as returned by `GET /standin/history`. Times are microseconds of
/// the monotonic clock.
struct run_record
{
    std::string id;
    std::string target;
    std::string account;
    std::int64_t started_us = 0;
    std::int64_t ended_us = 0;
    bool completed = false;
    bool canceled = false;
    header_fields headers;
};

boost::json::value to_json(const run_record& record);

/// Returns the current time of the monotonic clock in microseconds.
std::int64_t record_time_us();

/// Keeps the most recent runs.
class run_history
{
public:
    std::shared_ptr<run_record> add(run_record record);
    boost::json::value to_json() const;

private:
    std::deque<std::shared_ptr<run_record>> records_;
};

} // namespace fulmarjunction::detail
