/// @file
/// Entry of callers' requests into the fleet.
#pragma once

#include <fulmarjunction/admission/endpoint_levels.hpp>
#include <fulmarjunction/catalog/catalog.hpp>
#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/serving/dispatcher.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fulmarjunction {

/// Idempotency keys, or the reason why none are issued.
using issued_keys = std::variant<std::vector<std::string>, refusal>;

/// Calls from the entry into other components of the node.
struct entry_hooks
{
    /// Returns whether keys may be trusted; false if this node may have missed
    /// a key's withdrawal.
    std::function<bool()> is_fresh;
    /// Charges one request to an account; may wait for a token.
    /// @return nothing if charged, else the refusal
    std::function<awaitable<std::optional<refusal>>(
        client_account account, time_point deadline)>
        charge;
    /// Returns a refusal if the root cannot finish now.
    std::function<std::optional<refusal>(const entry_root& root)> refuse_early;
    /// Returns the level that this node applied for downstream services.
    std::function<service_level(const entry_root& root)> downstream_level;
    /// Reports the downstream observation of a root that has ended.
    std::function<void(
        const entry_root& root, const downstream_observation& seen)>
        ended;
    /// Runs a unique request at the issuer of its idempotency key.
    std::function<awaitable<call_answer>(
        outgoing_call call, retry_budget& budget, cancel_event canceled)>
        run_unique;
    /// Issues idempotency keys.
    std::function<issued_keys(const client_account& account, std::size_t count)>
        issue_keys;
};

/// Counts of requests by outcome and refusal reason.
struct serving_counters
{
    std::uint64_t answered = 0;
    std::map<std::pair<outcome, refusal_reason>, std::uint64_t> refused;

    void count(const std::optional<refusal>& details);
};

/// Makes the answer to a caller or a backend server for a refusal.
streamed_response
caller_refusal(const refusal& details, const std::string& request_id);

/// Returns the path of a target, without its query.
std::string_view path_of(std::string_view target);

/// Makes the answer to a request for idempotency keys.
/// @param body `{"count":N}`, N from 1 to 1000
awaitable<streamed_response> answer_key_request(
    body_reader body, client_account account,
    std::function<issued_keys(const client_account&, std::size_t)> issue);

/// Serves the requests of callers.
class entry
{
public:
    struct dependencies
    {
        const catalog* config = nullptr;
        dispatcher* calls = nullptr;
        std::string pepper;
        std::uint32_t extra_attempts = 2;
        entry_hooks hooks;
    };

    entry(const boost::asio::any_io_executor& executor, dependencies deps);

    /// Answers one request of a caller.
    awaitable<streamed_response> handle(http_request request);

    /// Answers a request that could not be parsed or is too large.
    /// @param status 400, 413 or 431
    streamed_response refuse_malformed(int status);

    const serving_counters& counters() const { return counters_; }

private:
    /// Sender of a request, identified by its key.
    struct caller_identity
    {
        client_account account;
        /// The key itself, to detect copies of it in forwarded parts.
        std::string key;
    };
    using identity_or_refusal = std::variant<caller_identity, refusal>;

    identity_or_refusal identify(const header_fields& headers) const;
    std::optional<refusal> check_access(
        const endpoint_definition& endpoint,
        const caller_identity& caller) const;
    /// Repeats, just before the request runs, the checks whose result may have
    /// changed since it arrived.
    std::optional<refusal> recheck_access(
        const endpoint_definition& endpoint,
        const caller_identity& caller) const;
    awaitable<streamed_response>
    serve_endpoint(const endpoint_definition& endpoint, http_request request);
    awaitable<streamed_response> serve_node_path(http_request request);
    awaitable<std::variant<outgoing_call, refusal>> prepare(
        const endpoint_definition& endpoint, const caller_identity& caller,
        streamed_request message);
    awaitable<call_answer>
    run(const endpoint_definition& endpoint, outgoing_call call,
        cancel_event canceled);
    streamed_response finish(call_answer answer, const std::string& id);

    boost::asio::any_io_executor executor_;
    dependencies dependencies_;
    serving_counters counters_;
};

} // namespace fulmarjunction
