/// @file
/// Fixture of the mesh tests: complete nodes on loopback, with an in-memory
/// store and test backend servers.
#pragma once

#include <fulmarjunction/mesh/mesh_node.hpp>

#include <test_main/transport_test_support.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fulmarjunction::test {

using std::chrono::milliseconds;

/// Rows of the store, shared by all nodes of a test.
struct shared_rows
{
    fj::service_document config;
    fj::store_position position = 1;
    std::map<std::string, fj::node_report> nodes;
    std::map<std::string, std::string> suspects;
    std::map<std::string, std::string> departures;
    /// Time since the departures were stored.
    fj::duration departures_age{};
    std::string secret;
    fj::incarnation_number last_incarnation = 0;
    fj::store_era era = 1;
    /// Period in which nodes that are added later check their rows.
    milliseconds row_check_period{1000};
    bool is_unavailable = false;
    /// Time that the store takes to create the secret.
    milliseconds secret_delay{};

    /// Comes back from a copy: what nodes have written since is gone.
    void come_back_from(const shared_rows& copy)
    {
        nodes = copy.nodes;
        suspects = copy.suspects;
        departures = copy.departures;
        secret = copy.secret;
        ++era;
    }
};

class memory_store : public fj::fleet_store
{
public:
    explicit memory_store(std::shared_ptr<shared_rows> rows)
        : rows_(std::move(rows)), era_(rows_->era)
    {
    }

    fj::store_era era() const override { return era_; }

    fj::awaitable<fj::result<fj::store_era>> read_era() override
    {
        if (rows_->is_unavailable)
            co_return fj::fail(fj::errc::unavailable, "read era");
        note_era();
        co_return era_;
    }

    fj::awaitable<fj::result<fj::config_read>> read_config() override
    {
        if (rows_->is_unavailable)
            co_return fj::fail(fj::errc::unavailable, "read");
        note_era();
        co_return read();
    }

    fj::awaitable<fj::result<fj::config_read>>
    follow_config(fj::store_position from, milliseconds wait) override
    {
        const auto until = fj::clock::now() + wait;
        while (!rows_->is_unavailable && rows_->position == from &&
               fj::clock::now() < until) {
            asio::steady_timer timer(io(), milliseconds(10));
            co_await timer.async_wait(use_awaitable);
        }
        if (rows_->is_unavailable)
            co_return fj::fail(fj::errc::unavailable, "follow");
        note_era();
        auto found = read();
        if (rows_->position == from)
            found.document.reset();
        co_return found;
    }

    fj::awaitable<fj::result<fj::fleet_rows>> read_fleet() override
    {
        fj::fleet_rows known;
        if (!rows_->secret.empty())
            known.secret = rows_->secret;
        for (const auto& [name, report] : rows_->nodes)
            known.nodes.push_back(report);
        for (const auto& [name, reports] : rows_->suspects)
            known.suspects.push_back({name, reports, {}});
        for (const auto& [name, departures] : rows_->departures)
            known.departures.push_back(
                {name, departures, rows_->departures_age, 0});
        co_return known;
    }

    fj::awaitable<fj::result<std::string>> create_secret() override
    {
        asio::steady_timer timer(io(), rows_->secret_delay);
        co_await timer.async_wait(use_awaitable);
        if (rows_->secret.empty())
            rows_->secret = "0123456789abcdef0123456789abcdef";
        co_return rows_->secret;
    }

    fj::awaitable<fj::result<std::string>>
    restore_secret(const std::string& secret) override
    {
        if (rows_->secret.empty())
            rows_->secret = secret;
        co_return rows_->secret;
    }

    fj::awaitable<fj::result<fj::written_node>>
    put_node(const fj::node_report& self) override
    {
        note_era();
        auto& row = rows_->nodes[self.node];
        row = self;
        row.incarnation = ++rows_->last_incarnation;
        co_return fj::written_node{row.incarnation, row.incarnation};
    }

    fj::awaitable<fj::result<std::optional<fj::store_position>>>
    restore_node(const fj::node_report& self) override
    {
        const bool is_missing = rows_->nodes.emplace(self.node, self).second;
        if (!is_missing)
            co_return std::nullopt;
        co_return ++rows_->last_incarnation;
    }

