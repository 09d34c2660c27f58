#include "operators.hpp"

#include <boost/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace fulmarjunction {

namespace json = boost::json;

namespace {

streamed_response
text_answer(int status, std::string_view type, std::string text)
{
    streamed_response answer;
    answer.status = status;
    answer.headers = {{"content-type", std::string(type)}};
    answer.content_length = text.size();
    answer.body = string_body(std::move(text));
    return answer;
}

std::string decision_name(freshness_decision decision)
{
    return std::string(to_string(decision));
}

} // namespace

operator_api::operator_api(operator_view view)
    : view_(std::move(view)),
      registry_(std::make_shared<prometheus::Registry>())
{
}

awaitable<streamed_response> operator_api::handle(http_request request)
{
    const auto path = path_of(request.message.target);
    const auto& method = request.message.method;
    if (method == "GET" && path == "/metrics")
        co_return text_answer(200, "text/plain; version=0.0.4", metrics());
    if (method == "GET" && path == "/healthz") {
        const bool is_stopping = view_.is_stopping();
        co_return text_answer(
            is_stopping ? 503 : 200, "text/plain",
            is_stopping ? "stopping\n" : "ok\n");
    }
    if (method == "GET" && path == "/status")
        co_return text_answer(200, "application/json", status());
    if (method == "POST" && path == "/drain") {
        view_.drain();
        co_return text_answer(202, "application/json", "{\"draining\":true}\n");
    }
    co_return text_answer(404, "text/plain", "not found\n");
}

std::string operator_api::status() const
{
    const auto now = clock::now();
    const auto& state = *view_.state;
    const auto* backend = view_.gate->backend();
    const auto lease = state.own_instance_row.lease_until();
    json::object document{
        {"name", state.self.name},
        {"incarnation", state.self.incarnation},
        {"region", state.self.region},
        {"availability_zone", state.self.zone},
        {"version", state.table_replica.version()},
        {"known_version", state.freshness_monitor.known_version()},
        {"freshness", decision_name(state.freshness_monitor.decide(now))},
        {"stopping", view_.is_stopping()},
        {"ready", backend != nullptr && !backend->draining},
        {"service", backend != nullptr ? backend->service : ""},
        {"lease_left_s", lease ? to_seconds(*lease - now) : 0.0},
        {"in_flight", view_.gate->in_flight()},
        {"waiting", view_.gate->waiting()},
        {"limit", view_.gate->limit()},
        {"instances", state.members.size()},
    };
    json::object services;
    for (const auto& service : state.members.services()) {
        json::array names;
        for (const auto& candidate : state.members.candidates(service))
            names.emplace_back(candidate.name);
        services[service] = std::move(names);
    }
    document["services"] = std::move(services);
    json::object accounts;
    for (const auto& account : state.config.accounts().accounts) {
        const auto held = state.rates.account_state(account.name, now);
        accounts[account.name] = json::object{
            {"claimed_shares", held.claimed_shares},
            {"wanted_shares", held.wanted_shares},
            {"tokens", held.level},
            {"lent", held.lent}};
    }
    document["accounts"] = std::move(accounts);
    return json::serialize(document) + "\n";
}

void operator_api::set_counter(
    const std::string& name, const std::string& help,
    const std::map<std::string, std::string>& labels, double value)
{
    auto& counter = prometheus::BuildCounter()
                        .Name(name)
                        .Help(help)
                        .Register(*registry_)
                        .Add(labels);
    counter.Increment(value - counter.Value());
}

void operator_api::set_gauge(
    const std::string& name, const std::string& help, double value)
{
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(*registry_)
        .Add({})
        .Set(value);
}

void operator_api::collect_requests()
{
    const auto collect = [this](
                             const std::string& listener,
                             const serving_counters& counters) {
        const std::string name = "fulmar_requests_total";
        const std::string help = "Requests by listener, outcome and reason.";
        set_counter(
            name, help,
            {{"listener", listener}, {"outcome", "answered"}, {"reason", ""}},
            static_cast<double>(counters.answered));
        for (const auto& [kind, count] : counters.refused) {
            set_counter(
                name, help,
                {{"listener", listener},
                 {"outcome", std::string(to_string(kind.first))},
                 {"reason", std::string(to_string(kind.second))}},
                static_cast<double>(count));
        }
    };
    collect("callers", view_.entry_handler->counters());
    collect("egress", view_.egress_handler->counters());
    set_counter(
        "fulmar_retries_total", "Attempts beyond the first of a call.", {},
        static_cast<double>(view_.call_dispatcher->retries()));
}

void operator_api::collect_state()
{
    const auto now = clock::now();
    const auto& state = *view_.state;
    set_gauge(
        "fulmar_in_flight", "Requests at the backend server.",
        static_cast<double>(view_.gate->in_flight()));
    set_gauge(
        "fulmar_waiting", "Requests that wait for admission.",
        static_cast<double>(view_.gate->waiting()));
    set_gauge(
        "fulmar_concurrency_limit", "Present limit of requests in flight.",
        static_cast<double>(view_.gate->limit()));
    set_gauge(
        "fulmar_table_version", "Version of the copy of the table.",
        static_cast<double>(state.table_replica.version()));
    set_gauge(
        "fulmar_fresh", "1 while keyed requests are served.",
        state.is_fresh(now) ? 1 : 0);
    set_gauge(
        "fulmar_instances", "Instances that this node knows.",
        static_cast<double>(state.members.size()));
    const auto lease = state.own_instance_row.lease_until();
    set_gauge(
        "fulmar_lease_left_seconds", "Time until the lease lapses.",
        lease ? to_seconds(*lease - now) : 0);
    const auto& rates = state.rates.counters();
    const std::string help = "Token events of the rate limiter by kind.";
    const std::pair<const char*, std::uint64_t> kinds[] = {
        {"admitted", rates.admitted},
        {"refused", rates.refused},
        {"waited", rates.waited},
        {"borrows_sent", rates.borrows_sent},
        {"tokens_borrowed", rates.tokens_borrowed},
        {"tokens_lent", rates.tokens_lent},
        {"lapses", rates.lapses},
    };
    for (const auto& [kind, count] : kinds) {
        set_counter(
            "fulmar_rate_events_total", help, {{"kind", kind}},
            static_cast<double>(count));
    }
}

void operator_api::collect_peers()
{
    const auto collect =
        [this](const std::string& side, const peer_counters& counters) {
            const std::pair<const char*, std::uint64_t> kinds[] = {
                {"connections_accepted", counters.connections_accepted},
                {"connections_opened", counters.connections_opened},
                {"handshakes_failed", counters.handshakes_failed},
                {"streams_opened", counters.streams_opened},
                {"streams_reset", counters.streams_reset},
                {"bytes_in", counters.bytes_in},
                {"bytes_out", counters.bytes_out},
            };
            for (const auto& [kind, count] : kinds) {
                set_counter(
                    "fulmar_peer_events_total", "Peer links by side and kind.",
                    {{"side", side}, {"kind", kind}},
                    static_cast<double>(count));
            }
        };
    collect("server", *view_.peer_server_counters);
    collect("client", *view_.peer_client_counters);
}

std::string operator_api::metrics()
{
    collect_requests();
    collect_state();
    collect_peers();
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace fulmarjunction
