/// @file
/// Stand-ins for the scripts of the review: a store, backend servers, callers,
/// and a runner of fulmard processes. Everything uses blocking sockets on
/// loopback addresses and one thread per connection.
#pragma once

#include <boost/json.hpp>
#include <openssl/evp.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock::time_point start_time = clock::now();

inline long long now_ms()
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - start_time)
        .count();
}

inline void sleep_ms(long long ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(milliseconds(ms));
}

/// Sleeps until a time on the clock of `now_ms`.
inline void sleep_until(long long ms)
{
    sleep_ms(ms - now_ms());
}

/// Writes the events of a run to record.txt, one line each.
class recorder
{
public:
    void open(const std::string& path) { file_.open(path); }
    void write(const std::string& line)
    {
        const std::lock_guard guard(mutex_);
        file_ << now_ms() << " ms  " << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline recorder record;

// HTTP -----------------------------------------------------------------------

struct message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (key == name)
                return value;
        }
        return {};
    }
    /// Returns word `index` of the start line.
    std::string word(int index) const
    {
        std::size_t at = 0;
        for (; index > 0 && at != std::string::npos; --index) {
            at = start.find(' ', at);
            at += at == std::string::npos ? 0 : 1;
        }
        if (at == std::string::npos)
            return {};
        return start.substr(at, start.find(' ', at) - at);
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

class socket_stream
{
public:
    explicit socket_stream(int descriptor) : descriptor_(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~socket_stream() { close(); }
    socket_stream(const socket_stream&) = delete;
    socket_stream& operator=(const socket_stream&) = delete;

    static std::unique_ptr<socket_stream> connect(int port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto stream = std::make_unique<socket_stream>(descriptor);
        if (::connect(
                descriptor, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0)
            return nullptr;
        return stream;
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size = ::send(
                descriptor_, bytes.data() + sent, bytes.size() - sent,
                MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    /// Reads a message. The body of a response without a length ends with the
    /// connection.
    std::optional<message> read(clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return std::nullopt;
        }
        message found;
        std::string head = input_.substr(0, end + 2);
        input_.erase(0, end + 4);
        found.start = head.substr(0, head.find("\r\n"));
        head.erase(0, found.start.size() + 2);
        while (!head.empty()) {
            const auto line = head.substr(0, head.find("\r\n"));
            head.erase(0, line.size() + 2);
            const auto colon = line.find(':');
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            auto value = line.substr(std::min(colon + 1, line.size()));
            value.erase(0, value.find_first_not_of(' '));
            found.headers.emplace_back(name, value);
        }
        const bool is_whole = found.header("transfer-encoding") == "chunked"
                                  ? read_chunks(found.body, until)
                                  : read_length(found, until);
        if (!is_whole)
            return std::nullopt;
        return found;
    }

    /// Returns whether bytes arrive or the connection ends before `until`.
    bool wait(clock::time_point until)
    {
        return !input_.empty() || poll_input(until);
    }

    /// Returns whether the peer has closed the connection.
    bool is_closed()
    {
        char byte = 0;
        const auto size = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN);
    }

    /// Makes the close send a reset.
    void reset_on_close()
    {
        const linger now{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    void shutdown() { ::shutdown(descriptor_, SHUT_RDWR); }
    void close()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }
    int descriptor() const { return descriptor_; }

private:
    bool poll_input(clock::time_point until)
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - clock::now());
        pollfd waited{descriptor_, POLLIN, 0};
        const auto ms = std::clamp<long long>(left.count() + 1, 0, 600'000);
        return ::poll(&waited, 1, static_cast<int>(ms)) > 0;
    }

    bool fill(clock::time_point until)
    {
        if (!poll_input(until))
            return false;
        char buffer[16384];
        const auto size = recv(descriptor_, buffer, sizeof(buffer), 0);
        if (size <= 0)
            return false;
        input_.append(buffer, static_cast<std::size_t>(size));
        return true;
    }

    bool take(std::string& body, std::size_t size, clock::time_point until)
    {
        while (input_.size() < size) {
            if (!fill(until))
                return false;
        }
        body += input_.substr(0, size);
        input_.erase(0, size);
        return true;
    }

    bool read_length(message& found, clock::time_point until)
    {
        const auto text = found.header("content-length");
        const std::size_t size = text.empty() ? 0 : std::stoul(text);
        return take(found.body, size, until);
    }

    bool read_chunks(std::string& body, clock::time_point until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = input_.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return false;
            }
            const auto size = std::stoul(input_.substr(0, end), nullptr, 16);
            input_.erase(0, end + 2);
            std::string line_end;
            if (!take(body, size, until) || !take(line_end, 2, until))
                return false;
            if (size == 0)
                return true;
        }
    }

    int descriptor_;
    std::string input_;
};

inline std::string format_response(
    int status, const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body)
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Listens on a port and runs `serve` in a thread for each connection.
class listener
{
public:
    using handler = std::function<void(socket_stream&)>;

    listener(int port, handler serve) : serve_(std::move(serve))
    {
        descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(
                descriptor_, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0 ||
            listen(descriptor_, 512) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        accepting_ = std::thread([this] { accept_loop(); });
    }
    ~listener() { stop(); }

    /// Closes the port and resets all connections.
    void stop()
    {
        if (std::exchange(is_stopped_, true))
            return;
        ::shutdown(descriptor_, SHUT_RDWR);
        accepting_.join();
        ::close(descriptor_);
        {
            const std::lock_guard guard(mutex_);
            for (auto* open : open_) {
                open->reset_on_close();
                open->shutdown();
            }
        }
        while (running_ > 0)
            sleep_ms(1);
    }

private:
    void accept_loop()
    {
        for (;;) {
            const int accepted =
                accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            ++running_;
            std::thread([this, accepted] {
                {
                    socket_stream stream(accepted);
                    {
                        const std::lock_guard guard(mutex_);
                        open_.push_back(&stream);
                    }
                    serve_(stream);
                    const std::lock_guard guard(mutex_);
                    std::erase(open_, &stream);
                }
                --running_;
            }).detach();
        }
    }

    handler serve_;
    int descriptor_ = -1;
    bool is_stopped_ = false;
    std::thread accepting_;
    std::mutex mutex_;
    std::vector<socket_stream*> open_;
    std::atomic<int> running_ = 0;
};

/// Returns a free port below the range that the kernel hands out. Runs at the
/// same time use different ports.
inline int free_port()
{
    constexpr int ports_per_run = 300;
    constexpr int max_runs = 60;
    static int next = 12'000 + (getpid() % max_runs) * ports_per_run;
    for (;;) {
        const int port = ++next;
        const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool is_free = bind(
                                 probe, reinterpret_cast<sockaddr*>(&address),
                                 sizeof(address)) == 0;
        ::close(probe);
        if (is_free)
            return port;
    }
}

inline std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// The store -------------------------------------------------------------------

inline std::string to_base64(const std::string& data)
{
    std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(data.data()),
        static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

inline std::string percent_decode(const std::string& text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

/// The platform's store: rows with an empty part, transactions and the feed.
class store
{
public:
    store()
        : port(free_port()),
          listener_(port, [this](socket_stream& stream) { serve(stream); })
    {
    }

    /// Writes the configuration as the operator does.
    void put_config(const std::string& text)
    {
        const std::lock_guard guard(mutex_);
        rows_[{"op", "config"}] = {to_base64(text), ++version_, false};
        changed_.notify_all();
    }

    const int port;

private:
    struct row
    {
        std::string value;
        long long version = 0;
        bool is_removed = false;
    };
    using row_name = std::pair<std::string, std::string>;

    static json::object to_json(const row_name& name, const row& found)
    {
        json::object text{
            {"Table", name.first},
            {"part", ""},
            {"Key", name.second},
            {"Ver", found.version}};
        if (found.is_removed)
            text["Removed"] = true;
        else
            text["Value"] = found.value;
        return text;
    }

    std::string answer(int status, json::object body) const
    {
        body["Ver"] = version_;
        body["NowMs"] = 50'000 + now_ms();
        return format_response(
            status, {{"Content-Type", "application/json"}},
            json::serialize(body));
    }

    static std::map<std::string, std::string>
    parameters(const std::string& target)
    {
        std::map<std::string, std::string> found;
        auto rest = target.substr(std::min(target.find('?'), target.size()));
        while (!rest.empty()) {
            rest.erase(0, 1);
            const auto pair = rest.substr(0, rest.find('&'));
            rest.erase(0, pair.size());
            const auto equals = pair.find('=');
            if (equals != std::string::npos)
                found[pair.substr(0, equals)] =
                    percent_decode(pair.substr(equals + 1));
        }
        return found;
    }

    std::string get(const std::map<std::string, std::string>& query)
    {
        const std::lock_guard guard(mutex_);
        const auto value = [&](const char* name) {
            const auto found = query.find(name);
            return found == query.end() ? std::string() : found->second;
        };
        const auto limit =
            value("Limit").empty() ? 500 : std::stoul(value("Limit"));
        json::array found;
        bool has_more = false;
        for (const auto& [name, stored] : rows_) {
            if (name.first != value("Table") || stored.is_removed ||
                name.second < value("From") ||
                (!value("Target").empty() && name.second >= value("Target")))
                continue;
            has_more = found.size() == limit;
            if (has_more)
                break;
            found.push_back(to_json(name, stored));
        }
        return answer(200, {{"Rows", found}, {"HasMore", has_more}});
    }

    std::string
    feed(const std::map<std::string, std::string>& query, socket_stream& caller)
    {
        std::unique_lock guard(mutex_);
        const auto after = std::stoll(query.at("after"));
        const auto table = query.at("Table");
        const auto until =
            clock::now() + milliseconds(std::stoll(query.at("WaitMs")));
        for (;;) {
            json::array found;
            for (const auto& [name, stored] : rows_) {
                if (name.first == table && stored.version > after)
                    found.push_back(to_json(name, stored));
            }
            if (!found.empty() || clock::now() >= until || caller.is_closed())
                return answer(200, {{"Rows", found}});
            changed_.wait_for(guard, milliseconds(100));
        }
    }

    std::string commit(const std::string& body)
    {
        const std::lock_guard guard(mutex_);
        const auto transaction = json::parse(body).as_object();
        const auto name_of = [](const json::value& entry) {
            const auto& fields = entry.as_object();
            return row_name{
                std::string(fields.at("Table").as_string()),
                std::string(fields.at("Key").as_string())};
        };
        bool is_met = true;
        json::array current;
        for (const auto& condition : transaction.at("ExpectRev").as_array()) {
            const auto found = rows_.find(name_of(condition));
            const bool exists =
                found != rows_.end() && !found->second.is_removed;
            const auto expected =
                condition.as_object().at("Ver").to_number<long long>();
            is_met = is_met && (exists ? found->second.version : 0) == expected;
            if (exists)
                current.push_back(to_json(found->first, found->second));
        }
        if (!is_met)
            return answer(412, {{"Rows", current}});
        ++version_;
        for (const auto& write : transaction.at("Writes").as_array()) {
            rows_[name_of(write)] = {
                std::string(write.as_object().at("Value").as_string()),
                version_, false};
        }
        for (const auto& removal : transaction.at("Deletes").as_array())
            rows_[name_of(removal)] = {"", version_, true};
        changed_.notify_all();
        return answer(200, {});
    }

    void serve(socket_stream& stream)
    {
        for (;;) {
            const auto request =
                stream.read(clock::now() + std::chrono::minutes(5));
            if (!request)
                return;
            const auto target = request->word(1);
            const auto query = parameters(target);
            auto text = format_response(404, {}, "");
            if (target.starts_with("/rows-get"))
                text = get(query);
            else if (target.starts_with("/rows-feed"))
                text = feed(query, stream);
            else if (target.starts_with("/rows-tx"))
                text = commit(request->body);
            if (!stream.send(text))
                return;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_name, row> rows_;
    long long version_ = 0;
    listener listener_;
};

// Callers ---------------------------------------------------------------------

struct request
{
    std::string method = "GET";
    std::string host;
    std::string target;
    std::string id;
    std::string key;
    int deadline_ms = 5000;
    std::string body;
};

inline std::string format_request(const request& sent)
{
    auto text =
        sent.method + " " + sent.target + " HTTP/1.1\r\nHost: " + sent.host +
        "\r\nX-Attempt-Id: " + sent.id +
        "\r\nX-Deadline-Ms: " + std::to_string(sent.deadline_ms) + "\r\n";
    if (!sent.key.empty())
        text += "Authorization: Bearer " + sent.key + "\r\n";
    if (!sent.body.empty() || sent.method == "POST")
        text += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n";
    return text + "\r\n" + sent.body;
}

/// A caller that reuses its connection while it stays open.
class caller
{
public:
    explicit caller(int port) : port_(port) {}

    /// Sends a request and waits for the answer until the deadline.
    std::optional<message> send(const request& sent)
    {
        if (stream_ && stream_->is_closed())
            stream_.reset();
        if (!stream_)
            stream_ = socket_stream::connect(port_);
        if (!stream_)
            return std::nullopt;
        std::optional<message> answer;
        if (stream_->send(format_request(sent)))
            answer =
                stream_->read(clock::now() + milliseconds(sent.deadline_ms));
        if (!answer || answer->header("connection") == "close")
            stream_.reset();
        return answer;
    }

    void close() { stream_.reset(); }

private:
    int port_;
    std::unique_ptr<socket_stream> stream_;
};

// Nodes -----------------------------------------------------------------------

/// A fulmard process with settings as the deploy file's template fills them in.
class node
{
public:
    node(
        std::string node_name, std::string zone, std::string service,
        int backend_port, int store_port, const std::string& directory)
        : name(std::move(node_name)), backend(backend_port),
          callers(free_port()), ready(free_port()), heartbeats(free_port()),
          peers(free_port()), settings_(directory + "/" + name + ".json"),
          log_(directory + "/" + name + ".log")
    {
        std::ofstream(settings_) << json::serialize(json::object{
            {"name", name},
            {"availability_zone", zone},
            {"service", service},
            {"backend", loopback(backend)},
            {"store", loopback(store_port)},
            {"callers", loopback(callers)},
            {"ready", loopback(ready)},
            {"heartbeats", loopback(heartbeats)},
            {"peers", loopback(peers)},
            {"metrics", loopback(free_port())},
            {"revocation_bound_ms", 5000},
            {"retry_ratio", 0.2},
            {"retry_slack", 50},
            {"retry_window_s", 10},
            {"stop_limit_s", 6},
            {"heartbeat_period_ms", 1500}});
    }
    ~node() { end(); }

    /// Starts the process with the command of the deploy file.
    void start()
    {
        process_ = fork();
        if (process_ == 0) {
            // The node must not outlive the test.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output =
                open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, 1);
            dup2(output, 2);
            execl(
                "target/bin/fulmard", "target/bin/fulmard", "--mesh",
                settings_.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        record.write("node " + name + " started");
    }

    void signal(int number)
    {
        record.write("node " + name + " gets " + strsignal(number));
        ::kill(process_, number);
    }

    /// Waits for the end of the process after a signal.
    void wait()
    {
        int status = 0;
        if (process_ > 0)
            waitpid(process_, &status, 0);
        process_ = -1;
    }

    /// Returns how the process has ended by itself, or nothing while it runs.
    std::optional<int> ended()
    {
        int status = 0;
        if (process_ <= 0 || waitpid(process_, &status, WNOHANG) != process_)
            return std::nullopt;
        process_ = -1;
        return status;
    }

    void end()
    {
        if (process_ <= 0)
            return;
        ::kill(process_, SIGCONT);
        ::kill(process_, SIGKILL);
        wait();
    }

    /// Asks for readiness as the platform does.
    bool is_ready() const
    {
        const auto stream = socket_stream::connect(ready);
        if (!stream || !stream->send("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n"))
            return false;
        const auto answer = stream->read(clock::now() + milliseconds(1000));
        return answer && answer->status() == 200;
    }

    bool wait_ready(int limit_ms = 10'000) const
    {
        const auto until = now_ms() + limit_ms;
        while (now_ms() < until) {
            if (is_ready())
                return true;
            sleep_ms(50);
        }
        return false;
    }

    const std::string name;
    const int backend;
    const int callers;
    const int ready;
    const int heartbeats;
    const int peers;

private:
    std::string settings_;
    std::string log_;
    pid_t process_ = -1;
};

// Backend servers -------------------------------------------------------------

/// A sound backend server. It sends heartbeats to the node beside it, checks
/// `X-Expect-Instance`, answers health checks, and records what it runs.
class backend_server
{
public:
    struct options
    {
        std::string id;
        std::string service;
        int port = 0;
        int heartbeats = 0;
        int slots = 60;
        long long born = 0;
        int work_ms = 5;
    };

    explicit backend_server(options chosen)
        : options_(std::move(chosen)),
          listener_(
              options_.port, [this](socket_stream& stream) { serve(stream); }),
          beating_([this] { beat_loop(); })
    {
        record.write(
            "backend server " + options_.id + " (" + options_.service +
            ") starts at " + loopback(options_.port));
    }
    ~backend_server() { stop(); }

    void stop()
    {
        is_over_ = true;
        listener_.stop();
        if (beating_.joinable())
            beating_.join();
    }

    /// Called for each request that the server begins to run.
    std::function<void(const message&)> on_run;

    /// Returns how long the server works between the head of its answer and the
    /// body, in milliseconds.
    std::function<long long(const message&)> body_delay;

    /// Returns whether the server crashes when it begins to run the request.
    std::function<bool(const message&)> crashes_on;

    /// Body of the heartbeat with the next sequence number.
    std::string make_heartbeat()
    {
        return json::serialize(json::object{
            {"Service", options_.service},
            {"Addr", loopback(options_.port)},
            {"Zone", "z1"},
            {"Version", "v1"},
            {"Slots", options_.slots},
            {"State", is_draining ? "draining" : "ready"},
            {"WarmupLeftMs", 0},
            {"Seq", ++sequence_},
            {"born", options_.born}});
    }

    /// Posts to the node beside the server.
    /// @return the status, 0 without an answer within a second
    int post(const std::string& action, const std::string& body) const
    {
        const auto stream = socket_stream::connect(options_.heartbeats);
        if (!stream)
            return 0;
        const auto text = "POST /instances/" + options_.id + "/" + action +
                          " HTTP/1.1\r\nHost: node\r\nContent-Type: "
                          "application/json\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body;
        if (!stream->send(text))
            return 0;
        const auto answer = stream->read(clock::now() + milliseconds(1000));
        return answer ? answer->status() : 0;
    }

    /// Announces the leave; no more heartbeats follow.
    int deregister()
    {
        is_leaving = true;
        const auto status = post(
            "deregister",
            json::serialize(json::object{{"born", options_.born}}));
        record.write(
            "backend server " + options_.id +
            " deregisters: " + std::to_string(status));
        return status;
    }

    std::atomic<bool> is_draining = false;
    std::atomic<bool> is_leaving = false;
    /// Whether the server has met a request that crashes it. From then on it
    /// does nothing, until the test stops it, which resets its connections.
    std::atomic<bool> has_crashed = false;
    std::atomic<int> runs = 0;

private:
    void beat_loop()
    {
        while (!is_over_) {
            if (!is_leaving && !has_crashed)
                post("heartbeat", make_heartbeat());
            for (int i = 0; i < 75 && !is_over_; ++i)
                sleep_ms(20);
        }
    }

    void serve(socket_stream& stream)
    {
        for (;;) {
            const auto found =
                stream.read(clock::now() + std::chrono::seconds(10));
            if (!found)
                return;
            const auto text = answer(*found);
            while (has_crashed && !is_over_)
                sleep_ms(1);
            if (text.empty() || !send_answer(stream, *found, text))
                return;
        }
    }

    /// Sends the head of an answer and, after `body_delay`, its body.
    bool send_answer(
        socket_stream& stream, const message& found, const std::string& text)
    {
        if (!body_delay)
            return stream.send(text);
        const auto head_size = text.find("\r\n\r\n") + 4;
        if (!stream.send(text.substr(0, head_size)))
            return false;
        const auto until = now_ms() + body_delay(found);
        while (now_ms() < until && !is_over_)
            sleep_ms(5);
        return stream.send(text.substr(head_size));
    }

    std::string answer(const message& found)
    {
        const auto id = found.header("x-attempt-id");
        if (found.word(1) == "/healthz") {
            const bool is_healthy = !is_draining && !is_leaving;
            return format_response(
                is_healthy ? 200 : 503,
                {{"X-Instance-Id", options_.id},
                 {"X-Server-Load", "0,0," + std::to_string(options_.slots)}},
                "");
        }
        if (found.header("x-expect-instance") != options_.id) {
            record.write(
                "backend server " + options_.id + " refuses " + id + ": 421");
            return format_response(
                421, {{"X-Attempt-Id", id}, {"X-Instance-Id", options_.id}},
                "");
        }
        ++runs;
        if (on_run)
            on_run(found);
        if (crashes_on && crashes_on(found)) {
            has_crashed = true;
            return {};
        }
        for (int i = 0; i < options_.work_ms && !is_over_; i += 5)
            sleep_ms(5);
        if (is_over_)
            return {};
        return format_response(
            200,
            {{"X-Attempt-Id", id}, {"X-Response-Seal", "seal." + options_.id}},
            "answer to " + id);
    }

    options options_;
    std::atomic<int> sequence_ = 0;
    std::atomic<bool> is_over_ = false;
    listener listener_;
    std::thread beating_;
};

/// Ends the test after a time, also when a step hangs.
inline void limit_run_time(int seconds)
{
    std::thread([seconds] {
        sleep_ms(seconds * 1000LL);
        record.write("the run takes too long");
        std::_Exit(2);
    }).detach();
}

inline bool has_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace review
