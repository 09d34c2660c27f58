#include <fulmarjunction/http/http.hpp>

#include <fulmarjunction/core/log.hpp>

#include <http/acceptor.hpp>
#include <http/body_writer.hpp>
#include <http/message_reader.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
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

/// Maximum wait for the caller to close after the last response.
constexpr milliseconds linger_timeout{1000};

/// Time without a write after which a caller whose input has ended counts as
/// gone. One that only ended its output gets answers without such pauses.
constexpr milliseconds leave_check_delay{200};

/// Delay after a failed accept, for example when file descriptors are
/// exhausted.
constexpr milliseconds accept_retry_delay{100};

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

/// Sends the interim response that a caller awaits before it sends the body.
awaitable<void>
send_continue(std::shared_ptr<connection> conn, milliseconds idle_timeout)
{
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await conn->write(
        asio::buffer(interim.data(), interim.size()), idle_timeout);
}

/// Returns whether the answer to a request may have to end the connection: the
/// rest of its body may remain unread, and before HTTP/1.1 an answer of unknown
/// length ends with the connection. No request is started behind such a one.
bool may_end_connection(const detail::message_head& head, bool has_body)
{
    return has_body || !head.is_http_1_1;
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
    void begin_drain() { draining_ = true; }
    void begin_shutdown();
    void close();
    std::size_t requests_in_flight() const { return in_flight_; }
    std::size_t connections() const { return sessions_.size(); }

private:
    /// A request and, once available, its answer.
    struct exchange
    {
        std::shared_ptr<message_reader> reader;
        std::shared_ptr<cancel_actions> cancellation;
        std::optional<streamed_response> answer;
        /// Cancels the coroutine that processes the request and may send
        /// answers.
        asio::cancellation_signal stop;
    };
    using exchange_ptr = std::shared_ptr<exchange>;

    struct session
    {
        explicit session(const asio::any_io_executor& executor)
            : answer_sent(executor), leave_check(executor)
        {
        }

        std::shared_ptr<connection> conn;
        /// Canceled when answers have been sent, to wake waiting coroutines.
        /// The timer that the connection uses for input cannot serve here,
        /// because only one coroutine may wait on it.
        asio::steady_timer answer_sent;
        tcp::endpoint from;
        /// Requests in progress, in order of arrival.
        std::deque<exchange_ptr> exchanges;
        /// End of the last answer, or start of the connection.
        time_point idle_since = clock::now();
        /// Whether a head is being read.
        bool reading = false;
        /// Whether an answer is being sent.
        bool sending = false;
        /// The request whose coroutine sends the answers.
        exchange_ptr sender;
        /// Runs while an answer is sent to a caller whose input has ended.
        asio::steady_timer leave_check;
        /// Whether further requests are started. It ends before the head of an
        /// answer that closes the connection is sent: that head tells the
        /// caller that the requests behind it have not run.
        bool takes_requests = true;
        /// Whether no more answers are sent.
        bool closing = false;

        bool is_idle() const { return exchanges.empty() && !reading; }
    };
    using session_ptr = std::shared_ptr<session>;

    /// Counts a request from its head to the end of its response.
    struct in_flight_guard
    {
        std::size_t& count;
        explicit in_flight_guard(std::size_t& counter) : count(counter)
        {
            ++count;
        }
        ~in_flight_guard() { --count; }
        in_flight_guard(const in_flight_guard&) = delete;
        in_flight_guard& operator=(const in_flight_guard&) = delete;
    };

    static awaitable<void> accept_loop(std::shared_ptr<impl> self);
    void accept_pending();
    void start_session(tcp::socket socket, const tcp::endpoint& from);
    static awaitable<void>
    serve(std::shared_ptr<impl> self, session_ptr current);
    awaitable<bool> start_tls(std::shared_ptr<connection> conn);
    awaitable<bool> wait_for_request(session& current);
    awaitable<bool> read_request(session_ptr current);
    static awaitable<void> run_exchange(
        std::shared_ptr<impl> self, session_ptr current, exchange_ptr pending,
        http_request request);
    static awaitable<void>
    send_answers(std::shared_ptr<impl> self, session_ptr current);
    awaitable<void>
    wait_for_answers(session_ptr current, std::size_t max_in_progress);
    awaitable<bool> refuse(session_ptr current, int status);
    awaitable<streamed_response> call_handler(http_request request);
    http_request
    make_request(const session& current, const exchange& pending) const;
    static void watch_for_leave(const session_ptr& current);
    static void stop_answers(session& current);
    awaitable<bool> respond(
        const session_ptr& current, streamed_response response,
        const detail::message_head& head, bool keep_alive);

    asio::any_io_executor executor_;
    tcp::acceptor acceptor_;
    http_limits limits_;
    http_handler handler_;
    http_refusal_handler refuse_;
    std::shared_ptr<asio::ssl::context> tls_;
    std::set<session_ptr> sessions_;
    std::size_t in_flight_ = 0;
    /// Whether connections close after their last answer.
    bool draining_ = false;
    bool stopping_ = false;
};

