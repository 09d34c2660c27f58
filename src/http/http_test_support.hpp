/// @file
/// Helpers of the tests of HTTP servers and clients: a server under test, a
/// scripted one, and sample messages.
#pragma once

#include <fulmarjunction/http/http.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <test_main/transport_test_support.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmarjunction::test {

/// Timeouts long enough not to expire on a loaded system.
inline fj::http_limits long_timeout_limits()
{
    fj::http_limits limits;
    limits.keep_alive_timeout = hang_limit;
    limits.head_timeout = hang_limit;
    limits.idle_timeout = hang_limit;
    return limits;
}

/// Reads the request's body and describes the request in the response.
inline fj::awaitable<fj::streamed_response> describe(fj::http_request request)
{
    std::string text =
        request.message.method + " " + request.message.target + "\n";
    for (const auto& field : request.message.headers)
        text += field.name + "=" + field.value + "\n";
    auto body = co_await fj::read_body(request.message.body, 1 << 20);
    text += body ? body.value() : std::string(to_string(body.error().code));
    co_return text_response(200, text);
}

/// A server under test that counts the calls of its handler.
struct test_server
{
    explicit test_server(
        const fj::http_handler& handler,
        fj::http_limits limits = long_timeout_limits(),
        std::shared_ptr<asio::ssl::context> tls = nullptr)
        : server(
              io().get_executor(), limits,
              [this, handler](fj::http_request request) {
                  ++calls;
                  return handler(std::move(request));
              },
              [](int status) { return text_response(status, "refused"); },
              std::move(tls)),
          address(server.listen(any_port).value())
    {
    }

    int calls = 0;
    fj::http_server server;
    tcp::endpoint address;
};

/// Fake server: accepts connections and, on each, waits for a complete request
/// head, sends fixed bytes and closes the connection if `close_after` is set.
struct scripted_server
{
    scripted_server(std::string answer, bool close_after)
        : acceptor(io(), any_port), address(acceptor.local_endpoint())
    {
        asio::co_spawn(
            io(), accept(std::move(answer), close_after), asio::detached);
    }

    fj::awaitable<void> accept(std::string answer, bool close_after)
    {
        for (;;) {
            auto socket = std::make_shared<tcp::socket>(
                co_await acceptor.async_accept(use_awaitable));
            ++accepted;
            sockets.push_back(socket);
            asio::co_spawn(
                io(), serve(socket, answer, close_after), asio::detached);
        }
    }

    fj::awaitable<void> serve(
        std::shared_ptr<tcp::socket> socket, std::string answer,
        bool close_after)
    {
        std::string input;
        for (;;) {
            boost::system::error_code failure;
            std::array<char, 1024> piece{};
            const auto size = co_await socket->async_read_some(
                asio::buffer(piece),
                asio::redirect_error(use_awaitable, failure));
            if (failure) {
                ++ended;
                co_return;
            }
            input.append(piece.data(), size);
            if (input.find("\r\n\r\n") == std::string::npos)
                continue;
            input.clear();
            co_await asio::async_write(
                *socket, asio::buffer(answer), use_awaitable);
            if (close_after) {
                socket->close();
                co_return;
            }
        }
    }

    tcp::acceptor acceptor;
    tcp::endpoint address;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    int accepted = 0;
    int ended = 0;
};

/// Returns "<status> <body>" or the error's name.
inline fj::awaitable<std::string> fetch(
    fj::http_client& client, fj::streamed_request request,
    fj::time_point deadline)
{
    auto response = co_await client.send(std::move(request), deadline);
    if (!response)
        co_return std::string(to_string(response.error().code));
    auto body = co_await fj::read_body(response.value().body, 1 << 22);
    if (!body)
        co_return "body " + std::string(to_string(body.error().code));
    co_return std::to_string(response.value().status) + " " + body.value();
}

inline std::string
fetch_now(fj::http_client& client, fj::streamed_request request)
{
    return run(fetch(client, std::move(request), far_deadline()));
}

inline std::size_t resident_kib()
{
    std::ifstream status("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    status >> total >> resident;
    return resident * 4;
}

/// Yields `left` bytes.
inline fj::body_reader long_body(const std::shared_ptr<std::uint64_t>& left)
{
    const auto read = [](std::shared_ptr<std::uint64_t> rest,
                         asio::mutable_buffer output)
        -> fj::awaitable<fj::result<std::size_t>> {
        const auto size = std::min<std::uint64_t>(*rest, output.size());
        std::memset(output.data(), 'x', size);
        *rest -= size;
        co_return size;
    };
    return [left, read](asio::mutable_buffer output) {
        return read(left, output);
    };
}

} // namespace fulmarjunction::test
