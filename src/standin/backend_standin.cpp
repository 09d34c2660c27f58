#include "json_response.hpp"
#include "run_record.hpp"
#include "slot_pool.hpp"

#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/core/field_reader.hpp>
#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/standin/backend_standin.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/deferred.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/parallel_group.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <unistd.h>
#include <utility>

namespace fulmarjunction {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using detail::make_json_response;
using detail::run_plan;
using detail::run_record;
using detail::slot_pool;

constexpr milliseconds default_call_timeout(30'000);
constexpr std::size_t body_chunk_size = 16 * 1024;
constexpr std::string_view body_pattern = "fulmarjunction-";

awaitable<void> sleep_for(duration delay)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    co_await timer.async_wait(asio::use_awaitable);
}

// Notifies a run that its caller has canceled the request.
class cancellation
{
public:
    explicit cancellation(const asio::any_io_executor& executor)
        : timer_(executor, asio::steady_timer::time_point::max())
    {
    }

    void cancel()
    {
        canceled_ = true;
        timer_.cancel();
    }

    bool is_canceled() const { return canceled_; }

    awaitable<void> wait_canceled()
    {
        boost::system::error_code ignored;
        if (!canceled_)
            co_await timer_.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
    }

private:
    asio::steady_timer timer_;
    bool canceled_ = false;
};

// How the reported load is derived from the measured one.
enum class load_mode
{
    truthful,
    frozen,
    inverted
};

std::optional<load_mode> parse_load_mode(std::string_view name)
{
    if (name == "true")
        return load_mode::truthful;
    if (name == "frozen")
        return load_mode::frozen;
    if (name == "inverted")
        return load_mode::inverted;
    return std::nullopt;
}

// Faults that `POST /standin/control` sets for all requests.
struct control_state
{
    milliseconds work{0};
    bool draining = false;
    /// Load to report instead of the measured one, if set.
    std::optional<double> load;
    load_mode mode = load_mode::truthful;
    double frozen_load = 0;
};

// One run. It holds its slot until the answer has ended, and then completes its
// record.
struct active_run
{
    active_run(
        slot_pool::slot held_slot, std::shared_ptr<run_record> history_record,
        std::shared_ptr<cancellation> caller_cancellation)
        : slot(std::move(held_slot)), record(std::move(history_record)),
          cancel_state(std::move(caller_cancellation))
    {
    }
    ~active_run()
    {
        record->ended_us = detail::record_time_us();
        record->canceled = !record->completed && cancel_state->is_canceled();
    }
    active_run(const active_run&) = delete;
    active_run& operator=(const active_run&) = delete;

    slot_pool::slot slot;
    std::shared_ptr<run_record> record;
    std::shared_ptr<cancellation> cancel_state;
};

// Streams a body of a repeated pattern. The run ends with the body.
class pattern_body
{
public:
    pattern_body(std::shared_ptr<active_run> run, const run_plan& plan)
        : run_(std::move(run)), remaining_(plan.body_bytes),
          truncate_at_(plan.truncate ? plan.body_bytes / 2 : 0),
          truncate_(plan.truncate), chunk_interval_(plan.chunk_interval)
    {
        run_->record->completed =
            remaining_ == 0 && !truncate_ && !run_->cancel_state->is_canceled();
    }

    awaitable<result<std::size_t>> read(asio::mutable_buffer buffer)
    {
        if (truncate_ && remaining_ <= truncate_at_)
            co_return fail(errc::truncated, "backend stand-in");
        if (remaining_ == 0)
            co_return std::size_t{0};
        if (chunk_interval_ > milliseconds(0))
            co_await sleep_for(chunk_interval_);
        const auto limit = truncate_ ? remaining_ - truncate_at_ : remaining_;
        const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(
            limit, std::min(buffer.size(), body_chunk_size)));
        fill(static_cast<char*>(buffer.data()), size);
        remaining_ -= size;
        // The server stops at the content length, without a final read that
        // returns 0.
        if (remaining_ == 0)
            run_->record->completed = true;
        co_return size;
    }

private:
    void fill(char* target, std::size_t size)
    {
        for (std::size_t i = 0; i != size; ++i) {
            target[i] = body_pattern[position_];
            position_ = (position_ + 1) % body_pattern.size();
        }
    }

