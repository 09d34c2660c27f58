#include <peer/link.hpp>
#include <peer/session.hpp>

#include <boost/asio/co_spawn.hpp>

#include <fmt/format.h>

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace fulmarjunction {

namespace asio = boost::asio;
using asio::ip::tcp;
using detail::peer_session;
using detail::stream_ptr;
using session_ptr = std::shared_ptr<peer_session>;

namespace {

std::string to_text(const tcp::endpoint& address)
{
    const auto host = address.address().is_v6()
                          ? fmt::format("[{}]", address.address().to_string())
                          : address.address().to_string();
    return fmt::format("{}:{}", host, address.port());
}

/// Resets the stream on destruction unless it has closed already.
struct stream_guard
{
    session_ptr session;
    stream_ptr stream;
    /// Bytes of the body that were read after its deadline.
    std::size_t late_bytes = 0;

    stream_guard(session_ptr owner, stream_ptr target)
        : session(std::move(owner)), stream(std::move(target))
    {
    }
    ~stream_guard() { session->cancel(stream); }
    stream_guard(const stream_guard&) = delete;
    stream_guard& operator=(const stream_guard&) = delete;
};
using guard_ptr = std::shared_ptr<stream_guard>;

awaitable<result<std::size_t>> read_response_body(
    guard_ptr guard, asio::mutable_buffer output, time_point deadline)
{
    auto received = co_await peer_session::read_body(
        guard->session, guard->stream, output, deadline);
    // More than had arrived at the deadline is a body that goes on.
    if (received && clock::now() >= deadline)
        guard->late_bytes += received.value();
    if (guard->late_bytes > guard->session->limits().stream_window)
        co_return fail(errc::timeout, "peer.body", guard->session->peer_name());
    co_return received;
}

/// @param body_deadline for the last byte of the body
streamed_response
make_response(const guard_ptr& guard, time_point body_deadline)
{
    auto& source = *guard->stream;
    streamed_response response;
    response.status = source.status;
    response.content_length = detail::find_content_length(source.headers);
    remove_header(source.headers, "content-length");
    if (!response.content_length && source.input_ended && source.input.empty())
        response.content_length = 0;
    response.headers = std::move(source.headers);
    response.body = [guard, body_deadline](asio::mutable_buffer output) {
        return read_response_body(guard, output, body_deadline);
    };
    return response;
}

/// Returns the error when a session cannot be used for a request to the
/// expected instance.
std::optional<error>
check_session(peer_session& session, const instance_name& expected)
{
    error failure{errc::connection_failed, "peer.send", session.peer_name()};
    if (!session.accepts_streams()) {
        failure.detail = "the connection has closed";
    } else if (!expected.empty() && session.peer_name() != expected) {
        failure.detail = "another instance than " + expected;
        failure.connecting = connect_problem::other_instance;
    } else {
        return std::nullopt;
    }
    return failure;
}

/// Sends a request on an open session and waits for the response's head.
awaitable<result<streamed_response>> exchange(
    session_ptr session, streamed_request request, time_point deadline,
    time_point body_deadline)
{
    const bool has_body =
        request.body && request.content_length != std::uint64_t{0};
    const auto opened = session->open(request, has_body);
    if (!opened)
        co_return opened.error();
    const auto guard = std::make_shared<stream_guard>(session, opened.value());
    if (has_body) {
        session->send_body(
            guard->stream, std::move(request.body), request.content_length);
    }
    const auto head =
        co_await peer_session::wait_for_head(session, guard->stream, deadline);
    if (!head)
        co_return head.error();
    co_return make_response(guard, body_deadline);
}

} // namespace

class peer_client::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(
        asio::any_io_executor executor, peer_identity identity,
        peer_limits limits, std::shared_ptr<asio::ssl::context> tls)
        : executor_(std::move(executor)), identity_(std::move(identity)),
          limits_(limits), tls_(std::move(tls))
    {
    }

    static awaitable<result<streamed_response>> send(
        std::shared_ptr<impl> self, tcp::endpoint address,
        instance_name expected, streamed_request request, time_point deadline,
        time_point body_deadline);
    void close_gracefully(const tcp::endpoint& address);
    void drop(const tcp::endpoint& address);
    void close_unused(duration unused_for);
    void close();
    const peer_counters& counters() const { return *counters_; }

private:
    /// A connection to one address that is open or being opened.
    struct connection
    {
        explicit connection(const asio::any_io_executor& executor)
            : changed(executor)
        {
        }

        detail::event changed;
        session_ptr session;
        std::optional<error> failure;
        time_point last_used = clock::now();
    };
    using connection_ptr = std::shared_ptr<connection>;

    connection_ptr find_or_open(const tcp::endpoint& address);
    static awaitable<void> open(
        std::shared_ptr<impl> self, connection_ptr target,
        tcp::endpoint address);
    awaitable<result<session_ptr>> connect(tcp::endpoint address);
    awaitable<boost::system::error_code>
    connect_socket(tcp::socket& socket, tcp::endpoint address);
    std::optional<error>
    check_can_send(const std::string& name, time_point deadline) const;
    awaitable<result<session_ptr>>
    get_session(tcp::endpoint address, time_point deadline);
    void
    start_session(const connection_ptr& target, const tcp::endpoint& address);

    asio::any_io_executor executor_;
    peer_identity identity_;
    peer_limits limits_;
    std::shared_ptr<asio::ssl::context> tls_;
    std::shared_ptr<peer_counters> counters_ =
        std::make_shared<peer_counters>();
    std::map<tcp::endpoint, connection_ptr> connections_;
    /// All open sessions, including those that accept no new streams.
    std::set<session_ptr> sessions_;
    bool closed_ = false;
};

