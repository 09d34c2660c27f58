/// @file
/// Helpers of the transport tests: one shared I/O context that the test runs
/// itself, sample messages and raw connections.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <openssl/evp.h>
#include <openssl/x509.h>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

namespace fulmarjunction::test {

namespace fj = fulmarjunction;
namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;

inline const tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);

/// Fails a test that hangs. No other result depends on this value.
constexpr std::chrono::seconds hang_limit{120};

/// Returns the I/O context shared by all tests.
inline asio::io_context& io()
{
    static asio::io_context context;
    return context;
}

/// Returns ports that no other test process gets, below the ephemeral ports, so
/// that no outgoing connection takes them either.
///
/// A port that a test has found to be free is in use only later, so processes
/// that run at the same time claim blocks of ports by locking a file for each.
class port_claims
{
public:
    unsigned next()
    {
        if (used_ == ports_per_block)
            claim_block();
        return first_port + block_ * ports_per_block + used_++;
    }

private:
    static constexpr unsigned first_port = 12'000;
    static constexpr unsigned ports_per_block = 100;
    static constexpr unsigned blocks = 180;

    /// Claims the next free block until the process ends.
    void claim_block()
    {
        for (unsigned tried = 0; tried < blocks; ++tried) {
            block_ = (block_ + 1) % blocks;
            const auto path = std::filesystem::temp_directory_path() /
                              ("fulmar-ports-" + std::to_string(block_));
            const int file =
                ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
            if (file >= 0 && ::flock(file, LOCK_EX | LOCK_NB) == 0) {
                used_ = 0;
                return;
            }
            ::close(file);
        }
        throw std::runtime_error("all ports are claimed by other tests");
    }

    unsigned block_ = static_cast<unsigned>(getpid()) % blocks;
    unsigned used_ = ports_per_block;
};

/// Returns a free address.
inline tcp::endpoint free_address()
{
    static port_claims claims;
    for (;;) {
        const auto port = claims.next();
        tcp::acceptor acceptor(io());
        tcp::endpoint address(
            asio::ip::address_v4::loopback(),
            static_cast<unsigned short>(port));
        acceptor.open(address.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        boost::system::error_code taken;
        acceptor.bind(address, taken);
        if (!taken)
            return address;
    }
}

/// Runs the context until `done()` returns true; throws after `hang_limit`.
template <class Predicate>
void run_until(Predicate done)
{
    const auto limit = fj::clock::now() + hang_limit;
    while (!done()) {
        if (fj::clock::now() >= limit)
            throw std::runtime_error("test did not finish within 120 s");
        io().restart();
        io().run_one_for(std::chrono::milliseconds(100));
    }
}

/// Awaits a coroutine and stores its value.
template <class T>
fj::awaitable<void>
store_value(fj::awaitable<T> work, std::shared_ptr<std::optional<T>> value)
{
    value->emplace(co_await std::move(work));
}

/// Starts a coroutine. Its value is stored when it finishes; wait for it with
/// `run_until`.
template <class T>
std::shared_ptr<std::optional<T>> start(fj::awaitable<T> work)
{
    auto value = std::make_shared<std::optional<T>>();
    asio::co_spawn(
        io(), store_value(std::move(work), value),
        [](const std::exception_ptr& thrown) {
            if (thrown)
                std::rethrow_exception(thrown);
        });
    return value;
}

/// Runs a coroutine to completion and returns its value.
template <class T>
T run(fj::awaitable<T> work)
{
    const auto value = start(std::move(work));
    run_until([&] { return value->has_value(); });
    return std::move(**value);
}

/// Returns a deadline that no test reaches.
inline fj::time_point far_deadline()
{
    return fj::clock::now() + hang_limit;
}

/// Returns a response with a text body and its content length.
inline fj::streamed_response text_response(int status, std::string text)
{
    const auto size = text.size();
    return {status, {}, size, fj::string_body(std::move(text))};
}

/// Returns a request without a body.
inline fj::streamed_request get(std::string target)
{
    return {"GET", std::move(target), {}, 0, fj::empty_body()};
}

/// Returns a request with a body, with or without a content length.
inline fj::streamed_request
post(std::string text, std::optional<std::uint64_t> content_length)
{
    return {
        "POST", "/echo", {}, content_length, fj::string_body(std::move(text))};
}

/// Sends `bytes` and returns all bytes received until the connection ends.
inline fj::awaitable<std::string>
raw_exchange(tcp::endpoint address, std::string bytes, bool end_output = false)
{
    tcp::socket socket(io());
    co_await socket.async_connect(address, use_awaitable);
    co_await asio::async_write(socket, asio::buffer(bytes), use_awaitable);
    if (end_output)
        socket.shutdown(tcp::socket::shutdown_send);
    std::string answer;
    boost::system::error_code ignored;
    co_await asio::async_read(
        socket, asio::dynamic_buffer(answer),
        asio::redirect_error(use_awaitable, ignored));
    co_return answer;
}

/// Returns a TLS server context with a new self-signed certificate.
inline std::shared_ptr<asio::ssl::context> make_tls_context()
{
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* certificate = X509_new();
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -60);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
    X509_set_pubkey(certificate, key);
    X509_sign(certificate, key, EVP_sha256());
    auto context =
        std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    SSL_CTX_use_certificate(context->native_handle(), certificate);
    SSL_CTX_use_PrivateKey(context->native_handle(), key);
    X509_free(certificate);
    EVP_PKEY_free(key);
    return context;
}

} // namespace fulmarjunction::test
