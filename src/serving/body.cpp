#include <fulmarjunction/serving/body.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>

#include <algorithm>
#include <cstring>
#include <memory>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

// Coroutines here take their state by value: a reader may be destroyed while
// one of its reads is suspended.

/// A prefix that was read ahead and the reader of the rest.
struct continued_body
{
    body_reader first;
    body_reader rest;
    bool in_rest = false;
};

awaitable<result<std::size_t>> read_continued(
    std::shared_ptr<continued_body> body, asio::mutable_buffer buffer)
{
    if (!body->in_rest) {
        auto size = co_await body->first(buffer);
        if (!size || size.value() != 0)
            co_return size;
        body->in_rest = true;
    }
    co_return co_await body->rest(buffer);
}

awaitable<result<std::size_t>> read_limited(
    std::shared_ptr<body_reader> body, asio::any_io_executor executor,
    duration limit, std::string peer, asio::mutable_buffer buffer)
{
    auto size = co_await run_with_deadline(
        (*body)(buffer), executor, clock::now() + limit, "read body");
    if (!size && size.error().code == errc::timeout)
        co_return fail(errc::timeout, "read body", peer, "no progress");
    co_return size;
}

} // namespace

body_reader request_body::open()
{
    if (is_whole)
        return string_body(prefix);
    auto shared = std::make_shared<continued_body>();
    shared->first = string_body(std::move(prefix));
    shared->rest = std::move(rest);
    return [shared](asio::mutable_buffer buffer) {
        return read_continued(shared, buffer);
    };
}

awaitable<result<request_body>> buffer_request_body(body_reader body)
{
    request_body nothing_read;
    if (!body)
        co_return nothing_read;
    nothing_read.is_whole = false;
    nothing_read.rest = std::move(body);
    co_return co_await continue_buffering(
        std::move(nothing_read), max_buffered_body_bytes);
}

awaitable<result<request_body>>
continue_buffering(request_body body, std::size_t max_bytes)
{
    constexpr std::size_t chunk_bytes = 16 * 1024;
    auto& buffer = body.prefix;
    while (!body.is_whole && buffer.size() < max_bytes) {
        const auto filled = buffer.size();
        const auto wanted = std::min(chunk_bytes, max_bytes - filled);
        buffer.resize(filled + wanted);
        const auto size =
            co_await body.rest(asio::buffer(buffer.data() + filled, wanted));
        if (!size)
            co_return size.error();
        buffer.resize(filled + size.value());
        body.is_whole = size.value() == 0;
    }
    if (body.is_whole)
        body.rest = nullptr;
    co_return std::move(body);
}

fingerprint fingerprint_of(
    const client_account& account, const endpoint_name& endpoint,
    std::string_view target, const request_body& body)
{
    return body.is_whole
               ? fingerprint_of(account, endpoint, target, body.prefix)
               : partial_fingerprint_of(account, endpoint, target, body.prefix);
}

namespace {

/// Scans a stream for a secret and holds back a tail that may be its prefix.
class secret_scanner
{
public:
    secret_scanner(body_reader body, std::string secret)
        : body_(std::move(body)), secret_(std::move(secret))
    {
    }

    static awaitable<result<std::size_t>>
    read(std::shared_ptr<secret_scanner> self, asio::mutable_buffer buffer)
    {
        co_return co_await self->read_next(buffer);
    }

private:
    awaitable<result<std::size_t>> read_next(asio::mutable_buffer buffer)
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
            ready_ =
                ended_ ? held_.size() : held_.size() - held_suffix_length();
        }
        const auto size = std::min(ready_, buffer.size());
        std::memcpy(buffer.data(), held_.data(), size);
        held_.erase(0, size);
        ready_ -= size;
        co_return size;
    }

    /// Length of the longest suffix of `held_` that is a prefix of the secret.
    std::size_t held_suffix_length() const
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
    end_reporter(
        body_reader body, std::optional<std::uint64_t> length,
        body_end_hook at_end)
        : body_(std::move(body)), remaining_(length), at_end_(std::move(at_end))
    {
        if (remaining_ == std::uint64_t{0})
            report(true);
    }
    end_reporter(const end_reporter&) = delete;
    end_reporter& operator=(const end_reporter&) = delete;
    ~end_reporter() { report(false); }

    static awaitable<result<std::size_t>>
    read(std::shared_ptr<end_reporter> self, asio::mutable_buffer buffer)
    {
        auto size = co_await self->body_(buffer);
        if (!size)
            self->report(false);
        else if (self->has_ended_after(size.value()))
            self->report(true);
        co_return size;
    }

private:
    bool has_ended_after(std::size_t size)
    {
        if (size == 0 || !remaining_)
            return size == 0;
        *remaining_ -= std::min<std::uint64_t>(*remaining_, size);
        return *remaining_ == 0;
    }

    void report(bool is_complete)
    {
        // The inner body is destroyed first, so that its connection is closed
        // or reusable when the hook runs.
        if (auto hook = std::exchange(at_end_, nullptr)) {
            if (!is_complete)
                body_ = nullptr;
            hook(is_complete);
        }
    }

    body_reader body_;
    /// Bytes until the end of a body of known length.
    std::optional<std::uint64_t> remaining_;
    body_end_hook at_end_;
};

awaitable<result<std::size_t>> read_watched(
    std::shared_ptr<body_reader> body, body_error_hook on_error,
    asio::mutable_buffer buffer)
{
    auto size = co_await (*body)(buffer);
    if (!size)
        on_error(size.error());
    co_return size;
}

} // namespace

body_reader guard_secret(body_reader body, std::string secret)
{
    if (secret.empty() || !body)
        return body;
    auto scanner =
        std::make_shared<secret_scanner>(std::move(body), std::move(secret));
    return [scanner](asio::mutable_buffer buffer) {
        return secret_scanner::read(scanner, buffer);
    };
}

body_reader with_end_hook(
    body_reader body, std::optional<std::uint64_t> length, body_end_hook at_end)
{
    auto reporter = std::make_shared<end_reporter>(
        std::move(body), length, std::move(at_end));
    return [reporter](asio::mutable_buffer buffer) {
        return end_reporter::read(reporter, buffer);
    };
}

body_reader with_error_hook(body_reader body, body_error_hook on_error)
{
    auto shared = std::make_shared<body_reader>(std::move(body));
    return
        [shared, on_error = std::move(on_error)](asio::mutable_buffer buffer) {
            return read_watched(shared, on_error, buffer);
        };
}

body_reader with_idle_limit(
    body_reader body, const asio::any_io_executor& executor, duration limit,
    std::string peer)
{
    auto shared = std::make_shared<body_reader>(std::move(body));
    return [shared, executor, limit,
            peer = std::move(peer)](asio::mutable_buffer buffer) {
        return read_limited(shared, executor, limit, peer, buffer);
    };
}

} // namespace fulmarjunction
