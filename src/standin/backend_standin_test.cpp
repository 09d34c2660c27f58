#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/standin/backend_standin.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace fj = fulmarjunction;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// The answer that a caller received.
struct test_answer
{
    bool complete = false;
    int status = 0;
    std::string body;
    bool not_run = false;
};

/// Target and timeout of a request.
struct test_request
{
    std::string target;
    fj::milliseconds timeout = fj::seconds(10);
};

// A backend server stand-in and a fake node that records its requests.
class fixture
{
public:
    explicit fixture(std::size_t slots = 4)
        : node_(
              io_.get_executor(), {},
              [this](fj::http_request request) {
                  return handle_node_request(std::move(request));
              },
              [](int status) {
                  fj::streamed_response response;
                  response.status = status;
                  response.body = fj::empty_body();
                  return response;
              })
    {
        const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
        fj::backend_standin_options options;
        options.service = "notes";
        options.node = node_.listen(any).value();
        options.listen = any;
        options.slots = slots;
        options.announce_interval = fj::milliseconds(20);
        backend_.emplace(io_.get_executor(), options);
        address_ = backend_->start().value();
    }

    ~fixture()
    {
        backend_->close();
        node_.close();
    }

    // Sends all requests concurrently and returns the answers in order.
    std::vector<test_answer> send(const std::vector<test_request>& requests)
    {
        std::vector<test_answer> answers(requests.size());
        std::size_t remaining = requests.size();
        for (std::size_t i = 0; i != requests.size(); ++i)
            asio::co_spawn(
                io_,
                exchange(requests[i].target, requests[i].timeout, answers[i]),
                [&remaining](const std::exception_ptr& thrown) {
                    if (thrown)
                        std::rethrow_exception(thrown);
                    --remaining;
                });
        while (remaining != 0)
            io_.run_one();
        return answers;
    }

    test_answer send(const std::string& target)
    {
        return send(std::vector<test_request>{{target}})[0];
    }

    json::array history()
    {
        return json::parse(send("/standin/history").body).as_array();
    }

    void run_for(fj::milliseconds time) { io_.run_for(time); }

    // Waits for an announcement that was sent after the last control call. The
    // first one may have been in flight during that call.
    json::object last_announcement()
    {
        announcements.clear();
        while (announcements.size() < 2)
            io_.run_one();
        return announcements.back();
    }

    void control(std::string text)
    {
        body_ = std::move(text);
        CHECK(send("/standin/control").status == 200);
        body_.clear();
    }

    fj::result<void> drain()
    {
        std::optional<fj::result<void>> drained;
        asio::co_spawn(
            io_, drain_into(drained), [](const std::exception_ptr&) {});
        while (!drained)
            io_.run_one();
        return *drained;
    }

    std::vector<json::object> announcements;
    /// Parent tokens of the child calls, by target.
    std::multimap<std::string, std::string> calls;

private:
    fj::awaitable<void> drain_into(std::optional<fj::result<void>>& drained)
    {
        drained.emplace(co_await backend_->drain(fj::seconds(5)));
    }

    fj::awaitable<fj::streamed_response>
    handle_node_request(fj::http_request request)
    {
        constexpr std::size_t max_size = 10'000;
        const auto body =
            co_await fj::read_body(std::move(request.message.body), max_size);
        const auto& target = request.message.target;
        if (target == "/fulmar/announce")
            announcements.push_back(json::parse(body.value()).as_object());
        else
            calls.emplace(
                target,
                fj::find_header(request.message.headers, "fulmar-parent")
                    .value_or("none"));
        fj::streamed_response response;
        response.status = target == "/fail" ? 503 : 200;
        response.content_length = 0;
        response.body = fj::empty_body();
        co_return response;
    }

    fj::awaitable<void> exchange(
        std::string target, fj::milliseconds timeout, test_answer& received)
    {
        fj::http_client client(io_.get_executor(), address_, {});
        fj::streamed_request request;
        request.method = "POST";
        request.target = std::move(target);
        request.headers = {
            {"host", "test"},
            {"fulmar-parent", "token"},
            {"fulmar-account", "anand"}};
        request.content_length = body_.size();
        request.body = fj::string_body(body_);
        auto answer = co_await client.send(
            std::move(request), fj::clock::now() + timeout);
        if (!answer)
            co_return;
        received.status = answer.value().status;
        received.not_run =
            fj::find_header(answer.value().headers, "fulmar-not-run") == "1";
        constexpr std::size_t max_size = 1'000'000;
        const auto body =
            co_await fj::read_body(std::move(answer.value().body), max_size);
        received.complete = body.has_value();
        if (body)
            received.body = body.value();
    }

    asio::io_context io_;
    fj::http_server node_;
    std::optional<fj::backend_standin> backend_;
    asio::ip::tcp::endpoint address_;
    std::string body_;
};

// Returns the maximum number of runs in the history that overlapped.
std::size_t max_concurrent_runs(const json::array& history)
{
    std::size_t max_count = 0;
    for (const auto& run : history) {
        const auto start = run.at("started_us").as_int64();
        std::size_t count = 0;
        for (const auto& other : history) {
            if (other.at("started_us").as_int64() <= start &&
                other.at("ended_us").as_int64() > start)
                ++count;
        }
        max_count = std::max(max_count, count);
    }
    return max_count;
}

} // namespace

