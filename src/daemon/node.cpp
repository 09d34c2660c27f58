#include <fulmarjunction/daemon/node.hpp>

#include "gossip.hpp"
#include "node_state.hpp"
#include "operators.hpp"
#include "table_link.hpp"
#include "token_gate.hpp"
#include "unique_runner.hpp"
#include <fulmarjunction/peer/control.hpp>

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/platform/bounded_table_service.hpp>
#include <fulmarjunction/platform/http_platform.hpp>
#include <fulmarjunction/serving/egress.hpp>
#include <fulmarjunction/serving/wait_until.hpp>
#include <fulmarjunction/suspects/suspect_reports.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sodium.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Maximum sleep of the timer loop, which sees new subscriptions only when it
/// wakes up.
constexpr milliseconds max_sleep(20);
/// How long a stopping node waits before it checks whether it is idle. Peers
/// that have not received its leave message yet still send calls; the message
/// reaches all nodes well within this time.
constexpr seconds leave_grace(2);
/// A peer connection costs about 62 KiB at each end. Neighbours are probed each
/// second, so a connection that is idle for a minute remains from an earlier
/// membership ring, from startup or from a service that is no longer called.
constexpr seconds max_idle_connection_time(60);
constexpr seconds idle_check_interval(10);
/// Added to the refused share at the entry, whose levels are slightly older
/// than those of downstream nodes. Without it, 98% of the wasted work at twice
/// the capacity was refused by nodes downstream of the entry.
constexpr double entry_refusal_margin = 0.03;
/// The result of a slower poll would be too old for the freshness limit.
constexpr milliseconds poll_timeout(1000);
/// Time limit of the shutdown steps after the last request: release of rate
/// shares, key handover, removal of the instance row and end of the peer
/// streams.
constexpr seconds shutdown_steps_timeout(5);

incarnation_number clock_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<incarnation_number>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

/// Returns an incarnation above the one in the instance's row, where the row
/// can be read; else the start time alone orders the incarnations.
incarnation_number choose_incarnation(const node_settings& settings)
{
    asio::io_context context;
    auto table = make_http_table_service(
        context.get_executor(), settings.platform.address,
        settings.platform.timeout);
    auto incarnation = clock_incarnation();
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            const auto key = instance_row_key(settings.name);
            const auto row = co_await table.get(key);
            if (!row || !row.value())
                co_return;
            const auto record = parse_instance_record(key, row.value()->value);
            if (record)
                incarnation =
                    std::max(incarnation, record.value().incarnation + 1);
        },
        [&context](const std::exception_ptr&) {
            // The client's kept-alive connection would keep run_for() from
            // returning before its timeout.
            context.stop();
        });
    context.run_for(settings.platform.timeout + milliseconds(100));
    return incarnation;
}

result<std::shared_ptr<asio::ssl::context>>
make_tls(const std::optional<tls_settings>& settings)
{
    if (!settings)
        return std::shared_ptr<asio::ssl::context>();
    auto tls =
        std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    boost::system::error_code ec;
    tls->set_options(
        asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1 |
            asio::ssl::context::default_workarounds,
        ec);
    tls->use_certificate_chain_file(settings->certificate, ec);
    if (ec) {
        return fail(
            errc::invalid_settings, "read certificate", settings->certificate,
            ec.message());
    }
    tls->use_private_key_file(settings->key, asio::ssl::context::pem, ec);
    if (ec) {
        return fail(
            errc::invalid_settings, "read private key", settings->key,
            ec.message());
    }
    return tls;
}

} // namespace

class node::impl
{
public:
    impl(asio::io_context& context, node_settings settings)
        : context_(context), executor_(context.get_executor()),
          settings_(std::move(settings))
    {
    }

