#include <fulmarjunction/http/http.hpp>

#include <fulmarjunction/core/log.hpp>

#include <http/body_writer.hpp>
#include <http/message_reader.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace fulmarjunction {

namespace asio = boost::asio;
using asio::ip::tcp;
using detail::body_framing;
using detail::connection;
using detail::head_outcome;
using detail::message_reader;

namespace {

/// Longest wait for the caller to close after the last response.
constexpr milliseconds linger_timeout{1000};

/// Pause after a failed accept, such as when descriptors have run out.
constexpr milliseconds accept_pause{100};

constexpr int status_bad_request = 400;
constexpr int status_header_too_large = 431;
constexpr int status_internal_error = 500;

/// Actions to run when the caller's connection ends during a request.
struct cancel_actions
{
    bool canceled = false;
    std::vector<std::function<void()>> actions;

    void add(std::function<void()> action)
    {
        if (canceled)
            action();
        else
            actions.push_back(std::move(action));
    }

    void run()
    {
        canceled = true;
        for (auto& action : std::exchange(actions, {}))
            action();
    }
};

/// Tells a caller that waits for it to send the request's body.
awaitable<void>
send_continue(std::shared_ptr<connection> link, milliseconds idle_timeout)
{
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await link->write(
        asio::buffer(interim.data(), interim.size()), idle_timeout);
}

bool has_no_body(int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status == no_content || status == not_modified;
}

} // namespace

class http_server::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(
        asio::any_io_executor executor, http_limits limits,
        http_handler handler, http_refusal_handler refuse,
        std::shared_ptr<asio::ssl::context> tls)
        : executor_(std::move(executor)), acceptor_(executor_), limits_(limits),
          handler_(std::move(handler)), refuse_(std::move(refuse)),
          tls_(std::move(tls))
    {
    }

    result<tcp::endpoint> listen(const tcp::endpoint& address);
    void set_limits(const http_limits& limits) { limits_ = limits; }
    void begin_shutdown();
    void close();
    std::size_t requests_in_flight() const { return in_flight_; }
    std::size_t connections() const { return sessions_.size(); }

private:
    /// A request and, once it is there, its answer.
    struct exchange
    {
        std::shared_ptr<message_reader> reader;
        std::shared_ptr<cancel_actions> cancels;
        std::optional<streamed_response> answer;
    };
    using exchange_ptr = std::shared_ptr<exchange>;

    struct session
    {
        explicit session(const asio::any_io_executor& executor)
            : answered(executor)
        {
        }

        std::shared_ptr<connection> link;
        /// Canceled when answers have been sent. Waits for input use a timer
        /// of the connection, which one coroutine alone may wait on.
        asio::steady_timer answered;
        tcp::endpoint from;
        /// Requests in progress, in the order in which they came.
        std::deque<exchange_ptr> exchanges;
        /// Whether a head is being read.
        bool reading = false;
        /// Whether an answer is being sent.
        bool sending = false;
        /// Whether nothing more is to be read or answered.
        bool closing = false;

        bool is_idle() const { return exchanges.empty() && !reading; }
    };
    using session_ptr = std::shared_ptr<session>;

    /// Counts a request from its head to the end of its response.
    struct flight_guard
    {
        std::size_t& count;
        explicit flight_guard(std::size_t& counter) : count(counter)
        {
            ++count;
        }
        ~flight_guard() { --count; }
        flight_guard(const flight_guard&) = delete;
        flight_guard& operator=(const flight_guard&) = delete;
    };

    static awaitable<void> accept_loop(std::shared_ptr<impl> self);
    static awaitable<void>
    serve(std::shared_ptr<impl> self, session_ptr current);
    awaitable<bool> start_tls(std::shared_ptr<connection> link);
    awaitable<bool> wait_for_request(session& current);
    awaitable<bool> read_request(session_ptr current);
    static awaitable<void> run_exchange(
        std::shared_ptr<impl> self, session_ptr current, exchange_ptr one,
        http_request request);
    static awaitable<void>
    send_answers(std::shared_ptr<impl> self, session_ptr current);
    awaitable<void> wait_for_answers(session_ptr current, std::size_t most);
    awaitable<bool> refuse(session_ptr current, int status);
    awaitable<streamed_response> call_handler(http_request request);
    http_request
    make_request(const session& current, const exchange& one) const;
    awaitable<bool> respond(
        session& current, streamed_response response,
        const detail::message_head& head, bool keep_alive);

    asio::any_io_executor executor_;
    tcp::acceptor acceptor_;
    http_limits limits_;
    http_handler handler_;
    http_refusal_handler refuse_;
    std::shared_ptr<asio::ssl::context> tls_;
    std::set<session_ptr> sessions_;
    std::size_t in_flight_ = 0;
    bool stopping_ = false;
};

