#include "mesh_node_impl.hpp"

#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/peer/control.hpp>
#include <fulmarjunction/suspects/suspect_reports.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sodium.h>

#include <algorithm>
#include <random>
#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// Maximum delay of a change in the feed relative to the rows, after the store
/// has dropped its history.
constexpr milliseconds feed_lag(1000);
/// Covers the time between the check of a key and the moment from which the
/// revocation bound counts, and the error of the clocks.
constexpr milliseconds trust_margin(300);
/// Heartbeats that may be missing before a backend server counts as absent.
constexpr int max_missed_heartbeats = 4;

/// An unreachable node may still accept keys until its copy of the
/// configuration is too old. Its share of a rate is reserved for longer, since
/// it may still reach the store and only be cut off from its peers.
constexpr seconds unresponsive_retention(30);

/// Keeps the reads of all rows below ten per second in a large fleet.
constexpr milliseconds row_check_per_node(200);

/// Bounds the checks of the store's era, if all backend servers leave at once,
/// to a thousand per second in a large fleet.
constexpr milliseconds min_era_check_period(450);
constexpr milliseconds era_check_per_node(1);

constexpr milliseconds tick_period(250);
/// Period of a timer whose delay shows whether the node gets enough processor
/// time. It runs only while the gate is busy.
constexpr milliseconds delay_probe_period(20);
constexpr double busy_gate_usage = 0.25;

/// Delay before a request that was in flight at two crashes runs once more. A
/// crashed backend server is back by then, so that the service does not lose
/// all of its backend servers to one request.
constexpr seconds suspect_trial_delay(10);

constexpr std::string_view control_prefix = "/control/";

constexpr std::size_t max_pipelined = 16;
constexpr std::size_t max_caller_connections = 3000;

std::function<std::uint64_t()> random_numbers()
{
    auto engine = std::make_shared<std::mt19937_64>(std::random_device{}());
    return [engine] { return (*engine)(); };
}

/// Crashes of different incarnations of a node need different numbers.
std::uint64_t first_crash_number()
{
    constexpr unsigned incarnation_bits = 32;
    return std::uint64_t{std::random_device{}()} << incarnation_bits >> 1;
}

suspect_settings suspicion()
{
    suspect_settings chosen;
    chosen.trial_after = suspect_trial_delay;
    return chosen;
}

service_budget_settings budget_settings(const mesh_settings& settings)
{
    // Half of what the operators allow: the calls of a retried run count as
    // retries too, and a node can't see all of them.
    constexpr double used_fraction = 0.5;
    return {
        settings.retry_ratio * used_fraction,
        settings.retry_slack * used_fraction, settings.retry_window};
}

} // namespace

mesh_node::impl::impl(
    asio::io_context& context, mesh_settings settings, mesh_adapter adapter)
    : executor_(context.get_executor()), settings_(std::move(settings)),
      adapter_(std::move(adapter)), timers_(clock::now()), wake_up_(executor_),
      random_(random_numbers()),
      config_(settings_.revocation_bound - feed_lag - trust_margin),
      monitor_(
          settings_.service, format_address(settings_.backend),
          settings_.heartbeat_period * max_missed_heartbeats),
      fleet_(settings_.name, unresponsive_retention),
      placement_(settings_.zone, random_numbers()),
      budget_(budget_settings(settings_)),
      suspects_(suspicion(), settings_.name, first_crash_number())
{
    gate_service::dependencies gating;
    gating.monitor = &monitor_;
    gating.format = &adapter_.format;
    gating.metrics = &metrics_;
    gating.suspects = &suspects_;
    gating.suspicion = suspicion();
    gating.on_blame = [this] {
        if (suspect_link_)
            suspect_link_->announce();
        if (suspect_archive_)
            suspect_archive_->update();
    };
    gate_ = std::make_shared<gate_service>(
        executor_, settings_.backend, std::move(gating), slot_gate_settings{});
    fleet_reports::dependencies reporting;
    reporting.settings = &settings_;
    reporting.monitor = &monitor_;
    reporting.gate = gate_;
    reporting.fleet = &fleet_;
    reporting.target_placement = &placement_;
    reporting.budget = &budget_;
    reporting.throttle = &throttle_;
    reporting.shedding = &shedding_;
    reporting.has_left = [this] { return has_left_; };
    reporting.announce = [this] {
        if (link_)
            link_->announce();
    };
    reports_ = std::make_unique<fleet_reports>(executor_, std::move(reporting));
    fleet_registration::dependencies registering;
    registering.store = adapter_.store.get();
    registering.reports = reports_.get();
    registering.self = settings_.name;
    registering.row_found = [this](const node_report& row) {
        fleet_.recall(row, clock::now());
    };
    registering.is_store_reader = [this] { return fleet_.is_store_reader(); };
    registration_ =
        std::make_unique<fleet_registration>(executor_, std::move(registering));
    monitor_.begin_restore();
    monitor_.on_change = [this] { backend_changed(); };
    fleet_.on_change = [this] { reports_->refresh_targets(); };
    fleet_.on_report = [this](const node_report& report) {
        placement_.set_load(report.node, report.load);
    };
}

