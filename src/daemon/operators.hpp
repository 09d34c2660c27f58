/// @file
/// HTTP endpoints for operators: metrics, health, status and drain.
#pragma once

#include "node_state.hpp"

#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/serving/egress.hpp>

#include <prometheus/registry.h>

#include <functional>
#include <memory>

namespace fulmarjunction {

/// Components whose state the operators' endpoints report.
struct operator_view
{
    const node_state* state = nullptr;
    const entry* entry_handler = nullptr;
    const egress* egress_handler = nullptr;
    const backend_gate* gate = nullptr;
    const dispatcher* call_dispatcher = nullptr;
    const peer_counters* peer_server_counters = nullptr;
    const peer_counters* peer_client_counters = nullptr;
    std::function<bool()> is_stopping;
    std::function<void()> drain;
};

/// Serves `GET /metrics`, `GET /healthz`, `GET /status` and `POST /drain`.
class operator_api
{
public:
    explicit operator_api(operator_view view);

    awaitable<streamed_response> handle(http_request request);

private:
    std::string metrics();
    std::string status() const;
    void set_counter(
        const std::string& name, const std::string& help,
        const std::map<std::string, std::string>& labels, double value);
    void
    set_gauge(const std::string& name, const std::string& help, double value);
    void collect_requests();
    void collect_state();
    void collect_peers();

    operator_view view_;
    std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace fulmarjunction