result<tcp::endpoint> http_server::impl::listen(const tcp::endpoint& address)
{
    boost::system::error_code failure;
    const auto failed = [&] {
        return fail(
            errc::unavailable, "http.listen", address.address().to_string(),
            failure.message());
    };
    acceptor_.open(address.protocol(), failure);
    if (failure)
        return failed();
    acceptor_.set_option(tcp::acceptor::reuse_address(true), failure);
    acceptor_.bind(address, failure);
    if (failure)
        return failed();
    acceptor_.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return failed();
    asio::co_spawn(executor_, accept_loop(shared_from_this()), asio::detached);
    return acceptor_.local_endpoint();
}

awaitable<void> http_server::impl::accept_loop(std::shared_ptr<impl> self)
{
    while (self->acceptor_.is_open()) {
        boost::system::error_code failure;
        tcp::socket socket(self->executor_);
        tcp::endpoint from;
        co_await self->acceptor_.async_accept(
            socket, from, asio::redirect_error(asio::use_awaitable, failure));
        if (!self->acceptor_.is_open())
            co_return;
        if (failure) {
            asio::steady_timer pause(self->executor_, accept_pause);
            co_await pause.async_wait(
                asio::redirect_error(asio::use_awaitable, failure));
            continue;
        }
        if (self->sessions_.size() >= self->limits_.max_connections) {
            log(log_level::warning, "http_connection_refused",
                {{"from", from.address().to_string()},
                 {"limit", self->limits_.max_connections}});
            continue;
        }
        auto current = std::make_shared<session>(self->executor_);
        current->link = std::make_shared<connection>(
            detail::byte_stream(std::move(socket), self->tls_),
            self->limits_.max_header_bytes);
        current->from = from;
        self->sessions_.insert(current);
        asio::co_spawn(
            self->executor_, serve(self, current),
            [self, current](const std::exception_ptr& thrown) {
                // A body that throws must not look like one that ended.
                if (thrown)
                    current->link->abort();
                current->link->close();
                self->sessions_.erase(current);
            });
    }
}

awaitable<bool> http_server::impl::start_tls(std::shared_ptr<connection> link)
{
    asio::steady_timer limit(executor_, limits_.head_timeout);
    limit.async_wait([link](boost::system::error_code failure) {
        if (!failure)
            link->close();
    });
    const auto failure =
        co_await link->stream().handshake(asio::ssl::stream_base::server);
    limit.cancel();
    co_return !failure && link->is_open();
}

awaitable<void>
http_server::impl::serve(std::shared_ptr<impl> self, session_ptr current)
{
    auto& link = *current->link;
    if (self->tls_) {
        const bool started = co_await self->start_tls(current->link);
        if (!started)
            co_return;
    }
    link.start();
    link.on_end = [weak = std::weak_ptr<session>(current)] {
        if (const auto ended = weak.lock()) {
            for (const auto& one : ended->exchanges)
                one->cancels->run();
        }
    };
    // g++ 12 evaluates `co_await` on the right of `&&` in a loop condition
    // even when the left side is false, so each wait has its own statement.
    bool keep = true;
    while (keep) {
        keep = co_await self->wait_for_request(*current);
        if (!keep)
            break;
        keep = co_await self->read_request(current);
    }
    co_await self->wait_for_answers(current, 0);
    if (link.is_open())
        co_await link.finish(clock::now() + linger_timeout);
}

