#include <fulmarjunction/serving/crash_detector.hpp>

#include <test_main/transport_test_support.hpp>

#include <catch2/catch.hpp>

using namespace fulmarjunction::test;

namespace {

/// A detector whose backend server is a listening socket without a process.
struct detector_fixture
{
    detector_fixture() : listener(io(), any_port)
    {
        address = listener.local_endpoint();
    }

    bool check() { return run(detector->check(address, std::nullopt)); }

    tcp::acceptor listener;
    tcp::endpoint address;
    std::vector<fj::crash_report> reports;
    std::shared_ptr<fj::crash_detector> detector =
        std::make_shared<fj::crash_detector>(
            io().get_executor(), [this](const fj::crash_report& report) {
                reports.push_back(report);
            });
};

} // namespace

// Guards against requests that are blamed for a connection that was only lost.
TEST_CASE("a server that still listens has not crashed", "[serving]")
{
    detector_fixture fixture;
    fixture.detector->started(1, 11);
    CHECK_FALSE(fixture.check());
    CHECK(fixture.reports.empty());
}

// Guards against a crash that is missed because a connection was lost shortly
// before it.
TEST_CASE("a crash right after a lost connection is reported", "[serving]")
{
    detector_fixture fixture;
    fixture.detector->started(1, 11);
    CHECK_FALSE(fixture.check());
    fixture.listener.close();
    CHECK(fixture.check());
    REQUIRE(fixture.reports.size() == 1);
    CHECK(fixture.reports[0].in_flight == std::vector<fj::fingerprint>{11});
}

// Guards against a crash that is counted once for each broken connection.
TEST_CASE("connections that break together report one crash", "[serving]")
{
    detector_fixture fixture;
    fixture.listener.close();
    for (std::uint64_t id = 1; id <= 3; ++id)
        fixture.detector->started(id, 10 + id);
    const auto check = [&] {
        return start(fixture.detector->check(fixture.address, 2));
    };
    const auto first = check();
    const auto second = check();
    run_until([&] { return first->has_value() && second->has_value(); });
    CHECK(first->value());
    CHECK(second->value());
    CHECK(fixture.check());
    REQUIRE(fixture.reports.size() == 1);
    CHECK(fixture.reports[0].in_flight.size() == 3);
    CHECK(fixture.reports[0].alone == fj::fingerprint{12});
}

// Guards against a crash that is missed because the process closes its
// listening socket after its connections.
TEST_CASE("a server that is about to end has crashed", "[serving]")
{
    detector_fixture fixture;
    fixture.detector->started(1, 11);
    const auto found =
        start(fixture.detector->check(fixture.address, std::nullopt));
    asio::steady_timer timer(io(), std::chrono::milliseconds(5));
    timer.async_wait(
        [&](const boost::system::error_code&) { fixture.listener.close(); });
    run_until([&] { return found->has_value(); });
    CHECK(found->value());
    CHECK(fixture.reports.size() == 1);
}

// Guards against requests that are blamed because the server is at its limit of
// connections.
TEST_CASE("a server that closes new connections has not crashed", "[serving]")
{
    detector_fixture fixture;
    fixture.detector->started(1, 11);
    const auto close_connections = [&]() -> fj::awaitable<bool> {
        for (;;) {
            boost::system::error_code failure;
            tcp::socket socket(io());
            co_await fixture.listener.async_accept(
                socket, asio::redirect_error(use_awaitable, failure));
            if (failure)
                co_return true;
        }
    };
    const auto closing = start(close_connections());
    CHECK_FALSE(fixture.check());
    CHECK(fixture.reports.empty());
    fixture.listener.close();
    run_until([&] { return closing->has_value(); });
}