    fj::awaitable<fj::result<void>> put_suspects(
        const fj::instance_name& node, const std::string& reports) override
    {
        if (reports.empty())
            rows_->suspects.erase(node);
        else
            rows_->suspects[node] = reports;
        co_return boost::outcome_v2::success();
    }

    fj::awaitable<fj::result<void>> put_departures(
        const fj::instance_name& node, const std::string& departures) override
    {
        if (rows_->is_unavailable)
            co_return fj::fail(fj::errc::unavailable, "put departures");
        if (departures.empty())
            rows_->departures.erase(node);
        else
            rows_->departures[node] = departures;
        co_return boost::outcome_v2::success();
    }

    fj::awaitable<fj::result<void>> remove_departures(
        const fj::instance_name& node, fj::store_position) override
    {
        rows_->departures.erase(node);
        co_return boost::outcome_v2::success();
    }

    fj::awaitable<fj::result<void>>
    remove_node(const fj::instance_name& node, fj::store_position) override
    {
        rows_->nodes.erase(node);
        co_return boost::outcome_v2::success();
    }

private:
    fj::config_read read() const
    {
        fj::config_read found;
        found.document = rows_->config;
        found.position = rows_->position;
        found.era = era_;
        found.store_time = std::chrono::duration_cast<milliseconds>(
            fj::clock::now().time_since_epoch());
        return found;
    }

    void note_era()
    {
        if (std::exchange(era_, rows_->era) == rows_->era)
            return;
        asio::post(io(), [this] {
            if (on_new_era)
                on_new_era(era_);
        });
    }

    std::shared_ptr<shared_rows> rows_;
    fj::store_era era_;
};

inline std::string field(const fj::header_fields& fields, std::string_view name)
{
    return std::string(fj::find_header(fields, name).value_or(""));
}

/// Wire format of the test, with simple field names.
inline fj::wire_format make_format()
{
    fj::wire_format format;
    format.take_claims = [](fj::header_fields& fields) {
        fj::caller_claims claims;
        claims.request_id = field(fields, "id");
        if (const auto key = fj::find_header(fields, "key"))
            claims.key = std::string(*key);
        fj::remove_header(fields, "key");
        fj::remove_header(fields, "account");
        return claims;
    };
    format.request_id = [](const fj::header_fields& fields) {
        return field(fields, "id");
    };
    format.add_backend_fields = [](fj::header_fields& fields,
                                   const fj::backend_fields& values) {
        fields.push_back({"account", values.account});
        fields.push_back({"backend", values.backend_id});
        fields.push_back({"from", values.caller_service});
    };
    format.take_backend_facts = [](int, fj::header_fields& fields) {
        fj::backend_facts facts;
        facts.request_id = field(fields, "id");
        facts.not_run = fj::find_header(fields, "not-run").has_value();
        facts.is_sealed = fj::find_header(fields, "seal").has_value();
        if (const auto limit = fj::find_header(fields, "limit"))
            facts.rate_limit = std::stod(std::string(*limit));
        facts.is_leaving = fj::find_header(fields, "leaving").has_value();
        return facts;
    };
    format.is_leaving = [](const fj::header_fields& fields) {
        return fj::find_header(fields, "leaving").has_value();
    };
    format.read_health = [](int status, const fj::header_fields& fields)
        -> std::optional<fj::backend_health> {
        if (status != 200)
            return std::nullopt;
        return fj::backend_health{field(fields, "run"), 8};
    };
    format.node_answer_fields = [](const std::string&,
                                   std::optional<fj::duration> retry_after) {
        fj::header_fields fields;
        if (retry_after)
            fields.push_back({"retry-after", "1"});
        return fields;
    };
    return format;
}

/// A request whose body ends so crashes its backend server.
inline const std::string crashing_body_end = "that crashes";

/// A backend server with its node.
struct test_instance
{
    test_instance(
        const std::shared_ptr<shared_rows>& rows, std::string node,
        std::string service, milliseconds revocation_bound)
        : name(std::move(node))
    {
        settings.backend = free_address();
        start_backend();
        settings.name = name;
        settings.zone = "east";
        settings.service = std::move(service);
        settings.callers = free_address();
        settings.ready = free_address();
        settings.heartbeats = free_address();
        settings.peers = free_address();
        settings.metrics = free_address();
        settings.revocation_bound = revocation_bound;
        settings.row_check_period = rows->row_check_period;
        settings.log_lines = 0;
        fj::mesh_adapter adapter;
        adapter.format = make_format();
        adapter.store = std::make_unique<memory_store>(rows);
        adapter.ready_handler = [this](std::function<bool()> ready) {
            is_ready = std::move(ready);
            return fj::http_handler();
        };
        adapter.backend_handler = [this](fj::backend_hooks new_hooks) {
            hooks = std::move(new_hooks);
            return fj::http_handler();
        };
        process =
            std::make_unique<fj::mesh_node>(io(), settings, std::move(adapter));
        REQUIRE(process->start());
    }

