#include <fulmarjunction/serving/body.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>

#include <algorithm>
#include <cstring>
#include <memory>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

body_reader request_body::open()
{
    if (is_whole)
        return string_body(prefix);
    struct state
    {
        body_reader first;
        body_reader rest;
        bool in_rest = false;
    };
    auto shared = std::make_shared<state>(
        state{string_body(std::move(prefix)), std::move(rest)});
    return [shared](
               asio::mutable_buffer buffer) -> awaitable<result<std::size_t>> {
        if (!shared->in_rest) {
            auto size = co_await shared->first(buffer);
            if (!size || size.value() != 0)
                co_return size;
            shared->in_rest = true;
        }
        co_return co_await shared->rest(buffer);
    };
}

awaitable<result<request_body>> buffer_request_body(body_reader body)
{
    constexpr std::size_t chunk_bytes = 16 * 1024;
    request_body buffered;
    if (!body)
        co_return buffered;
    while (buffered.prefix.size() < repeatable_body_bytes) {
        const auto filled = buffered.prefix.size();
        const auto wanted =
            std::min(chunk_bytes, repeatable_body_bytes - filled);
        buffered.prefix.resize(filled + wanted);
        const auto size = co_await body(
            asio::buffer(buffered.prefix.data() + filled, wanted));
        if (!size)
            co_return size.error();
        buffered.prefix.resize(filled + size.value());
        if (size.value() == 0)
            co_return buffered;
    }
    buffered.is_whole = false;
    buffered.rest = std::move(body);
    co_return buffered;
}

namespace {

/// Scans a stream for a secret, holding back what may be its beginning.
class secret_scanner
{
public:
    secret_scanner(body_reader body, std::string secret)
        : body_(std::move(body)), secret_(std::move(secret))
    {
    }

    awaitable<result<std::size_t>> read(asio::mutable_buffer buffer)
    {
        while (ready_ == 0 && !ended_) {
            const auto filled = held_.size();
            held_.resize(filled + chunk_bytes);
            const auto size = co_await body_(
                asio::buffer(held_.data() + filled, chunk_bytes));
            held_.resize(filled + (size ? size.value() : 0));
            if (!size)
                co_return size.error();
            ended_ = size.value() == 0;
            if (held_.find(secret_) != std::string::npos)
                co_return fail(
                    errc::unauthorized, "read body", {}, "key in the body");
            ready_ = ended_ ? held_.size() : held_.size() - tail_length();
        }
        const auto size = std::min(ready_, buffer.size());
        std::memcpy(buffer.data(), held_.data(), size);
        held_.erase(0, size);
        ready_ -= size;
        co_return size;
    }

private:
    /// Length of the longest end of `held_` that begins the secret.
    std::size_t tail_length() const
    {
        auto length = std::min(held_.size(), secret_.size() - 1);
        while (length > 0 &&
               !held_.ends_with(std::string_view(secret_).substr(0, length)))
            --length;
        return length;
    }

    static constexpr std::size_t chunk_bytes = 16 * 1024;
    body_reader body_;
    std::string secret_;
    std::string held_;
    std::size_t ready_ = 0;
    bool ended_ = false;
};

/// Reports the end of a body once.
class end_reporter
{
public:
    end_reporter(body_reader body, body_end_hook at_end)
        : body_(std::move(body)), at_end_(std::move(at_end))
    {
    }
    end_reporter(const end_reporter&) = delete;
    end_reporter& operator=(const end_reporter&) = delete;
    ~end_reporter() { report(false); }

    awaitable<result<std::size_t>> read(asio::mutable_buffer buffer)
    {
        auto size = co_await body_(buffer);
        if (!size)
            report(false);
        else if (size.value() == 0)
            report(true);
        co_return size;
    }

private:
    void report(bool is_complete)
    {
        // The inner body goes first, so that its connection is closed or
        // free again when the hook runs.
        if (auto hook = std::exchange(at_end_, nullptr)) {
            if (!is_complete)
                body_ = nullptr;
            hook(is_complete);
        }
    }

    body_reader body_;
    body_end_hook at_end_;
};

} // namespace

body_reader guard_secret(body_reader body, std::string secret)
{
    if (secret.empty() || !body)
        return body;
    auto scanner =
        std::make_shared<secret_scanner>(std::move(body), std::move(secret));
    return [scanner](asio::mutable_buffer buffer) {
        return scanner->read(buffer);
    };
}

body_reader with_end_hook(body_reader body, body_end_hook at_end)
{
    auto reporter =
        std::make_shared<end_reporter>(std::move(body), std::move(at_end));
    return [reporter](asio::mutable_buffer buffer) {
        return reporter->read(buffer);
    };
}

body_reader with_idle_limit(
    body_reader body, const asio::any_io_executor& executor, duration limit,
    std::string peer)
{
    auto shared = std::make_shared<body_reader>(std::move(body));
    return [shared, executor, limit, peer](
               asio::mutable_buffer buffer) -> awaitable<result<std::size_t>> {
        const cancel_event expired(executor);
        asio::steady_timer timer(executor, limit);
        timer.async_wait([expired](const boost::system::error_code& problem) {
            if (!problem)
                expired.cancel();
        });
        auto size =
            co_await run_cancelable((*shared)(buffer), expired, "read body");
        if (!size && expired.is_canceled())
            co_return fail(errc::timeout, "read body", peer, "no progress");
        co_return size;
    };
}

} // namespace fulmarjunction
