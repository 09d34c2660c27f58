#include <peer/link.hpp>

#include <boost/asio/steady_timer.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fulmarjunction::detail {

namespace asio = boost::asio;

namespace {

/// TCP keepalive: seconds without traffic before the first probe, seconds
/// between probes, and the number of probes. The failure of an instance is
/// detected after about 7 s on a connection without traffic.
constexpr int keepalive_idle_s = 3;
constexpr int keepalive_interval_s = 2;
constexpr int keepalive_probes = 2;

/// Maximum time that sent data may stay unacknowledged (TCP_USER_TIMEOUT).
constexpr int max_unacknowledged_ms = 5000;

awaitable<bool> write_all(byte_stream& stream, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = co_await stream.write_some(
            asio::buffer(bytes.data(), bytes.size()));
        if (sent.failure)
            co_return false;
        bytes.remove_prefix(sent.size);
    }
    co_return true;
}

/// Reads and appends exactly `size` bytes, never more: what follows belongs to
/// HTTP/2.
awaitable<bool>
read_exactly(byte_stream& stream, std::string& bytes, std::size_t size)
{
    const auto target_size = bytes.size() + size;
    while (bytes.size() < target_size) {
        const auto received =
            co_await stream.read_some(target_size - bytes.size());
        if (received.failure)
            co_return false;
        bytes += received.bytes;
    }
    co_return true;
}

/// Reads a hello; returns an empty string when it is malformed or truncated.
awaitable<std::string> read_hello(byte_stream& stream)
{
    std::string bytes;
    const bool started =
        co_await read_exactly(stream, bytes, hello_prefix_size);
    if (!started)
        co_return "";
    const auto size = hello_size(bytes);
    if (!size)
        co_return "";
    const bool complete =
        co_await read_exactly(stream, bytes, *size - hello_prefix_size);
    co_return complete ? bytes : "";
}

awaitable<bool> send_proof(byte_stream& stream, const peer_proof& proof)
{
    const std::string bytes(proof.begin(), proof.end());
    co_return co_await write_all(stream, bytes);
}

awaitable<bool> check_proof(byte_stream& stream, const peer_proof& expected)
{
    std::string bytes;
    const bool complete = co_await read_exactly(stream, bytes, proof_size);
    if (!complete)
        co_return false;
    peer_proof received{};
    std::copy(bytes.begin(), bytes.end(), received.begin());
    co_return is_same_proof(received, expected);
}

awaitable<result<peer_hello>> exchange_proofs(
    byte_stream& stream, const peer_identity& identity, peer_role side)
{
    const bool is_client = side == peer_role::client;
    const auto local_hello =
        format_hello(make_hello(identity.name, identity.incarnation));
    std::string remote_hello;
    if (!is_client)
        remote_hello = co_await read_hello(stream);
    if (is_client || !remote_hello.empty()) {
        const bool sent = co_await write_all(stream, local_hello);
        if (!sent)
            co_return fail(errc::connection_failed, "peer.handshake");
    }
    if (is_client)
        remote_hello = co_await read_hello(stream);
    const auto hello = parse_hello(remote_hello);
    if (!hello)
        co_return fail(errc::malformed, "peer.handshake");

    const auto& client_hello = is_client ? local_hello : remote_hello;
    const auto& server_hello = is_client ? remote_hello : local_hello;
    const auto client_proof = make_proof(
        identity.secret, peer_role::client, client_hello, server_hello);
    const auto server_proof = make_proof(
        identity.secret, peer_role::server, client_hello, server_hello);
    bool proved = false;
    if (is_client) {
        proved = co_await send_proof(stream, client_proof);
        if (proved)
            proved = co_await check_proof(stream, server_proof);
    } else {
        proved = co_await check_proof(stream, client_proof);
        if (proved)
            proved = co_await send_proof(stream, server_proof);
    }
    if (!proved)
        co_return fail(errc::unauthorized, "peer.handshake", hello->name);
    co_return *hello;
}

} // namespace

bool is_valid_identity(const peer_identity& identity)
{
    return !identity.secret.empty() && !identity.name.empty() &&
           identity.name.size() <= max_name_size;
}

void configure_socket(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const auto set_option = [&](int option, int value) {
        setsockopt(
            socket.native_handle(), IPPROTO_TCP, option, &value, sizeof(value));
    };
    set_option(TCP_KEEPIDLE, keepalive_idle_s);
    set_option(TCP_KEEPINTVL, keepalive_interval_s);
    set_option(TCP_KEEPCNT, keepalive_probes);
    set_option(TCP_USER_TIMEOUT, max_unacknowledged_ms);
}

awaitable<result<peer_hello>> authenticate(
    byte_stream& stream, const peer_identity& identity, peer_role side,
    milliseconds timeout)
{
    configure_socket(stream.socket());
    asio::steady_timer timer(stream.socket().get_executor(), timeout);
    const auto alive = std::make_shared<bool>(true);
    timer.async_wait([&stream, weak = std::weak_ptr<bool>(alive)](
                         boost::system::error_code failure) {
        if (!failure && !weak.expired())
            stream.close();
    });
    const auto tls_side = side == peer_role::client
                              ? asio::ssl::stream_base::client
                              : asio::ssl::stream_base::server;
    const auto failure = co_await stream.handshake(tls_side);
    if (failure) {
        stream.close();
        co_return fail(errc::unauthorized, "peer.tls", {}, failure.message());
    }
    auto authenticated = co_await exchange_proofs(stream, identity, side);
    if (!authenticated || !stream.socket().is_open()) {
        stream.close();
        if (authenticated)
            co_return fail(errc::timeout, "peer.handshake");
    }
    co_return authenticated;
}

} // namespace fulmarjunction::detail
