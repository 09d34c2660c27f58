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
    void begin_shutdown();
    void close();
    std::size_t requests_in_flight() const { return in_flight_; }
    std::size_t connections() const { return sessions_.size(); }

private:
    struct session
    {
        std::shared_ptr<connection> link;
        tcp::endpoint from;
        bool idle = true;
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
    awaitable<bool> serve_one(session_ptr current);
    awaitable<bool> refuse(session& current, int status);
    awaitable<streamed_response> call_handler(http_request request);
    http_request make_request(
        const session& current, const std::shared_ptr<message_reader>& reader,
        const std::shared_ptr<cancel_actions>& cancels) const;
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
        auto current = std::make_shared<session>();
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
    // g++ 12 evaluates `co_await` on the right of `&&` in a loop condition
    // even when the left side is false, so each wait has its own statement.
    bool keep = true;
    while (keep) {
        keep = co_await self->wait_for_request(*current);
        if (!keep)
            break;
        current->idle = false;
        keep = co_await self->serve_one(current);
        current->idle = true;
    }
    if (link.is_open())
        co_await link.finish(clock::now() + linger_timeout);
}

/// Waits for the first byte of the next request.
awaitable<bool> http_server::impl::wait_for_request(session& current)
{
    auto& link = *current.link;
    const auto until = clock::now() + limits_.keep_alive_timeout;
    while (link.input().empty()) {
        // During a shutdown a request that has reached this host is still
        // answered.
        boost::system::error_code ignored;
        const bool has_bytes = link.stream().socket().available(ignored) > 0;
        if (link.has_ended() || !link.is_open() || clock::now() >= until ||
            (stopping_ && !has_bytes))
            co_return false;
        co_await link.wait_input(until);
    }
    co_return true;
}

awaitable<bool> http_server::impl::serve_one(session_ptr current)
{
    auto& link = *current->link;
    auto reader = std::make_shared<message_reader>(
        current->link, detail::message_kind::request);
    const auto found = co_await reader->read_head(
        limits_.max_header_bytes, clock::now() + limits_.head_timeout);
    if (found == head_outcome::malformed)
        co_return co_await refuse(*current, status_bad_request);
    if (found == head_outcome::too_large)
        co_return co_await refuse(*current, status_header_too_large);
    if (found != head_outcome::parsed)
        co_return false;

    const flight_guard guard(in_flight_);
    auto cancels = std::make_shared<cancel_actions>();
    if (link.has_ended())
        cancels->canceled = true;
    else
        link.on_end = [cancels] { cancels->run(); };
    auto response =
        co_await call_handler(make_request(*current, reader, cancels));
    reader->before_body = nullptr;
    bool keep = co_await respond(
        *current, std::move(response), reader->head(),
        reader->head().keep_alive);
    link.on_end = nullptr;
    reader->skip_empty_end();
    keep = keep && reader->is_done();
    reader->finish();
    co_return keep;
}

http_request http_server::impl::make_request(
    const session& current, const std::shared_ptr<message_reader>& reader,
    const std::shared_ptr<cancel_actions>& cancels) const
{
    const auto idle_timeout = limits_.idle_timeout;
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
    request.on_cancel = [cancels](std::function<void()> action) {
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

awaitable<bool> http_server::impl::refuse(session& current, int status)
{
    detail::message_head head;
    co_return co_await respond(current, refuse_(status), head, false);
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
    keep_alive =
        keep_alive && !stopping_ && framing != body_framing::until_close;
    auto text = detail::format_response_head(response, framing, keep_alive);
    if (!text) {
        log(log_level::error, "http_response_invalid",
            {{"status", response.status}});
        response = {status_internal_error, {}, 0, empty_body()};
        framing = body_framing::content_length;
        text = detail::format_response_head(response, framing, keep_alive);
    }
    const auto sent =
        co_await link.write(asio::buffer(*text), limits_.idle_timeout);
    if (sent.failure)
        co_return false;
    if (framing == body_framing::none || head.method == "HEAD")
        co_return keep_alive;
    if (!response.body)
        response.body = empty_body();
    const auto done = co_await detail::write_body(
        current.link, std::move(response.body), framing,
        response.content_length.value_or(0), limits_.idle_timeout);
    if (!done) {
        // A reset keeps the caller from taking the part for the whole.
        link.abort();
        co_return false;
    }
    co_return keep_alive && !stopping_;
}

void http_server::impl::begin_shutdown()
{
    stopping_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& current : sessions_) {
        if (current->idle)
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