    result<void> start();
    void stop(std::function<void()> on_stopped);

private:
    result<void> load_secrets();
    result<void> listen_to_peers();
    result<void> listen_to_operators();
    result<void> listen_to_callers();
    result<void> listen_to_backend();
    void create_components(instance_record self);
    void create_serving();
    void create_platform();
    result<tcp::endpoint> listen(
        std::unique_ptr<http_server>& server, const tcp::endpoint& address,
        std::string_view role);
    http_limits caller_limits() const;

    awaitable<streamed_response> serve_peer(peer_request request);
    result<std::string> answer_control(
        const instance_name& from, std::string_view name,
        std::string_view text);
    awaitable<void> run_timers();
    awaitable<void> shut_down(std::function<void()> on_stopped);
    bool is_idle() const;
    void report_backend();

    asio::io_context& context_;
    asio::any_io_executor executor_;
    node_settings settings_;
    node_secrets secrets_;
    peer_identity identity_;
    std::unique_ptr<peer_server> peer_server_;
    std::unique_ptr<peer_client> peer_client_;
    std::unique_ptr<node_state> state_;
    std::shared_ptr<backend_gate> gate_;
    std::unique_ptr<dispatcher> dispatcher_;
    std::unique_ptr<gossip> gossip_;
    std::unique_ptr<table_link> table_link_;
    std::unique_ptr<token_gate> token_gate_;
    std::unique_ptr<unique_runner> unique_runner_;
    std::unique_ptr<entry> entry_;
    std::unique_ptr<egress> egress_;
    std::unique_ptr<operator_api> operator_api_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> egress_server_;
    std::unique_ptr<http_server> operator_server_;
    std::vector<timer_service::subscription> subscriptions_;
    bool stopping_ = false;
    bool stopped_ = false;
};

result<void> node::impl::load_secrets()
{
    BOOST_OUTCOME_TRY(secrets_.peer, load_secret(settings_.peers.secret_file));
    BOOST_OUTCOME_TRY(secrets_.pepper, load_secret(settings_.keys.pepper_file));
    return boost::outcome_v2::success();
}

result<void> node::impl::start()
{
    if (sodium_init() < 0)
        return fail(errc::internal, "start", {}, "libsodium");
    BOOST_OUTCOME_TRY(load_secrets());
    identity_ = {settings_.name, choose_incarnation(settings_), secrets_.peer};
    BOOST_OUTCOME_TRY(listen_to_peers());
    BOOST_OUTCOME_TRY(listen_to_backend());
    BOOST_OUTCOME_TRY(listen_to_callers());
    asio::co_spawn(executor_, run_timers(), asio::detached);
    log(log_level::info, "started",
        {{"name", settings_.name},
         {"incarnation", identity_.incarnation},
         {"availability_zone", settings_.availability_zone}});
    return boost::outcome_v2::success();
}

result<tcp::endpoint> node::impl::listen(
    std::unique_ptr<http_server>& server, const tcp::endpoint& address,
    std::string_view role)
{
    BOOST_OUTCOME_TRY(auto bound, server->listen(address));
    log(log_level::info, "listening",
        {{"role", role}, {"address", format_address(bound)}});
    return bound;
}

result<void> node::impl::listen_to_peers()
{
    peer_server_ = std::make_unique<peer_server>(
        executor_, identity_, peer_limits{}, [this](peer_request request) {
            return serve_peer(std::move(request));
        });
    peer_client_ =
        std::make_unique<peer_client>(executor_, identity_, peer_limits{});
    BOOST_OUTCOME_TRY(
        auto peer_endpoint, peer_server_->listen(settings_.peers.listen));
    log(log_level::info, "listening",
        {{"role", "peers"}, {"address", format_address(peer_endpoint)}});
    operator_server_ = std::make_unique<http_server>(
        executor_, http_limits{},
        [this](http_request request) {
            return operator_api_->handle(std::move(request));
        },
        [](int) {
            return caller_refusal(
                {outcome::not_run, refusal_reason::malformed, 0}, "");
        });
    BOOST_OUTCOME_TRY(
        auto operator_endpoint,
        listen(operator_server_, settings_.operators.listen, "operators"));

    instance_record self;
    self.name = settings_.name;
    self.incarnation = identity_.incarnation;
    self.peer_address =
        format_address(settings_.peers.advertise.value_or(peer_endpoint));
    self.operator_address = format_address(operator_endpoint);
    self.zone = settings_.availability_zone;
    self.region = settings_.region;
    self.lease = settings_.rates.lease;
    create_components(std::move(self));
    return boost::outcome_v2::success();
}

