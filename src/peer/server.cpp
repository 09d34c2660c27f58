#include <fulmarjunction/core/log.hpp>

#include <http/acceptor.hpp>
#include <peer/link.hpp>
#include <peer/session.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <set>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;
using asio::ip::tcp;
using detail::peer_session;
using detail::stream_ptr;
using session_ptr = std::shared_ptr<peer_session>;

namespace {

/// Maximum number of connections that have not authenticated yet. Each lasts
/// at most the handshake timeout, so clients without the secret cannot hold
/// more connections than this.
constexpr std::size_t max_handshakes = 256;

/// Pause after a failed accept, for example when the process has run out of
/// file descriptors.
constexpr milliseconds accept_pause{100};

constexpr int status_internal_error = 500;

streamed_response error_response()
{
    return {status_internal_error, {}, 0, empty_body()};
}

/// Removes content-length from a request's head and returns the length of its
/// body.
std::optional<std::uint64_t> take_content_length(detail::peer_stream& source)
{
    const auto length = detail::find_content_length(source.headers);
    remove_header(source.headers, "content-length");
    if (!length && source.input_ended)
        return 0;
    return length;
}

peer_request make_request(const session_ptr& session, const stream_ptr& source)
{
    peer_request request;
    request.from = session->peer_name();
    request.message.method = source->method;
    request.message.target = source->target;
    request.message.content_length = take_content_length(*source);
    request.message.headers = std::move(source->headers);
    request.message.body = [session, source](asio::mutable_buffer output) {
        return peer_session::read_body(session, source, output);
    };
    request.is_canceled = [source] { return source->canceled; };
    request.on_cancel = [source](std::function<void()> action) {
        if (source->canceled)
            action();
        else
            source->cancel_actions.push_back(std::move(action));
    };
    return request;
}

} // namespace

class peer_server::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(
        asio::any_io_executor executor, peer_identity identity,
        peer_limits limits, peer_handler handler,
        std::shared_ptr<asio::ssl::context> tls)
        : executor_(std::move(executor)), acceptor_(executor_),
          identity_(std::move(identity)), limits_(limits),
          handler_(std::move(handler)), tls_(std::move(tls))
    {
    }

    result<tcp::endpoint> listen(const tcp::endpoint& address);
    void begin_shutdown();
    void close();
    std::size_t open_streams() const;
    const peer_counters& counters() const { return *counters_; }

private:
    static awaitable<void> accept_loop(std::shared_ptr<impl> self);
    awaitable<result<detail::peer_hello>>
    shake_hands(detail::byte_stream& stream);
    static awaitable<void>
    serve(std::shared_ptr<impl> self, tcp::socket socket);
    static awaitable<void>
    answer(std::shared_ptr<impl> self, session_ptr session, stream_ptr source);
    awaitable<streamed_response> call_handler(peer_request request);

    asio::any_io_executor executor_;
    tcp::acceptor acceptor_;
    peer_identity identity_;
    peer_limits limits_;
    peer_handler handler_;
    std::shared_ptr<asio::ssl::context> tls_;
    std::shared_ptr<peer_counters> counters_ =
        std::make_shared<peer_counters>();
    std::set<session_ptr> sessions_;
    std::size_t handshakes_ = 0;
    bool stopping_ = false;
    bool closed_ = false;
};

result<tcp::endpoint> peer_server::impl::listen(const tcp::endpoint& address)
{
    if (!detail::is_valid_identity(identity_))
        return fail(errc::invalid_argument, "peer.listen", identity_.name);
    BOOST_OUTCOME_TRY(
        const auto bound,
        detail::open_acceptor(acceptor_, address, "peer.listen"));
    asio::co_spawn(executor_, accept_loop(shared_from_this()), asio::detached);
    return bound;
}

awaitable<void> peer_server::impl::accept_loop(std::shared_ptr<impl> self)
{
    while (self->acceptor_.is_open()) {
        boost::system::error_code failure;
        tcp::socket socket(self->executor_);
        co_await self->acceptor_.async_accept(
            socket, asio::redirect_error(asio::use_awaitable, failure));
        if (!self->acceptor_.is_open())
            co_return;
        if (failure) {
            asio::steady_timer pause(self->executor_, accept_pause);
            co_await pause.async_wait(
                asio::redirect_error(asio::use_awaitable, failure));
            continue;
        }
        if (self->handshakes_ >= max_handshakes) {
            ++self->counters_->handshakes_failed;
            continue;
        }
        ++self->handshakes_;
        asio::co_spawn(
            self->executor_, serve(self, std::move(socket)), asio::detached);
    }
}

