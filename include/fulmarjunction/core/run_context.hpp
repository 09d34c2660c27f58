/// @file
/// Event loop that survives exceptions.
#pragma once

#include <boost/asio/io_context.hpp>

namespace fulmarjunction {

/// Runs handlers until the context is stopped or has no work left. An exception
/// that escapes a handler is logged and ends that handler only.
void run_context(boost::asio::io_context& context);

} // namespace fulmarjunction
