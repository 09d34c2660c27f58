#include <fulmarjunction/http/http.hpp>

#include <http/body_writer.hpp>
#include <http/head.hpp>
#include <http/message_reader.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
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

constexpr int status_switching_protocols = 101;

/// An idle connection is reused only for the server's idle timeout divided by
/// this, so that the server rarely closes a connection while a request is in
/// transit.
constexpr int keep_alive_divisor = 2;

std::string to_text(const tcp::endpoint& address)
{
    const auto host = address.address().is_v6()
                          ? fmt::format("[{}]", address.address().to_string())
                          : address.address().to_string();
    return fmt::format("{}:{}", host, address.port());
}

body_framing request_framing(const streamed_request& request)
{
    if (!request.body)
        return body_framing::none;
    if (!request.content_length)
        return body_framing::chunked;
    if (*request.content_length > 0)
        return body_framing::content_length;
    const bool has_no_body =
        request.method == "GET" || request.method == "HEAD" ||
        request.method == "OPTIONS" || request.method == "DELETE";
    return has_no_body ? body_framing::none : body_framing::content_length;
}

/// State that the upload of a request's body shares with the reader of the
/// response.
struct upload_state
{
    asio::cancellation_signal stop;
    bool done = false;
    std::optional<error> failure;
};

/// Sends the body. The connection is reset when the body fails, so that the
/// server does not mistake a partial body for a complete one.
awaitable<void> run_upload(
    std::shared_ptr<upload_state> upload, std::shared_ptr<connection> conn,
    body_reader body, body_framing framing, std::uint64_t content_length,
    milliseconds idle_timeout)
{
    const auto sent = co_await detail::write_body(
        conn, std::move(body), framing, content_length, idle_timeout);
    if (sent)
        co_return;
    upload->failure = sent.error();
    // After a failed write a response may still arrive.
    if (sent.error().step != detail::write_step)
        conn->abort();
}

} // namespace

class http_client::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(
        asio::any_io_executor executor, tcp::endpoint address,
        http_limits limits, milliseconds connect_timeout)
        : executor_(std::move(executor)), address_(std::move(address)),
          name_(to_text(address_)), limits_(limits),
          connect_timeout_(connect_timeout)
    {
    }

    static awaitable<result<streamed_response>> send(
        std::shared_ptr<impl> self, streamed_request request,
        time_point deadline, answer_filter filter, time_point body_deadline);
    void close();
    const tcp::endpoint& address() const { return address_; }

private:
    struct idle_connection
    {
        std::shared_ptr<connection> conn;
        /// End of its last answer.
        time_point answered_at;
        /// The connection is not reused after this time.
        time_point expiry;
    };

    /// One request and its response on one connection. Unless the response
    /// is read to its end, the destructor closes the connection.
    struct exchange
    {
        std::weak_ptr<impl> owner;
        time_point sent_at;
        std::shared_ptr<connection> conn;
        std::shared_ptr<message_reader> reader;
        std::shared_ptr<upload_state> upload;
        bool reusable = false;
        /// Bytes of the body that were read after its deadline.
        std::size_t late_bytes = 0;
        /// How long the server keeps the connection open while it is idle.
        milliseconds idle_time{};

        ~exchange();
        void release_connection();
    };
    using exchange_ptr = std::shared_ptr<exchange>;

    std::shared_ptr<connection> take_idle();
    void drop_unproven(time_point since);
    void
    keep_for_reuse(std::shared_ptr<connection> conn, milliseconds idle_time);
    awaitable<result<std::shared_ptr<connection>>> connect(time_point deadline);
    awaitable<result<std::shared_ptr<connection>>>
    send_head(std::string head, time_point deadline);
    void start_upload(
        const exchange_ptr& current, streamed_request& request,
        body_framing framing);
    awaitable<result<void>> read_response_head(
        exchange& current, bool is_head, time_point deadline,
        const answer_filter& filter);
    awaitable<bool> skip_body(exchange& current, time_point deadline);
    streamed_response
    make_response(const exchange_ptr& current, time_point deadline) const;
    static awaitable<result<std::size_t>> read_response_body(
        exchange_ptr current, milliseconds idle_timeout, time_point deadline,
        asio::mutable_buffer output);

    asio::any_io_executor executor_;
    tcp::endpoint address_;
    std::string name_;
    http_limits limits_;
    milliseconds connect_timeout_;
    std::vector<idle_connection> idle_connections_;
    bool closed_ = false;
};

http_client::impl::exchange::~exchange()
{
    if (conn)
        conn->close();
    if (upload && !upload->done)
        upload->stop.emit(asio::cancellation_type::terminal);
}

/// Returns the connection for reuse after the response was read to its end.
void http_client::impl::exchange::release_connection()
{
    const auto client = owner.lock();
    const bool unused_input = conn && !conn->input().empty();
    if (conn && client && reusable && upload->done && !upload->failure &&
        !unused_input)
        client->keep_for_reuse(std::exchange(conn, nullptr), idle_time);
}

