// End-to-end tests of complete nodes on loopback, with an in-memory store and
// test backend servers. They check the answers to callers and the requests that
// reach the backend servers.

#include <fulmarjunction/mesh/mesh_node.hpp>

#include <test_main/transport_test_support.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <unistd.h>

#include <map>

using namespace fulmarjunction::test;
using std::chrono::milliseconds;

namespace {

/// Rows of the store, shared by all nodes of a test.
struct shared_rows
{
    fj::service_document config;
    fj::store_position position = 1;
    std::map<std::string, fj::node_report> nodes;
    std::string secret;
    fj::incarnation_number last_incarnation = 0;
    bool is_unavailable = false;
};

class memory_store : public fj::fleet_store
{
public:
    explicit memory_store(std::shared_ptr<shared_rows> rows)
        : rows_(std::move(rows))
    {
    }

    fj::awaitable<fj::result<fj::config_read>> read_config() override
    {
        if (rows_->is_unavailable)
            co_return fj::fail(fj::errc::unavailable, "read");
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
        co_return known;
    }

    fj::awaitable<fj::result<std::string>> create_secret() override
    {
        if (rows_->secret.empty())
            rows_->secret = "0123456789abcdef0123456789abcdef";
        co_return rows_->secret;
    }

    fj::awaitable<fj::result<fj::incarnation_number>>
    put_node(const fj::node_report& self) override
    {
        auto& row = rows_->nodes[self.node];
        row = self;
        row.incarnation = ++rows_->last_incarnation;
        co_return row.incarnation;
    }

    fj::awaitable<fj::result<void>>
    remove_node(const fj::node_report& row) override
    {
        rows_->nodes.erase(row.node);
        co_return boost::outcome_v2::success();
    }

private:
    fj::config_read read() const
    {
        fj::config_read found;
        found.document = rows_->config;
        found.position = rows_->position;
        found.store_time = std::chrono::duration_cast<milliseconds>(
            fj::clock::now().time_since_epoch());
        return found;
    }

