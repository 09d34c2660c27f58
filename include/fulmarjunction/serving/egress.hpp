/// @file
/// Calls and announcements of the node's own backend server.
#pragma once

#include <fulmarjunction/serving/entry.hpp>

namespace fulmarjunction {

/// Serves the node's own backend server on a loopback address.
class egress
{
public:
    struct dependencies
    {
        const catalog* config = nullptr;
        dispatcher* calls = nullptr;
        std::shared_ptr<backend_gate> gate;
        std::function<awaitable<call_answer>(
            outgoing_call call, retry_budget& budget, cancel_event canceled)>
            run_unique;
        std::function<issued_keys(
            const client_account& account, std::size_t count)>
            issue_keys;
    };

    egress(const boost::asio::any_io_executor& executor, dependencies deps);

    /// Answers one request of the backend server.
    awaitable<streamed_response> handle(http_request request);

    const serving_counters& counters() const { return counters_; }

private:
    awaitable<streamed_response> announce(body_reader body);
    awaitable<streamed_response>
    call_child(http_request request, std::shared_ptr<running_request> parent);
    awaitable<call_answer>
    run(const endpoint_definition& endpoint, http_request request,
        std::shared_ptr<running_request> parent);

    boost::asio::any_io_executor executor_;
    dependencies dependencies_;
    serving_counters counters_;
};

/// Parses an announcement.
/// @return `errc::malformed` with the field that is missing or out of range
result<backend_report> parse_announcement(std::string_view text);

} // namespace fulmarjunction