void mesh_node::impl::backend_changed()
{
    const auto state = monitor_.state(clock::now());
    log(log_level::info, "backend_changed",
        {{"id", monitor_.id()},
         {"state", to_string(state)},
         {"slots", monitor_.slots()}});
    gate_->backend_changed();
    reports_->refresh_targets();
    if (link_)
        link_->announce();
}

void mesh_node::impl::on_call_refused(
    const call_context& request, const service_name& service)
{
    if (request.is_call)
        gate_->record_call_refusal(service);
    else
        shedding_.record_downstream_refusal(
            request.route_name, request.priority, service, clock::now());
}

bool mesh_node::impl::is_ready() const
{
    return has_joined_ && config_.current() && !is_stopping_;
}

result<void> mesh_node::impl::listen(
    http_server& server, const mesh_settings::address& address,
    std::string_view role)
{
    BOOST_OUTCOME_TRY(const auto bound, server.listen(address));
    log(log_level::info, "listening",
        {{"role", role}, {"address", format_address(bound)}});
    return boost::outcome_v2::success();
}

void mesh_node::impl::reload(const mesh_settings& settings)
{
    auto next = settings_;
    next.log_lines = settings.log_lines;
    log(log_level::info, "reloaded",
        {{"changed", next != settings_}, {"needs_restart", settings != next}});
    settings_ = next;
    set_log_budget(settings_.log_lines);
}

result<void> mesh_node::impl::start(std::function<void()> tick_action)
{
    if (sodium_init() < 0)
        return fail(errc::internal, "start", {}, "libsodium");
    const auto refuse = [](int status) {
        return streamed_response{status, {}, 0, empty_body()};
    };
    ready_server_ = std::make_unique<http_server>(
        executor_, http_limits{},
        adapter_.ready_handler([this] { return is_ready(); }), refuse);
    heartbeat_server_ = std::make_unique<http_server>(
        executor_, http_limits{},
        adapter_.backend_handler(
            {[this](const backend_heartbeat& beat) {
                 return monitor_.receive(beat, clock::now());
             },
             [this](const backend_leave& leave) {
                 monitor_.receive(leave, clock::now());
             },
             [this] {
                 departure_link_->announce();
                 return departure_archive_->wait_until_stored();
             }}),
        refuse);
    create_components();
    metrics_server_ = std::make_unique<http_server>(
        executor_, http_limits{},
        [this](http_request request) {
            return serve_metrics(std::move(request));
        },
        refuse);
    http_limits limits;
    limits.max_connections = max_caller_connections;
    limits.max_pipelined = max_pipelined;
    callers_ = std::make_unique<http_server>(
        executor_, limits,
        [this](http_request request) {
            return entry_->handle(std::move(request));
        },
        [this](int status) { return entry_->refuse_malformed(status); });
    BOOST_OUTCOME_TRYV(listen(*ready_server_, settings_.ready, "ready"));
    BOOST_OUTCOME_TRYV(
        listen(*heartbeat_server_, settings_.heartbeats, "heartbeats"));
    BOOST_OUTCOME_TRYV(listen(*metrics_server_, settings_.metrics, "metrics"));
    BOOST_OUTCOME_TRYV(listen(*callers_, settings_.callers, "callers"));
    subscriptions_.push_back(timers_.every(
        tick_period, [this, action = std::move(tick_action)](time_point) {
            reports_->refresh();
            probe_processor();
            if (has_joined_ && !is_stopping_)
                follower_->check_age();
            if (action)
                action();
        }));
    timers_.on_earlier_due = [this] { wake_up_.cancel(); };
    asio::co_spawn(executor_, drive_timers(), asio::detached);
    asio::co_spawn(executor_, join(), asio::detached);
    log(log_level::info, "started",
        {{"name", settings_.name},
         {"service", settings_.service},
         {"availability_zone", settings_.zone}});
    return boost::outcome_v2::success();
}

