// Guards against refusals that use up the processor of the node beside a
// service, so that hardly any request is served. Simulates a load beyond that
// processor and compares what callers get with and without the throttle.

#include <fulmarjunction/retry/refusal_throttle.hpp>

#include <catch2/catch.hpp>

namespace fj = fulmarjunction;
using std::chrono::milliseconds;

namespace {

const fj::service_name service = "books";

/// Requests that one instance decides on per second at most, as units of its
/// processor: an answer costs one unit, a refusal a part of it.
constexpr double units_per_s = 1000;
constexpr double refusal_cost = 0.4;
constexpr int max_tries = 3;
constexpr milliseconds step(10);

/// A sending node and the instances of a service, all equally loaded.
class simulated_service
{
public:
    explicit simulated_service(bool throttles) : throttles_(throttles) {}

    /// Sends requests for a time.
    /// @return the number served per second
    double run(double requests_per_s, milliseconds time)
    {
        double served = 0;
        const auto end = now_ + time;
        for (; now_ < end; now_ += step) {
            // Refusals come first: an instance reads a request and refuses it
            // at once, whereas an answer takes several turns of its loop.
            const auto seconds = fj::to_seconds(step);
            const auto units = units_per_s * seconds;
            due_ += requests_per_s * seconds;
            const auto accepted_at_most = units - refused_units_;
            refused_units_ = 0;
            double accepted = 0;
            for (; due_ >= 1; due_ -= 1) {
                if (throttles_ && throttle_.should_refuse(service, true, now_))
                    continue;
                accepted += send(accepted + 1 <= accepted_at_most) ? 1 : 0;
            }
            served += accepted;
        }
        return served / fj::to_seconds(time);
    }

private:
    bool send(bool has_room)
    {
        if (has_room) {
            throttle_.record(service, false, now_);
            return true;
        }
        for (int tries = 0; tries < max_tries; ++tries) {
            refused_units_ += refusal_cost;
            if (throttles_ && !throttle_.may_try_another(service, now_))
                break;
        }
        throttle_.record(service, true, now_);
        return false;
    }

    bool throttles_;
    fj::refusal_throttle throttle_;
    fj::time_point now_{fj::seconds(100)};
    double due_ = 0;
    double refused_units_ = 0;
};

} // namespace

TEST_CASE("a load of three times the processor is served better when throttled")
{
    simulated_service without(false);
    simulated_service with(true);
    const auto served_without = without.run(3000, fj::seconds(10));
    const auto served_with = with.run(3000, fj::seconds(10));
    CHECK(served_with >= 0.4 * units_per_s);
    CHECK(served_with >= 1.5 * served_without);
}

TEST_CASE("a throttled service is back within three seconds of the load's end")
{
    simulated_service with(true);
    with.run(5000, fj::seconds(10));
    with.run(600, fj::seconds(3));
    CHECK(with.run(600, fj::seconds(1)) >= 0.95 * 600);
}

TEST_CASE("a service that refuses nothing is never throttled")
{
    fj::refusal_throttle throttle;
    fj::time_point now{fj::seconds(1)};
    for (int i = 0; i < 1000; ++i) {
        // Outcomes arrive late, as from a slow service.
        CHECK_FALSE(throttle.should_refuse(service, false, now));
        CHECK(throttle.may_try_another(service, now));
        if (i % 10 == 0)
            throttle.record(service, false, now);
        now += milliseconds(5);
    }
}

TEST_CASE("the most throttled service is reported while it is throttled")
{
    fj::refusal_throttle throttle;
    fj::time_point now{fj::seconds(1)};
    CHECK(throttle.most_throttled(now).refused_per_s == 0);
    for (int i = 0; i < 100; ++i) {
        if (!throttle.should_refuse(service, true, now))
            throttle.record(service, true, now);
        now += milliseconds(5);
    }
    CHECK(throttle.most_throttled(now).service == service);
    CHECK(throttle.most_throttled(now).refused_per_s >= 30);
    now += fj::seconds(2);
    CHECK(throttle.most_throttled(now).refused_per_s == 0);
}

TEST_CASE("calls are throttled less than root requests")
{
    const auto refused = [](bool is_call) {
        fj::refusal_throttle throttle;
        const fj::time_point now{fj::seconds(1)};
        int count = 0;
        for (int i = 0; i < 1000; ++i) {
            if (throttle.should_refuse(service, is_call, now))
                ++count;
            else
                throttle.record(service, i % 4 != 0, now);
        }
        return count;
    };
    CHECK(refused(true) < refused(false));
    CHECK(refused(false) <= 800);
}
