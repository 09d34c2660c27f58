#include <fulmarjunction/core/log_output.hpp>

#include <fmt/format.h>

#include <fcntl.h>
#include <unistd.h>

namespace fulmarjunction {

namespace {

/// Buffer size above which `add` writes immediately instead of leaving the
/// lines to the next flush.
constexpr std::size_t batch_bytes = 32 * 1024;

} // namespace

log_output::log_output(int descriptor, std::size_t capacity)
    : descriptor_(descriptor), capacity_(capacity)
{
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void log_output::add(std::string_view line)
{
    if (buffer_.size() + line.size() + 1 > capacity_) {
        ++dropped_;
        return;
    }
    buffer_ += line;
    buffer_ += '\n';
    if (buffer_.size() >= batch_bytes)
        flush();
}

void log_output::flush()
{
    if (dropped_ > reported_ && buffer_.size() < capacity_ / 2) {
        buffer_ += fmt::format(
            "event=log_lines_dropped count={}\n", dropped_ - reported_);
        reported_ = dropped_;
    }
    while (!buffer_.empty()) {
        const auto size = write(descriptor_, buffer_.data(), buffer_.size());
        if (size <= 0)
            return;
        buffer_.erase(0, static_cast<std::size_t>(size));
    }
}

} // namespace fulmarjunction