void node::impl::create_components(instance_record self)
{
    state_ = std::make_unique<node_state>(
        settings_, secrets_, std::move(self), clock::now());
    gossip_ = std::make_unique<gossip>(executor_, *state_, *peer_client_);
    create_platform();
    create_serving();
    subscriptions_.push_back(
        state_->timers.every(idle_check_interval, [this](time_point) {
            peer_client_->close_unused(max_idle_connection_time);
        }));
    operator_view view;
    view.state = state_.get();
    view.entry_handler = entry_.get();
    view.egress_handler = egress_.get();
    view.gate = gate_.get();
    view.call_dispatcher = dispatcher_.get();
    view.peer_server_counters = &peer_server_->counters();
    view.peer_client_counters = &peer_client_->counters();
    view.is_stopping = [this] { return stopping_; };
    view.drain = [this] { stop([this] { context_.stop(); }); };
    operator_api_ = std::make_unique<operator_api>(std::move(view));
}

void node::impl::create_platform()
{
    platform_policy policy;
    policy.attempt_timeout = settings_.platform.timeout;
    policy.calls_per_s = settings_.platform.calls_per_s;
    const auto service = make_http_table_service(
        executor_, settings_.platform.address, settings_.platform.timeout);
    // A failed poll is evidence of an outage, so it is not retried.
    auto polling = policy;
    polling.read_attempts = 1;
    polling.attempt_timeout = std::min(poll_timeout, policy.attempt_timeout);
    table_link_ = std::make_unique<table_link>(
        executor_, *state_, *gossip_,
        make_bounded_table_service(service, policy, make_platform_hooks()),
        make_bounded_table_service(service, polling, make_platform_hooks()));
    token_gate_ =
        std::make_unique<token_gate>(executor_, *state_, *peer_client_);
}

void node::impl::create_serving()
{
    gate_ = std::make_shared<backend_gate>(
        executor_, settings_.admission, state_->timers, state_->suspects,
        state_->levels);
    gate_->on_announcement = [this] { report_backend(); };
    dispatcher::dependencies dispatcher_parts;
    dispatcher_parts.self = settings_.name;
    dispatcher_parts.instances = &state_->routes;
    dispatcher_parts.peers = peer_client_.get();
    dispatcher_parts.gate = gate_;
    dispatcher_parts.classify =
        [this](const service_name& service, fingerprint request_fingerprint) {
            return state_->classify(service, request_fingerprint, clock::now());
        };
    dispatcher_parts.backend_failed =
        [this](fingerprint request_fingerprint, const instance_name& instance) {
            state_->suspects.attempt_failed(
                request_fingerprint, instance, clock::now());
        };
    dispatcher_parts.locate = [this](const instance_name& name) {
        return state_->locate(name);
    };
    dispatcher_ =
        std::make_unique<dispatcher>(executor_, std::move(dispatcher_parts));
    unique_runner_ =
        std::make_unique<unique_runner>(executor_, *state_, *dispatcher_);

    const auto run_unique = [this](
                                outgoing_call call, retry_budget& budget,
                                cancel_event canceled) {
        return unique_runner_->run(
            std::move(call), budget, std::move(canceled));
    };
    const auto issue_keys =
        [this](const client_account& account, std::size_t count) {
            return unique_runner_->issue(account, count);
        };
    entry::dependencies entry_parts;
    entry_parts.config = &state_->config;
    entry_parts.calls = dispatcher_.get();
    entry_parts.pepper = secrets_.pepper;
    entry_parts.extra_attempts = settings_.retries.extra_attempts;
    entry_parts.hooks.is_fresh = [this] {
        return state_->is_fresh(clock::now());
    };
    entry_parts.hooks.charge =
        [this](client_account account, time_point deadline) {
            return token_gate_->charge(std::move(account), deadline);
        };
    entry_parts.hooks.run_unique = run_unique;
    entry_parts.hooks.issue_keys = issue_keys;
    entry_parts.hooks.refuse_early =
        [this](const entry_root& root) -> std::optional<refusal> {
        if (state_->levels.admit(root, clock::now(), entry_refusal_margin))
            return std::nullopt;
        return refusal{outcome::not_run, refusal_reason::overloaded, 1000};
    };
    entry_parts.hooks.ended =
        [this](const entry_root& root, const downstream_observation& seen) {
            state_->levels.ended(root, seen, clock::now());
        };
    entry_ = std::make_unique<entry>(executor_, std::move(entry_parts));
    egress_ = std::make_unique<egress>(
        executor_,
        egress::dependencies{
            &state_->config, dispatcher_.get(), gate_, run_unique, issue_keys});
}