void mesh_node::impl::create_components()
{
    config_follower::dependencies following;
    following.store = adapter_.store.get();
    following.config = &config_;
    following.fleet = &fleet_;
    following.metrics = &metrics_;
    following.random = random_numbers();
    following.on_config = [this](const service_map& newest) {
        apply_limits(newest.limits());
    };
    follower_ =
        std::make_unique<config_follower>(executor_, std::move(following));

    fleet_link::dependencies link;
    link.fleet = &fleet_;
    link.config = &config_;
    link.ledger = &ledger_;
    link.timers = &timers_;
    link.newer_config_seen = [this] {
        // Before it has joined, the node is reading the newest one anyway.
        if (has_joined_)
            follower_->check_now();
    };
    link.own_report = [this] { return reports_->own_report(); };
    link.unresponsive_nodes = [this](duration limit) {
        return placement_.unresponsive_nodes(limit, clock::now());
    };
    link.peers = [this] { return peer_client_.get(); };
    link_ = std::make_unique<fleet_link>(executor_, std::move(link));

    suspect_link::dependencies suspect_reporting;
    suspect_reporting.fleet = &fleet_;
    suspect_reporting.suspects = &suspects_;
    suspect_reporting.timers = &timers_;
    suspect_reporting.peers = [this] { return peer_client_.get(); };
    suspect_link_ =
        std::make_unique<suspect_link>(executor_, std::move(suspect_reporting));

    suspect_archive::dependencies archiving;
    archiving.store = adapter_.store.get();
    archiving.suspects = &suspects_;
    archiving.timers = &timers_;
    archiving.self = settings_.name;
    suspect_archive_ =
        std::make_unique<suspect_archive>(executor_, std::move(archiving));

    departure_archive::dependencies departing;
    departing.store = adapter_.store.get();
    departing.monitor = &monitor_;
    departing.timers = &timers_;
    departing.self = settings_.name;
    departing.era_check_period = [this] { return era_check_period(); };
    departure_archive_ =
        std::make_unique<departure_archive>(executor_, std::move(departing));

    departure_link::dependencies copying;
    copying.fleet = &fleet_;
    copying.monitor = &monitor_;
    copying.timers = &timers_;
    copying.peers = [this] { return peer_client_.get(); };
    departure_link_ =
        std::make_unique<departure_link>(executor_, std::move(copying));

    store_recovery::dependencies recovering;
    recovering.store = adapter_.store.get();
    recovering.fleet = &fleet_;
    recovering.metrics = &metrics_;
    recovering.peers = [this] { return peer_client_.get(); };
    recovering.random = random_numbers();
    recovering.store_acknowledged = [this] {
        departure_archive_->update();
        suspect_archive_->update();
    };
    recovering.restore_row = [this] { return registration_->restore(); };
    store_recovery_ =
        std::make_unique<store_recovery>(executor_, std::move(recovering));

    forwarder::dependencies forwarding;
    forwarding.self = settings_.name;
    forwarding.fleet = &fleet_;
    forwarding.target_placement = &placement_;
    forwarding.budget = &budget_;
    forwarding.throttle = &throttle_;
    forwarding.suspects = &suspects_;
    forwarding.format = &adapter_.format;
    forwarding.peers = [this] { return peer_client_.get(); };
    forwarding.gate = gate_;
    forwarding.metrics = &metrics_;
    forwarding.cost_of = [this](const service_name& service) {
        return reports_->cost_of(service);
    };
    forwarding.call_refused =
        [this](const call_context& request, const service_name& service) {
            on_call_refused(request, service);
        };
    forwarding.call_failed =
        [this](const instance_name& node, const error& problem) {
            link_->handle_call_failure(node, problem);
        };
    forwarder_ = std::make_unique<forwarder>(std::move(forwarding));

    caller_entry::dependencies entry;
    entry.own_service = settings_.service;
    entry.config = &config_;
    entry.splits = &splits_;
    entry.tokens = &tokens_;
    entry.link = link_.get();
    entry.request_forwarder = forwarder_.get();
    entry.suspects = &suspects_;
    entry.format = &adapter_.format;
    entry.metrics = &metrics_;
    entry.shedding = &shedding_;
    entry.random = random_numbers();
    entry.count_call = [this](const service_name& service) {
        gate_->costs().count_call(reports_->cost_of(service));
    };
    entry_ = std::make_unique<caller_entry>(executor_, std::move(entry));
}