    std::shared_ptr<shared_rows> rows_;
};

std::string field(const fj::header_fields& fields, std::string_view name)
{
    return std::string(fj::find_header(fields, name).value_or(""));
}

/// Wire format of the test, with simple field names.
fj::wire_format make_format()
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
        return facts;
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

/// Returns a free address. Its port lies below the ephemeral ports, so that no
/// outgoing connection takes it in the meantime.
tcp::endpoint free_address()
{
    constexpr unsigned first_port = 12'000;
    constexpr unsigned ports = 18'000;
    static auto next = static_cast<unsigned>(getpid()) * 97;
    for (;;) {
        const auto port = first_port + next++ % ports;
        tcp::acceptor acceptor(io());
        tcp::endpoint address(
            asio::ip::address_v4::loopback(),
            static_cast<unsigned short>(port));
        acceptor.open(address.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        boost::system::error_code taken;
        acceptor.bind(address, taken);
        if (!taken)
            return address;
    }
}

/// A backend server with its node.
struct test_instance
{
    test_instance(
        const std::shared_ptr<shared_rows>& rows, std::string node,
        std::string service, milliseconds revocation_bound)
        : name(std::move(node)),
          backend(
              io().get_executor(), fj::http_limits{},
              [this](fj::http_request request) {
                  return serve(std::move(request));
              },
              [](int code) { return text_response(code, ""); })
    {
        const auto bound = backend.listen(any_port);
        REQUIRE(bound);
        settings.name = name;
        settings.zone = "east";
        settings.service = std::move(service);
        settings.backend = bound.value();
        settings.callers = free_address();
        settings.ready = free_address();
        settings.heartbeats = free_address();
        settings.peers = free_address();
        settings.metrics = free_address();
        settings.revocation_bound = revocation_bound;
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

    void send_heartbeat(bool is_draining = false)
    {
        fj::backend_heartbeat heartbeat;
        heartbeat.id = name + "-run";
        heartbeat.service = settings.service;
        heartbeat.address =
            fmt::format("127.0.0.1:{}", settings.backend.port());
        heartbeat.slots = 8;
        heartbeat.start_time_ms = 1;
        heartbeat.sequence = ++heartbeats;
        heartbeat.is_draining = is_draining;
        CHECK(hooks.heartbeat(heartbeat) == fj::heartbeat_verdict::accepted);
    }

    fj::awaitable<fj::streamed_response> serve(fj::http_request request)
    {
        ++runs;
        const auto& fields = request.message.headers;
        last_headers = fields;
        if (service_time > milliseconds(0)) {
            asio::steady_timer timer(io(), service_time);
            co_await timer.async_wait(use_awaitable);
        }
        auto answer = text_response(status, name);
        answer.headers.push_back({"run", name + "-run"});
        answer.headers.push_back({"id", field(fields, "id")});
        if (status == 200)
            answer.headers.push_back({"seal", "s"});
        else if (status == 503)
            answer.headers.push_back({"not-run", "1"});
        co_return answer;
    }

    std::string name;
    fj::http_server backend;
    fj::mesh_settings settings;
    fj::backend_hooks hooks;
    std::function<bool()> is_ready;
    std::unique_ptr<fj::mesh_node> process;
    std::uint64_t heartbeats = 0;
    int runs = 0;
    int status = 200;
    milliseconds service_time{};
    fj::header_fields last_headers;
};

/// Three nodes: one of the service `shop`, two of `books`.
struct test_fleet
{
    explicit test_fleet(milliseconds revocation_bound = milliseconds(60'000))
    {
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
        run_until([this] { return send("/open/x", "").status == 200; });
        for (const auto& instance : instances)
            instance->runs = 0;
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

    fj::awaitable<answer> exchange(
        std::string path, std::string key, std::size_t index,
        std::string method)
    {
        fj::http_client client(
            io().get_executor(), instances[index]->settings.callers,
            fj::http_limits{});
        fj::streamed_request request;
        request.method = std::move(method);
        request.target = std::move(path);
        request.headers = {{"host", "h"}, {"id", fmt::format("r{}", ++sent)}};
        request.headers.push_back({"account", "forged"});
        if (!key.empty())
            request.headers.push_back({"key", key});
        request.content_length = 0;
        request.body = fj::empty_body();
        auto head = co_await client.send(std::move(request), far_deadline());
        answer received;
        if (!head)
            co_return received;
        received.status = head.value().status;
        auto body =
            co_await fj::read_body(std::move(head.value().body), 1 << 20);
        received.body = body ? body.value() : "broken";
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
test_fleet& make_fleet(milliseconds revocation_bound = milliseconds(60'000))
{
    // The context is never destroyed either.
    static auto& all = *new std::vector<std::unique_ptr<test_fleet>>();
    all.push_back(std::make_unique<test_fleet>(revocation_bound));
    return *all.back();
}

} // namespace

// Guards against a key that reaches a backend server and a forged account that
// is believed.
TEST_CASE("a request reaches the service of its route with its account")
{
    auto& fleet = make_fleet();
    for (std::size_t index = 0; index < 3; ++index) {
        const auto received = fleet.send("/books/1", "key-1", index);
        CHECK(received.status == 200);
        CHECK((received.body == "n2" || received.body == "n3"));
        const auto& backend = fleet.instances[received.body == "n2" ? 1 : 2];
        CHECK(field(backend->last_headers, "account") == "north");
        CHECK(
            field(backend->last_headers, "backend") == received.body + "-run");
        CHECK(
            field(backend->last_headers, "from") ==
            (index == 0 ? "shop" : "books"));
        CHECK(field(backend->last_headers, "key").empty());
    }
}

// Guards against unauthenticated requests that reach a backend server.
TEST_CASE("requests without a route or a valid key reach no backend server")
{
    auto& fleet = make_fleet();
    CHECK(fleet.send("/films/1", "key-1").status == 404);
    CHECK(fleet.send("/books/1", "").status == 401);
    CHECK(fleet.send("/books/1", "key-2").status == 401);
    CHECK(fleet.instances[1]->runs + fleet.instances[2]->runs == 0);
}

// Guards against nodes that keep using an old configuration.
TEST_CASE("a withdrawn key is refused and a new key is accepted")
{
    auto& fleet = make_fleet();
    CHECK(fleet.send("/books/1", "key-1").status == 200);
    fleet.rows->config.accounts[0].keys = {"key-2"};
    fleet.publish();
    for (std::size_t index = 0; index < 3; ++index) {
        run_until([&] {
            return fleet.send("/books/1", "key-1", index).status == 401;
        });
        CHECK(fleet.send("/books/1", "key-2", index).status == 200);
    }
}

// Guards against withdrawn keys that work forever while the store is down.
TEST_CASE("without the store keys are not trusted, public routes still work")
{
    // The node subtracts a feed lag of 1000 ms and a margin of 300 ms.
    auto& fleet = make_fleet(milliseconds(4500));
    CHECK(fleet.send("/books/1", "key-1").status == 200);
    fleet.rows->is_unavailable = true;
    run_until([&] { return fleet.send("/books/1", "key-1").status == 503; });
    CHECK(fleet.send("/open/1", "").status == 200);
    fleet.rows->is_unavailable = false;
    run_until([&] { return fleet.send("/books/1", "key-1").status == 200; });
}

// Guards against requests that a stopping backend server cuts off.
TEST_CASE("a draining backend server receives no new requests")
{
    auto& fleet = make_fleet();
    fleet.instances[1]->send_heartbeat(true);
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.send("/books/1", "key-1").body == "n3");
    CHECK(fleet.instances[1]->runs == 0);
}

// Guards against failed requests while another backend server is free.
TEST_CASE("a request that a backend server refuses is retried at another")
{
    auto& fleet = make_fleet();
    fleet.instances[1]->status = 503;
    int served = 0;
    for (int i = 0; i < 60; ++i)
        served += fleet.send("/books/1", "key-1").status == 200 ? 1 : 0;
    // Requests earn the retry budget, so the first ones may be refused.
    CHECK(served > 40);
}

// Guards against a retry that runs a non-idempotent request twice.
TEST_CASE("a request that is not idempotent runs only once")
{
    auto& fleet = make_fleet();
    fleet.rows->config.routes[0].kind = fj::execution::unique;
    fleet.publish();
    fleet.instances[1]->status = 500;
    fleet.instances[2]->status = 500;
    for (int i = 0; i < 10; ++i)
        CHECK(fleet.send("/books/1", "key-1", 0, "POST").status == 500);
    CHECK(fleet.instances[1]->runs + fleet.instances[2]->runs == 10);
}

// Guards against an account that gets its rate once per node.
TEST_CASE("the rate of an account is limited over all nodes together")
{
    auto& fleet = make_fleet();
    fleet.rows->config.accounts[0].plan.rate = 5;
    fleet.rows->config.accounts[0].plan.burst = 5;
    fleet.publish();
    run_until([&] { return fleet.send("/books/1", "key-1").status == 429; });
    int served = 0;
    const auto started_at = fj::clock::now();
    for (int i = 0; i < 60; ++i) {
        const auto received =
            fleet.send("/books/1", "key-1", static_cast<std::size_t>(i) % 3);
        served += received.status == 200 ? 1 : 0;
    }
    const auto took = fj::to_seconds(fj::clock::now() - started_at);
    CHECK(served <= 5 * took + 6);
}

// Guards against a node that leaves its backend server unused after a restart
// until the next heartbeat.
TEST_CASE("a node that starts queries the health of its backend server")
{
    auto& fleet = make_fleet();
    fleet.rows->config.health_paths["films"] = "/health";
    fleet.rows->config.routes.push_back(
        test_fleet::make_route("films", "/films/", true));
    fleet.rows->config.routes.back().targets = {{"films", 1}};
    fleet.publish();
    fleet.instances.push_back(std::make_unique<test_instance>(
        fleet.rows, "n4", "films", milliseconds(60'000)));
    run_until([&] { return fleet.send("/films/1", "").status == 200; });
    CHECK(fleet.instances[3]->heartbeats == 0);
}

// Guards against requests that are cut off when their entry node stops.
TEST_CASE("a stopping node finishes its running requests")
{
    auto& fleet = make_fleet();
    fleet.instances[1]->send_heartbeat(true);
    fleet.instances[2]->service_time = milliseconds(600);
    const auto slow = start(fleet.exchange("/books/1", "key-1", 0, "GET"));
    run_until([&] { return fleet.instances[2]->runs == 1; });
    bool has_stopped = false;
    fleet.instances[0]->process->stop([&] { has_stopped = true; });
    CHECK_FALSE(fleet.instances[0]->is_ready());
    run_until([&] { return slow->has_value(); });
    CHECK((*slow)->status == 200);
    run_until([&] { return has_stopped; });
    CHECK(fleet.rows->nodes.count("n1") == 0);
}

// Guards against capacity that is lost for longer than a restart takes: a node
// that refuses its peers as soon as it is told to stop leaves the slots of its
// backend server unused while it waits for its callers.
TEST_CASE("a stopping node serves its peers until shortly before it ends")
{
    auto& fleet = make_fleet();
    fleet.instances[1]->send_heartbeat(true);
    run_until([&] { return fleet.send("/books/1", "key-1").body == "n3"; });
    const auto started_at = fj::clock::now();
    bool has_stopped = false;
    fleet.instances[2]->process->stop([&] { has_stopped = true; });
    CHECK_FALSE(fleet.instances[2]->is_ready());
    while (fj::clock::now() - started_at < milliseconds(1000))
        CHECK(fleet.send("/books/1", "key-1").status == 200);
    // Before it ends it refuses new requests, so that none is cut off.
    run_until([&] { return fleet.send("/books/1", "key-1").status == 503; });
    CHECK_FALSE(has_stopped);
    run_until([&] { return has_stopped; });
}

// Guards against the stale row of a node whose address another one has taken:
// failed exchanges with the old one must not close connections of the new one.
TEST_CASE(
    "a stale row with another node's address does not close its connections")
{
    auto& fleet = make_fleet();
    fleet.rows->config.routes[0].kind = fj::execution::unique;
    fleet.publish();
    auto gone = fleet.rows->nodes.at("n2");
    gone.node = "gone";
    fleet.rows->nodes["gone"] = gone;
    fleet.instances.push_back(std::make_unique<test_instance>(
        fleet.rows, "n4", "shop", milliseconds(60'000)));
    run_until([&] { return fleet.instances[3]->is_ready(); });
    fleet.instances[3]->send_heartbeat();
    fleet.instances[2]->send_heartbeat(true);
    run_until([&] { return fleet.send("/books/1", "key-1", 3).status == 200; });
    // Exchanges with the stale node fail during this time.
    fleet.instances[1]->service_time = milliseconds(3000);
    const auto slow = start(fleet.exchange("/books/1", "key-1", 3, "POST"));
    run_until([&] { return slow->has_value(); });
    CHECK((*slow)->status == 200);
}

// Not run by default: a workload for profilers, such as
// `valgrind --tool=callgrind mesh_test "[load]"`.
TEST_CASE(
    "2000 sequential requests through one entry node succeed", "[.][load]")
{
    auto& fleet = make_fleet();
    fj::http_client client(
        io().get_executor(), fleet.instances[0]->settings.callers,
        fj::http_limits{});
    const auto send_all = [&]() -> fj::awaitable<int> {
        int served = 0;
        for (int i = 0; i < 2000; ++i) {
            if (i % 100 == 0) {
                for (const auto& instance : fleet.instances)
                    instance->send_heartbeat();
            }
            fj::streamed_request request;
            request.method = "GET";
            request.target = "/books/1";
            request.headers = {
                {"host", "h"},
                {"id", fmt::format("load-{}", i)},
                {"key", "key-1"}};
            request.content_length = 0;
            request.body = fj::empty_body();
            auto head =
                co_await client.send(std::move(request), far_deadline());
            if (!head)
                continue;
            auto body =
                co_await fj::read_body(std::move(head.value().body), 1 << 20);
            served += body && head.value().status == 200 ? 1 : 0;
        }
        co_return served;
    };
    CHECK(run(send_all()) == 2000);
}