    /// Starts a process of the backend server.
    void start_backend()
    {
        ++backend_starts;
        is_backend_running = true;
        if (backend)
            backend->close();
        backend = std::make_unique<fj::http_server>(
            io().get_executor(), fj::http_limits{},
            [this](fj::http_request request) {
                return serve(std::move(request));
            },
            [](int code) { return text_response(code, ""); });
        REQUIRE(backend->listen(settings.backend));
    }

    /// Ends the process of the backend server without an announcement and
    /// starts another one after `restart_delay`.
    void crash_backend()
    {
        ++crashes;
        is_backend_running = false;
        backend->close();
        const auto timer =
            std::make_shared<asio::steady_timer>(io(), restart_delay);
        timer->async_wait([this, timer](const boost::system::error_code&) {
            start_backend();
            send_heartbeat();
        });
    }

    /// Breaks all connections of the backend server, which goes on.
    void reset_connections()
    {
        --backend_starts;
        start_backend();
    }

    /// Returns the id of the current process of the backend server.
    std::string backend_id() const
    {
        return backend_starts == 1 || keeps_id
                   ? name + "-run"
                   : fmt::format("{}-{}", name, backend_starts);
    }

    void send_heartbeat(bool is_draining = false)
    {
        fj::backend_heartbeat heartbeat;
        heartbeat.id = backend_id();
        heartbeat.service = settings.service;
        heartbeat.address =
            fmt::format("127.0.0.1:{}", settings.backend.port());
        heartbeat.slots = 8;
        heartbeat.start_time_ms = backend_starts;
        heartbeat.sequence = ++heartbeats;
        heartbeat.is_draining = is_draining;
        CHECK(hooks.heartbeat(heartbeat) == fj::heartbeat_verdict::accepted);
    }

    /// Returns a body of which one byte arrives every 10 ms, without end.
    fj::body_reader endless_body()
    {
        return [this](asio::mutable_buffer buffer)
                   -> fj::awaitable<fj::result<std::size_t>> {
            ++endless_reads;
            asio::steady_timer timer(io(), milliseconds(10));
            co_await timer.async_wait(use_awaitable);
            *static_cast<char*>(buffer.data()) = 'x';
            co_return std::size_t{1};
        };
    }

    /// Returns a body that ends after `silence`.
    fj::body_reader silent_body()
    {
        return [this](asio::mutable_buffer)
                   -> fj::awaitable<fj::result<std::size_t>> {
            asio::steady_timer timer(io(), silence);
            co_await timer.async_wait(use_awaitable);
            co_return std::size_t{0};
        };
    }

    fj::awaitable<fj::streamed_response> serve(fj::http_request request)
    {
        ++runs;
        const auto& fields = request.message.headers;
        run_ids.insert(field(fields, "id"));
        request.on_cancel([this] { ++cancellations; });
        last_headers = fields;
        const auto body =
            co_await fj::read_body(std::move(request.message.body), 1 << 20);
        const bool is_crashing =
            (body && body.value().ends_with(crashing_body_end)) ||
            (request.message.target.find("crash") != std::string::npos &&
             (crashing_caller.empty() ||
              field(fields, "from") == crashing_caller));
        if (service_time > milliseconds(0)) {
            asio::steady_timer timer(io(), service_time);
            co_await timer.async_wait(use_awaitable);
        }
        if (is_crashing)
            crash_backend();
        else if (resets_connections)
            reset_connections();
        auto answer = text_response(status, name);
        if (has_endless_answers || silence > milliseconds(0))
            answer.content_length.reset();
        if (has_endless_answers)
            answer.body = endless_body();
        else if (silence > milliseconds(0))
            answer.body = silent_body();
        answer.headers.push_back({"run", backend_id()});
        answer.headers.push_back({"id", field(fields, "id")});
        answer.headers.push_back({"fj-o", "overloaded;1;0;-1"});
        if (status == 200)
            answer.headers.push_back({"seal", "s"});
        else if (status == 503)
            answer.headers.push_back({"not-run", "1"});
        if (named_limit)
            answer.headers.push_back(
                {"limit", fmt::format("{}", *named_limit)});
        if (says_leaving)
            answer.headers.push_back({"leaving", "1"});
        co_return answer;
    }

