#include "process_test_support.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace fulmarjunction;
using namespace fulmarjunction::process_test;

namespace {

namespace asio = boost::asio;

/// Sends raw bytes and returns whether the peer closes the connection within
/// 20 s.
bool is_closed_after(const std::string& address, const std::string& bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(fixture::parse_endpoint(address));
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    bool is_closed = false;
    std::string received;
    asio::async_read(
        socket, asio::dynamic_buffer(received),
        [&is_closed](const boost::system::error_code&, std::size_t) {
            is_closed = true;
        });
    context.run_for(seconds(20));
    return is_closed;
}

std::size_t count_all_runs(fixture::deployment& deployment)
{
    std::size_t runs = 0;
    for (auto* node : deployment.nodes())
        runs += deployment.history(*node).size();
    return runs;
}

} // namespace

// Guards against unauthenticated calls on the peer port, and against a backend
// server or a caller that chooses its client account with forged headers.
TEST_CASE("unauthenticated peers and forged contexts are refused")
{
    fixture::deployment deployment;
    deployment.start_platform();
    auto& node = deployment.start_node({"notes-a", "zone-a", "notes"});
    deployment.start_node({"notes-b", "zone-a", "notes"});
    REQUIRE(deployment.apply_lists(
        fixture::sample_accounts(), fixture::sample_plans()));
    const auto key = deployment.create_key(large_account);
    REQUIRE(deployment.wait_for_versions());
    REQUIRE(deployment.wait_for_instances("notes", 2));
    REQUIRE(deployment.wait_for_shares(large_account));

    SECTION("raw bytes on the peer port")
    {
        const std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        const std::string empty_settings("\0\0\0\4\0\0\0\0\0", 9);
        CHECK(is_closed_after(node.peers, preface + empty_settings));
        CHECK(is_closed_after(
            node.peers, "GET /notes/1 HTTP/1.1\r\nHost: notes\r\n"
                        "fj-kind: call\r\nfj-account: tartu-biogas\r\n\r\n"));
        CHECK(is_closed_after(node.peers, std::string(4096, '\xff')));
        CHECK(is_closed_after(node.peers, std::string("\0\0", 2)));
    }
    SECTION("context from a backend server")
    {
        fixture::caller_request request{node.egress, "GET", "/notes/1"};
        request.headers = {
            {"fulmar-parent", std::string(32, 'a')},
            {"fulmar-account", large_account},
            {"fj-account", large_account}};
        const auto wrong = deployment.external_caller().send(request);
        CHECK(wrong.status == 403);
        CHECK(wrong.field("reason") == "unknown_parent");
        CHECK(wrong.field("outcome") == "not_run");
        request.headers.erase(request.headers.begin());
        const auto missing = deployment.external_caller().send(request);
        CHECK(missing.status == 403);
        CHECK(missing.field("reason") == "unknown_parent");
    }
    SECTION("context from a caller")
    {
        fixture::caller_request request{node.callers, "GET", "/notes/1"};
        request.headers = {
            {"fj-account", large_account},
            {"fulmar-account", large_account},
            {"fulmar-parent", std::string(32, 'a')}};
        const auto answer = deployment.external_caller().send(request);
        CHECK(answer.status == 401);
    }
    CHECK(count_all_runs(deployment) == 0);
    // The node still serves its own callers.
    pause(milliseconds(2100));
    CHECK(
        deployment.external_caller()
            .send({node.callers, "GET", "/notes/1", key})
            .status == 200);
}