std::shared_ptr<connection> http_client::impl::take_idle()
{
    const auto now = clock::now();
    while (!idle_connections_.empty()) {
        auto last = std::move(idle_connections_.back());
        idle_connections_.pop_back();
        auto& conn = *last.conn;
        conn.on_end = nullptr;
        if (last.expiry >= now && conn.is_open() && !conn.has_ended() &&
            conn.input().empty() && !conn.stream().is_peer_gone())
            return last.conn;
        conn.close();
    }
    return nullptr;
}

void http_client::impl::keep_for_reuse(
    std::shared_ptr<connection> conn, milliseconds idle_time)
{
    if (closed_ || !conn->is_open() || conn->has_ended()) {
        conn->close();
        return;
    }
    const auto now = clock::now();
    std::erase_if(idle_connections_, [&](const idle_connection& other) {
        const bool expired = other.expiry < now || other.conn->has_ended();
        if (expired)
            other.conn->close();
        return expired;
    });
    conn->on_end = [weak = std::weak_ptr<connection>(conn)] {
        if (const auto ended = weak.lock())
            ended->close();
    };
    idle_connections_.push_back(
        {std::move(conn), now, now + idle_time / keep_alive_divisor});
}

/// Closes the idle connections that have carried no answer since a request was
/// sent that has got none. Connections can go silent together, without a reset.
void http_client::impl::drop_unproven(time_point since)
{
    std::erase_if(idle_connections_, [since](const idle_connection& idle) {
        const bool is_proven = idle.answered_at >= since;
        if (!is_proven)
            idle.conn->close();
        return !is_proven;
    });
}

awaitable<result<std::shared_ptr<connection>>>
http_client::impl::connect(time_point deadline)
{
    tcp::socket socket(executor_);
    boost::system::error_code failure;
    asio::steady_timer connect_timer(executor_);
    connect_timer.expires_at(
        std::min(deadline, clock::now() + connect_timeout_));
    // The socket outlives the timer, whose destruction drops the handler or
    // calls it with an error.
    auto expired = std::make_shared<bool>(false);
    auto alive = std::make_shared<bool>(true);
    connect_timer.async_wait(
        [&socket, expired, weak = std::weak_ptr<bool>(alive)](
            boost::system::error_code wait_failure) {
            if (wait_failure || weak.expired())
                return;
            *expired = true;
            boost::system::error_code ignored;
            socket.close(ignored);
        });
    co_await socket.async_connect(
        address_, asio::redirect_error(asio::use_awaitable, failure));
    connect_timer.cancel();
    if (failure || *expired) {
        co_return fail(
            errc::connection_failed, "http.connect", name_,
            *expired ? "timeout" : failure.message());
    }
    auto conn = std::make_shared<connection>(
        detail::byte_stream(std::move(socket)), limits_.max_header_bytes);
    conn->start();
    co_return conn;
}

/// Sends the head on an idle connection or a new one. An idle connection that
/// fails before it accepts a byte is replaced by another.
awaitable<result<std::shared_ptr<connection>>>
http_client::impl::send_head(std::string head, time_point deadline)
{
    for (;;) {
        auto conn = take_idle();
        const bool is_reused = conn != nullptr;
        if (!is_reused) {
            auto opened = co_await connect(deadline);
            if (!opened)
                co_return opened.error();
            conn = opened.value();
        }
        const auto sent =
            co_await conn->write(asio::buffer(head), limits_.idle_timeout);
        if (!sent.failure)
            co_return conn;
        if (sent.size > 0) {
            co_return fail(
                errc::connection_broken, "http.send", name_,
                sent.failure.message());
        }
        if (!is_reused) {
            co_return fail(
                errc::connection_failed, "http.send", name_,
                sent.failure.message());
        }
    }
}

void http_client::impl::start_upload(
    const exchange_ptr& current, streamed_request& request,
    body_framing framing)
{
    auto upload = current->upload;
    if (framing == body_framing::none) {
        upload->done = true;
        return;
    }
    asio::co_spawn(
        executor_,
        run_upload(
            upload, current->conn, std::move(request.body), framing,
            request.content_length.value_or(0), limits_.idle_timeout),
        asio::bind_cancellation_slot(
            upload->stop.slot(), [upload, conn = current->conn](
                                     const std::exception_ptr& exception) {
                if (exception) {
                    upload->failure =
                        error{errc::canceled, "http.send", {}, {}};
                    conn->abort();
                }
                upload->done = true;
                conn->wake();
            }));
}

/// Reads and discards the rest of an answer to another request.
/// @return whether another answer can follow on the connection
awaitable<bool>
http_client::impl::skip_body(exchange& current, time_point deadline)
{
    std::array<char, 1024> ignored{};
    while (!current.reader->is_done()) {
        const auto received = co_await message_reader::read_body(
            current.reader, limits_.idle_timeout, asio::buffer(ignored),
            deadline);
        if (!received)
            co_return false;
    }
    co_return current.reader->head().keep_alive;
}

