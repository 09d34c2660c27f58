/// @file
/// Stand-ins and process control for the cases of the review: the platform's
/// row store, backend servers, callers, and `fulmard` processes.
///
/// Every stand-in uses one thread for each connection and blocking sockets, so
/// it shares no code with the program under test. All addresses are loopback
/// addresses.
#pragma once

#include <boost/json.hpp>

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
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// Exit statuses of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

inline const steady::time_point process_start = steady::now();

/// Milliseconds since the start of the case.
inline double now_ms()
{
    return std::chrono::duration<double, std::milli>(
               steady::now() - process_start)
        .count();
}

inline void sleep_ms(double ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(
            std::chrono::duration<double, std::milli>(ms));
}

/// Directories of the case.
struct places
{
    /// Root of the repository, where the deploy file's command starts.
    std::string root;
    /// Temporary folder, removed at the end.
    std::string temporary;

    static places& get()
    {
        static places instance;
        return instance;
    }
};

/// Process ids of the processes that the case started and that still run.
inline std::set<pid_t>& running_processes()
{
    static std::set<pid_t> processes;
    return processes;
}

/// Ends the case at once, with the processes that it started. The threads of
/// the stand-ins run for ever and are not waited for.
[[noreturn]] inline void end_case(int code)
{
    for (const auto process : running_processes()) {
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr && !places::get().temporary.empty())
        std::filesystem::remove_all(places::get().temporary, ignored);
    std::fflush(nullptr);
    _exit(code);
}

[[noreturn]] inline void give_up(const std::string& why)
{
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    end_case(not_run);
}

/// The file `record.txt`: what was sent, answered and run.
class record
{
public:
    static record& get()
    {
        static record instance;
        return instance;
    }

    void open(const std::string& file) { output_.open(file); }

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        char at[32];
        std::snprintf(at, sizeof(at), "%9.1f ", now_ms());
        output_ << at << text << '\n';
        output_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream output_;
};

inline void note(const std::string& text)
{
    record::get().line(text);
}

/// Whether the disruption of the case takes place.
inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// ---------------------------------------------------------------------------
// Addresses and sockets
// ---------------------------------------------------------------------------

/// An IPv4 address and port, `127.x.y.z:port`.
struct address
{
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
    sockaddr_in socket_address() const
    {
        sockaddr_in raw{};
        raw.sin_family = AF_INET;
        raw.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &raw.sin_addr);
        return raw;
    }
};

/// Hands out loopback addresses of this case. Each machine has an IP address of
/// its own in 127.0.0.0/8.
inline std::string next_ip()
{
    static const int network = [] {
        std::random_device device;
        return static_cast<int>(device() % 60000);
    }();
    static std::atomic<int> host{1};
    char text[32];
    std::snprintf(
        text, sizeof(text), "127.%d.%d.%d", 10 + network / 250,
        1 + network % 250, ++host);
    return text;
}

/// Returns a free port below the range of outgoing connections.
inline int free_port(const std::string& ip)
{
    static std::atomic<int> next{
        static_cast<int>(12000 + std::random_device{}() % 15000)};
    for (int tries = 0; tries < 2000; ++tries) {
        const address candidate{ip, 12000 + next++ % 18000};
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        const auto raw = candidate.socket_address();
        const int failed =
            bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
        close(fd);
        if (failed == 0)
            return candidate.port;
    }
    give_up("no free port on " + ip);
}

/// A TCP socket that is closed on destruction.
class tcp_socket
{
public:
    tcp_socket() = default;
    explicit tcp_socket(int fd) : fd_(fd) {}
    tcp_socket(tcp_socket&& other) noexcept : fd_(std::exchange(other.fd_, -1))
    {
    }
    tcp_socket& operator=(tcp_socket&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~tcp_socket() { reset(); }

    void reset()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }
    int fd() const { return fd_; }
    bool is_open() const { return fd_ >= 0; }