/// Waits for the first byte of the next request.
awaitable<bool> http_server::impl::wait_for_request(session& current)
{
    auto& link = *current.link;
    const auto since = clock::now();
    while (link.input().empty()) {
        const auto until = current.exchanges.empty()
                               ? since + limits_.keep_alive_timeout
                               : time_point::max();
        if (link.has_ended() || !link.is_open() || clock::now() >= until ||
            current.closing)
            co_return false;
        // During a shutdown a request that has reached this host is still
        // answered.
        boost::system::error_code ignored;
        if (stopping_ && link.stream().socket().available(ignored) == 0)
            co_return false;
        co_await link.wait_input(until);
    }
    co_return !current.closing;
}

/// Reads a head and starts to process its request.
/// @return whether another request may follow
awaitable<bool> http_server::impl::read_request(session_ptr current)
{
    auto& link = *current->link;
    auto one = std::make_shared<exchange>();
    one->cancels = std::make_shared<cancel_actions>();
    one->reader = std::make_shared<message_reader>(
        current->link, detail::message_kind::request);
    current->reading = true;
    const auto found = co_await one->reader->read_head(
        limits_.max_header_bytes, clock::now() + limits_.head_timeout);
    current->reading = false;
    if (found == head_outcome::malformed || found == head_outcome::too_large) {
        co_await wait_for_answers(current, 0);
        co_return co_await refuse(
            current, found == head_outcome::malformed
                         ? status_bad_request
                         : status_header_too_large);
    }
    if (found != head_outcome::parsed)
        co_return false;
    const bool has_body = !one->reader->is_done();
    // A request with a body is read by its handler, so it comes alone.
    if (has_body)
        co_await wait_for_answers(current, 0);
    if (current->closing)
        co_return false;
    if (link.has_ended())
        one->cancels->canceled = true;
    current->exchanges.push_back(one);
    auto request = make_request(*current, *one);
    asio::co_spawn(
        executor_,
        run_exchange(shared_from_this(), current, one, std::move(request)),
        [current](const std::exception_ptr& thrown) {
            // A body that throws must not look like one that ended.
            if (thrown) {
                current->closing = true;
                current->exchanges.clear();
                current->sending = false;
                current->link->abort();
                current->answered.cancel();
            }
        });
    const auto most =
        has_body || limits_.max_pipelined == 0 ? 0 : limits_.max_pipelined - 1;
    co_await wait_for_answers(current, most);
    co_return !current->closing;
}

