#include <fulmarjunction/history/history.hpp>
#include <fulmarjunction/unique/key_issuer.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fj = fulmarjunction;

using fj::begin_verdict;
using fj::milliseconds;
using fj::outcome;

namespace {

const auto secret = fj::derive_key_secret("peer secret");
constexpr std::size_t node_count = 3;

/// Simulates nodes, callers and the table with one seeded random sequence of
/// steps. Messages wait in a pool and are delivered late and in any order; some
/// are lost, and control messages may be duplicated.
class schedule
{
public:
    explicit schedule(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i != node_count; ++i)
            start_node(i);
    }

    void run(int steps)
    {
        for (int i = 0; i != steps; ++i) {
            now_ += milliseconds(random_below(40));
            if (random_below(400) == 0)
                now_ += milliseconds(9'000); // all nodes pause
            step();
        }
    }

    const fj::history& recorded() const { return recorded_; }
    std::size_t runs() const { return recorded_.runs.size(); }
    std::size_t not_run() const { return recorded_.not_run.size(); }
    std::size_t handovers() const { return rows_.size(); }

private:
    struct process
    {
        fj::incarnation_number incarnation = 0;
        std::unique_ptr<fj::key_issuer> issuer;
    };
    struct active_run
    {
        std::size_t node_index = 0;
        fj::incarnation_number incarnation = 0;
        std::string key;
        std::string attempt;
        bool executed = false;
    };

    std::size_t random_below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(
            random_);
    }

    static std::string name(std::size_t index)
    {
        return "n" + std::to_string(index);
    }

