#include <http/connection.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstring>
#include <utility>

namespace fulmarjunction::detail {

namespace asio = boost::asio;

namespace {

/// Empty input buffers up to this size are kept allocated; larger ones are
/// freed, so that thousands of idle connections do not hold the full transfer
/// size each.
constexpr std::size_t small_input_size = 1024;

/// While the buffer is full nothing is read, so the kernel is polled at this
/// interval for the end of the connection.
constexpr milliseconds peer_check_interval{500};

asio::awaitable<void> wait_until(asio::steady_timer& timer, time_point until)
{
    boost::system::error_code ignored;
    timer.expires_at(until);
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

connection::connection(byte_stream stream, std::size_t max_header_bytes)
    : stream_(std::move(stream)),
      capacity_(
          std::max(max_buffered_input - transfer_size, max_header_bytes + 1)),
      input_changed_(stream_.socket().get_executor()),
      space_available_(stream_.socket().get_executor()),
      output_unlocked_(stream_.socket().get_executor()),
      write_timer_(stream_.socket().get_executor())
{
}

void connection::start()
{
    asio::co_spawn(
        stream_.socket().get_executor(),
        [self = shared_from_this()] { return self->read_ahead(); },
        [self = shared_from_this()](const std::exception_ptr&) {
            self->end_input(false);
        });
}

std::string_view connection::input() const
{
    const auto data = input_.data();
    return {static_cast<const char*>(data.data()), data.size()};
}

void connection::consume(std::size_t size)
{
    input_.consume(size);
    if (input_.size() == 0 && input_.capacity() > small_input_size)
        input_.shrink_to_fit();
    if (!is_full())
        space_available_.cancel();
}

asio::awaitable<void> connection::wait_input(time_point until)
{
    co_await wait_until(input_changed_, until);
}

asio::awaitable<void> connection::read_ahead()
{
    while (open_) {
        co_await wait_for_space();
        if (!open_)
            break;
        const auto free_size = capacity_ - input_.size();
        const auto received =
            co_await stream_.read_some(std::min(transfer_size, free_size));
        if (!received.bytes.empty())
            append(received.bytes);
        if (received.failure) {
            // Under TLS, an end without close_notify is `stream_truncated`.
            end_input(received.failure == asio::error::eof);
            co_return;
        }
    }
}

asio::awaitable<void> connection::wait_for_space()
{
    while (is_full() && open_) {
        co_await wait_until(
            space_available_, clock::now() + peer_check_interval);
        if (is_full() && stream_.is_peer_gone()) {
            // The peer has disconnected; buffered input can still be read.
            end_input(false);
            co_return;
        }
    }
}

void connection::append(std::string_view bytes)
{
    const auto space = input_.prepare(bytes.size());
    std::memcpy(space.data(), bytes.data(), bytes.size());
    input_.commit(bytes.size());
    peak_input_ = std::max(peak_input_, input_.size());
    input_changed_.cancel();
}

void connection::end_input(bool clean)
{
    if (std::exchange(ended_, true))
        return;
    clean_end_ = clean;
    input_changed_.cancel();
    if (auto action = std::exchange(on_end, nullptr))
        action();
}

asio::awaitable<void> connection::lock_output()
{
    while (writing_)
        co_await wait_until(output_unlocked_, time_point::max());
    writing_ = true;
}

void connection::unlock_output()
{
    writing_ = false;
    write_timer_.expires_at(time_point::max());
    output_unlocked_.cancel();
}

void connection::start_write_timer(milliseconds idle_timeout)
{
    write_timer_.expires_after(idle_timeout);
    write_timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code failure) {
            const auto self = weak.lock();
            // The timer may have been restarted since it expired.
            if (self && !failure && self->write_timer_.expiry() <= clock::now())
                self->abort();
        });
}

asio::awaitable<io_result>
connection::write(asio::const_buffer bytes, milliseconds idle_timeout)
{
    co_await lock_output();
    struct output_guard
    {
        connection& owner;
        bool done = false;
        ~output_guard()
        {
            owner.unlock_output();
            if (!done)
                owner.abort();
        }
    } guard{*this};
    io_result total;
    while (bytes.size() > 0) {
        start_write_timer(idle_timeout);
        const auto written = co_await stream_.write_some(bytes);
        total.size += written.size;
        written_ += written.size;
        total.failure = written.failure;
        if (written.failure)
            co_return total;
        bytes += written.size;
    }
    guard.done = true;
    co_return total;
}

asio::awaitable<void> connection::close_gracefully(time_point until)
{
    write_timer_.expires_at(until);
    write_timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code failure) {
            const auto self = weak.lock();
            if (self && !failure)
                self->close();
        });
    co_await stream_.shutdown_send();
    while (open_ && !ended_) {
        consume(input_.size());
        co_await wait_input(until);
    }
    close();
}

void connection::close()
{
    if (!std::exchange(open_, false))
        return;
    stream_.close();
    write_timer_.cancel();
    space_available_.cancel();
    input_changed_.cancel();
}

void connection::abort()
{
    if (open_)
        stream_.abort();
    close();
}

} // namespace fulmarjunction::detail
