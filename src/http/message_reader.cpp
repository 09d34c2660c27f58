#include <http/message_reader.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace fulmarjunction::detail {

message_reader::message_reader(
    std::shared_ptr<connection> source, message_kind kind, bool skip_body)
    : source_(std::move(source)), kind_(kind), parser_(kind, skip_body)
{
}

boost::asio::awaitable<head_outcome>
message_reader::read_head(std::size_t limit, time_point until)
{
    for (;;) {
        const auto check = check_head(source_->input(), limit, kind_);
        if (check.verdict == head_verdict::malformed)
            co_return head_outcome::malformed;
        if (check.verdict == head_verdict::too_large)
            co_return head_outcome::too_large;
        if (check.verdict == head_verdict::acceptable) {
            auto head =
                parser_.parse_head(source_->input().substr(0, check.size));
            if (!head)
                co_return head_outcome::malformed;
            head_ = std::move(*head);
            source_->consume(check.size);
            co_return head_outcome::parsed;
        }
        if (source_->has_ended() || !source_->is_open())
            co_return head_outcome::ended;
        if (clock::now() >= until)
            co_return head_outcome::timed_out;
        co_await source_->wait_input(until);
    }
}

result<std::size_t> message_reader::read_available(
    boost::asio::mutable_buffer output, bool& needs_input)
{
    needs_input = false;
    if (canceled_)
        return fail(errc::canceled, "read body", {}, "the exchange has ended");
    if (parser_.is_done())
        return std::size_t{0};
    const auto progress = parser_.parse_body(source_->input(), output);
    source_->consume(progress.consumed);
    if (progress.malformed)
        return fail(errc::malformed, "read body");
    if (progress.produced > 0 || parser_.is_done())
        return progress.produced;
    if (source_->has_ended() || !source_->is_open()) {
        if (source_->has_clean_end() && parser_.end_of_input())
            return std::size_t{0};
        return fail(errc::truncated, "read body");
    }
    if (source_->is_full())
        return fail(errc::malformed, "read body", {}, "chunk header too long");
    needs_input = true;
    return std::size_t{0};
}

awaitable<result<std::size_t>> message_reader::read_body(
    std::shared_ptr<message_reader> self, milliseconds idle_timeout,
    boost::asio::mutable_buffer output, time_point deadline)
{
    if (output.size() == 0)
        co_return fail(errc::invalid_argument, "read body", {}, "no buffer");
    const auto until =
        std::min<time_point>(deadline, clock::now() + idle_timeout);
    for (;;) {
        // What has arrived is still passed on after the deadline: it may have
        // waited for the answers before it on the caller's connection.
        bool needs_input = false;
        auto received = self->read_available(output, needs_input);
        if (!needs_input)
            co_return received;
        if (clock::now() >= deadline)
            co_return fail(errc::timeout, "read body", {}, "deadline");
        if (clock::now() >= until)
            co_return fail(errc::timeout, "read body", {}, "no progress");
        if (auto action = std::exchange(self->before_body, nullptr))
            co_await action();
        else
            co_await self->source_->wait_input(until);
    }
}

void message_reader::consume_last_chunk()
{
    std::array<char, 1> unused_output{};
    if (parser_.is_done() || canceled_)
        return;
    // Only the last chunk can be parsed without an output buffer.
    const auto input = source_->input();
    if (!input.starts_with("0\r\n\r\n") && !input.starts_with("\r\n0\r\n\r\n"))
        return;
    const auto progress =
        parser_.parse_body(input, boost::asio::buffer(unused_output));
    source_->consume(progress.consumed);
}

void message_reader::cancel()
{
    canceled_ = true;
    source_->wake();
}

} // namespace fulmarjunction::detail
