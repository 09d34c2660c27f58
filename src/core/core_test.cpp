#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/timer_service.hpp>

#include <catch2/catch.hpp>

#include <vector>

namespace fj = fulmarjunction;

TEST_CASE("log_quote: input bytes cannot forge a line or a field", "[core]")
{
    CHECK(fj::log_quote("plain") == "plain");
    CHECK(fj::log_quote("") == "\"\"");
    CHECK(fj::log_quote("a\nlevel=error") == "\"a\\x0alevel=error\"");
    CHECK(fj::log_quote("say \"x\"") == "\"say \\\"x\\\"\"");
    CHECK(fj::log_quote("\xff") == "\"\\xff\"");
}

TEST_CASE("error text names the step and the peer", "[core]")
{
    const fj::error failure{
        fj::errc::timeout, "table.get", "127.0.0.1:9", "after 2 s"};
    CHECK(to_string(failure) == "table.get [127.0.0.1:9]: timeout: after 2 s");
}

TEST_CASE("every refusal reason has a name and an HTTP status", "[core]")
{
    const auto last = static_cast<int>(fj::refusal_reason::answer_not_kept);
    for (int i = 0; i <= last; ++i) {
        const auto reason = static_cast<fj::refusal_reason>(i);
        CHECK(fj::parse_refusal_reason(to_string(reason)) == reason);
        CHECK(fj::http_status(reason) >= 400);
        CHECK(fj::http_status(reason) != 500);
    }
}

TEST_CASE("root ids survive their text form", "[core]")
{
    fj::root_id id;
    id.bytes[0] = 0xab;
    id.bytes[15] = 0x01;
    CHECK(fj::parse_root_id(to_string(id)) == id);
    CHECK_FALSE(fj::parse_root_id("xyz"));
    CHECK_FALSE(fj::parse_root_id(std::string(32, 'g')));
}

TEST_CASE("timer service runs what is due and honours cancel", "[core]")
{
    const fj::time_point start{};
    fj::timer_service timers(start);
    std::vector<int> calls;
    auto every = timers.every(
        fj::seconds(1), [&](fj::time_point) { calls.push_back(1); });
    auto once = timers.after(
        fj::milliseconds(1500), [&](fj::time_point) { calls.push_back(2); });

    timers.advance(start + fj::milliseconds(999));
    CHECK(calls.empty());
    timers.advance(start + fj::milliseconds(1000));
    timers.advance(start + fj::milliseconds(2000));
    CHECK(calls == std::vector<int>{1, 2, 1});

    // A long pause must not cause a burst of late calls.
    timers.advance(start + fj::seconds(60));
    CHECK(calls.size() == 4);
    every.cancel();
    timers.advance(start + fj::seconds(120));
    CHECK(calls.size() == 4);
    CHECK_FALSE(timers.next_due());
}