    std::int64_t now_us() const
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(
                   now_.time_since_epoch())
            .count();
    }

    void start_node(std::size_t index)
    {
        auto& started = nodes_[index];
        ++started.incarnation;
        fj::issuer_settings settings;
        settings.key_lifetime = milliseconds(3'000);
        started.issuer = std::make_unique<fj::key_issuer>(
            settings, name(index), started.incarnation, secret, now_);
    }

    void transmit(std::function<void()> message)
    {
        if (random_below(10) != 0) // otherwise the message is lost
            pool_.push_back(std::move(message));
    }

    /// Sends a message that its sender may retransmit.
    void send(std::function<void()> message)
    {
        transmit(message);
        if (random_below(8) == 0)
            pool_.push_back(std::move(message));
    }

    void step()
    {
        switch (random_below(16)) {
        case 0: {
            const auto keys =
                nodes_[random_below(node_count)].issuer->issue("acct", 2, now_);
            if (keys)
                keys_.insert(
                    keys_.end(), keys.value().begin(), keys.value().end());
            break;
        }
        case 1:
        case 2:
        case 3:
        case 4:
            send_attempt();
            break;
        case 5:
        case 6:
        case 7:
            advance_run();
            break;
        case 8:
            nodes_[random_below(node_count)].issuer->expire(now_);
            break;
        case 9:
            advance_stop(random_below(node_count));
            break;
        case 10:
            if (random_below(30) == 0)
                start_node(random_below(node_count)); // crash and restart
            break;
        case 11:
            for (const auto& [key, row] : rows_)
                apply_row(row);
            break;
        default:
            deliver();
        }
    }

    void deliver()
    {
        if (pool_.empty())
            return;
        const auto index = random_below(pool_.size());
        auto message = std::move(pool_[index]);
        pool_[index] = std::move(pool_.back());
        pool_.pop_back();
        message();
    }

    void send_attempt()
    {
        if (keys_.empty())
            return;
        // Picks among the six newest keys, most of which have not expired.
        const auto recent = std::min<std::size_t>(keys_.size(), 6);
        const auto key = keys_[keys_.size() - 1 - random_below(recent)];
        const auto attempt = "a" + std::to_string(++attempts_);
        const auto entry = random_below(node_count);
        // A stream never duplicates a request. A caller that resends it makes a
        // new attempt, so every copy has its own attempt name.
        transmit(
            [this, key, attempt, entry] { arrive(entry, key, attempt, 0); });
    }

    void arrive(
        std::size_t node_index, const std::string& key,
        const std::string& attempt, int hops)
    {
        auto& here = nodes_[node_index];
        const auto decision =
            here.issuer->begin(key, "acct", "book", "digest", now_);
        if (decision.verdict == begin_verdict::refused &&
            decision.refusal_details.outcome == outcome::not_run)
            recorded_.not_run.push_back({now_us(), key, attempt});
        if (decision.verdict == begin_verdict::run)
            running_.push_back(
                {node_index, here.incarnation, key, attempt, false});
        if (decision.verdict == begin_verdict::forward && hops < 3)
            forward(decision, key, attempt, hops);
    }

    void forward(
        const fj::begin_decision& decision, const std::string& key,
        const std::string& attempt, int hops)
    {
        auto issuer = decision.issuer;
        auto incarnation = decision.incarnation;
        const auto row = rows_.find(fj::handover_row_key(issuer, incarnation));
        if (row != rows_.end()) {
            issuer = row->second.successor;
            incarnation = row->second.successor_incarnation;
        }
        for (std::size_t i = 0; i != node_count; ++i) {
            if (name(i) == issuer && nodes_[i].incarnation == incarnation)
                transmit([this, i, key, attempt, hops] {
                    arrive(i, key, attempt, hops + 1);
                });
        }
    }

    /// Advances a random run: it is executed by the backend server, or ends
    /// without or after execution.
    void advance_run()
    {
        if (running_.empty())
            return;
        const auto index = random_below(running_.size());
        auto& run = running_[index];
        if (!run.executed && random_below(4) != 0) {
            run.executed = true;
            recorded_.runs.push_back({now_us(), run.key, run.attempt});
            return;
        }
        const auto ended = run;
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
        auto& node = nodes_[ended.node_index];
        if (node.incarnation != ended.incarnation)
            return;
        fj::run_result end;
        end.request_outcome =
            ended.executed
                ? (random_below(2) == 0 ? outcome::answered : outcome::unknown)
                : outcome::not_run;
        if (end.request_outcome == outcome::answered)
            end.answer = fj::kept_answer{200, {}, "ok"};
        if (end.request_outcome == outcome::not_run)
            recorded_.not_run.push_back({now_us(), ended.key, ended.attempt});
        node.issuer->finish(ended.key, std::move(end), now_);
    }

    void advance_stop(std::size_t index)
    {
        auto& node = nodes_[index];
        auto& issuer = *node.issuer;
        switch (issuer.state()) {
        case fj::handover_state::serving:
            if (random_below(10) == 0)
                issuer.begin_stop(now_);
            break;
        case fj::handover_state::draining:
            freeze(index);
            break;
        case fj::handover_state::frozen:
            if (random_below(6) == 0)
                freeze(index); // the successor did not answer
            for (const auto& piece : issuer.pieces(4))
                send_piece(index, piece);
            if (issuer.write_handover())
                send_row(index);
            break;
        case fj::handover_state::writing:
            send_row(index);
            break;
        case fj::handover_state::done:
            if (random_below(10) == 0)
                start_node(index);
            break;
        }
    }

    void freeze(std::size_t index)
    {
        const auto other =
            (index + 1 + random_below(node_count - 1)) % node_count;
        nodes_[index].issuer->freeze(
            name(other), nodes_[other].incarnation, now_);
    }

    void send_piece(std::size_t from, const fj::outgoing_piece& piece)
    {
        const auto text = to_text(piece.message);
        const auto incarnation = nodes_[from].incarnation;
        for (std::size_t to = 0; to != node_count; ++to) {
            if (name(to) != piece.to)
                continue;
            send([this, from, to, incarnation, text] {
                const auto read = fj::parse_handover_piece(text).value();
                const auto receipt =
                    nodes_[to].issuer->adopt_piece(name(from), read, now_);
                if (!receipt)
                    return;
                send([this, from, to, incarnation, answer = receipt.value()] {
                    if (nodes_[from].incarnation == incarnation)
                        nodes_[from].issuer->confirm(name(to), answer);
                });
            });
        }
    }

    void send_row(std::size_t from)
    {
        const auto change = nodes_[from].issuer->write_handover();
        const auto incarnation = nodes_[from].incarnation;
        const auto row =
            fj::parse_handover_row(*change->writes[0].value).value();
        const auto key = change->writes[0].key;
        send([this, from, incarnation, row, key] {
            rows_.emplace(key, row); // conditional on the row's absence
            if (random_below(3) != 0 && nodes_[from].incarnation == incarnation)
                nodes_[from].issuer->handover_written();
        });
    }

    void apply_row(const fj::handover_row& row)
    {
        const auto index = random_below(node_count);
        nodes_[index].issuer->apply_handover_row(row, now_);
    }

    std::mt19937_64 random_;
    fj::time_point now_{std::chrono::hours(1)};
    std::map<std::size_t, process> nodes_;
    std::vector<std::string> keys_;
    std::vector<std::function<void()>> pool_;
    std::vector<active_run> running_;
    std::map<std::string, fj::handover_row> rows_;
    std::uint64_t attempts_ = 0;
    fj::history recorded_;
};

} // namespace

// Guards against double execution and false outcomes under lost, late and
// duplicated messages, crashes, pauses and handovers.
TEST_CASE(
    "no schedule runs a key twice or reports a false outcome",
    "[unique][contract]")
{
    std::size_t runs = 0;
    std::size_t not_run = 0;
    std::size_t handovers = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        schedule simulation(seed);
        simulation.run(4000);
        runs += simulation.runs();
        not_run += simulation.not_run();
        handovers += simulation.handovers();
        for (const auto& violation : fj::check_history(simulation.recorded()))
            FAIL_CHECK(
                "seed " << seed << ": " << violation.check << " "
                        << violation.detail);
    }
    // Lower bounds that show that the schedules exercise runs, refusals and
    // handovers.
    CHECK(runs > 10'000);
    CHECK(not_run > 1'000);
    CHECK(handovers > 400);
}
