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

/// What a caller got.
struct reply
{
    bool complete = false;
    int status = 0;
    std::string body;
    bool not_run = false;
};

/// What a caller sends, and how long it waits.
struct question
{
    std::string target;
    fj::milliseconds timeout = fj::seconds(10);
};

// A backend stand-in beside a node that records what it is asked.
class fixture
{
public:
    explicit fixture(std::size_t slots = 4)
        : node_(
              io_.get_executor(), {},
              [this](fj::http_request request) {
                  return answer_as_node(std::move(request));
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

    // Sends all questions at once and returns the replies in order.
    std::vector<reply> send(const std::vector<question>& questions)
    {
        std::vector<reply> replies(questions.size());
        std::size_t left = questions.size();
        for (std::size_t i = 0; i != questions.size(); ++i)
            asio::co_spawn(
                io_, ask(questions[i].target, questions[i].timeout, replies[i]),
                [&left](const std::exception_ptr& thrown) {
                    if (thrown)
                        std::rethrow_exception(thrown);
                    --left;
                });
        while (left != 0)
            io_.run_one();
        return replies;
    }

    reply send(const std::string& target)
    {
        return send(std::vector<question>{{target}})[0];
    }

    json::array history()
    {
        return json::parse(send("/standin/history").body).as_array();
    }

    void run_for(fj::milliseconds span) { io_.run_for(span); }

    // Waits until the node knows what the last control call set.
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
    /// Targets and parents of child calls.
    std::multimap<std::string, std::string> calls;

private:
    fj::awaitable<void> drain_into(std::optional<fj::result<void>>& drained)
    {
        drained.emplace(co_await backend_->drain(fj::seconds(5)));
    }

    fj::awaitable<fj::streamed_response>
    answer_as_node(fj::http_request request)
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

    fj::awaitable<void>
    ask(std::string target, fj::milliseconds timeout, reply& got)
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
        got.status = answer.value().status;
        got.not_run =
            fj::find_header(answer.value().headers, "fulmar-not-run") == "1";
        constexpr std::size_t max_size = 1'000'000;
        const auto body =
            co_await fj::read_body(std::move(answer.value().body), max_size);
        got.complete = body.has_value();
        if (body)
            got.body = body.value();
    }

    asio::io_context io_;
    fj::http_server node_;
    std::optional<fj::backend_standin> backend_;
    asio::ip::tcp::endpoint address_;
    std::string body_;
};

// Returns the most runs of the history that overlapped.
std::size_t most_at_once(const json::array& history)
{
    std::size_t most = 0;
    for (const auto& run : history) {
        const auto at = run.at("started_us").as_int64();
        std::size_t count = 0;
        for (const auto& other : history) {
            if (other.at("started_us").as_int64() <= at &&
                other.at("ended_us").as_int64() > at)
                ++count;
        }
        most = std::max(most, count);
    }
    return most;
}

} // namespace

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
    // A misspelt parameter must not make a test pass without its fault.
    CHECK(fixture.send("/a?crahs=1").status == 400);
    CHECK(fixture.send("/a?work_ms=-1").status == 400);
}

TEST_CASE("a refused request has not run", "[standin]")
{
    fixture fixture;
    const auto got = fixture.send("/a?refuse=1");
    CHECK(got.status == 503);
    CHECK(got.not_run);
    CHECK(fixture.history().empty());
}

TEST_CASE("no more requests run than there are slots", "[standin]")
{
    fixture fixture(2);
    const std::vector<question> questions(6, {"/a?work_ms=30"});
    for (const auto& got : fixture.send(questions))
        CHECK(got.complete);
    const auto history = fixture.history();
    CHECK(history.size() == 6);
    CHECK(most_at_once(history) == 2);
}

TEST_CASE("a truncated body is no whole answer", "[standin]")
{
    fixture fixture;
    const auto got = fixture.send("/a?body_bytes=100000&truncate=1");
    CHECK_FALSE(got.complete);
    CHECK(fixture.history()[0].at("completed") == false);
}

TEST_CASE("a canceled request frees its slot", "[standin]")
{
    fixture fixture(1);
    const auto hung = fixture.send(
        std::vector<question>{{"/a?id=h&hang=1", fj::milliseconds(100)}});

    CHECK_FALSE(hung[0].complete);
    CHECK(fixture.send("/a?id=next").complete);
    const auto history = fixture.history();
    REQUIRE(history.size() == 2);
    CHECK(history[0].at("canceled") == true);
    CHECK(history[0].at("completed") == false);
    CHECK(history[1].at("completed") == true);
}

TEST_CASE("a request canceled in the queue never runs", "[standin]")
{
    fixture fixture(1);
    const auto got = fixture.send(std::vector<question>{
        {"/a?id=1&work_ms=300"}, {"/a?id=2", fj::milliseconds(100)}});
    CHECK(got[0].complete);
    CHECK_FALSE(got[1].complete);
    CHECK(fixture.send("/a?id=3").complete);
    for (const auto& run : fixture.history())
        CHECK(run.at("id") != "2");
}

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

TEST_CASE("announcements follow the control calls", "[standin]")
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

TEST_CASE("drain announces it and waits for what is in flight", "[standin]")
{
    fixture fixture;
    CHECK(fixture.drain());
    CHECK(fixture.announcements.back().at("draining") == true);
}
