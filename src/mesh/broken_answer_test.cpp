// End-to-end tests of backend servers that send broken answers, with complete
// nodes on loopback: no caller gets such an answer, at the node beside the
// backend server or at another one.

#include <mesh/mesh_test_fleet.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>

using namespace fulmarjunction::test;
using namespace std::string_literals;

namespace {

/// Backend server that sends the same bytes in answer to each request.
class raw_backend : public std::enable_shared_from_this<raw_backend>
{
public:
    /// @param answer bytes in which `ID` stands for the id of the request
    /// @param resets whether the connection is reset after the answer, without
    ///        reading the rest of the request
    raw_backend(const tcp::endpoint& address, std::string answer, bool resets)
        : acceptor_(io(), address), answer_(std::move(answer)), resets_(resets)
    {
    }

    void start()
    {
        asio::co_spawn(io(), accept(shared_from_this()), asio::detached);
    }

    int requests() const { return requests_; }

private:
    static fj::awaitable<void> accept(std::shared_ptr<raw_backend> self)
    {
        for (;;) {
            auto socket = co_await self->acceptor_.async_accept(use_awaitable);
            asio::co_spawn(
                io(), serve(self, std::move(socket)), asio::detached);
        }
    }

    static fj::awaitable<void>
    serve(std::shared_ptr<raw_backend> self, tcp::socket socket)
    {
        std::string input;
        for (;;) {
            const auto size = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(input), "\r\n\r\n", use_awaitable);
            const auto answer = self->answer_to(input.substr(0, size));
            input.erase(0, size);
            ++self->requests_;
            co_await asio::async_write(
                socket, asio::buffer(answer), use_awaitable);
            if (self->resets_) {
                socket.set_option(asio::socket_base::linger(true, 0));
                socket.close();
                co_return;
            }
        }
    }

    std::string answer_to(const std::string& head) const
    {
        constexpr std::string_view name = "\r\nid: ";
        constexpr std::string_view placeholder = "ID";
        const auto at = head.find(name) + name.size();
        const auto id = head.substr(at, head.find("\r\n", at) - at);
        auto answer = answer_;
        auto found = answer.find(placeholder);
        while (found != std::string::npos) {
            answer.replace(found, placeholder.size(), id);
            found = answer.find(placeholder, found + id.size());
        }
        return answer;
    }

    tcp::acceptor acceptor_;
    std::string answer_;
    bool resets_ = false;
    int requests_ = 0;
};

/// Fleet in which only the backend server of the third node serves `/open/`.
struct raw_fleet
{
    raw_fleet(std::string answer, bool resets) : fleet(make_fleet())
    {
        fleet.instances[1]->send_heartbeat(true);
        auto& replaced = *fleet.instances[2];
        replaced.backend->close();
        backend = std::make_shared<raw_backend>(
            replaced.settings.backend, std::move(answer), resets);
        backend->start();
    }

    test_fleet& fleet;
    std::shared_ptr<raw_backend> backend;
};

/// Nodes to which the requests are sent: one without the backend server, and
/// the one beside it.
constexpr std::size_t entries[] = {0, 2};

/// Sends the body of an upload until the connection fails.
fj::awaitable<void> send_upload(std::shared_ptr<tcp::socket> socket)
{
    constexpr int max_pieces = 4096;
    constexpr std::size_t piece_size = 1024;
    const auto piece =
        fmt::format("{:x}\r\n{}\r\n", piece_size, std::string(piece_size, 'x'));
    boost::system::error_code failure;
    for (int sent = 0; sent < max_pieces && !failure; ++sent) {
        co_await asio::async_write(
            *socket, asio::buffer(piece),
            asio::redirect_error(use_awaitable, failure));
    }
}

/// Starts an upload and returns what arrives until the connection ends.
fj::awaitable<std::string> upload(tcp::endpoint node)
{
    const auto socket = std::make_shared<tcp::socket>(io());
    co_await socket->async_connect(node, use_awaitable);
    const auto head = "POST /open/1 HTTP/1.1\r\nhost: h\r\nid: upload\r\n"
                      "transfer-encoding: chunked\r\n\r\n"s;
    co_await asio::async_write(*socket, asio::buffer(head), use_awaitable);
    asio::co_spawn(io(), send_upload(socket), asio::detached);
    std::string answer;
    boost::system::error_code ignored;
    co_await asio::async_read(
        *socket, asio::dynamic_buffer(answer),
        asio::redirect_error(use_awaitable, ignored));
    socket->close();
    co_return answer;
}

} // namespace

// Guards against a part of an answer that a caller gets as a complete one, when
// the backend server resets the connection while the request is still sent.
TEST_CASE("an answer that is reset during an upload is not complete")
{
    constexpr int rounds = 200;
    raw_fleet broken("HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\npart", true);
    for (const auto entry : entries) {
        int complete = 0;
        int cut = 0;
        for (int round = 0; round < rounds; ++round) {
            broken.fleet.instances[2]->send_heartbeat();
            const auto answer =
                run(upload(broken.fleet.instances[entry]->settings.callers));
            const bool is_success = answer.starts_with("HTTP/1.1 200");
            const bool is_complete = answer.ends_with("0\r\n\r\n");
            complete += is_success && is_complete ? 1 : 0;
            cut += is_success && !is_complete ? 1 : 0;
        }
        INFO("entry " << entry << ", cut " << cut << " of " << rounds);
        CHECK(complete == 0);
        CHECK(cut > 0);
    }
}

// Guards against a caller that gets an answer without a status, or the body of
// such an answer as an answer of its own.
TEST_CASE("an answer with the status 000 is not passed on")
{
    const auto forged = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n"
                        "content-length: 6\r\n\r\nforged"s;
    for (const auto& answer :
         {"HTTP/1.1 000 Trouble\r\nid: ID\r\ncontent-length: 0\r\n\r\n"s,
          "HTTP/1.1 000 Trouble\r\nid: ID\r\n\r\n"s + forged}) {
        raw_fleet broken(answer, false);
        for (const auto entry : entries) {
            const auto received = broken.fleet.send("/open/1", "", entry);
            CHECK(received.status == 502);
            CHECK(received.body.empty());
        }
    }
}

// Guards against a caller that gets an answer whose head other parsers read in
// another way, with the line that makes the difference or with another body.
TEST_CASE("an answer whose field name has a blank or control byte is refused")
{
    for (const auto& line :
         {"se al: s"s, "seal : s"s, "se\001al: s"s, "se\0al: s"s,
          "content-length : 0"s, "content-length\x0b: 0"s,
          "transfer-encoding : chunked"s}) {
        raw_fleet broken(
            "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n" + line +
                "\r\ncontent-length: 4\r\n\r\nbody",
            false);
        for (const auto entry : entries) {
            const auto received = broken.fleet.send("/open/1", "", entry);
            CHECK(received.status == 502);
            CHECK(received.body.empty());
        }
    }
}

// Guards against a backend server that gets requests although its answer to the
// health check was cut off.
TEST_CASE("a health answer that is cut off does not count")
{
    auto& fleet = make_fleet();
    auto& added = fleet.start_with_health_endpoint("n4", "films");
    added.backend->close();
    const auto backend = std::make_shared<raw_backend>(
        added.settings.backend,
        "HTTP/1.1 200 OK\r\nrun: n4-run\r\ncontent-length: 9\r\n\r\npart",
        true);
    backend->start();
    run_until([&] { return backend->requests() == 1 && added.is_ready(); });
    const auto received = fleet.send("/films/1", "", 3);
    CHECK(received.status == 503);
    CHECK(backend->requests() == 1);
}
