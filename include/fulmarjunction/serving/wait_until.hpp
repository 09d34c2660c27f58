/// @file
/// Waiting for a condition that has no event of its own.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>

namespace fulmarjunction {

/// Polls `is_done` until it returns true or the deadline has passed.
/// @param is_done null waits for the deadline alone
awaitable<void> wait_until(
    boost::asio::any_io_executor executor, std::function<bool()> is_done,
    time_point deadline);

} // namespace fulmarjunction
