/// @file
/// A simulated fleet of rate limiters for tests and measurements: an event
/// queue, a network and a table with faults, and a clock for each node.
#pragma once

#include <fulmarjunction/history/history.hpp>
#include <fulmarjunction/rates/rate_limiter.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarjunction::detail {

/// Times in a simulation, in microseconds from its start.
using sim_time = std::int64_t;

constexpr sim_time sim_second = 1'000'000;

/// Probabilities of faults for each message or write.
struct fleet_faults
{
    double lost = 0;
    double duplicated = 0;
    /// A message is delayed by up to `max_delay`.
    double late = 0;
    sim_time max_delay = sim_second;
    /// A write takes effect, but its answer is lost.
    double lost_answer = 0;
    /// A write is delayed by up to `max_delay` on its way to the table.
    double late_write = 0;
};

struct fleet_settings
{
    std::size_t nodes = 3;
    std::size_t zones = 3;
    rate_settings rates;
    /// One-way delay of messages and of the table.
    sim_time delay = 2'000;
    sim_time table_delay = 5'000;
    /// Interval at which nodes read the table's changes.
    sim_time replica_period = sim_second;
    /// Clock rates are uniformly distributed from 1 - x to 1 + x.
    double clock_error = 0;
    /// Downtime after which a node is removed from the members.
    sim_time detection_time = 4 * sim_second;
    fleet_faults faults;
    std::uint64_t seed = 1;
};

/// One request of a client account and its outcome.
struct fleet_request
{
    sim_time arrived = 0;
    sim_time ended = 0;
    bool admitted = false;
    bool waited = false;
};

/// Runs rate limiters, their messages and table writes in simulated time.
class simulated_fleet
{
public:
    explicit simulated_fleet(const fleet_settings& settings);

    void set_plan(const client_account& account, double rate, double burst);
    void remove_plan(const client_account& account);
    /// Sends a request to a node, or to the next live node after it.
    void request(std::size_t node, const client_account& account);
    /// Runs the events up to `until`.
    void run_until(sim_time until);
    void schedule(sim_time when, std::function<void()> action);

    void crash(std::size_t node);
    /// Starts a crashed node with a new incarnation.
    void restart(std::size_t node);
    void pause(std::size_t node, sim_time span);
    /// Drops messages between nodes of different groups; only group 0 reaches
    /// the table. An empty list ends the partition.
    void partition(std::vector<int> groups)
    {
        partition_groups_ = std::move(groups);
    }
    void set_table_up(bool up) { table_up_ = up; }
    /// Stops a node as planned.
    void stop(std::size_t node);

    sim_time now() const { return now_; }
    std::size_t size() const { return nodes_.size(); }
    bool is_alive(std::size_t node) const { return nodes_[node].alive; }
    rate_limiter& limiter(std::size_t node) { return *nodes_[node].limiter; }
    time_point clock_of(std::size_t node) const;
    /// Returns the index of a live node that holds a share, or `size()`.
    std::size_t find_holder(const client_account& account) const;
    share_ledger ledger(const client_account& account) const;
    const history& recorded() const { return recorded_; }
    history& recorded() { return recorded_; }
    const std::vector<fleet_request>& requests() const { return requests_; }
    std::uint64_t messages() const { return messages_; }
    std::uint64_t message_bytes() const { return message_bytes_; }
    std::uint64_t table_writes() const { return table_writes_; }
    /// Whether to count the bytes of messages, which slows the simulation.
    bool count_bytes = false;
    /// Time that a lowered plan may take to settle, as recorded for the
    /// checker.
    sim_time settle_time = 0;

private:
    struct process
    {
        instance_name name;
        availability_zone zone;
        incarnation_number incarnation = 1;
        bool alive = true;
        bool stopping = false;
        sim_time paused_until = 0;
        sim_time down_since = 0;
        double clock_rate = 1;
        std::unique_ptr<rate_limiter> limiter;
        table_version replica_version = 0;
        table_version own_row = 0;
        std::uint64_t renewals = 0;
        bool renewing = false;
        sim_time next_poll = 0;
        std::unordered_map<rate_ticket, std::size_t> tickets;
        /// Plans by account as known to this node.
        std::map<client_account, account_plan> plans;
    };
    struct event
    {
        sim_time time;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::tie(time, sequence) >
                   std::tie(other.time, other.sequence);
        }
    };
    struct stored_row
    {
        boost::json::value value;
        table_version version = 0;
    };

    using commit_callback = std::function<void(const result<table_version>&)>;

    bool occurs(double probability);
    sim_time random_between(sim_time min, sim_time max);
    void start_node(std::size_t index);
    void run_on_node(
        std::size_t index, incarnation_number incarnation,
        std::function<void()> run);
    void refresh_members();
    void poll_replica(std::size_t index);
    void
    apply_row(std::size_t index, const std::string& key, const stored_row& row);
    void apply_plans(std::size_t index);
    void renew(std::size_t index);
    void write_instance_row(std::size_t index);
    void plan_changes(std::size_t index);
    void read_ledger(
        std::size_t index, const client_account& account,
        std::function<void()> on_read);
    void commit(
        std::size_t index, table_transaction change,
        const commit_callback& on_done);
    result<table_version> apply(const table_transaction& change);
    void apply_effects(std::size_t index, const rate_effects& effects);
    void deliver(
        std::size_t from, std::size_t to,
        const std::function<void()>& on_arrival);
    void send_borrow(std::size_t index, const outgoing_borrow& message);
    void schedule_poll(std::size_t index);
    void end_request(std::size_t request, bool admitted);
    bool is_partitioned(std::size_t a, std::size_t b) const;
    bool can_reach_table(std::size_t index) const;

    fleet_settings settings_;
    std::mt19937_64 random_;
    sim_time now_ = 0;
    std::uint64_t last_sequence_ = 0;
    std::priority_queue<event> events_;
    std::vector<process> nodes_;
    std::map<instance_name, std::size_t> index_by_name_;
    std::vector<int> partition_groups_;
    bool table_up_ = true;
    std::map<std::string, stored_row> rows_;
    std::vector<std::pair<std::string, table_version>> change_log_;
    table_version version_ = 0;
    std::map<client_account, std::pair<double, double>> plans_;
    history recorded_;
    std::vector<fleet_request> requests_;
    std::vector<client_account> request_accounts_;
    std::uint64_t messages_ = 0;
    std::uint64_t message_bytes_ = 0;
    std::uint64_t table_writes_ = 0;
};

} // namespace fulmarjunction::detail