/// Waits until at most this many requests are in progress.
awaitable<void>
http_server::impl::wait_for_answers(session_ptr current, std::size_t most)
{
    const auto is_waiting = [&] {
        if (current->closing)
            return current->sending;
        return current->exchanges.size() > most ||
               (most == 0 && current->sending);
    };
    while (is_waiting()) {
        boost::system::error_code ignored;
        current->answered.expires_at(time_point::max());
        co_await current->answered.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

awaitable<void> http_server::impl::run_exchange(
    std::shared_ptr<impl> self, session_ptr current, exchange_ptr one,
    http_request request)
{
    const flight_guard guard(self->in_flight_);
    auto answer = co_await self->call_handler(std::move(request));
    one->answer = std::move(answer);
    if (!current->sending && !current->closing)
        co_await send_answers(self, current);
}

/// Sends the answers that are there, in the order of their requests.
awaitable<void>
http_server::impl::send_answers(std::shared_ptr<impl> self, session_ptr current)
{
    current->sending = true;
    while (!current->exchanges.empty() && !current->closing) {
        const auto one = current->exchanges.front();
        if (!one->answer)
            break;
        one->reader->before_body = nullptr;
        bool keep = co_await self->respond(
            *current, std::move(*one->answer), one->reader->head(),
            one->reader->head().keep_alive);
        one->reader->skip_empty_end();
        keep = keep && one->reader->is_done();
        one->reader->finish();
        current->exchanges.pop_front();
        current->answered.cancel();
        if (!keep) {
            current->closing = true;
            for (const auto& left : current->exchanges)
                left->cancels->run();
            current->exchanges.clear();
        }
    }
    current->sending = false;
    current->answered.cancel();
    current->link->wake();
}

http_request http_server::impl::make_request(
    const session& current, const exchange& one) const
{
    const auto idle_timeout = limits_.idle_timeout;
    const auto& reader = one.reader;
    auto& head = reader->head();
    http_request request;
    request.from = current.from;
    request.message.method = head.method;
    request.message.target = std::move(head.target);
    request.message.headers = std::move(head.headers);
    request.message.content_length = head.content_length;
    request.message.body = [reader, idle_timeout](asio::mutable_buffer output) {
        return message_reader::read_body(reader, idle_timeout, output);
    };
    request.on_cancel = [cancels = one.cancels](std::function<void()> action) {
        cancels->add(std::move(action));
    };
    if (head.expects_continue) {
        reader->before_body = [link = current.link, idle_timeout] {
            return send_continue(link, idle_timeout);
        };
    }
    return request;
}

awaitable<streamed_response>
http_server::impl::call_handler(http_request request)
{
    std::string what;
    try {
        co_return co_await handler_(std::move(request));
    } catch (const std::exception& failure) {
        what = failure.what();
    }
    log(log_level::error, "http_handler_failed", {{"what", what}});
    co_return streamed_response{status_internal_error, {}, 0, empty_body()};
}

awaitable<bool> http_server::impl::refuse(session_ptr current, int status)
{
    if (current->closing)
        co_return false;
    detail::message_head head;
    co_return co_await respond(*current, refuse_(status), head, false);
}

/// Sends a response.
/// @return whether the connection can be kept
awaitable<bool> http_server::impl::respond(
    session& current, streamed_response response,
    const detail::message_head& head, bool keep_alive)
{
    auto& link = *current.link;
    auto framing = body_framing::chunked;
    if (has_no_body(response.status))
        framing = body_framing::none;
    else if (response.content_length)
        framing = body_framing::content_length;
    else if (!head.is_modern)
        framing = body_framing::until_close;
    // A request behind this one may have been passed on already.
    const bool ends_here = stopping_ && current.exchanges.size() <= 1;
    keep_alive =
        keep_alive && !ends_here && framing != body_framing::until_close;
    auto text = detail::format_response_head(response, framing, keep_alive);
    if (!text) {
        log(log_level::error, "http_response_invalid",
            {{"status", response.status}});
        response = {status_internal_error, {}, 0, empty_body()};
        framing = body_framing::content_length;
        text = detail::format_response_head(response, framing, keep_alive);
    }
    if (framing == body_framing::none || head.method == "HEAD") {
        const auto sent =
            co_await link.write(asio::buffer(*text), limits_.idle_timeout);
        co_return !sent.failure && keep_alive;
    }
    if (!response.body)
        response.body = empty_body();
    const auto done = co_await detail::write_body(
        current.link, std::move(response.body), framing,
        response.content_length.value_or(0), limits_.idle_timeout,
        std::move(*text));
    if (!done) {
        // A reset keeps the caller from taking the part for the whole.
        link.abort();
        co_return false;
    }
    co_return keep_alive;
}

void http_server::impl::begin_shutdown()
{
    stopping_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& current : sessions_) {
        if (current->is_idle())
            current->link->wake();
    }
}

void http_server::impl::close()
{
    begin_shutdown();
    for (const auto& current : std::set<session_ptr>(sessions_))
        current->link->close();
}

http_server::http_server(
    asio::any_io_executor executor, http_limits limits, http_handler handler,
    http_refusal_handler refuse, std::shared_ptr<asio::ssl::context> tls)
    : impl_(std::make_shared<impl>(
          std::move(executor), limits, std::move(handler), std::move(refuse),
          std::move(tls)))
{
}

http_server::~http_server()
{
    impl_->close();
}

result<tcp::endpoint> http_server::listen(const tcp::endpoint& address)
{
    return impl_->listen(address);
}

void http_server::begin_shutdown()
{
    impl_->begin_shutdown();
}

void http_server::set_limits(const http_limits& limits)
{
    impl_->set_limits(limits);
}

std::size_t http_server::requests_in_flight() const
{
    return impl_->requests_in_flight();
}

std::size_t http_server::connections() const
{
    return impl_->connections();
}

void http_server::close()
{
    impl_->close();
}

} // namespace fulmarjunction