awaitable<void> mesh_node::impl::drive_timers()
{
    for (;;) {
        timers_.advance(clock::now());
        const auto due = timers_.next_due().value_or(time_point::max());
        wake_up_.expires_at(due);
        boost::system::error_code ignored;
        co_await wake_up_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        const auto now = clock::now();
        if (now >= due)
            record_timer_delay(now - due, now);
    }
}

void mesh_node::impl::probe_processor()
{
    const auto limit = static_cast<double>(gate_->load().limit);
    const bool is_busy =
        static_cast<double>(gate_->running()) > limit * busy_gate_usage;
    if (is_busy && !delay_probe_)
        delay_probe_ = timers_.every(delay_probe_period, [](time_point) {});
    else if (!is_busy)
        delay_probe_.reset();
}

/// Adapts the slots in use to the processor time that the node gets.
void mesh_node::impl::record_timer_delay(duration delay, time_point now)
{
    const bool was_limited = processor_.share() < 1;
    if (!processor_.record_delay(delay, now))
        return;
    gate_->set_slot_share(processor_.share());
    const bool is_limited = processor_.share() < 1;
    if (is_limited == was_limited)
        return;
    log(log_level::info, is_limited ? "processor_short" : "processor_regained",
        {{"delay_ms", to_milliseconds(delay)},
         {"running", gate_->running()},
         {"limit", gate_->load().limit}});
}

void mesh_node::impl::apply_limits(const connection_limits& limits)
{
    http_limits next;
    next.max_connections = max_caller_connections;
    next.max_pipelined = max_pipelined;
    next.max_header_bytes = limits.max_header_bytes;
    next.head_timeout = limits.header_timeout;
    next.keep_alive_timeout = limits.idle_timeout;
    callers_->set_limits(next);
}

result<void> mesh_node::impl::open_peers(const std::string& secret)
{
    const peer_identity identity{
        settings_.name, reports_->incarnation(), secret};
    peer_limits limits;
    limits.connect_timeout = milliseconds(400);
    limits.handshake_timeout = milliseconds(600);
    peer_client_ = std::make_unique<peer_client>(executor_, identity, limits);
    peer_server_ = std::make_unique<peer_server>(
        executor_, identity, limits, [this](peer_request request) {
            return serve_peer(std::move(request));
        });
    BOOST_OUTCOME_TRY(const auto bound, peer_server_->listen(settings_.peers));
    log(log_level::info, "listening",
        {{"role", "peers"}, {"address", format_address(bound)}});
    return boost::outcome_v2::success();
}

/// Reads the first configuration, signals `has_read` and queries the health of
/// the backend server.
awaitable<void> mesh_node::impl::read_config(cancel_event has_read)
{
    co_await follower_->read_first();
    has_read.cancel();
    co_await query_backend_health();
}

/// The backend server may have kept running while the node restarted, and its
/// next heartbeat can be a whole period away. An answer to a health check names
/// no service, so it counts only shortly after the start: later the address may
/// belong to another service.
awaitable<void> mesh_node::impl::query_backend_health()
{
    const bool is_too_late =
        clock::now() - started_at_ > settings_.heartbeat_period;
    if (is_too_late || is_stopping_ || !config_.current() ||
        !monitor_.needs_health())
        co_return;
    const auto path = config_.current()->health_path(settings_.service);
    if (path.empty())
        co_return;
    const auto health = co_await gate_->query_health(std::string(path));
    if (health)
        monitor_.receive(*health, clock::now());
}

awaitable<void> mesh_node::impl::join()
{
    const cancel_event has_read(executor_);
    asio::co_spawn(executor_, read_config(has_read), asio::detached);
    const auto entry = co_await registration_->enter();
    suspect_archive_->load(entry.suspects);
    departure_archive_->load(entry.departures);
    monitor_.end_store_restore();
    const auto opened = open_peers(entry.secret);
    if (!opened) {
        log(log_level::error, "start_failed",
            {{"error", to_string(opened.error())}});
        std::exit(1);
    }
    // Only now: reports go to all known nodes, and need the peer client.
    for (const auto& row : entry.nodes)
        fleet_.learn(row, clock::now());
    reports_->refresh_targets();
    link_->start();
    suspect_link_->start();
    suspect_archive_->start();
    departure_archive_->start();
    departure_link_->start();
    asio::co_spawn(executor_, restore_departures(), asio::detached);
    co_await has_read.wait();
    follower_->start();
    asio::co_spawn(
        executor_, registration_->keep([this] { return row_check_period(); }),
        asio::detached);
    has_joined_ = true;
    log(log_level::info, "joined",
        {{"nodes", fleet_.members().size()},
         {"life", reports_->incarnation()}});
}