// Guards against tests whose faults are not injected or whose runs are not
// recorded.
TEST_CASE("a request chooses status and body, and is recorded", "[standin]")
{
    fixture fixture;
    const auto got = fixture.send("/a?id=r1&status=201&body_bytes=40000");
    CHECK(got.status == 201);
    CHECK(got.complete);
    CHECK(got.body.size() == 40000);
    CHECK(got.body.substr(0, 16) == "fulmarjunction-f");
    const auto history = fixture.history();
    REQUIRE(history.size() == 1);
    const auto& run = history[0].as_object();
    CHECK(run.at("id") == "r1");
    CHECK(run.at("account") == "anand");
    CHECK(run.at("completed") == true);
    CHECK(run.at("canceled") == false);
    CHECK(run.at("ended_us").as_int64() >= run.at("started_us").as_int64());
    // With an ignored misspelt parameter a test would pass without its fault.
    CHECK(fixture.send("/a?crahs=1").status == 400);
    CHECK(fixture.send("/a?work_ms=-1").status == 400);
}

// Guards against a refused request that is run or recorded all the same.
TEST_CASE("a refused request has not run", "[standin]")
{
    fixture fixture;
    const auto got = fixture.send("/a?refuse=1");
    CHECK(got.status == 503);
    CHECK(got.not_run);
    CHECK(fixture.history().empty());
}

// Guards against more concurrent runs than the backend server announces slots.
TEST_CASE("no more requests run than there are slots", "[standin]")
{
    fixture fixture(2);
    const std::vector<test_request> requests(6, {"/a?work_ms=30"});
    for (const auto& got : fixture.send(requests))
        CHECK(got.complete);
    const auto history = fixture.history();
    CHECK(history.size() == 6);
    CHECK(max_concurrent_runs(history) == 2);
}

// Guards against a truncated body that its caller takes for a complete one.
TEST_CASE("a truncated body is not a complete answer", "[standin]")
{
    fixture fixture;
    const auto got = fixture.send("/a?body_bytes=100000&truncate=1");
    CHECK_FALSE(got.complete);
    CHECK(fixture.history()[0].at("completed") == false);
}

// Guards against a slot that stays occupied after its caller has canceled.
TEST_CASE("a canceled request frees its slot", "[standin]")
{
    fixture fixture(1);
    const auto hung = fixture.send(
        std::vector<test_request>{{"/a?id=h&hang=1", fj::milliseconds(100)}});

    CHECK_FALSE(hung[0].complete);
    CHECK(fixture.send("/a?id=next").complete);
    const auto history = fixture.history();
    REQUIRE(history.size() == 2);
    CHECK(history[0].at("canceled") == true);
    CHECK(history[0].at("completed") == false);
    CHECK(history[1].at("completed") == true);
}

// Guards against a run of a request that was canceled while it was queued.
TEST_CASE("a request canceled in the queue never runs", "[standin]")
{
    fixture fixture(1);
    const auto got = fixture.send(std::vector<test_request>{
        {"/a?id=1&work_ms=300"}, {"/a?id=2", fj::milliseconds(100)}});
    CHECK(got[0].complete);
    CHECK_FALSE(got[1].complete);
    CHECK(fixture.send("/a?id=3").complete);
    for (const auto& run : fixture.history())
        CHECK(run.at("id") != "2");
}

// Guards against child calls without the parent token, and against calls that
// are sent although an earlier one has failed.
TEST_CASE("child calls carry the parent's token", "[standin]")
{
    fixture fixture;
    CHECK(fixture.send("/a?call=%2Fb%3Fx%3D1&call=/c").status == 200);
    CHECK(fixture.calls.count("/b?x=1") == 1);
    CHECK(fixture.calls.find("/c")->second == "token");
    CHECK(fixture.send("/a?call=/d&call=/e&parallel=1").status == 200);
    CHECK(fixture.calls.size() == 4);
    CHECK(fixture.send("/a?call=/fail&call=/f").status == 502);
    CHECK(fixture.calls.count("/f") == 0);
    CHECK(fixture.send("/a?call=/fail&call=/g&parallel=1").status == 502);
    CHECK(fixture.calls.count("/g") == 1);
}

// Guards against announcements that do not contain the load and drain state set
// by a control call.
TEST_CASE("announcements contain the state set by control calls", "[standin]")
{
    fixture fixture;
    auto seen = fixture.last_announcement();
    CHECK(seen.at("service") == "notes");
    CHECK(seen.at("slots").to_number<int>() == 4);
    CHECK(seen.at("load").to_number<double>() == 0);
    CHECK(seen.at("draining") == false);
    CHECK(fj::parse_address(std::string(seen.at("address").as_string())));

    fixture.control(R"({"load": 0.25, "load_mode": "inverted"})");
    CHECK(fixture.last_announcement().at("load").as_double() == 0.75);
    fixture.control(R"({"load_mode": "frozen", "draining": true})");
    seen = fixture.last_announcement();
    CHECK(seen.at("load").as_double() == 0.25);
    CHECK(seen.at("draining") == true);
}

// Guards against a drain that is not announced to the node.
TEST_CASE("a drain is announced and waits for requests in flight", "[standin]")
{
    fixture fixture;
    CHECK(fixture.drain());
    CHECK(fixture.announcements.back().at("draining") == true);
}