    std::string name;
    fj::mesh_settings settings;
    std::unique_ptr<fj::http_server> backend;
    std::int64_t backend_starts = 0;
    bool is_backend_running = false;
    /// Whether later processes of the backend server have the id of the first.
    bool keeps_id = false;
    milliseconds restart_delay{300};
    int crashes = 0;
    /// Service whose callers send the requests that crash; empty if all do.
    std::string crashing_caller;
    bool resets_connections = false;
    bool has_endless_answers = false;
    /// How long the body of an answer is silent before it ends.
    milliseconds silence{};
    /// Requests whose connection ended before their answer.
    int cancellations = 0;
    /// Reads of bodies without end.
    int endless_reads = 0;
    /// Requests per second that the backend server names in its answers.
    std::optional<double> named_limit;
    /// Whether the backend server says in its answers that it leaves.
    bool says_leaving = false;
    fj::backend_hooks hooks;
    std::function<bool()> is_ready;
    std::unique_ptr<fj::mesh_node> process;
    std::uint64_t heartbeats = 0;
    int runs = 0;
    /// Ids of the requests that the backend server has received.
    std::set<std::string> run_ids;
    int status = 200;
    milliseconds service_time{};
    fj::header_fields last_headers;
};

/// Three nodes: one of the service `shop`, two of `books`.
struct test_fleet
{
    explicit test_fleet(
        milliseconds revocation_bound = milliseconds(60'000),
        milliseconds row_check_period = milliseconds(1000))
    {
        rows->row_check_period = row_check_period;
        rows->config.version = 1;
        rows->config.routes = {
            make_route("books", "/books/", false),
            make_route("open", "/open/", true)};
        fj::account_entry north;
        north.plan.name = "north";
        north.keys = {"key-1"};
        rows->config.accounts = {north};
        const std::pair<const char*, const char*> layout[] = {
            {"n1", "shop"}, {"n2", "books"}, {"n3", "books"}};
        for (const auto& [name, service] : layout) {
            instances.push_back(std::make_unique<test_instance>(
                rows, name, service, revocation_bound));
        }
        run_until([this] {
            for (const auto& instance : instances) {
                if (!instance->is_ready())
                    return false;
            }
            return true;
        });
        for (const auto& instance : instances)
            instance->send_heartbeat();
        // Each request earns a part of a retry, so that few are sent.
        fj::time_point next_at{};
        run_until([&] {
            if (fj::clock::now() < next_at)
                return false;
            next_at = fj::clock::now() + milliseconds(10);
            return send("/open/x", "").status == 200;
        });
        for (const auto& instance : instances)
            instance->runs = 0;
    }

    /// Adds a node with its backend server and waits until it is ready.
    test_instance& add_instance(
        const std::string& name, const std::string& service,
        milliseconds revocation_bound = milliseconds(60'000))
    {
        instances.push_back(std::make_unique<test_instance>(
            rows, name, service, revocation_bound));
        auto& added = *instances.back();
        run_until([&] { return added.is_ready(); });
        added.send_heartbeat();
        return added;
    }

    /// Starts a node of a new service whose backend servers have a health
    /// endpoint; the route of the service is its name.
    test_instance& start_with_health_endpoint(
        const std::string& name, const std::string& service)
    {
        rows->config.health_paths[service] = "/health";
        rows->config.routes.push_back(
            make_route(service, "/" + service + "/", true));
        rows->config.routes.back().targets = {{service, 1}};
        publish();
        instances.push_back(std::make_unique<test_instance>(
            rows, name, service, milliseconds(60'000)));
        return *instances.back();
    }

    /// Adds a node that finds no secret in the store, and returns while the
    /// store still creates one.
    test_instance&
    start_with_slow_secret(const std::string& name, const std::string& service)
    {
        rows->secret.clear();
        rows->secret_delay = milliseconds(1000);
        instances.push_back(std::make_unique<test_instance>(
            rows, name, service, milliseconds(60'000)));
        run_until([&] { return rows->nodes.count(name) == 1; });
        // Leaves the node time to read the rows and the configuration.
        const auto until = fj::clock::now() + milliseconds(200);
        run_until([&] { return fj::clock::now() >= until; });
        return *instances.back();
    }

    static fj::route
    make_route(std::string name, std::string prefix, bool is_public)
    {
        fj::route new_route;
        new_route.name = std::move(name);
        new_route.host = "h";
        new_route.prefix = std::move(prefix);
        new_route.is_public = is_public;
        new_route.attempts = 2;
        new_route.timeout = milliseconds(20'000);
        new_route.objective = milliseconds(10'000);
        new_route.targets = {{"books", 1}};
        return new_route;
    }

    struct answer
    {
        int status = 0;
        std::string body;
    };

    /// Sends a request to a node and reads the complete answer.
    answer send(
        const std::string& path, const std::string& key, std::size_t index = 0,
        std::string method = "GET")
    {
        return run(exchange(path, key, index, std::move(method)));
    }

    /// Sends a request with a body, in chunks unless `has_length` is set.
    answer send_body(
        const std::string& path, const std::string& key, std::size_t index,
        std::string body, bool has_length = true)
    {
        return run(
            exchange(path, key, index, "POST", std::move(body), has_length));
    }

    /// Starts requests evenly over `time`, through all nodes in turn, and waits
    /// for their answers.
    std::vector<answer> send_evenly(
        const std::string& path, const std::string& key, int count,
        milliseconds time)
    {
        std::vector<std::shared_ptr<std::optional<answer>>> pending;
        const auto started_at = fj::clock::now();
        for (int sent_now = 0; sent_now < count; ++sent_now) {
            const auto due = started_at + time * sent_now / count;
            run_until([&] { return fj::clock::now() >= due; });
            const auto index =
                static_cast<std::size_t>(sent_now) % instances.size();
            pending.push_back(start(exchange(path, key, index, "GET")));
        }
        std::vector<answer> answers;
        for (const auto& one : pending) {
            run_until([&] { return one->has_value(); });
            answers.push_back(**one);
        }
        return answers;
    }

    fj::awaitable<answer> exchange(
        std::string path, std::string key, std::size_t index,
        std::string method, std::string body = {}, bool has_length = true)
    {
        fj::http_client client(
            io().get_executor(), instances[index]->settings.callers,
            fj::http_limits{});
        fj::streamed_request request;
        request.method = std::move(method);
        request.target = std::move(path);
        request.headers = {{"host", "h"}, {"id", fmt::format("r{}", ++sent)}};
        request.headers.push_back({"account", "forged"});
        request.headers.push_back({"fj-c", "1;1;0;9000;books;forged;forged"});
        if (!key.empty())
            request.headers.push_back({"key", key});
        if (has_length)
            request.content_length = body.size();
        request.body = fj::string_body(std::move(body));
        auto head = co_await client.send(std::move(request), far_deadline());
        answer received;
        if (!head)
            co_return received;
        received.status = head.value().status;
        auto text =
            co_await fj::read_body(std::move(head.value().body), 1 << 20);
        received.body = text ? text.value() : "broken";
        co_return received;
    }

    /// Publishes the changed configuration and waits until all nodes have
    /// applied it. An added route shows which have.
    void publish()
    {
        const auto marker = fmt::format("/v{}/", ++rows->config.version);
        rows->config.routes.push_back(make_route(marker, marker, true));
        ++rows->position;
        for (std::size_t index = 0; index < instances.size(); ++index)
            run_until([&] { return send(marker, "", index).status != 404; });
        for (const auto& instance : instances)
            instance->runs = 0;
    }

    std::shared_ptr<shared_rows> rows = std::make_shared<shared_rows>();
    std::vector<std::unique_ptr<test_instance>> instances;
    int sent = 0;
};

/// Creates a fleet that is never destroyed, since its nodes have work pending
/// on the I/O context until the process ends.
inline test_fleet& make_fleet(
    milliseconds revocation_bound = milliseconds(60'000),
    milliseconds row_check_period = milliseconds(1000))
{
    // The context is never destroyed either.
    static auto& all = *new std::vector<std::unique_ptr<test_fleet>>();
    all.push_back(
        std::make_unique<test_fleet>(revocation_bound, row_check_period));
    return *all.back();
}

} // namespace fulmarjunction::test