void node::impl::report_backend()
{
    const auto now = clock::now();
    if (const auto* backend = gate_->backend()) {
        state_->members.backend_announced(
            {backend->service, backend->slots, backend->draining}, now);
        state_->own_instance_row.set_backend(backend->service, backend->slots);
    } else {
        state_->members.backend_lost(now);
    }
    gossip_->send_due_messages();
}

http_limits node::impl::caller_limits() const
{
    http_limits limits;
    limits.max_header_bytes = settings_.callers.max_header_bytes;
    limits.max_connections = settings_.callers.max_connections;
    return limits;
}

result<void> node::impl::listen_to_callers()
{
    BOOST_OUTCOME_TRY(auto tls, make_tls(settings_.callers.tls));
    caller_server_ = std::make_unique<http_server>(
        executor_, caller_limits(),
        [this](http_request request) {
            return entry_->handle(std::move(request));
        },
        [this](int status) { return entry_->refuse_malformed(status); }, tls);
    BOOST_OUTCOME_TRY(
        listen(caller_server_, settings_.callers.listen, "callers"));
    return boost::outcome_v2::success();
}

result<void> node::impl::listen_to_backend()
{
    egress_server_ = std::make_unique<http_server>(
        executor_, http_limits{},
        [this](http_request request) {
            return egress_->handle(std::move(request));
        },
        [this](int status) { return entry_->refuse_malformed(status); });
    BOOST_OUTCOME_TRY(
        listen(egress_server_, settings_.egress.listen, "egress"));
    return boost::outcome_v2::success();
}

awaitable<streamed_response> node::impl::serve_peer(peer_request request)
{
    auto& message = request.message;
    constexpr std::string_view control_prefix = "/control/";
    const auto host = find_header(message.headers, "host");
    if (host == "control" && message.target.starts_with(control_prefix)) {
        const auto name = message.target.substr(control_prefix.size());
        auto text =
            co_await read_body(std::move(message.body), max_control_bytes);
        if (!text)
            co_return make_control_answer(text);
        co_return make_control_answer(
            answer_control(request.from, name, text.value()));
    }
    const bool is_execute =
        find_header(message.headers, "fj-kind") == "execute";
    remove_header(message.headers, "fj-kind");
    auto context = take_context(message.headers, clock::now());
    if (!context) {
        log(log_level::warning, "peer_request_refused",
            {{"peer", request.from}, {"error", to_string(context.error())}});
        co_return refusal_answer(
            {outcome::not_run, refusal_reason::malformed, 0}, {});
    }
    if (is_execute) {
        co_return co_await unique_runner_->run_for_peer(
            std::move(context.value()), std::move(message));
    }
    const cancel_event canceled(executor_);
    request.on_cancel([canceled] { canceled.cancel(); });
    co_return co_await gate_->serve(
        std::move(context.value()), std::move(message), canceled);
}

