// Tests of the end of a connection between two nodes.

#include <peer/session.hpp>

#include <test_main/transport_test_support.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace fulmarjunction::test;
using fj::detail::peer_session;
using fj::detail::session_side;
using fj::detail::stream_ptr;

namespace {

/// The two ends of a connection, without the handshake.
struct session_pair
{
    session_pair()
    {
        tcp::acceptor acceptor(io(), any_port);
        tcp::socket outgoing(io());
        outgoing.connect(acceptor.local_endpoint());
        server = make(acceptor.accept(), session_side::server);
        client = make(std::move(outgoing), session_side::client);
    }

    ~session_pair()
    {
        client->close();
        server->close();
        run_until([this] {
            return client.use_count() == 1 && server.use_count() == 1;
        });
    }

    static std::shared_ptr<peer_session>
    make(tcp::socket socket, session_side side)
    {
        return std::make_shared<peer_session>(
            fj::detail::byte_stream(std::move(socket)), side, fj::peer_limits{},
            std::make_shared<fj::peer_counters>(), "peer");
    }

    std::shared_ptr<peer_session> server;
    std::shared_ptr<peer_session> client;
};

} // namespace

// Guards against a request that runs although GOAWAY tells its sender that it
// has not, so that it is sent again elsewhere.
TEST_CASE("a stream behind the last one of a shutdown is never started")
{
    session_pair ends;
    std::vector<std::string> started;
    ends.server->start([&](const stream_ptr& source) {
        started.push_back(source->target);
        if (source->target == "/last")
            ends.server->begin_shutdown();
    });
    // Both are sent at once, so the second comes before GOAWAY can be sent.
    ends.client->start();
    const auto last = ends.client->open(get("/last"), false);
    const auto behind = ends.client->open(get("/behind"), false);
    REQUIRE(last.has_value());
    REQUIRE(behind.has_value());
    run_until([&] { return behind.value()->closed; });
    CHECK(started == std::vector<std::string>{"/last"});
    CHECK(behind.value()->failure->code == fj::errc::connection_failed);
    CHECK_FALSE(last.value()->closed);
}
