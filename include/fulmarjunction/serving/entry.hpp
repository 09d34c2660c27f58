/// @file
/// The path of a request from a caller into the fleet.
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

/// Idempotency keys, or why none are issued.
using issued_keys = std::variant<std::vector<std::string>, refusal>;

/// What the entry asks other parts of the node.
struct entry_hooks
{
    /// Returns whether keys may be trusted: false when withdrawals may have
    /// been missed.
    std::function<bool()> is_fresh;
    /// Charges one request to an account; may wait for a token.
    /// @return nothing when charged, else why not
    std::function<awaitable<std::optional<refusal>>(
        client_account account, time_point deadline)>
        charge;
    /// Returns why a root cannot finish now, if so.
    std::function<std::optional<refusal>(const entry_root& root)> refuse_early;
    /// Returns the level that was applied for the services below.
    std::function<service_level(const entry_root& root)> downstream_level;
    /// Tells how a root ended.
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

/// Counts of requests by how they ended.
struct serving_counters
{
    std::uint64_t answered = 0;
    std::map<std::pair<outcome, refusal_reason>, std::uint64_t> refused;

    void count(const std::optional<refusal>& why);
};

/// Makes the answer that a caller or a backend server gets for a refusal.
streamed_response
caller_refusal(const refusal& why, const std::string& request_id);

/// Returns the path of a target, without its query.
std::string_view path_of(std::string_view target);

/// Makes the answer to a request for idempotency keys.
/// @param body `{"count":N}`, N from 1 to 1000
awaitable<streamed_response> answer_key_request(
    body_reader body, client_account account,
    std::function<issued_keys(const client_account&, std::size_t)> issue);

/// Serves callers.
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

    /// Answers bytes that are not an acceptable request.
    /// @param status 400, 413 or 431
    streamed_response refuse_malformed(int status);

    const serving_counters& counters() const { return counters_; }

private:
    /// Who sent a request, as its key says.
    struct caller_identity
    {
        client_account account;
        /// The key itself, to make sure that it goes no further.
        std::string key;
    };
    using identified = std::variant<caller_identity, refusal>;

    identified identify(const header_fields& headers) const;
    std::optional<refusal> check_access(
        const endpoint_definition& endpoint,
        const caller_identity& caller) const;
    /// Checks again, just before the request runs, what may have changed
    /// since it arrived.
    std::optional<refusal> check_again(
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