result<tcp::endpoint> http_server::impl::listen(const tcp::endpoint& address)
{
    BOOST_OUTCOME_TRY(
        const auto bound,
        detail::open_acceptor(acceptor_, address, "http.listen"));
    asio::co_spawn(executor_, accept_loop(shared_from_this()), asio::detached);
    return bound;
}

awaitable<void> http_server::impl::accept_loop(std::shared_ptr<impl> self)
{
    while (self->acceptor_.is_open()) {
        boost::system::error_code failure;
        tcp::socket socket(self->executor_);
        tcp::endpoint from;
        co_await self->acceptor_.async_accept(
            socket, from, asio::redirect_error(asio::use_awaitable, failure));
        if (!failure) {
            // Also after the end of the loop: the caller is connected.
            self->start_session(std::move(socket), from);
        } else if (self->acceptor_.is_open()) {
            asio::steady_timer retry_timer(self->executor_, accept_retry_delay);
            co_await retry_timer.async_wait(
                asio::redirect_error(asio::use_awaitable, failure));
        }
    }
}

/// Accepts the connections that the kernel has completed. Closing the listening
/// socket would reset them, with requests that their callers have sent.
void http_server::impl::accept_pending()
{
    boost::system::error_code failure;
    acceptor_.non_blocking(true, failure);
    while (!failure) {
        tcp::socket socket(executor_);
        tcp::endpoint from;
        acceptor_.accept(socket, from, failure);
        if (!failure)
            start_session(std::move(socket), from);
    }
}

void http_server::impl::start_session(
    tcp::socket socket, const tcp::endpoint& from)
{
    if (sessions_.size() >= limits_.max_connections) {
        log(log_level::warning, "http_connection_refused",
            {{"from", from.address().to_string()},
             {"limit", limits_.max_connections}});
        return;
    }
    auto current = std::make_shared<session>(executor_);
    current->conn = std::make_shared<connection>(
        detail::byte_stream(std::move(socket), tls_), limits_.max_header_bytes);
    current->from = from;
    sessions_.insert(current);
    asio::co_spawn(
        executor_, serve(shared_from_this(), current),
        [self = shared_from_this(),
         current](const std::exception_ptr& exception) {
            // A body that throws must not look like a complete one.
            if (exception)
                current->conn->abort();
            current->conn->close();
            self->sessions_.erase(current);
        });
}

awaitable<bool> http_server::impl::start_tls(std::shared_ptr<connection> conn)
{
    asio::steady_timer handshake_timer(executor_, limits_.head_timeout);
    handshake_timer.async_wait([conn](boost::system::error_code failure) {
        if (!failure)
            conn->close();
    });
    const auto failure =
        co_await conn->stream().handshake(asio::ssl::stream_base::server);
    handshake_timer.cancel();
    co_return !failure && conn->is_open();
}

awaitable<void>
http_server::impl::serve(std::shared_ptr<impl> self, session_ptr current)
{
    auto& conn = *current->conn;
    if (self->tls_) {
        const bool started = co_await self->start_tls(current->conn);
        if (!started)
            co_return;
    }
    conn.start();
    conn.on_end = [weak = std::weak_ptr<session>(current)] {
        if (const auto ended = weak.lock()) {
            for (const auto& pending : ended->exchanges)
                pending->cancellation->run();
            watch_for_leave(ended);
        }
    };
    // g++ 12 evaluates `co_await` on the right of `&&` in a loop condition
    // even when the left side is false, so each wait has its own statement.
    bool keep_open = true;
    while (keep_open) {
        keep_open = co_await self->wait_for_request(*current);
        if (!keep_open)
            break;
        keep_open = co_await self->read_request(current);
    }
    co_await self->wait_for_answers(current, 0);
    if (conn.is_open())
        co_await conn.close_gracefully(clock::now() + linger_timeout);
}

