#include <fulmarjunction/mesh/mesh_metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <unordered_map>

namespace fulmarjunction {

namespace {

/// Maximum number of routes with their own time series. Further routes share
/// one, which bounds the memory that a configuration of many routes takes.
constexpr std::size_t max_routes = 64;
const std::string other_routes = "other";

const prometheus::Histogram::BucketBoundaries request_bounds{
    0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6};

} // namespace

class mesh_metrics::impl
{
public:
    struct route_series
    {
        prometheus::Histogram* times = nullptr;
        std::unordered_map<std::string, prometheus::Counter*> answers;
    };

    template <class Metric>
    prometheus::Family<Metric>& family(
        prometheus::detail::Builder<Metric> builder, const char* name,
        const char* help)
    {
        return builder.Name(name).Help(help).Register(registry);
    }

    const std::string& route_label(const std::string& route)
    {
        if (routes.contains(route) || routes.size() < max_routes)
            return route;
        return other_routes;
    }

    void count(const std::string& route, const std::string& outcome)
    {
        const auto& name = route_label(route);
        auto& counter = routes[name].answers[outcome];
        if (counter == nullptr)
            counter = &answers.Add({{"route", name}, {"outcome", outcome}});
        counter->Increment();
    }

    void observe(const std::string& route, duration latency)
    {
        const auto& name = route_label(route);
        auto& times = routes[name].times;
        if (times == nullptr)
            times = &requests.Add({{"route", name}}, request_bounds);
        times->Observe(to_seconds(latency));
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& answers = family(
        prometheus::BuildCounter(), "fulmar_answers_total",
        "Answers to callers by route and outcome.");
    prometheus::Family<prometheus::Histogram>& requests = family(
        prometheus::BuildHistogram(), "fulmar_request_seconds",
        "Time from a request's arrival to its answer's head.");
    prometheus::Family<prometheus::Counter>& retries = family(
        prometheus::BuildCounter(), "fulmar_sent_on_total",
        "Requests that were sent to another instance, by reason.");
    prometheus::Family<prometheus::Histogram>& steps = family(
        prometheus::BuildHistogram(), "fulmar_step_seconds",
        "Time of a step of a request at this node.");
    prometheus::Family<prometheus::Counter>& store_calls = family(
        prometheus::BuildCounter(), "fulmar_store_calls_total",
        "Calls to the store by kind and result.");
    prometheus::Counter& crashes =
        family(
            prometheus::BuildCounter(), "fulmar_backend_crashes_total",
            "Crashes of the local backend server with requests in flight.")
            .Add({});
    prometheus::Counter& store_eras =
        family(
            prometheus::BuildCounter(), "fulmar_store_eras_total",
            "Times that the store has come back from an older copy.")
            .Add({});
    prometheus::Family<prometheus::Gauge>& gauges = family(
        prometheus::BuildGauge(), "fulmar_node",
        "State of the node; see the label `value`.");
    prometheus::Histogram& gate_seconds =
        steps.Add({{"step", "gate"}}, request_bounds);
    prometheus::Histogram& backend_seconds =
        steps.Add({{"step", "backend"}}, request_bounds);
    std::unordered_map<std::string, route_series> routes;
};

mesh_metrics::mesh_metrics() : impl_(std::make_unique<impl>()) {}

mesh_metrics::~mesh_metrics() = default;

void mesh_metrics::count_answer(
    const std::string& route, int status, duration latency)
{
    impl_->count(route, std::to_string(status));
    impl_->observe(route, latency);
}

void mesh_metrics::count_refusal(const std::string& route, node_refusal reason)
{
    impl_->count(route, std::string(to_string(reason)));
}

void mesh_metrics::count_retry(node_refusal reason)
{
    impl_->retries.Add({{"reason", std::string(to_string(reason))}})
        .Increment();
}

void mesh_metrics::count_backend_crash()
{
    impl_->crashes.Increment();
}

void mesh_metrics::count_store_era()
{
    impl_->store_eras.Increment();
}

void mesh_metrics::observe_gate_wait(duration time)
{
    impl_->gate_seconds.Observe(to_seconds(time));
}

void mesh_metrics::observe_backend_time(duration time)
{
    impl_->backend_seconds.Observe(to_seconds(time));
}

void mesh_metrics::count_store_call(const std::string& call, bool has_succeeded)
{
    impl_->store_calls
        .Add({{"call", call}, {"result", has_succeeded ? "ok" : "failed"}})
        .Increment();
}

std::string mesh_metrics::text(const mesh_gauges& values)
{
    const auto set = [this](const char* name, double value) {
        impl_->gauges.Add({{"value", name}}).Set(value);
    };
    set("config_version", values.config_version);
    set("config_age_seconds", values.config_age_s);
    set("running", values.running);
    set("waiting", values.waiting);
    set("limit", values.limit);
    set("rate_limit", values.rate_limit);
    set("pressure", values.pressure);
    set("nodes_known", values.nodes_known);
    set("nodes_reachable", values.nodes_reachable);
    set("suspects", values.suspects);
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace fulmarjunction