awaitable<result<void>> http_client::impl::read_response_head(
    exchange& current, bool is_head, time_point deadline,
    const answer_filter& filter)
{
    for (;;) {
        current.reader = std::make_shared<message_reader>(
            current.conn, detail::message_kind::response, is_head);
        const auto outcome = co_await current.reader->read_head(
            limits_.max_header_bytes, deadline);
        const auto status = current.reader->head().status;
        switch (outcome) {
        case head_outcome::parsed:
            if (status == status_switching_protocols)
                co_return fail(errc::malformed, "http.response", name_);
            if (detail::is_final_status(status)) {
                if (!filter || filter(current.reader->head().headers))
                    co_return boost::outcome_v2::success();
                const bool may_follow = co_await skip_body(current, deadline);
                if (!may_follow) {
                    co_return fail(
                        errc::connection_broken, "http.response", name_,
                        "received only an answer to another request");
                }
            }
            break;
        case head_outcome::malformed:
        case head_outcome::too_large:
            co_return fail(errc::malformed, "http.response", name_);
        case head_outcome::timed_out:
            co_return fail(errc::timeout, "http.response", name_);
        case head_outcome::ended:
            if (current.upload->failure) {
                auto failure = *current.upload->failure;
                // The server may have processed bytes of this request.
                if (failure.code == errc::connection_failed)
                    failure.code = errc::connection_broken;
                co_return failure;
            }
            co_return fail(
                errc::connection_broken, "http.response", name_,
                "the connection ended before the response");
        }
    }
}

/// @param deadline for the last byte of the body
streamed_response http_client::impl::make_response(
    const exchange_ptr& current, time_point deadline) const
{
    auto& head = current->reader->head();
    streamed_response response;
    response.status = head.status;
    response.headers = std::move(head.headers);
    response.content_length = head.content_length;
    current->reusable = head.keep_alive;
    current->idle_time = limits_.keep_alive_timeout;
    if (head.keep_alive_time) {
        current->idle_time =
            std::min<milliseconds>(current->idle_time, *head.keep_alive_time);
    }
    const auto idle_timeout = limits_.idle_timeout;
    response.body = [current, idle_timeout,
                     deadline](asio::mutable_buffer output) {
        return read_response_body(current, idle_timeout, deadline, output);
    };
    if (current->reader->is_done())
        current->release_connection();
    return response;
}

awaitable<result<std::size_t>> http_client::impl::read_response_body(
    exchange_ptr current, milliseconds idle_timeout, time_point deadline,
    asio::mutable_buffer output)
{
    auto received = co_await message_reader::read_body(
        current->reader, idle_timeout, output, deadline);
    // More than had arrived at the deadline is a body that goes on.
    if (received && clock::now() >= deadline)
        current->late_bytes += received.value();
    if (current->late_bytes > detail::max_buffered_input)
        received = fail(errc::timeout, "http.response", {}, "deadline");
    const auto client = current->owner.lock();
    if (!received && received.error().code == errc::timeout && client)
        client->drop_unproven(current->sent_at);
    if (!received && current->conn)
        current->conn->close();
    if (received && current->reader->is_done())
        current->release_connection();
    co_return received;
}

awaitable<result<streamed_response>> http_client::impl::send(
    std::shared_ptr<impl> self, streamed_request request, time_point deadline,
    answer_filter filter, time_point body_deadline)
{
    const auto framing = request_framing(request);
    auto head = detail::format_request_head(request, self->name_, framing);
    if (!head)
        co_return fail(errc::invalid_argument, "http.send", self->name_);
    if (clock::now() >= deadline) {
        co_return fail(
            errc::connection_failed, "http.send", self->name_,
            "the deadline has passed");
    }
    const auto sent_at = clock::now();
    auto conn = co_await self->send_head(std::move(*head), deadline);
    if (!conn)
        co_return conn.error();
    auto current = std::make_shared<exchange>();
    current->owner = self;
    current->sent_at = sent_at;
    current->conn = conn.value();
    current->upload = std::make_shared<upload_state>();
    self->start_upload(current, request, framing);
    const auto outcome = co_await self->read_response_head(
        *current, request.method == "HEAD", deadline, filter);
    if (!outcome && outcome.error().code == errc::timeout)
        self->drop_unproven(sent_at);
    if (!outcome)
        co_return outcome.error();
    co_return self->make_response(current, body_deadline);
}

void http_client::impl::close()
{
    closed_ = true;
    for (auto& idle : std::exchange(idle_connections_, {}))
        idle.conn->close();
}

http_client::http_client(
    asio::any_io_executor executor, tcp::endpoint address, http_limits limits,
    milliseconds connect_timeout)
    : impl_(std::make_shared<impl>(
          std::move(executor), std::move(address), limits, connect_timeout))
{
}

http_client::~http_client()
{
    impl_->close();
}

awaitable<result<streamed_response>> http_client::send(
    streamed_request request, time_point deadline, answer_filter filter,
    time_point body_deadline)
{
    return impl::send(
        impl_, std::move(request), deadline, std::move(filter), body_deadline);
}

void http_client::close()
{
    impl_->close();
}

const tcp::endpoint& http_client::address() const
{
    return impl_->address();
}

} // namespace fulmarjunction
