// The planned stop of a node.

#include "mesh_node_impl.hpp"

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/serving/wait_until.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace fulmarjunction {

namespace asio = boost::asio;

namespace {

/// The platform needs two readiness checks, one second apart, to notice that a
/// node is not ready. Until then it keeps sending callers.
constexpr milliseconds readiness_lag(2600);
/// Fraction of the stop limit during which peers may still use the backend
/// server of a stopping node. The node has to wait for its callers anyway, and
/// its slots are missing until it is back. The last requests have the rest of
/// the limit.
constexpr double serve_peers_fraction = 0.35;
/// Fraction of the stop limit after which the node takes only requests whose
/// deadline lies before its last answer. Those before have the rest of the
/// limit, which is more than nearly all requests need.
constexpr double last_start_fraction = 0.5;
/// Fraction of the stop limit after which the requests that still run are
/// broken off. The rest serves to pass on what their callers' connections still
/// wait for.
constexpr double last_answer_fraction = 0.84;
/// Fraction of the stop limit after which the node ends.
constexpr double finish_fraction = 0.87;

} // namespace

bool mesh_node::impl::is_idle() const
{
    return callers_->requests_in_flight() == 0 && gate_->running() == 0 &&
           gate_->waiting() == 0;
}

void mesh_node::impl::stop(std::function<void()> on_stopped)
{
    if (std::exchange(is_stopping_, true))
        return;
    log(log_level::info, "stopping",
        {{"running", gate_->running()},
         {"callers", callers_->requests_in_flight()}});
    asio::co_spawn(executor_, run_stop(std::move(on_stopped)), asio::detached);
}

void mesh_node::impl::leave_fleet()
{
    has_left_ = true;
    fleet_.begin_leave();
    reports_->refresh_targets();
    if (!has_joined_)
        return;
    link_->announce_leave();
    asio::co_spawn(executor_, registration_->leave(), asio::detached);
}

awaitable<void> mesh_node::impl::run_stop(std::function<void()> on_stopped)
{
    const auto started_at = clock::now();
    const auto limit_s = to_seconds(settings_.stop_limit);
    const auto last_start_at =
        started_at + from_seconds(limit_s * last_start_fraction);
    const auto finish_deadline =
        started_at + from_seconds(limit_s * finish_fraction);
    const auto last_answer_at =
        started_at + from_seconds(limit_s * last_answer_fraction);
    co_await wait_until(
        executor_,
        [this] { return monitor_.state(clock::now()) != backend_state::ready; },
        started_at + from_seconds(limit_s * serve_peers_fraction));
    leave_fleet();
    // Callers keep arriving until the platform has noticed.
    co_await wait_until(executor_, nullptr, started_at + readiness_lag);
    callers_->begin_drain();
    // The node must still forward the calls of requests that run at its backend
    // server.
    const auto is_gate_idle = [this] { return gate_->running() == 0; };
    co_await wait_until(executor_, is_gate_idle, last_start_at);
    if (is_gate_idle())
        callers_->begin_shutdown();
    // Connections close when their callers have read the last answers.
    const auto is_finished = [this] {
        return is_idle() && callers_->connections() == 0;
    };
    co_await wait_until(executor_, is_finished, last_start_at);
    entry_->begin_stop(last_answer_at);
    co_await wait_until(executor_, is_gate_idle, last_answer_at);
    callers_->begin_shutdown();
    co_await wait_until(executor_, is_finished, last_answer_at);
    entry_->break_off_requests();
    co_await wait_until(executor_, is_finished, finish_deadline);
    log(log_level::info, "stopped",
        {{"seconds", to_seconds(clock::now() - started_at)},
         {"unfinished", callers_->requests_in_flight()}});
    on_stopped();
}

} // namespace fulmarjunction
