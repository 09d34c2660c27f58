/// @file
/// Non-blocking output of log lines to a file descriptor.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarjunction {

/// Collects log lines and writes them in batches.
///
/// A slow reader must not delay requests: bytes that the descriptor does not
/// accept stay in a bounded buffer. When the buffer is full, lines are dropped
/// and counted, and a `log_lines_dropped` line reports their number.
class log_output
{
public:
    /// @param descriptor output descriptor; it is set to non-blocking mode
    /// @param capacity maximum size of the buffer in bytes
    explicit log_output(
        int descriptor, std::size_t capacity = default_capacity);

    void add(std::string_view line);

    /// Writes as many buffered bytes as the descriptor accepts.
    void flush();

    std::uint64_t dropped() const { return dropped_; }

    static constexpr std::size_t default_capacity = 256 * 1024;

private:
    int descriptor_;
    std::size_t capacity_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
};

} // namespace fulmarjunction