peer_client::impl::connection_ptr
peer_client::impl::find_or_open(const tcp::endpoint& address)
{
    auto& entry = connections_[address];
    const bool usable =
        entry && (!entry->session || (entry->session->accepts_streams() &&
                                      !entry->session->is_peer_gone()));
    if (usable) {
        entry->last_used = clock::now();
        return entry;
    }
    entry = std::make_shared<connection>(executor_);
    asio::co_spawn(
        executor_, open(shared_from_this(), entry, address),
        [target = entry](const std::exception_ptr& exception) {
            if (exception && !target->session)
                target->failure =
                    error{errc::connection_failed, "peer.connect", {}, {}};
            target->changed.notify();
        });
    return entry;
}

awaitable<void> peer_client::impl::open(
    std::shared_ptr<impl> self, connection_ptr target, tcp::endpoint address)
{
    auto opened = co_await self->connect(address);
    if (opened && !self->closed_) {
        target->session = opened.value();
        self->start_session(target, address);
        co_return;
    }
    target->failure = opened
                          ? error{errc::canceled, "peer.connect", {}, "closed"}
                          : opened.error();
    const auto found = self->connections_.find(address);
    if (found != self->connections_.end() && found->second == target)
        self->connections_.erase(found);
}

void peer_client::impl::start_session(
    const connection_ptr& target, const tcp::endpoint& address)
{
    target->session->on_close =
        [weak_self = weak_from_this(), address,
         weak = std::weak_ptr<peer_session>(target->session)] {
            const auto self = weak_self.lock();
            if (!self)
                return;
            const auto closed = weak.lock();
            const auto found = self->connections_.find(address);
            if (found != self->connections_.end() && closed &&
                found->second->session == closed)
                self->connections_.erase(found);
            self->sessions_.erase(closed);
        };
    sessions_.insert(target->session);
    target->session->start();
}

awaitable<boost::system::error_code>
peer_client::impl::connect_socket(tcp::socket& socket, tcp::endpoint address)
{
    asio::steady_timer timer(executor_, limits_.connect_timeout);
    const auto alive = std::make_shared<bool>(true);
    timer.async_wait([&socket, weak = std::weak_ptr<bool>(alive)](
                         boost::system::error_code failure) {
        boost::system::error_code ignored;
        if (!failure && !weak.expired())
            socket.close(ignored);
    });
    boost::system::error_code failure;
    co_await socket.async_connect(
        address, asio::redirect_error(asio::use_awaitable, failure));
    if (!failure && !socket.is_open())
        failure = asio::error::timed_out;
    co_return failure;
}