/// Waits for the first byte of the next request.
awaitable<bool> http_server::impl::wait_for_request(session& current)
{
    auto& conn = *current.conn;
    while (conn.input().empty()) {
        const auto until = current.exchanges.empty()
                               ? current.idle_since + limits_.keep_alive_timeout
                               : time_point::max();
        if (conn.has_ended() || !conn.is_open() || clock::now() >= until ||
            !current.takes_requests)
            co_return false;
        // During a shutdown a request that has reached this instance is
        // still answered.
        boost::system::error_code ignored;
        if (stopping_ && conn.stream().socket().available(ignored) == 0)
            co_return false;
        co_await conn.wait_input(until);
    }
    co_return current.takes_requests;
}

/// Reads a head and starts processing its request.
/// @return whether another request may follow
awaitable<bool> http_server::impl::read_request(session_ptr current)
{
    auto& conn = *current->conn;
    auto pending = std::make_shared<exchange>();
    pending->cancellation = std::make_shared<cancel_actions>();
    pending->reader = std::make_shared<message_reader>(
        current->conn, detail::message_kind::request);
    current->reading = true;
    const auto outcome = co_await pending->reader->read_head(
        limits_.max_header_bytes, clock::now() + limits_.head_timeout);
    current->reading = false;
    if (outcome == head_outcome::malformed ||
        outcome == head_outcome::too_large) {
        co_await wait_for_answers(current, 0);
        co_return co_await refuse(
            current, outcome == head_outcome::malformed
                         ? status_bad_request
                         : status_header_too_large);
    }
    if (outcome != head_outcome::parsed)
        co_return false;
    const bool has_body = !pending->reader->is_done();
    // The handler reads the body from the connection, so a request with a
    // body is not pipelined.
    if (has_body)
        co_await wait_for_answers(current, 0);
    if (!current->takes_requests)
        co_return false;
    if (!pending->reader->head().keep_alive)
        current->takes_requests = false;
    if (conn.has_ended())
        pending->cancellation->canceled = true;
    current->exchanges.push_back(pending);
    auto request = make_request(*current, *pending);
    asio::co_spawn(
        executor_,
        run_exchange(shared_from_this(), current, pending, std::move(request)),
        asio::bind_cancellation_slot(
            pending->stop.slot(),
            [current, pending](const std::exception_ptr& exception) {
                // A body that throws must not look like a complete one.
                if (exception) {
                    stop_answers(*current);
                    current->sending = false;
                    current->sender = nullptr;
                    current->conn->abort();
                    current->answer_sent.cancel();
                }
            }));
    const bool is_alone = may_end_connection(pending->reader->head(), has_body);
    const auto max_in_progress =
        is_alone || limits_.max_pipelined == 0 ? 0 : limits_.max_pipelined - 1;
    co_await wait_for_answers(current, max_in_progress);
    co_return current->takes_requests;
}

