/// @file
/// What operators see of a node: metrics, health and status.
#pragma once

#include "node_state.hpp"

#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/serving/egress.hpp>

#include <prometheus/registry.h>

#include <functional>
#include <memory>

namespace fulmarjunction {

/// Parts whose figures are shown.
struct operator_view
{
    const node_state* state = nullptr;
    const entry* callers = nullptr;
    const egress* own_calls = nullptr;
    const backend_gate* gate = nullptr;
    const dispatcher* calls = nullptr;
    const peer_counters* served_peers = nullptr;
    const peer_counters* called_peers = nullptr;
    std::function<bool()> is_stopping;
    std::function<void()> drain;
};

/// Answers operators: `/metrics`, `/healthz`, `/status` and `POST /drain`.
class operators
{
public:
    explicit operators(operator_view view);

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