awaitable<result<session_ptr>> peer_client::impl::connect(tcp::endpoint address)
{
    const auto name = to_text(address);
    tcp::socket socket(executor_);
    const auto failure = co_await connect_socket(socket, address);
    if (failure) {
        error problem{
            errc::connection_failed, "peer.connect", name, failure.message()};
        if (failure == asio::error::connection_refused)
            problem.connecting = connect_problem::refused;
        co_return problem;
    }
    detail::byte_stream stream(std::move(socket), tls_);
    auto peer = co_await detail::authenticate(
        stream, identity_, detail::peer_role::client,
        limits_.handshake_timeout);
    if (!peer) {
        ++counters_->handshakes_failed;
        co_return fail(
            errc::connection_failed, "peer.handshake", name,
            to_string(peer.error()));
    }
    ++counters_->connections_opened;
    co_return std::make_shared<peer_session>(
        std::move(stream), detail::session_side::client, limits_, counters_,
        peer.value().name);
}

awaitable<result<session_ptr>>
peer_client::impl::get_session(tcp::endpoint address, time_point deadline)
{
    const auto target = find_or_open(address);
    while (!target->session && !target->failure) {
        if (clock::now() >= deadline) {
            co_return fail(
                errc::connection_failed, "peer.connect", to_text(address),
                "the deadline has passed");
        }
        co_await target->changed.wait(deadline);
    }
    if (target->failure)
        co_return *target->failure;
    co_return target->session;
}

/// Returns the error when no request can be sent at all.
std::optional<error> peer_client::impl::check_can_send(
    const std::string& name, time_point deadline) const
{
    std::string reason;
    if (closed_)
        reason = "closed";
    else if (!detail::is_valid_identity(identity_))
        reason = "no secret or name";
    else if (clock::now() >= deadline)
        reason = "the deadline has passed";
    else
        return std::nullopt;
    return error{errc::connection_failed, "peer.send", name, std::move(reason)};
}

awaitable<result<streamed_response>> peer_client::impl::send(
    std::shared_ptr<impl> self, tcp::endpoint address, instance_name expected,
    streamed_request request, time_point deadline, time_point body_deadline)
{
    auto failure = self->check_can_send(to_text(address), deadline);
    if (failure)
        co_return *failure;
    const auto found = co_await self->get_session(address, deadline);
    if (!found)
        co_return found.error();
    failure = check_session(*found.value(), expected);
    if (failure)
        co_return *failure;
    co_return co_await exchange(
        found.value(), std::move(request), deadline, body_deadline);
}

void peer_client::impl::close_gracefully(const tcp::endpoint& address)
{
    const auto found = connections_.find(address);
    if (found == connections_.end())
        return;
    const auto target = found->second;
    connections_.erase(found);
    if (target->session)
        target->session->begin_shutdown();
}

void peer_client::impl::drop(const tcp::endpoint& address)
{
    const auto found = connections_.find(address);
    if (found == connections_.end())
        return;
    const auto target = found->second;
    connections_.erase(found);
    if (target->session)
        target->session->close();
}

void peer_client::impl::close_unused(duration unused_for)
{
    const auto cutoff = clock::now() - unused_for;
    std::vector<tcp::endpoint> unused;
    for (const auto& [address, target] : connections_) {
        if (target->session && target->last_used <= cutoff)
            unused.push_back(address);
    }
    for (const auto& address : unused)
        close_gracefully(address);
}

void peer_client::impl::close()
{
    closed_ = true;
    connections_.clear();
    for (const auto& session : std::set<session_ptr>(sessions_))
        session->close();
}

peer_client::peer_client(
    asio::any_io_executor executor, peer_identity identity, peer_limits limits,
    std::shared_ptr<asio::ssl::context> tls)
    : impl_(std::make_shared<impl>(
          std::move(executor), std::move(identity), limits, std::move(tls)))
{
}

peer_client::~peer_client()
{
    impl_->close();
}

awaitable<result<streamed_response>> peer_client::send(
    tcp::endpoint address, instance_name expected, streamed_request request,
    time_point deadline, time_point body_deadline)
{
    return impl::send(
        impl_, std::move(address), std::move(expected), std::move(request),
        deadline, body_deadline);
}

void peer_client::close_gracefully(const tcp::endpoint& address)
{
    impl_->close_gracefully(address);
}

void peer_client::drop(const tcp::endpoint& address)
{
    impl_->drop(address);
}

void peer_client::close_unused(duration unused_for)
{
    impl_->close_unused(unused_for);
}

void peer_client::close()
{
    impl_->close();
}

const peer_counters& peer_client::counters() const
{
    return impl_->counters();
}

} // namespace fulmarjunction