/// Reads the departures that other nodes keep for this one. Only then a
/// heartbeat makes the backend server ready.
awaitable<void> mesh_node::impl::restore_departures()
{
    co_await departure_link_->read_copies();
    monitor_.end_restore();
}

/// Returns a time that is random, so that nodes that start together don't read
/// the store together, and longer in large fleets, whose reads are larger.
duration mesh_node::impl::row_check_period()
{
    const auto nodes = static_cast<std::int64_t>(fleet_.members().size());
    const auto period =
        std::max(settings_.row_check_period, nodes * row_check_per_node);
    const auto jitter = random_() % static_cast<std::uint64_t>(period.count());
    return period + milliseconds(jitter);
}

duration mesh_node::impl::era_check_period() const
{
    const auto nodes = static_cast<std::int64_t>(fleet_.members().size());
    return std::max(min_era_check_period, nodes * era_check_per_node);
}

awaitable<streamed_response>
mesh_node::impl::serve_metrics(http_request request)
{
    streamed_response answer;
    answer.status = 404;
    std::string text;
    if (request.message.target == "/metrics") {
        mesh_gauges gauges;
        gauges.config_version = static_cast<double>(config_.version());
        const auto age = config_.age(suspended_clock_now());
        if (age)
            gauges.config_age_s = to_seconds(*age);
        gauges.running = static_cast<double>(gate_->running());
        gauges.waiting = static_cast<double>(gate_->waiting());
        gauges.limit = static_cast<double>(gate_->load().limit);
        gauges.rate_limit = gate_->rate_limit().value_or(gauges.rate_limit);
        gauges.pressure = gate_->pressure().level();
        gauges.suspects = static_cast<double>(suspects_.size());
        for (const auto& [name, member] : fleet_.members()) {
            gauges.nodes_known += 1;
            gauges.nodes_reachable += member.is_reachable ? 1 : 0;
        }
        text = metrics_.text(gauges);
        answer.status = 200;
    }
    answer.headers = {{"content-type", "text/plain; version=0.0.4"}};
    answer.content_length = text.size();
    answer.body = string_body(std::move(text));
    co_return answer;
}

/// Answers a control message of another node.
awaitable<streamed_response>
mesh_node::impl::serve_control(peer_request request)
{
    auto& message = request.message;
    const auto name = message.target.substr(control_prefix.size());
    auto text = co_await read_body(std::move(message.body), max_control_bytes);
    if (!text)
        co_return make_control_answer(text);
    if (name == suspects_message)
        co_return make_control_answer(suspect_link_->receive(text.value()));
    if (name == departures_message)
        co_return make_control_answer(
            departure_link_->receive(request.from, text.value()));
    if (name == store_era_message)
        co_return make_control_answer(store_recovery_->receive(text.value()));
    if (name == departures_query)
        co_return make_control_answer(departure_link_->copies_of(request.from));
    co_return make_control_answer(link_->handle_message(name, text.value()));
}

awaitable<streamed_response> mesh_node::impl::serve_peer(peer_request request)
{
    auto& message = request.message;
    const auto host = find_header(message.headers, "host");
    if (host == "control" && message.target.starts_with(control_prefix))
        co_return co_await serve_control(std::move(request));
    auto context = take_call_context(message.headers, clock::now());
    if (!context) {
        log(log_level::warning, "call_malformed",
            {{"peer", request.from}, {"error", to_string(context.error())}});
        co_return encode_node_answer(
            {node_refusal::bad_request, true, false, std::nullopt});
    }
    if (has_left_) {
        co_return encode_node_answer(
            {node_refusal::draining, true, false, std::nullopt});
    }
    context.value().request_id = adapter_.format.request_id(message.headers);
    const cancel_event canceled(executor_);
    request.on_cancel([canceled] { canceled.cancel(); });
    co_return co_await gate_->serve(
        std::move(context.value()), std::move(message), canceled);
}

mesh_node::mesh_node(
    asio::io_context& context, mesh_settings settings, mesh_adapter adapter)
    : impl_(std::make_unique<impl>(
          context, std::move(settings), std::move(adapter)))
{
}

mesh_node::~mesh_node() = default;

result<void> mesh_node::start()
{
    return impl_->start(on_tick);
}

void mesh_node::reload(const mesh_settings& settings)
{
    impl_->reload(settings);
}

void mesh_node::stop(std::function<void()> on_stopped)
{
    impl_->stop(std::move(on_stopped));
}

} // namespace fulmarjunction