    std::shared_ptr<active_run> run_;
    std::uint64_t remaining_;
    std::uint64_t truncate_at_;
    bool truncate_;
    milliseconds chunk_interval_;
    std::size_t position_ = 0;
};

streamed_response make_not_run(std::string_view reason)
{
    auto response = make_json_response(503, json::object{{"error", reason}});
    response.headers.push_back({"fulmar-not-run", "1"});
    return response;
}

std::string header_or_empty(const header_fields& fields, std::string_view name)
{
    return std::string(find_header(fields, name).value_or(std::string_view()));
}

milliseconds call_timeout(const header_fields& headers)
{
    const auto text = find_header(headers, "fulmar-timeout-ms");
    std::int64_t number = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), number).ec !=
            std::errc() ||
        number <= 0)
        return default_call_timeout;
    return std::min(milliseconds(number), default_call_timeout);
}

awaitable<result<void>> discard_body(body_reader body)
{
    std::array<char, body_chunk_size> chunk{};
    for (;;) {
        const auto size = co_await body(asio::buffer(chunk));
        if (!size)
            co_return size.error();
        if (size.value() == 0)
            co_return boost::outcome_v2::success();
    }
}

} // namespace

class backend_standin::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(const asio::any_io_executor& executor, backend_standin_options options)
        : executor_(executor), options_(std::move(options)),
          node_(executor, options_.node, {}),
          slots_(std::make_shared<slot_pool>(executor, options_.slots)),
          announce_timer_(executor),
          server_(
              executor, {},
              [this](http_request request) {
                  return handle(std::move(request));
              },
              [](int status) {
                  return make_json_response(
                      status, json::object{{"error", "malformed"}});
              })
    {
    }

    result<asio::ip::tcp::endpoint> start()
    {
        BOOST_OUTCOME_TRY(address_, server_.listen(options_.listen));
        ready_at_ = clock::now() + options_.start_delay;
        asio::co_spawn(
            executor_, announce_periodically(shared_from_this()),
            asio::detached);
        return address_;
    }

    static awaitable<result<void>>
    drain(std::shared_ptr<impl> self, milliseconds limit)
    {
        constexpr milliseconds poll_interval(10);
        const auto deadline = clock::now() + limit;
        self->control_.draining = true;
        co_await self->announce();
        // The node may have sent a request before it received the announcement.
        co_await sleep_for(self->options_.announce_interval);
        while (self->server_.requests_in_flight() != 0) {
            if (clock::now() >= deadline)
                co_return fail(errc::timeout, "drain");
            co_await sleep_for(poll_interval);
        }
        co_return boost::outcome_v2::success();
    }

    void close()
    {
        closed_ = true;
        announce_timer_.cancel();
        server_.close();
        node_.close();
    }