/// Authenticates a peer. The handshake no longer counts afterwards, also if it
/// throws.
awaitable<result<detail::peer_hello>>
peer_server::impl::shake_hands(detail::byte_stream& stream)
{
    struct count_guard
    {
        std::size_t& count;
        ~count_guard() { --count; }
    } const guard{handshakes_};
    co_return co_await detail::authenticate(
        stream, identity_, detail::peer_role::server,
        limits_.handshake_timeout);
}

awaitable<void>
peer_server::impl::serve(std::shared_ptr<impl> self, tcp::socket socket)
{
    detail::byte_stream stream(std::move(socket), self->tls_);
    const auto peer = co_await self->shake_hands(stream);
    if (!peer) {
        ++self->counters_->handshakes_failed;
        log(log_level::warning, "peer_handshake_failed",
            {{"error", to_string(peer.error())}});
        co_return;
    }
    if (self->closed_)
        co_return;
    ++self->counters_->connections_accepted;
    auto session = std::make_shared<peer_session>(
        std::move(stream), detail::session_side::server, self->limits_,
        self->counters_, peer.value().name);
    self->sessions_.insert(session);
    const std::weak_ptr<peer_session> weak = session;
    session->on_close = [self, weak] {
        if (const auto closed = weak.lock())
            self->sessions_.erase(closed);
    };
    session->start([self, weak](const stream_ptr& source) {
        // The handler must not run inside the nghttp2 callback that reported
        // the request.
        asio::post(self->executor_, [self, weak, source] {
            if (auto owner = weak.lock()) {
                asio::co_spawn(
                    self->executor_, answer(self, std::move(owner), source),
                    asio::detached);
            }
        });
    });
    if (self->stopping_)
        session->begin_shutdown();
}

awaitable<streamed_response>
peer_server::impl::call_handler(peer_request request)
{
    std::string error_text;
    try {
        co_return co_await handler_(std::move(request));
    } catch (const std::exception& failure) {
        error_text = failure.what();
    }
    log(log_level::error, "peer_handler_failed", {{"what", error_text}});
    co_return error_response();
}

awaitable<void> peer_server::impl::answer(
    std::shared_ptr<impl> self, session_ptr session, stream_ptr source)
{
    auto response = co_await self->call_handler(make_request(session, source));
    if (source->closed)
        co_return;
    const auto started = session->respond(source, response);
    if (!started) {
        log(log_level::error, "peer_response_invalid",
            {{"error", to_string(started.error())}});
        response = error_response();
        if (!session->respond(source, response)) {
            session->cancel(source);
            co_return;
        }
    }
    if (!source->output_finished) {
        if (!response.body)
            response.body = empty_body();
        session->send_body(
            source, std::move(response.body), response.content_length);
    }
    co_await peer_session::finish_response(session, source);
}

void peer_server::impl::begin_shutdown()
{
    stopping_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& session : sessions_)
        session->begin_shutdown();
}

void peer_server::impl::close()
{
    closed_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& session : std::set<session_ptr>(sessions_))
        session->close();
}

std::size_t peer_server::impl::open_streams() const
{
    std::size_t total = 0;
    for (const auto& session : sessions_)
        total += session->stream_count();
    return total;
}

peer_server::peer_server(
    asio::any_io_executor executor, peer_identity identity, peer_limits limits,
    peer_handler handler, std::shared_ptr<asio::ssl::context> tls)
    : impl_(std::make_shared<impl>(
          std::move(executor), std::move(identity), limits, std::move(handler),
          std::move(tls)))
{
}

peer_server::~peer_server()
{
    impl_->close();
}

result<tcp::endpoint> peer_server::listen(const tcp::endpoint& address)
{
    return impl_->listen(address);
}

void peer_server::begin_shutdown()
{
    impl_->begin_shutdown();
}

std::size_t peer_server::open_streams() const
{
    return impl_->open_streams();
}

void peer_server::close()
{
    impl_->close();
}

const peer_counters& peer_server::counters() const
{
    return impl_->counters();
}

} // namespace fulmarjunction