/// Waits until at most `max_in_progress` requests are in progress.
awaitable<void> http_server::impl::wait_for_answers(
    session_ptr current, std::size_t max_in_progress)
{
    const auto is_waiting = [&] {
        if (current->closing)
            return current->sending;
        return current->exchanges.size() > max_in_progress ||
               (max_in_progress == 0 && current->sending);
    };
    while (is_waiting()) {
        boost::system::error_code ignored;
        current->answer_sent.expires_at(time_point::max());
        co_await current->answer_sent.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

awaitable<void> http_server::impl::run_exchange(
    std::shared_ptr<impl> self, session_ptr current, exchange_ptr pending,
    http_request request)
{
    const in_flight_guard guard(self->in_flight_);
    auto answer = co_await self->call_handler(std::move(request));
    pending->answer = std::move(answer);
    if (!current->sending && !current->closing) {
        current->sender = pending;
        co_await send_answers(self, current);
        current->sender = nullptr;
    }
}

/// Sends the available answers in the order of their requests.
awaitable<void>
http_server::impl::send_answers(std::shared_ptr<impl> self, session_ptr current)
{
    current->sending = true;
    while (!current->exchanges.empty() && !current->closing) {
        const auto pending = current->exchanges.front();
        if (!pending->answer)
            break;
        pending->reader->before_body = nullptr;
        bool keep_open = co_await self->respond(
            current, std::move(*pending->answer), pending->reader->head(),
            pending->reader->head().keep_alive);
        pending->reader->consume_last_chunk();
        keep_open = keep_open && pending->reader->is_done();
        pending->reader->cancel();
        current->exchanges.pop_front();
        current->idle_since = clock::now();
        current->answer_sent.cancel();
        if (!keep_open)
            stop_answers(*current);
    }
    current->sending = false;
    current->answer_sent.cancel();
    current->conn->wake();
}

http_request http_server::impl::make_request(
    const session& current, const exchange& pending) const
{
    const auto idle_timeout = limits_.idle_timeout;
    const auto& reader = pending.reader;
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
    request.on_cancel =
        [cancellation = pending.cancellation](std::function<void()> action) {
            cancellation->add(std::move(action));
        };
    request.has_caller_left = [conn = current.conn] {
        return conn->has_ended() || conn->stream().is_peer_gone();
    };
    if (head.expects_continue) {
        reader->before_body = [conn = current.conn, idle_timeout] {
            return send_continue(conn, idle_timeout);
        };
    }
    return request;
}

awaitable<streamed_response>
http_server::impl::call_handler(http_request request)
{
    std::string message;
    try {
        co_return co_await handler_(std::move(request));
    } catch (const std::exception& failure) {
        message = failure.what();
    }
    log(log_level::error, "http_handler_failed", {{"what", message}});
    co_return streamed_response{status_internal_error, {}, 0, empty_body()};
}

awaitable<bool> http_server::impl::refuse(session_ptr current, int status)
{
    if (current->closing)
        co_return false;
    detail::message_head head;
    co_return co_await respond(current, refuse_(status), head, false);
}

/// Cancels the answer that is being sent when the caller's input has ended and
/// nothing has been written for a while. A caller that has left is noticed at a
/// write, but the next piece of the answer may be far away.
void http_server::impl::watch_for_leave(const session_ptr& current)
{
    if (!current->sender)
        return;
    current->leave_check.expires_after(leave_check_delay);
    current->leave_check.async_wait(
        [weak = std::weak_ptr<session>(current),
         written = current->conn->bytes_written()](
            const boost::system::error_code& failure) {
            const auto watched = weak.lock();
            if (failure || !watched || !watched->sender)
                return;
            if (watched->conn->bytes_written() != written)
                watch_for_leave(watched);
            else
                watched->sender->stop.emit(asio::cancellation_type::terminal);
        });
}

/// Cancels the requests in progress on a connection that carries no more
/// answers.
void http_server::impl::stop_answers(session& current)
{
    current.takes_requests = false;
    current.closing = true;
    for (const auto& unanswered : std::exchange(current.exchanges, {}))
        unanswered->cancellation->run();
}

/// Sends a response.
/// @return whether the connection can be reused
awaitable<bool> http_server::impl::respond(
    const session_ptr& current, streamed_response response,
    const detail::message_head& head, bool keep_alive)
{
    auto& conn = *current->conn;
    auto framing = body_framing::chunked;
    if (has_no_body(response.status))
        framing = body_framing::none;
    else if (response.content_length)
        framing = body_framing::content_length;
    else if (!head.is_http_1_1)
        framing = body_framing::until_close;
    // A pipelined request after this one may already have been dispatched, so
    // only the last answer of a shutdown closes the connection.
    const bool is_last = draining_ && current->exchanges.size() <= 1;
    keep_alive = keep_alive && !is_last && framing != body_framing::until_close;
    if (!keep_alive)
        current->takes_requests = false;
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
            co_await conn.write(asio::buffer(*text), limits_.idle_timeout);
        co_return !sent.failure && keep_alive;
    }
    if (!response.body)
        response.body = empty_body();
    if (conn.has_ended())
        watch_for_leave(current);
    const auto done = co_await detail::write_body(
        current->conn, std::move(response.body), framing,
        response.content_length.value_or(0), limits_.idle_timeout,
        std::move(*text));
    if (!done) {
        // A reset keeps the caller from mistaking a partial body for a complete
        // one.
        conn.abort();
        co_return false;
    }
    co_return keep_alive;
}

void http_server::impl::begin_shutdown()
{
    begin_drain();
    stopping_ = true;
    accept_pending();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& current : sessions_) {
        if (current->is_idle())
            current->conn->wake();
    }
}

void http_server::impl::close()
{
    begin_shutdown();
    for (const auto& current : std::set<session_ptr>(sessions_))
        current->conn->close();
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

void http_server::begin_drain()
{
    impl_->begin_drain();
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
