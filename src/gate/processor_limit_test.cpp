// Guards against a node that admits more than its own processor can finish.
// Simulates requests that come back to the event loop several times each, and
// compares what callers get with and without the limit.

#include <fulmarjunction/gate/processor_limit.hpp>
#include <fulmarjunction/gate/slot_gate.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>

namespace fj = fulmarjunction;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t slots = 380;
/// Times that the event loop handles one request, and what each takes.
constexpr int steps_per_request = 10;
constexpr milliseconds step_time(1);
/// A refusal is decided in the first step, half of which has then been spent.
constexpr std::chrono::microseconds refusal_time(500);
/// Time that a request is away between two steps.
constexpr milliseconds away_time(20);
constexpr milliseconds time_limit(1000);
constexpr milliseconds timer_period(250);

/// One node whose event loop handles one step at a time.
class simulated_node
{
public:
    explicit simulated_node(bool limits) : limits_(limits)
    {
        gate_.set_slots(slots);
    }

    /// Lets requests arrive for a time.
    /// @return the fraction of them that ends within its time limit
    double run(double requests_per_s, fj::duration time)
    {
        sent_ = 0;
        served_ = 0;
        const auto end = now_ + time;
        const auto gap = fj::from_seconds(1 / requests_per_s);
        auto next_arrival = now_ + gap;
        while (now_ < end) {
            while (next_arrival <= now_) {
                ready_.push_back({next_arrival, 0});
                next_arrival += gap;
                ++sent_;
            }
            while (!away_.empty() && away_.begin()->first <= now_) {
                ready_.push_back(away_.begin()->second);
                away_.erase(away_.begin());
            }
            check_timer();
            if (ready_.empty()) {
                now_ = next_arrival;
                if (!away_.empty())
                    now_ = std::min(now_, away_.begin()->first);
                now_ = std::min(now_, timer_due_);
                continue;
            }
            const auto next = ready_.front();
            ready_.pop_front();
            handle(next);
        }
        return 1.0 * served_ / sent_;
    }

private:
    struct request
    {
        fj::time_point arrived_at;
        int steps_done;
    };

    /// The timer runs after the steps that were ready before it was due.
    void check_timer()
    {
        if (now_ < timer_due_)
            return;
        const auto delay = now_ - timer_due_ + ready_.size() * step_time;
        timer_due_ = now_ + timer_period;
        if (limits_ && limit_.record_delay(delay, now_))
            gate_.set_slots(static_cast<std::size_t>(slots * limit_.share()));
    }

    void handle(request current)
    {
        if (current.steps_done == 0 && gate_.running() >= gate_.limit()) {
            now_ += refusal_time;
            return;
        }
        if (current.steps_done == 0)
            gate_.offer(make_offer(), now_);
        now_ += step_time;
        if (++current.steps_done < steps_per_request) {
            away_.emplace(now_ + away_time, current);
            return;
        }
        gate_.finish(std::nullopt);
        served_ += now_ - current.arrived_at <= time_limit ? 1 : 0;
    }

    fj::gate_offer make_offer()
    {
        fj::gate_offer offer;
        offer.id = ++ids_;
        offer.is_call = true;
        // The node reads a request late, which the gate can't tell.
        offer.deadline = now_ + time_limit;
        return offer;
    }

    bool limits_;
    fj::processor_limit limit_;
    fj::slot_gate gate_;
    fj::time_point now_{fj::seconds(100)};
    fj::time_point timer_due_{now_ + timer_period};
    std::deque<request> ready_;
    std::multimap<fj::time_point, request> away_;
    std::uint64_t ids_ = 0;
    int sent_ = 0;
    int served_ = 0;
};

} // namespace

TEST_CASE("a node with too little processor time finishes what it admits")
{
    // The processor can finish 100 requests per second.
    simulated_node without(false);
    simulated_node with(true);
    without.run(200, fj::seconds(10));
    with.run(200, fj::seconds(10));
    const auto served_without = without.run(200, fj::seconds(10));
    const auto served_with = with.run(200, fj::seconds(10));
    CHECK(served_with >= 0.2);
    CHECK(served_with >= 2 * served_without);
}

TEST_CASE("a node serves everything within five seconds after an overload")
{
    simulated_node with(true);
    with.run(200, fj::seconds(10));
    with.run(60, fj::seconds(5));
    CHECK(with.run(60, fj::seconds(5)) >= 0.9);
}

TEST_CASE("the share of the slots follows the delay of timers")
{
    fj::processor_limit limit;
    fj::time_point now{fj::seconds(1)};
    const auto record = [&](int delay_ms) {
        now += milliseconds(250);
        return limit.record_delay(milliseconds(delay_ms), now);
    };
    CHECK_FALSE(record(5));
    CHECK(limit.share() == 1);
    // A pause of the process counts once, however long it was.
    CHECK(record(8000));
    CHECK(limit.share() >= 0.5);
    for (int i = 0; i < 5; ++i)
        record(0);
    CHECK(limit.share() == 1);
    for (int i = 0; i < 100; ++i)
        record(100);
    CHECK(limit.share() > 0);
    CHECK(limit.share() < 0.1);
}
