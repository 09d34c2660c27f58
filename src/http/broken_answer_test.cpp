// Tests of answers that are broken: ended by a reset, or with a head that is
// not valid.

#include <http/http_test_support.hpp>

#include <fulmarjunction/core/log.hpp>

#include <http/connection.hpp>

#include <boost/asio/ssl/stream.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace fulmarjunction::test;
using namespace std::string_literals;

namespace {

/// Longer than a client takes to refuse an answer that it does not wait for.
constexpr fj::milliseconds wait_limit(10'000);

/// Body of an upload that arrives on a socket, like that of a caller's request.
class socket_body
{
public:
    socket_body() : sender_(io()), receiver_(io())
    {
        tcp::acceptor acceptor(io(), any_port);
        sender_.connect(acceptor.local_endpoint());
        receiver_ = acceptor.accept();
    }

    void send(const std::string& piece)
    {
        asio::write(sender_, asio::buffer(piece));
    }

    static fj::awaitable<fj::result<std::size_t>>
    read(std::shared_ptr<socket_body> self, asio::mutable_buffer output)
    {
        co_return co_await self->receiver_.async_read_some(
            output, use_awaitable);
    }

private:
    tcp::socket sender_;
    tcp::socket receiver_;
};

/// How the server ends a connection whose upload it has not read.
enum class connection_end
{
    reset,
    close_then_reset
};

void end_connection(tcp::socket& socket, connection_end how)
{
    if (how == connection_end::close_then_reset)
        socket.shutdown(tcp::socket::shutdown_send);
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
}

/// Uploads to a server that answers at once, without a length, and ends the
/// connection in the turn of the event loop in which the next piece of the
/// upload arrives.
/// @return the body of the answer, or the name of its error
std::string upload_to_ending_server(connection_end how)
{
    tcp::acceptor acceptor(io(), any_port);
    fj::http_client client(
        io().get_executor(), acceptor.local_endpoint(), long_timeout_limits(),
        hang_limit);
    const auto upload = std::make_shared<socket_body>();
    auto request = post("", std::nullopt);
    request.body = [upload](asio::mutable_buffer output) {
        return socket_body::read(upload, output);
    };
    const auto answer = start(client.send(std::move(request), far_deadline()));
    auto server = run(acceptor.async_accept(use_awaitable));
    asio::write(server, asio::buffer("HTTP/1.1 200 OK\r\n\r\npart"s));
    run_until([&] { return answer->has_value(); });
    REQUIRE(answer->value());
    const auto body = start(fj::read_body(answer->value().value().body, 100));
    // Now the client waits for both the upload and the rest of the answer.
    io().restart();
    io().poll();
    upload->send("more");
    end_connection(server, how);
    run_until([&] { return body->has_value(); });
    if (body->value())
        return body->value().value();
    return std::string(to_string(body->value().error().code));
}

} // namespace

// Guards against a part of an answer that looks complete: the kernel reports a
// reset once, to the write of the upload, and the read of the answer gets an
// ordinary end of file.
TEST_CASE("a reset during an upload does not complete an answer")
{
    for (int round = 0; round < 20; ++round)
        CHECK(upload_to_ending_server(connection_end::reset) == "truncated");
}

// Guards against a complete answer that is dropped because the server does not
// take the rest of the upload.
TEST_CASE("an answer that ends before a reset is complete")
{
    for (int round = 0; round < 20; ++round) {
        CHECK(
            upload_to_ending_server(connection_end::close_then_reset) ==
            "part");
    }
}

// Guards against an answer with an invalid status: taken for an interim one,
// its body would be read as the next answer.
TEST_CASE("an answer with a status below 100 is malformed")
{
    const auto forged = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nforged"s;
    for (const auto* status : {"000", "001", "099"}) {
        INFO(status);
        const std::vector<std::string> answers = {
            fmt::format(
                "HTTP/1.1 {} Trouble\r\ncontent-length: 0\r\n\r\n", status),
            fmt::format("HTTP/1.1 {} Trouble\r\n\r\n", status),
            fmt::format(
                "HTTP/1.1 {} Trouble\r\ncontent-length: {}\r\n\r\n{}", status,
                forged.size(), forged),
            fmt::format("HTTP/1.1 {} Trouble\r\n\r\n{}", status, forged),
        };
        for (const auto& answer : answers) {
            INFO(fj::log_quote(answer));
            scripted_server server(answer, false);
            fj::http_client client(
                io().get_executor(), server.address, long_timeout_limits(),
                hang_limit);
            const auto deadline = fj::clock::now() + wait_limit;
            CHECK(run(fetch(client, get("/"), deadline)) == "malformed");
        }
    }
}

// Guards against a field that is passed on with an invalid name, and against
// one that frames the body for one parser but not for another.
TEST_CASE("an answer whose field name has a blank or control byte is malformed")
{
    const std::vector<std::string> lines = {
        "se al: s",
        "seal : s",
        "seal\t: s",
        " seal: s",
        "\tseal: s",
        "se\001al: s",
        "seal\x7f: s",
        "se\0al: s"s,
        "se\ral: s",
        "se\nal: s",
        "se\240al: s",
        "\x0bseal: s",
        ": s",
        "seal",
        "content-length : 0",
        "content-length\x0c: 0",
        "content length: 0",
        "transfer-encoding : chunked",
        "transfer-encoding\x01: chunked",
    };
    for (const auto& line : lines) {
        INFO(fj::log_quote(line));
        constexpr std::string_view body = "content-length: 4\r\n\r\nbody";
        const std::vector<std::string> answers = {
            fmt::format("HTTP/1.1 200 OK\r\n{}\r\n{}", line, body),
            fmt::format("HTTP/1.1 200 OK\r\nid: 1\r\n{}\r\n{}", line, body),
            fmt::format("HTTP/1.1 500 Trouble\r\n{}\r\n\r\nbody", line),
            // An interim answer is checked as well.
            fmt::format(
                "HTTP/1.1 103 Hints\r\n{}\r\n\r\nHTTP/1.1 200 OK\r\n{}", line,
                body),
        };
        for (const auto& answer : answers) {
            scripted_server server(answer, true);
            fj::http_client client(
                io().get_executor(), server.address, long_timeout_limits(),
                hang_limit);
            CHECK(fetch_now(client, get("/")) == "malformed");
        }
    }
}

// Guards against trailers that are checked less strictly than the head.
TEST_CASE("an answer whose trailer has an invalid name is malformed")
{
    const auto whole_body = "HTTP/1.1 200 OK\r\n"
                            "transfer-encoding: chunked\r\n\r\n"
                            "4\r\nbody\r\n0\r\n"s;
    for (const auto& line :
         {"se al: s"s, "seal : s"s, "seal\t: s"s, " seal: s"s, "se\001al: s"s,
          "seal\x7f: s"s, "se\0al: s"s, ": s"s, "seal"s, "a: b\x01"s}) {
        INFO(fj::log_quote(line));
        scripted_server server(whole_body + line + "\r\n\r\n", true);
        fj::http_client client(
            io().get_executor(), server.address, long_timeout_limits(),
            hang_limit);
        CHECK(fetch_now(client, get("/")) == "body malformed");
    }
}

// Guards against a part of a message that looks complete under TLS, where
// anyone on the way can end a connection but only the peer can announce the
// end.
TEST_CASE("a TLS connection without close_notify has no clean end")
{
    const auto tls = make_tls_context();
    for (const bool announces_end : {true, false}) {
        tcp::acceptor acceptor(io(), any_port);
        asio::ssl::context context(asio::ssl::context::tls_client);
        asio::ssl::stream<tcp::socket> sender(io(), context);
        sender.lowest_layer().connect(acceptor.local_endpoint());
        auto link = std::make_shared<fj::detail::connection>(
            fj::detail::byte_stream(acceptor.accept(), tls), 1024);
        const auto accepted =
            start(link->stream().handshake(asio::ssl::stream_base::server));
        const auto send = [&]() -> fj::awaitable<bool> {
            boost::system::error_code failure;
            co_await sender.async_handshake(
                asio::ssl::stream_base::client, use_awaitable);
            if (announces_end) {
                co_await sender.async_shutdown(
                    asio::redirect_error(use_awaitable, failure));
            }
            sender.lowest_layer().close();
            co_return true;
        };
        const auto sent = start(send());
        run_until([&] { return accepted->has_value(); });
        link->start();
        run_until([&] { return link->has_ended(); });
        CHECK(link->has_clean_end() == announces_end);
        link->close();
        run_until([&] { return sent->has_value(); });
    }
}