    /// Connects within a second.
    /// @param receive_buffer size of the receive buffer, or 0 for the default
    static tcp_socket connect_to(const address& target, int receive_buffer = 0)
    {
        tcp_socket made(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        if (receive_buffer > 0)
            setsockopt(
                made.fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                sizeof(receive_buffer));
        const auto raw = target.socket_address();
        fcntl(made.fd_, F_SETFL, O_NONBLOCK);
        if (connect(
                made.fd_, reinterpret_cast<const sockaddr*>(&raw),
                sizeof(raw)) != 0) {
            pollfd wanted{made.fd_, POLLOUT, 0};
            int problem = ETIMEDOUT;
            socklen_t size = sizeof(problem);
            if (errno != EINPROGRESS || poll(&wanted, 1, 1000) != 1)
                return {};
            getsockopt(made.fd_, SOL_SOCKET, SO_ERROR, &problem, &size);
            if (problem != 0)
                return {};
        }
        fcntl(made.fd_, F_SETFL, 0);
        const int on = 1;
        setsockopt(made.fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return made;
    }

    bool send_all(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto sent =
                ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Whether the peer has closed or reset the connection.
    bool is_closed_by_peer() const
    {
        char byte = 0;
        const auto got = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Receives up to `size` bytes; 0 at the end, -1 after a reset, -2 when
    /// nothing arrives in time.
    long receive(char* bytes, std::size_t size, double timeout_ms) const
    {
        pollfd wanted{fd_, POLLIN, 0};
        const int ready =
            poll(&wanted, 1, static_cast<int>(std::max(0.0, timeout_ms)));
        if (ready == 0)
            return -2;
        const auto got = recv(fd_, bytes, size, 0);
        return got < 0 ? -1 : got;
    }

private:
    int fd_ = -1;
};

// ---------------------------------------------------------------------------
// HTTP/1.1
// ---------------------------------------------------------------------------

using header_map = std::map<std::string, std::string>;

inline std::string lower(std::string text)
{
    for (auto& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

/// A parsed head of a message.
struct message
{
    std::string start_line;
    header_map headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    std::string method() const
    {
        return start_line.substr(0, start_line.find(' '));
    }
    std::string target() const
    {
        const auto begin = start_line.find(' ') + 1;
        return start_line.substr(begin, start_line.rfind(' ') - begin);
    }
    int status() const
    {
        return start_line.size() < 12 ? 0 : std::atoi(start_line.c_str() + 9);
    }
};

inline message parse_head(const std::string& text)
{
    message parsed;
    std::istringstream lines(text);
    std::string line;
    std::getline(lines, parsed.start_line);
    while (!parsed.start_line.empty() && parsed.start_line.back() == '\r')
        parsed.start_line.pop_back();
    while (std::getline(lines, line)) {
        while (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        parsed.headers[lower(line.substr(0, colon))] = value;
    }
    return parsed;
}

/// How reading a message ended.
enum class read_end
{
    complete,
    /// The connection ended cleanly before or within the message.
    ended,
    reset,
    timed_out,
    malformed
};

inline const char* to_string(read_end end)
{
    switch (end) {
    case read_end::complete:
        return "complete";
    case read_end::ended:
        return "connection closed";
    case read_end::reset:
        return "connection reset";
    case read_end::timed_out:
        return "no answer";
    default:
        return "malformed";
    }
}

/// Reads messages from a socket.
class http_reader
{
public:
    explicit http_reader(const tcp_socket& source) : source_(&source) {}

    /// Called before each receive of body bytes, with the body bytes so far.
    std::function<void(std::size_t)> before_receive;

    /// Reads a head and a body, which ends after its length or its last chunk.
    /// @param has_body whether the message may have a body
    /// @param keep whether the body is stored
    read_end read(
        message& parsed, double until_ms, std::size_t& body_bytes,
        bool keep = true)
    {
        body_bytes = 0;
        for (;;) {
            const auto end = buffer_.find("\r\n\r\n");
            if (end != std::string::npos) {
                parsed = parse_head(buffer_.substr(0, end + 2));
                buffer_.erase(0, end + 4);
                break;
            }
            const auto got = fill(until_ms);
            if (got != read_end::complete)
                return got;
        }
        const auto coding = lower(parsed.header("transfer-encoding"));
        if (coding == "chunked")
            return read_chunks(parsed, until_ms, body_bytes, keep);
        const auto length = parsed.header("content-length");
        return read_length(
            parsed,
            length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10),
            until_ms, body_bytes, keep);
    }

    bool has_buffered() const { return !buffer_.empty(); }

private:
    read_end fill(double until_ms)
    {
        char bytes[65536];
        const auto got =
            source_->receive(bytes, sizeof(bytes), until_ms - now_ms());
        if (got == -2)
            return read_end::timed_out;
        if (got == -1)
            return read_end::reset;
        if (got == 0)
            return read_end::ended;
        buffer_.append(bytes, static_cast<std::size_t>(got));
        return read_end::complete;
    }

    read_end read_length(
        message& parsed, std::size_t length, double until_ms,
        std::size_t& body_bytes, bool keep)
    {
        while (body_bytes < length) {
            if (buffer_.empty()) {
                if (before_receive)
                    before_receive(body_bytes);
                const auto got = fill(until_ms);
                if (got != read_end::complete)
                    return got;
            }
            const auto size = std::min(buffer_.size(), length - body_bytes);
            if (keep)
                parsed.body.append(buffer_, 0, size);
            buffer_.erase(0, size);
            body_bytes += size;
        }
        return read_end::complete;
    }

    read_end read_chunks(
        message& parsed, double until_ms, std::size_t& body_bytes, bool keep)
    {
        for (;;) {
            auto end = buffer_.find("\r\n");
            while (end == std::string::npos) {
                const auto got = fill(until_ms);
                if (got != read_end::complete)
                    return got;
                end = buffer_.find("\r\n");
            }
            const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
            buffer_.erase(0, end + 2);
            std::size_t done = 0;
            while (done < size + 2) {
                if (buffer_.empty()) {
                    if (before_receive)
                        before_receive(body_bytes);
                    const auto got = fill(until_ms);
                    if (got != read_end::complete)
                        return got;
                }
                const auto part =
                    std::min<std::size_t>(buffer_.size(), size + 2 - done);
                if (done < size) {
                    const auto payload =
                        std::min<std::size_t>(part, size - done);
                    if (keep)
                        parsed.body.append(buffer_, 0, payload);
                    body_bytes += payload;
                }
                buffer_.erase(0, part);
                done += part;
            }
            if (size == 0)
                return read_end::complete;
        }
    }

    const tcp_socket* source_;
    std::string buffer_;
};

inline std::string make_response(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text + body;
}

/// Accepts connections and serves each in a thread of its own.
class tcp_server
{
public:
    using session = std::function<void(const tcp_socket&)>;

    tcp_server(address at, session serve)
        : address_(std::move(at)), serve_(std::move(serve)),
          listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(listener_.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto raw = address_.socket_address();
        if (bind(
                listener_.fd(), reinterpret_cast<const sockaddr*>(&raw),
                sizeof(raw)) != 0 ||
            listen(listener_.fd(), 512) != 0)
            give_up("cannot listen at " + address_.text());
        std::thread([this] { accept_all(); }).detach();
    }

    const address& at() const { return address_; }

    /// Ends the server: nothing listens any more, and open connections end.
    void end()
    {
        has_ended_ = true;
        shutdown(listener_.fd(), SHUT_RDWR);
        const std::lock_guard lock(mutex_);
        for (const int fd : open_)
            shutdown(fd, SHUT_RDWR);
    }

private:
    void accept_all()
    {
        for (;;) {
            const int fd =
                accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
            if (has_ended_) {
                if (fd >= 0)
                    ::close(fd);
                // The address is free for the next process.
                listener_.reset();
                return;
            }
            if (fd < 0)
                continue;
            {
                const std::lock_guard lock(mutex_);
                open_.insert(fd);
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, fd] { serve_connection(fd); }).detach();
        }
    }

    void serve_connection(int fd)
    {
        tcp_socket connection(fd);
        serve_(connection);
        // The number of the descriptor may be used again from here on.
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
        connection.reset();
    }

    address address_;
    session serve_;
    tcp_socket listener_;
    std::atomic<bool> has_ended_{false};
    std::mutex mutex_;
    std::set<int> open_;
};

/// One exchange on a connection of its own.
inline std::optional<message> call(
    const address& target, const std::string& method, const std::string& path,
    const std::string& body, double timeout_ms)
{
    const auto socket = tcp_socket::connect_to(target);
    if (!socket.is_open())
        return std::nullopt;
    socket.send_all(
        method + " " + path + " HTTP/1.1\r\nHost: " + target.text() +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    http_reader reader(socket);
    message answer;
    std::size_t size = 0;
    if (reader.read(answer, now_ms() + timeout_ms, size) != read_end::complete)
        return std::nullopt;
    return answer;
}

// ---------------------------------------------------------------------------
// The platform's store
// ---------------------------------------------------------------------------

inline std::string to_base64(const std::string& data)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < data.size(); i += 3) {
        const auto byte = [&](std::size_t at) {
            return at < data.size() ? static_cast<unsigned char>(data[at]) : 0U;
        };
        const auto bits = byte(i) << 16U | byte(i + 1) << 8U | byte(i + 2);
        text += digits[bits >> 18U & 63U];
        text += digits[bits >> 12U & 63U];
        text += i + 1 < data.size() ? digits[bits >> 6U & 63U] : '=';
        text += i + 2 < data.size() ? digits[bits & 63U] : '=';
    }
    return text;
}

/// The row store: rows, transactions and the feed, as PROTOCOL.md describes
/// them. It loses nothing and its answers are linearizable.
class row_store
{
public:
    /// Decides whether the answer to a write is lost, and after how many
    /// milliseconds that write is done. Called with the body of `/rows-tx`.
    std::function<std::optional<double>(const std::string&)> late_write;

    row_store()
        : server_({ip_, free_port(ip_)}, [this](const tcp_socket& socket) {
              serve(socket);
          })
    {
    }

    const address& at() const { return server_.at(); }

    /// Writes a row as the operator does.
    void
    put(const std::string& table, const std::string& key,
        const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        rows_[{table, key}] = {to_base64(value), ++version_, false};
        changed_.notify_all();
    }

    bool has(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        const auto found = rows_.find({table, key});
        return found != rows_.end() && !found->second.is_removed;
    }

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool is_removed = false;
    };
    using row_key = std::pair<std::string, std::string>;

    static std::string
    parameter(const std::string& target, const std::string& name)
    {
        for (const char* const before : {"?", "&"}) {
            const auto at = target.find(before + name + "=");
            if (at == std::string::npos)
                continue;
            const auto begin = at + name.size() + 2;
            const auto text =
                target.substr(begin, target.find('&', begin) - begin);
            std::string decoded;
            for (std::size_t i = 0; i < text.size(); ++i) {
                if (text[i] == '%' && i + 2 < text.size()) {
                    decoded += static_cast<char>(std::strtol(
                        text.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    decoded += text[i];
                }
            }
            return decoded;
        }
        return {};
    }

    json::object to_json(const row_key& key, const row& value) const
    {
        json::object text{
            {"Table", key.first},
            {"part", ""},
            {"Key", key.second},
            {"Ver", value.version}};
        if (value.is_removed)
            text["Removed"] = true;
        else
            text["Value"] = value.value;
        return text;
    }

    std::string answer(int status, json::object body) const
    {
        body["Ver"] = version_;
        body["NowMs"] = static_cast<std::int64_t>(now_ms()) + 50000;
        return make_response(
            status, {{"Content-Type", "application/json"}},
            json::serialize(body));
    }

    std::string get(const std::string& target)
    {
        const std::lock_guard lock(mutex_);
        const auto table = parameter(target, "Table");
        const auto from = parameter(target, "From");
        const auto end = parameter(target, "Target");
        const auto limit_text = parameter(target, "Limit");
        const std::size_t limit =
            limit_text.empty() ? 500
                               : std::strtoull(limit_text.c_str(), nullptr, 10);
        json::array found;
        bool has_more = false;
        for (const auto& [key, value] : rows_) {
            if (key.first != table || value.is_removed || key.second < from ||
                (!end.empty() && key.second >= end))
                continue;
            if (found.size() == limit) {
                has_more = true;
                break;
            }
            found.push_back(to_json(key, value));
        }
        return answer(200, {{"Rows", found}, {"HasMore", has_more}});
    }

    std::string feed(const std::string& target)
    {
        const auto table = parameter(target, "Table");
        const auto after =
            std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const auto wait =
            std::min(30000.0, std::atof(parameter(target, "WaitMs").c_str()));
        const auto until =
            steady::now() + milliseconds(static_cast<long>(wait));
        std::unique_lock lock(mutex_);
        for (;;) {
            std::vector<std::pair<std::uint64_t, json::object>> changes;
            for (const auto& [key, value] : rows_) {
                if (key.first == table && value.version > after)
                    changes.emplace_back(value.version, to_json(key, value));
            }
            if (!changes.empty() || steady::now() >= until) {
                std::sort(changes.begin(), changes.end(), [](auto& a, auto& b) {
                    return a.first < b.first;
                });
                json::array found;
                for (auto& change : changes)
                    found.push_back(std::move(change.second));
                return answer(200, {{"Rows", found}});
            }
            changed_.wait_until(lock, until);
        }
    }

    std::string commit(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        const auto body = json::parse(text).as_object();
        const auto key_of = [](const json::value& entry) {
            const auto& fields = entry.as_object();
            return row_key{
                std::string(fields.at("Table").as_string().c_str()),
                std::string(fields.at("Key").as_string().c_str())};
        };
        const auto list = [&](const char* name) {
            const auto* found = body.if_contains(name);
            return found == nullptr ? json::array() : found->as_array();
        };
        bool is_met = true;
        json::array current;
        for (const auto& condition : list("ExpectRev")) {
            const auto found = rows_.find(key_of(condition));
            const bool exists =
                found != rows_.end() && !found->second.is_removed;
            const auto wanted =
                condition.as_object().at("Ver").to_number<std::uint64_t>();
            is_met = is_met && (exists ? found->second.version : 0) == wanted;
            if (exists)
                current.push_back(to_json(found->first, found->second));
        }
        if (!is_met)
            return answer(412, {{"Rows", current}});
        ++version_;
        for (const auto& write : list("Writes")) {
            rows_[key_of(write)] = {
                std::string(write.as_object().at("Value").as_string().c_str()),
                version_, false};
        }
        for (const auto& removal : list("Deletes"))
            rows_[key_of(removal)] = {"", version_, true};
        changed_.notify_all();
        return answer(200, {});
    }

    void serve(const tcp_socket& socket)
    {
        http_reader reader(socket);
        for (;;) {
            message request;
            std::size_t size = 0;
            if (reader.read(request, now_ms() + 3.6e6, size) !=
                read_end::complete)
                return;
            const auto target = request.target();
            // An answer takes 4 ms, a transaction 6 ms.
            sleep_ms(4);
            std::string response = make_response(404, {}, "");
            if (target.starts_with("/rows-get")) {
                response = get(target);
            } else if (target.starts_with("/rows-feed")) {
                response = feed(target);
            } else if (target.starts_with("/rows-tx")) {
                const auto late =
                    late_write ? late_write(request.body) : std::nullopt;
                if (late) {
                    note(
                        "store: the answer to a write is lost, the write is "
                        "done " +
                        std::to_string(static_cast<int>(*late)) +
                        " ms later: " + request.body.substr(0, 200));
                    sleep_ms(*late);
                    commit(request.body);
                    note("store: the late write is done");
                    // The connection delivers nothing further.
                    sleep_ms(1e6);
                    return;
                }
                sleep_ms(6);
                response = commit(request.body);
            }
            if (!socket.send_all(response))
                return;
        }
    }

    std::string ip_ = next_ip();
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    std::uint64_t version_ = 0;
    tcp_server server_;
};

// ---------------------------------------------------------------------------
// Processes of the system
// ---------------------------------------------------------------------------

/// Fills in the template of the deploy file: `{{a.b}}`, and sections
/// `{{#a.b}} .. {{/a.b}}`, in which `{{.}}` is the value.
inline std::string
render(std::string text, const std::map<std::string, std::string>& values)
{
    for (;;) {
        const auto open = text.find("{{#");
        if (open == std::string::npos)
            break;
        const auto name_end = text.find("}}", open);
        const auto name = text.substr(open + 3, name_end - open - 3);
        const auto close_mark = "{{/" + name + "}}";
        const auto close = text.find(close_mark, name_end);
        auto inner = text.substr(name_end + 2, close - name_end - 2);
        const auto found = values.find(name);
        if (found == values.end()) {
            inner.clear();
        } else {
            for (auto at = inner.find("{{.}}"); at != std::string::npos;
                 at = inner.find("{{.}}"))
                inner.replace(at, 5, found->second);
        }
        text.replace(open, close + close_mark.size() - open, inner);
    }
    for (auto open = text.find("{{"); open != std::string::npos;
         open = text.find("{{")) {
        const auto close = text.find("}}", open);
        const auto found = values.find(text.substr(open + 2, close - open - 2));
        text.replace(
            open, close + 2 - open, found == values.end() ? "" : found->second);
    }
    return text;
}

/// One machine: a node, run as the deploy file says, and the addresses of the
/// backend server beside it.
class machine
{
public:
    machine(
        std::string name, std::string zone, std::string service,
        const address& store)
        : name_(std::move(name)), zone_(std::move(zone)),
          service_(std::move(service)), ip_(next_ip()),
          store_(store), outbound_{ip_, free_port(ip_)},
          inbound_{ip_, free_port(ip_)}, ready_{ip_, free_port(ip_)},
          control_{ip_, free_port(ip_)}, upstream_{ip_, free_port(ip_)}
    {
    }

    const std::string& name() const { return name_; }
    const std::string& zone() const { return zone_; }
    const std::string& service() const { return service_; }
    const address& outbound() const { return outbound_; }
    const address& control() const { return control_; }
    const address& upstream() const { return upstream_; }
    pid_t pid() const { return pid_; }

    /// Starts the process with the command and the settings of the deploy file.
    void start()
    {
        const auto folder = places::get().temporary;
        const auto settings = folder + "/" + name_ + ".json";
        std::ifstream input(places::get().root + "/deploy/fulmard.json.in");
        if (!input)
            give_up("no template of the settings");
        std::stringstream text;
        text << input.rdbuf();
        std::ofstream(settings) << render(
            text.str(), {{"Node", name_},
                         {"Zone", zone_},
                         {"Service", service_},
                         {"Ip", ip_},
                         {"Upstream", upstream_.text()},
                         {"Provider.Addr", store_.text()},
                         {"Listen.Outbound", outbound_.text()},
                         {"Listen.Inbound", inbound_.text()},
                         {"Listen.Ready", ready_.text()},
                         {"Listen.Control", control_.text()},
                         {"HeartbeatMs", "1500"},
                         {"Bounds.RevokeMs", "5000"},
                         {"Bounds.RetryRatio", "0.2"},
                         {"Bounds.RetrySlack", "50"},
                         {"Bounds.RetryWindowS", "10"},
                         {"Bounds.GraceS", "6"}});
        const auto program = places::get().root + "/target/bin/fulmard";
        const auto log = folder + "/" + name_ + ".log";
        const auto root = places::get().root;
        const std::string path =
            std::string("PATH=") +
            (std::getenv("PATH") ? std::getenv("PATH") : "");
        const std::string home = "HOME=/tmp";
        pid_ = fork();
        if (pid_ == 0) {
            // The process ends with the case, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (chdir(root.c_str()) != 0)
                _exit(127);
            const int out =
                open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            const int in = open("/dev/null", O_RDONLY);
            dup2(in, STDIN_FILENO);
            const char* const arguments[] = {
                "target/bin/fulmard", "--mesh", settings.c_str(), nullptr};
            const char* const environment[] = {
                path.c_str(), home.c_str(), nullptr};
            execve(
                program.c_str(), const_cast<char* const*>(arguments),
                const_cast<char* const*>(environment));
            _exit(127);
        }
        running_processes().insert(pid_);
        note("platform: " + name_ + " started");
    }

    /// Waits until the node answers 200 to `GET /ready`.
    bool wait_ready(double timeout_ms) const
    {
        const auto until = now_ms() + timeout_ms;
        while (now_ms() < until) {
            if (is_ready())
                return true;
            sleep_ms(50);
        }
        return false;
    }

    bool is_ready() const
    {
        const auto answer = call(ready_, "GET", "/ready", "", 500);
        return answer && answer->status() == 200;
    }

    void send_signal(int number, const std::string& word)
    {
        note("platform: " + word + " to " + name_);
        if (pid_ > 0)
            kill(pid_, number);
    }

    /// Waits for the end of the process.
    /// @return its wait status, or nothing if it still runs
    std::optional<int> wait_end(double timeout_ms)
    {
        const auto until = now_ms() + timeout_ms;
        while (pid_ > 0) {
            int status = 0;
            if (waitpid(pid_, &status, WNOHANG) == pid_) {
                running_processes().erase(pid_);
                pid_ = -1;
                note("platform: " + name_ + " has ended");
                return status;
            }
            if (now_ms() >= until)
                return std::nullopt;
            sleep_ms(5);
        }
        return 0;
    }

    /// SIGTERM, and SIGKILL after `GraceS`.
    void stop()
    {
        send_signal(SIGTERM, "SIGTERM");
        if (!wait_end(6000))
            kill_now();
    }

    void kill_now()
    {
        if (pid_ <= 0)
            return;
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        running_processes().erase(pid_);
        pid_ = -1;
    }

private:
    std::string name_;
    std::string zone_;
    std::string service_;
    std::string ip_;
    address store_;
    address outbound_;
    address inbound_;
    address ready_;
    address control_;
    address upstream_;
    pid_t pid_ = -1;
};

// ---------------------------------------------------------------------------
// Backend servers
// ---------------------------------------------------------------------------

/// A sound backend server beside a machine. It announces itself to the node
/// beside it every 1.5 s.
class endpoint
{
public:
    /// What is known of a request that has run.
    struct run
    {
        std::string id;
        std::string instance;
        double started_ms = 0;
        double ended_ms = 0;
        /// Whether the answer was handed over whole.
        bool is_answered = false;
        message request;
    };

    /// Work of a request, in milliseconds.
    std::function<double(const message&)> work = [](const message&) {
        return 10.0;
    };
    /// Replaces the answer to a request. Returns whether the connection stays
    /// open.
    std::function<bool(const tcp_socket&, const message&, run&)> answer;

    endpoint(const machine& beside, int slots)
        : service_(beside.service()), zone_(beside.zone()),
          control_(beside.control()), slots_(slots), name_(beside.name()),
          id_("i-" + name_), born_(unix_ms()), address_(beside.upstream())
    {
        listen();
        std::thread([this] { beat(); }).detach();
    }

    std::string id()
    {
        const std::lock_guard lock(mutex_);
        return id_;
    }

    /// Ends or resumes the regular heartbeats.
    void announce(bool is_wanted) { announces_ = is_wanted; }

    /// Sends a heartbeat.
    /// @param delay_ms how much later than it was sent it arrives
    void send_heartbeat(double delay_ms = 0)
    {
        const auto sequence = ++sequence_;
        const json::object body{
            {"Service", service_}, {"Addr", address_.text()},
            {"Zone", zone_},       {"Version", "v1"},
            {"Slots", slots_},     {"State", "ready"},
            {"WarmupLeftMs", 0},   {"Seq", sequence},
            {"born", born_.load()}};
        if (delay_ms > 0) {
            note(
                "server " + id() + ": sends heartbeat " +
                std::to_string(sequence) + ", which arrives late");
            sleep_ms(delay_ms);
        }
        const auto answer = call(
            control_, "POST", "/instances/" + id() + "/heartbeat",
            json::serialize(body), 1000);
        note(
            "server " + id() + ": heartbeat " + std::to_string(sequence) +
            " arrived, status " +
            (answer ? std::to_string(answer->status()) : "none"));
    }

    /// Announces that this backend server leaves; it serves on.
    /// @return whether that was acknowledged
    bool deregister()
    {
        is_leaving_ = true;
        const auto answer = call(
            control_, "POST", "/instances/" + id() + "/deregister",
            json::serialize(json::object{{"born", born_.load()}}), 1000);
        note(
            "server " + id() + ": deregisters, status " +
            (answer ? std::to_string(answer->status()) : "none"));
        return answer && answer->status() == 200;
    }

    /// Ends this backend server, with what it is at work on.
    void end()
    {
        note("server " + id() + ": ends");
        announces_ = false;
        server_->end();
    }

    /// Starts the backend server again, as a new incarnation.
    void start_again()
    {
        {
            const std::lock_guard lock(mutex_);
            id_ = "i-" + name_ + "-" + std::to_string(++starts_);
            born_ = unix_ms();
        }
        sequence_ = 0;
        listen();
        note("server " + id() + ": starts");
        announces_ = true;
        send_heartbeat();
    }

    std::vector<run> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    static std::int64_t unix_ms()
    {
        return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void listen()
    {
        // Threads of an earlier server may still refer to it.
        servers_.push_back(std::make_unique<tcp_server>(
            address_, [this](const tcp_socket& socket) { serve(socket); }));
        server_ = servers_.back().get();
    }

    void beat()
    {
        for (;;) {
            if (announces_)
                send_heartbeat();
            sleep_ms(1500);
        }
    }

    std::string load() const
    {
        return std::to_string(running_.load()) + ",0," + std::to_string(slots_);
    }

    void serve(const tcp_socket& socket)
    {
        http_reader reader(socket);
        for (;;) {
            message request;
            std::size_t size = 0;
            // Idle connections are closed after 10 s.
            if (reader.read(request, now_ms() + 10000, size) !=
                read_end::complete)
                return;
            if (!handle(socket, request))
                return;
        }
    }

    bool handle(const tcp_socket& socket, const message& request)
    {
        if (request.target() == "/healthz" && is_leaving_) {
            return socket.send_all(
                make_response(503, {{"X-Instance-Id", id()}}, ""));
        }
        if (request.target() == "/healthz") {
            return socket.send_all(make_response(
                200, {{"X-Instance-Id", id()}, {"X-Server-Load", load()}}, ""));
        }
        const auto id = request.header("x-attempt-id");
        const auto expected = request.header("x-expect-instance");
        if (!expected.empty() && expected != this->id()) {
            return socket.send_all(make_response(
                421, {{"X-Instance-Id", this->id()}, {"X-Attempt-Id", id}},
                ""));
        }
        if (running_.load() >= slots_) {
            return socket.send_all(make_response(
                503, {{"X-Not-Executed", "1"}, {"X-Attempt-Id", id}}, ""));
        }
        ++running_;
        run current{id, this->id(), now_ms(), 0, false, request};
        note(
            "server " + this->id() + ": runs " + id +
            " tenant=" + request.header("x-tenant"));
        bool is_kept = false;
        if (answer) {
            is_kept = answer(socket, request, current);
        } else {
            is_kept = answer_plain(socket, request, current);
        }
        current.ended_ms = now_ms();
        --running_;
        note(
            "server " + this->id() + ": " +
            (current.is_answered ? "answered " : "did not answer ") + id);
        const std::lock_guard lock(mutex_);
        runs_.push_back(current);
        return is_kept;
    }

    bool
    answer_plain(const tcp_socket& socket, const message& request, run& current)
    {
        const auto until = now_ms() + work(request);
        // A request is dropped when its connection closes.
        while (now_ms() < until) {
            if (socket.is_closed_by_peer())
                return false;
            sleep_ms(std::min(5.0, until - now_ms()));
        }
        std::vector<std::pair<std::string, std::string>> headers{
            {"X-Attempt-Id", current.id},
            {"X-Response-Seal", "seal-" + current.id},
            {"X-Server-Load", load()}};
        const bool closes = is_leaving_;
        if (closes)
            headers.emplace_back("Connection", "close");
        else
            headers.emplace_back("Keep-Alive", "timeout=10");
        current.is_answered = socket.send_all(
            make_response(200, headers, "answer to " + current.id));
        return current.is_answered && !closes;
    }

    std::string service_;
    std::string zone_;
    address control_;
    int slots_;
    std::string name_;
    std::string id_;
    std::atomic<std::int64_t> born_;
    int starts_ = 0;
    address address_;
    std::atomic<int> running_{0};
    std::atomic<bool> announces_{true};
    std::atomic<bool> is_leaving_{false};
    std::atomic<int> sequence_{0};
    std::mutex mutex_;
    std::vector<run> runs_;
    std::vector<std::unique_ptr<tcp_server>> servers_;
    tcp_server* server_ = nullptr;
};

// ---------------------------------------------------------------------------
// Callers
// ---------------------------------------------------------------------------

/// What a caller saw of a request.
struct outcome
{
    std::string id;
    double sent_ms = 0;
    double ended_ms = 0;
    read_end end = read_end::timed_out;
    int status = 0;
    bool is_sealed = false;
    std::size_t body_bytes = 0;
    std::string body;
};

/// A caller with one connection, which it keeps while it can.
class caller
{
public:
    caller(address node, std::string host, int receive_buffer = 0)
        : node_(std::move(node)), host_(std::move(host)),
          receive_buffer_(receive_buffer)
    {
    }

    /// Called before each receive of body bytes.
    std::function<void(std::size_t)> before_receive;

    bool is_connected() const
    {
        return socket_.is_open() && !socket_.is_closed_by_peer();
    }

    /// Opens a connection unless one is open.
    bool connect()
    {
        if (is_connected())
            return true;
        reader_.reset();
        socket_ = tcp_socket();
        socket_ = tcp_socket::connect_to(node_, receive_buffer_);
        if (!socket_.is_open())
            return false;
        reader_ = std::make_unique<http_reader>(socket_);
        return true;
    }

    /// Sends a request on the open connection and waits for its answer.
    outcome send(
        const std::string& method, const std::string& path,
        const std::string& id, const std::string& key, int deadline_ms,
        double wait_ms, bool keep_body = true)
    {
        outcome seen;
        seen.id = id;
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host_ +
                           "\r\nX-Attempt-Id: " + id +
                           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                           "\r\n";
        if (!key.empty())
            text += "Authorization: Bearer " + key + "\r\n";
        if (method == "POST")
            text += "Content-Length: 0\r\n";
        seen.sent_ms = now_ms();
        note("caller: sends " + id + " to " + node_.text());
        if (!socket_.send_all(text + "\r\n")) {
            seen.end = read_end::reset;
            seen.ended_ms = now_ms();
            return seen;
        }
        reader_->before_receive = before_receive;
        message answer;
        seen.end = reader_->read(
            answer, now_ms() + wait_ms, seen.body_bytes, keep_body);
        seen.ended_ms = now_ms();
        seen.status = answer.status();
        seen.is_sealed = !answer.header("x-response-seal").empty();
        seen.body = answer.body;
        note(
            "caller: " + id + " " + to_string(seen.end) +
            " status=" + std::to_string(seen.status) +
            " body=" + std::to_string(seen.body_bytes));
        if (seen.end != read_end::complete ||
            lower(answer.header("connection")) == "close")
            close();
        return seen;
    }

    void close()
    {
        reader_.reset();
        socket_ = tcp_socket();
    }

private:
    address node_;
    std::string host_;
    int receive_buffer_;
    tcp_socket socket_;
    std::unique_ptr<http_reader> reader_;
};

/// Prepares a case and runs it, and removes what it has left.
/// The command line holds the folder of the case and the root of the
/// repository.
/// @param body ends with `end_case`, before its stand-ins are destroyed
inline int run_case(int argc, char** argv, const std::function<void()>& body)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s FOLDER ROOT\n", argv[0]);
        return not_run;
    }
    signal(SIGPIPE, SIG_IGN);
    record::get().open(std::string(argv[1]) + "/record.txt");
    places::get().root = argv[2];
    std::string folder =
        std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr)
        give_up("no temporary folder");
    places::get().temporary = folder;
    std::thread([] {
        sleep_ms(115'000);
        give_up("it took too long");
    }).detach();
    body();
    end_case(not_run);
}

} // namespace review