private:
    static awaitable<void> announce_periodically(std::shared_ptr<impl> self)
    {
        boost::system::error_code ignored;
        if (self->options_.start_delay > milliseconds(0)) {
            self->announce_timer_.expires_after(self->options_.start_delay);
            co_await self->announce_timer_.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
        while (!self->closed_) {
            co_await self->announce();
            if (self->closed_)
                co_return;
            self->announce_timer_.expires_after(
                self->options_.announce_interval);
            co_await self->announce_timer_.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    awaitable<void> announce()
    {
        auto text = json::serialize(announcement());
        streamed_request request;
        request.method = "POST";
        request.target = "/fulmar/announce";
        request.headers.push_back({"host", format_address(options_.node)});
        request.headers.push_back({"content-type", "application/json"});
        request.content_length = text.size();
        request.body = string_body(std::move(text));
        const auto deadline = clock::now() + options_.announce_interval;
        auto answer = co_await node_.send(std::move(request), deadline);
        const bool accepted = answer && answer.value().status < 300;
        if (answer)
            static_cast<void>(
                co_await discard_body(std::move(answer.value().body)));
        if (accepted != announced_) {
            log(accepted ? log_level::info : log_level::warning,
                accepted ? "announced" : "announce_failed",
                {{"service", options_.service},
                 {"node", format_address(options_.node)}});
        }
        announced_ = accepted;
    }

    json::value announcement() const
    {
        return json::object{
            {"service", options_.service},
            {"address", format_address(address_)},
            {"slots", options_.slots},
            {"load", reported_load()},
            {"draining", control_.draining}};
    }

    double measured_load() const
    {
        return static_cast<double>(slots_->used() + slots_->waiting()) /
               static_cast<double>(slots_->size());
    }

    double reported_load() const
    {
        const double load = control_.load.value_or(measured_load());
        if (control_.mode == load_mode::frozen)
            return control_.frozen_load;
        if (control_.mode == load_mode::inverted)
            return std::max(0.0, 1.0 - load);
        return load;
    }

    awaitable<streamed_response> handle(http_request request)
    {
        const std::string_view target = request.message.target;
        if (target == "/standin/history")
            co_return make_json_response(200, history_.to_json());
        if (target == "/standin/control")
            co_return co_await set_control(std::move(request));
        if (clock::now() < ready_at_)
            co_return make_not_run("starting");
        auto plan = detail::parse_run_plan(target);
        if (!plan)
            co_return make_json_response(
                400, json::object{{"error", plan.error().detail}});
        if (plan.value().refuse)
            co_return make_not_run("refused");
        co_return co_await handle_run(
            std::move(request), std::move(plan.value()));
    }

    awaitable<streamed_response> set_control(http_request request)
    {
        constexpr std::size_t max_size = 64 * 1024;
        const auto body =
            co_await read_body(std::move(request.message.body), max_size);
        boost::system::error_code failure;
        const auto document =
            json::parse(body ? body.value() : std::string(), failure);
        const auto applied = apply_control(document);
        if (!body || failure || !applied)
            co_return make_json_response(
                400, json::object{{"error", "control"}});
        co_return make_json_response(200, announcement());
    }

    result<void> apply_control(const json::value& document)
    {
        constexpr std::int64_t max_work_ms = 3'600'000;
        constexpr double max_load = 1000;
        field_reader fields(document, {}, "parse control");
        auto next = control_;
        next.work = milliseconds(
            fields.integer("work_ms", 0, max_work_ms, next.work.count()));
        next.draining = fields.boolean("draining", next.draining);
        if (fields.find("load") != nullptr)
            next.load = fields.number("load", 0, max_load);
        if (fields.find("load_mode") != nullptr) {
            const auto mode = parse_load_mode(fields.text("load_mode"));
            if (!mode)
                fields.refuse("load_mode", "true, frozen or inverted");
            next.mode = mode.value_or(next.mode);
            next.frozen_load = next.load.value_or(measured_load());
        }
        BOOST_OUTCOME_TRYV(fields.finish());
        control_ = next;
        return boost::outcome_v2::success();
    }

    awaitable<streamed_response> handle_run(http_request request, run_plan plan)
    {
        using namespace asio::experimental::awaitable_operators;
        const auto cancel_state = std::make_shared<cancellation>(executor_);
        // Weak, because the connection may exist long after the run.
        request.on_cancel([weak = std::weak_ptr<cancellation>(cancel_state)] {
            if (const auto held = weak.lock())
                held->cancel();
        });
        auto body = std::move(request.message.body);
        const auto received = co_await discard_body(std::move(body));
        if (!received)
            co_return make_json_response(400, json::object{{"error", "body"}});
        auto ended = co_await (
            run(std::move(request.message), std::move(plan), cancel_state) ||
            cancel_state->wait_canceled());
        if (ended.index() == 1)
            co_return make_json_response(
                500, json::object{{"error", "canceled"}});
        co_return std::get<0>(std::move(ended));
    }

    awaitable<streamed_response>
    run(streamed_request request, run_plan plan,
        std::shared_ptr<cancellation> cancel_state)
    {
        auto slot = co_await slots_->acquire();
        if (!slot)
            co_return make_not_run("canceled");
        auto active = std::make_shared<active_run>(
            std::move(*slot), history_.add(make_record(request, plan)),
            cancel_state);
        slot.reset();
        if (plan.crash)
            crash(plan);
        if (plan.hang) {
            co_await cancel_state->wait_canceled();
            co_return make_not_run("canceled");
        }
        const auto work = plan.work + control_.work;
        if (work > milliseconds(0))
            co_await sleep_for(work);
        if (!co_await make_calls(request, plan)) {
            active->record->completed = true;
            co_return make_json_response(
                502, json::object{{"error", "child call failed"}});
        }
        co_return make_answer(std::move(active), plan);
    }

    run_record
    make_record(const streamed_request& request, const run_plan& plan) const
    {
        run_record record;
        record.id = plan.id;
        record.target = request.target;
        record.account = header_or_empty(request.headers, "fulmar-account");
        record.started_us = detail::record_time_us();
        record.headers = request.headers;
        return record;
    }

    [[noreturn]] static void crash(const run_plan& plan)
    {
        constexpr int crash_status = 70;
        log(log_level::error, "crash", {{"id", plan.id}});
        // As in a real crash, nothing is closed or flushed.
        ::_exit(crash_status);
    }

    static streamed_response
    make_answer(std::shared_ptr<active_run> active, const run_plan& plan)
    {
        streamed_response response;
        response.status = plan.status;
        response.headers.push_back(
            {"content-type", "application/octet-stream"});
        response.content_length = plan.body_bytes;
        const auto body =
            std::make_shared<pattern_body>(std::move(active), plan);
        response.body = [body](asio::mutable_buffer buffer) {
            return body->read(buffer);
        };
        return response;
    }

    awaitable<bool>
    make_calls(const streamed_request& request, const run_plan& plan)
    {
        if (plan.parallel && plan.calls.size() > 1)
            co_return co_await make_parallel_calls(request, plan);
        for (const auto& target : plan.calls) {
            if (!co_await call(make_child(request, plan, target), request))
                co_return false;
        }
        co_return true;
    }

    awaitable<bool>
    make_parallel_calls(const streamed_request& request, const run_plan& plan)
    {
        const auto start = [&](const std::string& target) {
            return asio::co_spawn(
                executor_, call(make_child(request, plan, target), request),
                asio::deferred);
        };
        std::vector<decltype(start(std::string()))> calls;
        for (const auto& target : plan.calls)
            calls.push_back(start(target));
        auto [order, failures, answers] =
            co_await asio::experimental::make_parallel_group(std::move(calls))
                .async_wait(
                    asio::experimental::wait_for_all(), asio::use_awaitable);
        for (std::size_t i = 0; i != answers.size(); ++i) {
            if (failures[i] || !answers[i])
                co_return false;
        }
        co_return true;
    }

    streamed_request make_child(
        const streamed_request& request, const run_plan& plan,
        const std::string& target) const
    {
        streamed_request child;
        child.method = plan.call_method;
        child.target = target;
        child.headers.push_back({"host", format_address(options_.node)});
        const auto parent = find_header(request.headers, "fulmar-parent");
        if (parent)
            child.headers.push_back({"fulmar-parent", std::string(*parent)});
        child.content_length = 0;
        child.body = empty_body();
        return child;
    }

    awaitable<bool> call(streamed_request child, const streamed_request& parent)
    {
        constexpr int first_failure = 400;
        const auto deadline = clock::now() + call_timeout(parent.headers);
        auto answer = co_await node_.send(std::move(child), deadline);
        if (!answer)
            co_return false;
        const auto discarded =
            co_await discard_body(std::move(answer.value().body));
        co_return discarded&& answer.value().status < first_failure;
    }

    asio::any_io_executor executor_;
    backend_standin_options options_;
    asio::ip::tcp::endpoint address_;
    time_point ready_at_;
    control_state control_;
    http_client node_;
    std::shared_ptr<slot_pool> slots_;
    detail::run_history history_;
    asio::steady_timer announce_timer_;
    bool announced_ = false;
    bool closed_ = false;
    http_server server_;
};

backend_standin::backend_standin(
    const asio::any_io_executor& executor, backend_standin_options options)
    : impl_(std::make_shared<impl>(executor, std::move(options)))
{
}

backend_standin::~backend_standin()
{
    close();
}

result<asio::ip::tcp::endpoint> backend_standin::start()
{
    return impl_->start();
}

awaitable<result<void>> backend_standin::drain(milliseconds limit)
{
    return impl::drain(impl_, limit);
}

void backend_standin::close()
{
    impl_->close();
}

} // namespace fulmarjunction
