#include <peer/link.hpp>

#include <boost/asio/steady_timer.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fulmarjunction::detail {

namespace asio = boost::asio;

namespace {

/// Seconds without traffic after which the kernel probes a connection,
/// between two probes, and the number of probes: a dead instance is noticed
/// after about 7 s on a connection without traffic.
constexpr int keep_idle_s = 3;
constexpr int keep_interval_s = 2;
constexpr int keep_probes = 2;

/// Longest time that sent bytes stay without acknowledgement.
constexpr int unacknowledged_limit_ms = 5000;

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

/// Appends exactly `size` bytes; none beyond, for they belong to HTTP/2.
awaitable<bool>
read_exactly(byte_stream& stream, std::string& bytes, std::size_t size)
{
    const auto wanted = bytes.size() + size;
    while (bytes.size() < wanted) {
        const auto got = co_await stream.read_some(wanted - bytes.size());
        if (got.failure)
            co_return false;
        bytes += got.bytes;
    }
    co_return true;
}

/// Reads a hello; an empty string when it is malformed or cut off.
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
    peer_proof given{};
    std::copy(bytes.begin(), bytes.end(), given.begin());
    co_return is_same_proof(given, expected);
}

awaitable<result<peer_hello>>
prove(byte_stream& stream, const peer_identity& identity, peer_role side)
{
    const bool is_client = side == peer_role::client;
    const auto own =
        format_hello(make_hello(identity.name, identity.incarnation));
    std::string other;
    if (!is_client)
        other = co_await read_hello(stream);
    if (is_client || !other.empty()) {
        const bool sent = co_await write_all(stream, own);
        if (!sent)
            co_return fail(errc::connection_failed, "peer.handshake");
    }
    if (is_client)
        other = co_await read_hello(stream);
    const auto hello = parse_hello(other);
    if (!hello)
        co_return fail(errc::malformed, "peer.handshake");

    const auto& first = is_client ? own : other;
    const auto& second = is_client ? other : own;
    const auto client_proof =
        make_proof(identity.secret, peer_role::client, first, second);
    const auto server_proof =
        make_proof(identity.secret, peer_role::server, first, second);
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

bool is_provable(const peer_identity& identity)
{
    return !identity.secret.empty() && !identity.name.empty() &&
           identity.name.size() <= max_name_size;
}

void tune_socket(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const auto set = [&](int option, int value) {
        setsockopt(
            socket.native_handle(), IPPROTO_TCP, option, &value, sizeof(value));
    };
    set(TCP_KEEPIDLE, keep_idle_s);
    set(TCP_KEEPINTVL, keep_interval_s);
    set(TCP_KEEPCNT, keep_probes);
    set(TCP_USER_TIMEOUT, unacknowledged_limit_ms);
}

awaitable<result<peer_hello>> authenticate(
    byte_stream& stream, const peer_identity& identity, peer_role side,
    milliseconds timeout)
{
    tune_socket(stream.socket());
    asio::steady_timer limit(stream.socket().get_executor(), timeout);
    const auto alive = std::make_shared<bool>(true);
    limit.async_wait([&stream, weak = std::weak_ptr<bool>(alive)](
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
    auto proved = co_await prove(stream, identity, side);
    if (!proved || !stream.socket().is_open()) {
        stream.close();
        if (proved)
            co_return fail(errc::timeout, "peer.handshake");
    }
    co_return proved;
}

} // namespace fulmarjunction::detail
