/// @file
/// Admission to the node's own backend server.
#pragma once

#include <fulmarjunction/admission/admission.hpp>
#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/request_context.hpp>
#include <fulmarjunction/core/timer_service.hpp>
#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/serving/body.hpp>
#include <fulmarjunction/serving/cancel_event.hpp>
#include <fulmarjunction/serving/context_codec.hpp>
#include <fulmarjunction/serving/crash_detector.hpp>
#include <fulmarjunction/serving/in_flight.hpp>
#include <fulmarjunction/serving/suspect_turns.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarjunction {

/// Announcement of a backend server.
struct backend_report
{
    service_name service;
    boost::asio::ip::tcp::endpoint address;
    std::size_t slots = 0;
    /// Reported load in [0, 1]; a hint.
    double load = 0;
    bool draining = false;
};

/// Admits requests and passes them to the backend server.
class backend_gate : public std::enable_shared_from_this<backend_gate>
{
public:
    /// @param timers drives the admission's periodic work
    /// @param suspects requests that may crash the backend server
    /// @param levels levels of the downstream services
    backend_gate(
        const boost::asio::any_io_executor& executor,
        const admission_settings& settings, timer_service& timers,
        suspect_list& suspects, endpoint_levels& levels);
    ~backend_gate();
    backend_gate(const backend_gate&) = delete;
    backend_gate& operator=(const backend_gate&) = delete;

    /// Records an announcement of the backend server.
    void record_announcement(const backend_report& announcement);

    /// Returns the last announcement while it is younger than three seconds.
    const backend_report* backend() const;

    /// Runs one call. The answer carries its metadata (see
    /// `take_answer_metadata`).
    /// @param canceled cancels the call while it waits or runs
    awaitable<streamed_response> serve(
        request_context context, streamed_request request,
        cancel_event canceled);

    /// Marks the time in which a running request waits for a downstream call.
    /// Admission does not count this time as the backend server's.
    void call_started(std::uint64_t id);
    void call_ended(std::uint64_t id);

    /// Returns the level that this node applies for the downstream services.
    service_level downstream_level(const request_context& context) const;

    in_flight_table& running() { return running_; }
    std::size_t waiting() const { return admission_.waiting(); }
    std::size_t in_flight() const { return admission_.in_flight(); }
    std::size_t limit() const { return admission_.limit(); }

    /// Called at each announcement and when announcements have stopped.
    std::function<void()> on_announcement;

private:
    struct waiter;
    class run_guard;

    /// What is known of the content of a request.
    struct identified_content
    {
        fingerprint print = 0;
        /// Whether the fingerprint covers the whole body.
        bool is_whole = true;
    };

    void apply(const admission_events& events);
    void finish(std::uint64_t id, completion result);
    awaitable<std::optional<refusal>>
    admit(admission_request offered, cancel_event canceled);
    awaitable<streamed_response>
    run(request_context context, streamed_request request,
        cancel_event canceled, std::uint64_t id,
        const identified_content& content);
    awaitable<streamed_response>
    pass_on(std::shared_ptr<run_guard> guard, streamed_request request);
    streamed_response failed_answer(run_guard& guard, const error& problem);
    answer_metadata metadata_of(const running_request& request) const;
    admission_level level_for(const request_context& context) const;
    void crashed(const crash_report& report);
    void check_for_crash();

    boost::asio::any_io_executor executor_;
    admission_controller admission_;
    suspect_list& suspects_;
    endpoint_levels& levels_;
    suspect_turns turns_;
    std::shared_ptr<crash_detector> crashes_;
    in_flight_table running_;
    std::unique_ptr<http_client> client_;
    backend_report announcement_;
    time_point announced_at_{};
    bool was_ready_ = false;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
    timer_service::subscription tick_subscription_;
};

} // namespace fulmarjunction