result<std::string> node::impl::answer_control(
    const instance_name& from, std::string_view name, std::string_view text)
{
    if (name == "probe")
        return gossip_->answer_probe(from, text);
    if (name == "leave")
        return gossip_->answer_leave(from, text);
    if (name == "rows")
        return gossip_->answer_rows(from, text);
    if (name == suspects_message)
        return gossip_->answer_suspects(text);
    if (name == "borrow")
        return token_gate_->answer_borrow(from, text);
    if (name == "handover")
        return unique_runner_->answer_handover(from, text);
    return fail(errc::not_found, "control", from, std::string(name));
}

awaitable<void> node::impl::run_timers()
{
    asio::steady_timer timer(executor_);
    while (!stopped_) {
        const auto now = clock::now();
        state_->timers.advance(now);
        const auto due = state_->timers.next_due().value_or(now + max_sleep);
        timer.expires_at(std::min(due, now + max_sleep));
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        if (table_link_->is_superseded() && !stopping_) {
            log(log_level::error, "superseded", {{"name", settings_.name}});
            stop([this] { context_.stop(); });
        }
    }
}

bool node::impl::is_idle() const
{
    return caller_server_->requests_in_flight() == 0 &&
           gate_->in_flight() == 0 && gate_->waiting() == 0 &&
           state_->issuer.running() == 0;
}

void node::impl::stop(std::function<void()> on_stopped)
{
    if (std::exchange(stopping_, true))
        return;
    log(log_level::info, "stopping",
        {{"in_flight", gate_->in_flight()},
         {"callers", caller_server_->requests_in_flight()}});
    asio::co_spawn(executor_, shut_down(std::move(on_stopped)), asio::detached);
}

awaitable<void> node::impl::shut_down(std::function<void()> on_stopped)
{
    const auto started = clock::now();
    const auto deadline = started + settings_.drain.limit;
    state_->members.leave(started);
    state_->own_instance_row.mark_leaving();
    state_->rates.begin_stop(started);
    state_->issuer.begin_stop(started);
    gossip_->send_due_messages();
    caller_server_->begin_shutdown();
    // Peers that have not received the leave message yet still send calls,
    // which are served.
    co_await wait_until(executor_, nullptr, started + leave_grace);
    co_await wait_until(
        executor_, [this] { return is_idle(); }, deadline);
    if (!is_idle()) {
        log(log_level::warning, "drain_limit_reached",
            {{"in_flight", gate_->in_flight()},
             {"waiting", gate_->waiting()},
             {"callers", caller_server_->requests_in_flight()}});
    }
    const auto limit = clock::now() + shutdown_steps_timeout;
    co_await wait_until(
        executor_, [this] { return state_->rates.is_released(); }, limit);
    if (state_->issuer.entries() > 0) {
        co_await unique_runner_->hand_over(
            *peer_client_, limit, [this](table_transaction change) {
                return table_link_->commit(std::move(change));
            });
    }
    state_->own_instance_row.remove();
    co_await wait_until(
        executor_, [this] { return state_->own_instance_row.is_settled(); },
        limit);
    peer_server_->begin_shutdown();
    co_await wait_until(
        executor_, [this] { return peer_server_->open_streams() == 0; }, limit);
    stopped_ = true;
    log(log_level::info, "stopped",
        {{"seconds", to_seconds(clock::now() - started)}});
    on_stopped();
}

node::node(asio::io_context& context, node_settings settings)
    : impl_(std::make_unique<impl>(context, std::move(settings)))
{
}

node::~node() = default;

result<void> node::start()
{
    return impl_->start();
}

void node::stop(std::function<void()> on_stopped)
{
    impl_->stop(std::move(on_stopped));
}

} // namespace fulmarjunction
