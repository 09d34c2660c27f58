/// @file
/// Stand-ins for the review's scripts: the platform's store, an endpoint, a
/// client, and the start of nodes as processes of their own. Everything speaks
/// HTTP/1.1 over loopback, with one thread for each connection.
#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
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
#include <vector>

namespace review {

namespace json = boost::json;

/// Exit codes of a script.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

inline double now_s()
{
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration<double>(steady_clock::now() - start).count();
}

inline std::int64_t unix_time_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_s(double time)
{
    if (time > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(time));
}

/// Writes `record.txt`: one line for each thing that was sent, answered or run.
class record_file
{
public:
    void open(const std::string& path)
    {
        file_ = std::fopen(path.c_str(), "w");
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(mutex_);
        if (file_ == nullptr)
            return;
        std::fprintf(file_, "%9.4f ", now_s());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
    }

    void flush()
    {
        const std::lock_guard lock(mutex_);
        if (file_ != nullptr)
            std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};

inline record_file& record()
{
    static record_file file;
    return file;
}

/// Prints a line and records it.
inline void say(const std::string& text)
{
    std::printf("%8.3f %s\n", now_s(), text.c_str());
    std::fflush(stdout);
    record().line("%s", text.c_str());
}

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_message
{
    std::string start_line;
    header_list headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (key == name)
                return value;
        }
        return {};
    }
    int status() const
    {
        return start_line.size() > 12 ? std::atoi(start_line.c_str() + 9) : 0;
    }
    std::string method() const
    {
        return start_line.substr(0, start_line.find(' '));
    }
    std::string target() const
    {
        const auto first = start_line.find(' ') + 1;
        return start_line.substr(first, start_line.rfind(' ') - first);
    }
};

/// A socket with a buffer of received bytes.
class stream
{
public:
    explicit stream(int fd = -1) : fd_(fd) {}
    ~stream() { close(); }
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    int fd() const { return fd_; }
    bool is_open() const { return fd_ >= 0; }
    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }

    bool connect(std::uint16_t port, double timeout)
    {
        close();
        buffer.clear();
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        timeval limit{};
        limit.tv_sec = static_cast<long>(timeout);
        limit.tv_usec = static_cast<long>((timeout - limit.tv_sec) * 1e6);
        setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(
                fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
            0)
            return true;
        close();
        return false;
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size = ::send(
                fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    /// Waits for bytes until `deadline` and appends them to the buffer.
    /// @return 1 if there are more, 0 at the deadline, -1 at the end
    int receive(double deadline)
    {
        const double left = deadline - now_s();
        pollfd entry{fd_, POLLIN, 0};
        const int ready = ::poll(
            &entry, 1, std::max(0, static_cast<int>(left * 1000 + 0.99)));
        if (ready <= 0)
            return 0;
        char bytes[16384];
        const auto size = ::recv(fd_, bytes, sizeof bytes, 0);
        if (size <= 0)
            return -1;
        buffer.append(bytes, static_cast<std::size_t>(size));
        return 1;
    }

    std::string buffer;

private:
    int fd_;
};

inline std::optional<http_message> take_head(std::string& buffer)
{
    const auto end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    http_message message;
    std::istringstream lines(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string text;
    while (std::getline(lines, text)) {
        if (!text.empty() && text.back() == '\r')
            text.pop_back();
        if (message.start_line.empty()) {
            message.start_line = text;
            continue;
        }
        const auto colon = text.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = text.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        const auto first = text.find_first_not_of(" \t", colon + 1);
        message.headers.emplace_back(
            name, first == std::string::npos ? "" : text.substr(first));
    }
    return message;
}

/// Takes a whole message out of a buffer.
/// @return nothing if it is not complete yet
inline std::optional<http_message> take_message(std::string& buffer)
{
    auto copy = buffer;
    auto message = take_head(copy);
    if (!message)
        return std::nullopt;
    if (message->header("transfer-encoding") == "chunked") {
        for (;;) {
            const auto line = copy.find("\r\n");
            if (line == std::string::npos)
                return std::nullopt;
            const auto size = std::strtoul(copy.c_str(), nullptr, 16);
            if (copy.size() < line + 2 + size + 2)
                return std::nullopt;
            message->body += copy.substr(line + 2, size);
            copy.erase(0, line + 2 + size + 2);
            if (size == 0)
                break;
        }
    } else {
        const auto size = std::strtoul(
            message->header("content-length").c_str(), nullptr, 10);
        if (copy.size() < size)
            return std::nullopt;
        message->body = copy.substr(0, size);
        copy.erase(0, size);
    }
    buffer = std::move(copy);
    return message;
}

/// Waits for a whole message.
/// @return nothing at the deadline or when the connection has ended
inline std::optional<http_message> read_message(stream& from, double deadline)
{
    for (;;) {
        if (auto message = take_message(from.buffer))
            return message;
        if (from.receive(deadline) <= 0)
            return std::nullopt;
    }
}

inline std::string format_message(
    const std::string& start_line, const header_list& headers,
    const std::string& body)
{
    std::string text = start_line + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Returns a listening socket on a free port of loopback.
inline int listen_on_loopback(std::uint16_t& port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0 ||
        ::listen(fd, 1024) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// Returns a free port. The ports lie below those of outgoing connections. Each
/// script has a block of ports for itself: it holds the first port of the
/// block, so that scripts that run at the same time don't take each other's.
inline std::uint16_t free_port()
{
    constexpr unsigned first_port = 12000;
    constexpr unsigned blocks = 180;
    constexpr unsigned ports_per_block = 100;
    static unsigned block = std::random_device{}() % blocks;
    static unsigned used = ports_per_block;
    for (;;) {
        if (used >= ports_per_block) {
            block = (block + 1) % blocks;
            auto guard = static_cast<std::uint16_t>(
                first_port + block * ports_per_block);
            if (listen_on_loopback(guard) < 0)
                continue;
            used = 1;
        }
        auto port = static_cast<std::uint16_t>(
            first_port + block * ports_per_block + used++);
        const int fd = listen_on_loopback(port);
        if (fd < 0)
            continue;
        ::close(fd);
        return port;
    }
}

/// Accepts connections and serves each in a thread of its own.
class server
{
public:
    using handler = std::function<void(stream&)>;

    explicit server(handler serve) : serve_(std::move(serve))
    {
        port_ = 0;
        fd_ = listen_on_loopback(port_);
        std::thread([this] { accept_all(); }).detach();
    }

    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// While it refuses, connections are reset right after they are accepted.
    void refuse(bool is_refusing)
    {
        is_refusing_ = is_refusing;
        if (is_refusing)
            reset_all();
    }

    /// Ends like a process that crashes, and listens again after a while.
    /// @param before_return runs before the address is in use again
    void crash(double down_s, const std::function<void()>& before_return)
    {
        {
            const std::lock_guard lock(mutex_);
            if (is_down_)
                return;
            is_down_ = true;
        }
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
        reset_all();
        std::thread([this, down_s, before_return] {
            sleep_s(down_s);
            before_return();
            int fd = -1;
            while ((fd = listen_on_loopback(port_)) < 0)
                sleep_s(0.05);
            fd_ = fd;
            is_down_ = false;
        }).detach();
    }

    void reset_all()
    {
        const std::lock_guard lock(mutex_);
        for (const int fd : open_)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    void accept_all()
    {
        for (;;) {
            const int fd =
                is_down_ ? -1 : ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                sleep_s(0.005);
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            if (is_refusing_) {
                const linger at_once{1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
                ::close(fd);
                continue;
            }
            {
                const std::lock_guard lock(mutex_);
                open_.insert(fd);
            }
            std::thread([this, fd] {
                stream connection(fd);
                serve_(connection);
                const std::lock_guard lock(mutex_);
                open_.erase(fd);
            }).detach();
        }
    }

    handler serve_;
    std::atomic<int> fd_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> is_refusing_ = false;
    std::atomic<bool> is_down_ = false;
    std::mutex mutex_;
    std::set<int> open_;
};

inline std::string encode_base64(const std::string& data)
{
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < data.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k)
            value = value << 8 | (i + k < data.size()
                                      ? static_cast<unsigned char>(data[i + k])
                                      : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text +=
                i + k > data.size() ? '=' : digits[value >> (18 - 6 * k) & 63];
    }
    return text;
}

/// The platform's store: rows, transactions and the feed.
class store
{
public:
    store() : server_([this](stream& connection) { serve(connection); }) {}

    std::string address() const { return server_.address(); }
    std::uint16_t port() const { return server_.port(); }

    /// Writes a row as the operator does.
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        rows_[{"op", "", key}] = {encode_base64(value), ++version_, false};
        changed_.notify_all();
    }

    /// Keeps a copy of everything, to come back from later.
    void take_copy()
    {
        const std::lock_guard lock(mutex_);
        copy_rows_ = rows_;
        copy_version_ = version_;
        say("store: copy taken at version " + std::to_string(version_));
    }

    /// The drill: the store is away, and comes back from the copy. What the
    /// operator wrote since is written again.
    void come_back_from_copy(double away_s)
    {
        say("store: away");
        server_.refuse(true);
        sleep_s(away_s);
        {
            const std::lock_guard lock(mutex_);
            const auto lost = std::exchange(rows_, copy_rows_);
            const auto before = std::exchange(version_, copy_version_);
            ++era_;
            for (const auto& [name, row] : lost) {
                const auto kept = rows_.find(name);
                const bool differs =
                    kept == rows_.end() || kept->second.value != row.value;
                if (std::get<0>(name) == "op" && differs)
                    rows_[name] = {row.value, ++version_, row.is_removed};
            }
            say("store: back from the copy, version " + std::to_string(before) +
                " is now " + std::to_string(version_));
        }
        server_.refuse(false);
    }

    /// Logs the keys of the rows that the system has written.
    std::vector<std::string> own_keys()
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::string> keys;
        for (const auto& [name, row] : rows_) {
            if (std::get<0>(name) != "op" && !row.is_removed)
                keys.push_back(std::get<2>(name));
        }
        return keys;
    }

private:
    using row_name = std::tuple<std::string, std::string, std::string>;
    struct stored_row
    {
        std::string value;
        std::uint64_t version = 0;
        bool is_removed = false;
    };

    static std::string decode(const std::string& text)
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

    static std::string
    parameter(const std::string& target, const std::string& name)
    {
        auto query =
            target.substr(std::min(target.find('?') + 1, target.size()));
        std::istringstream parts(query);
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.starts_with(name + "="))
                return decode(part.substr(name.size() + 1));
        }
        return {};
    }

    static json::object to_json(const row_name& name, const stored_row& row)
    {
        json::object text{
            {"Table", std::get<0>(name)},
            {"part", std::get<1>(name)},
            {"Key", std::get<2>(name)},
            {"Ver", row.version}};
        if (row.is_removed)
            text["Removed"] = true;
        else
            text["Value"] = row.value;
        return text;
    }

    std::pair<int, json::object> get(const std::string& target)
    {
        const auto table = parameter(target, "Table");
        const auto part = parameter(target, "part");
        const auto from = parameter(target, "From");
        const auto end = parameter(target, "Target");
        const auto limit_text = parameter(target, "Limit");
        const std::size_t limit =
            limit_text.empty() ? 500 : std::stoul(limit_text);
        json::array found;
        bool has_more = false;
        for (const auto& [name, row] : rows_) {
            if (std::get<0>(name) != table || std::get<1>(name) != part ||
                row.is_removed || std::get<2>(name) < from ||
                (!end.empty() && std::get<2>(name) >= end))
                continue;
            has_more = found.size() == limit;
            if (has_more)
                break;
            found.push_back(to_json(name, row));
        }
        return {200, {{"Rows", found}, {"HasMore", has_more}}};
    }

    std::pair<int, json::object>
    feed(const std::string& target, std::unique_lock<std::mutex>& lock)
    {
        const auto table = parameter(target, "Table");
        const auto after = std::stoull(parameter(target, "after"));
        const auto wait = std::stoul(parameter(target, "WaitMs"));
        const auto era = era_;
        if (after > version_)
            return {410, {}};
        json::array found;
        const auto has_changes = [&] {
            for (const auto& [name, row] : rows_) {
                if (std::get<0>(name) == table && row.version > after)
                    found.push_back(to_json(name, row));
            }
            return !found.empty() || era != era_;
        };
        changed_.wait_for(
            lock, std::chrono::milliseconds(std::min(wait, 30000UL)),
            has_changes);
        std::sort(
            found.begin(), found.end(),
            [](const json::value& left, const json::value& right) {
                return left.at("Ver").to_number<std::uint64_t>() <
                       right.at("Ver").to_number<std::uint64_t>();
            });
        return {200, {{"Rows", found}}};
    }

    std::pair<int, json::object> transact(const std::string& body)
    {
        const auto transaction = json::parse(body).as_object();
        const auto list = [&](const char* name) {
            const auto* found = transaction.if_contains(name);
            return found != nullptr ? found->as_array() : json::array();
        };
        const auto name_of = [](const json::value& entry) {
            const auto text = [&](const char* field) -> std::string {
                const auto* found = entry.as_object().if_contains(field);
                return found != nullptr
                           ? std::string(found->as_string().c_str())
                           : std::string();
            };
            return row_name{text("Table"), text("part"), text("Key")};
        };
        bool is_met = true;
        json::array current;
        for (const auto& condition : list("ExpectRev")) {
            const auto found = rows_.find(name_of(condition));
            const bool exists =
                found != rows_.end() && !found->second.is_removed;
            const auto expected =
                condition.at("Ver").to_number<std::uint64_t>();
            is_met = is_met && (exists ? found->second.version : 0) == expected;
            if (exists)
                current.push_back(to_json(found->first, found->second));
        }
        if (!is_met)
            return {412, {{"Rows", current}}};
        for (const auto& write : list("Writes")) {
            if (std::get<0>(name_of(write)) == "op")
                return {403, {}};
        }
        ++version_;
        for (const auto& write : list("Writes"))
            rows_[name_of(write)] = {
                write.at("Value").as_string().c_str(), version_, false};
        for (const auto& removal : list("Deletes"))
            rows_[name_of(removal)] = {"", version_, true};
        changed_.notify_all();
        return {200, {}};
    }

    void serve(stream& connection)
    {
        for (;;) {
            const auto request = read_message(connection, now_s() + 60);
            if (!request)
                return;
            sleep_s(0.004);
            std::unique_lock lock(mutex_);
            const auto target = request->target();
            std::pair<int, json::object> answer{404, {}};
            if (target.starts_with("/rows-get"))
                answer = get(target);
            else if (target.starts_with("/rows-feed"))
                answer = feed(target, lock);
            else if (target.starts_with("/rows-tx"))
                answer = transact(request->body);
            answer.second["Ver"] = version_;
            answer.second["NowMs"] =
                static_cast<std::uint64_t>(now_s() * 1000) + 100000;
            const auto text = format_message(
                "HTTP/1.1 " + std::to_string(answer.first) + " X",
                {{"Content-Type", "application/json"},
                 {"Store-Era", std::to_string(era_)}},
                json::serialize(answer.second));
            lock.unlock();
            if (!connection.send(text))
                return;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_name, stored_row> rows_;
    std::map<row_name, stored_row> copy_rows_;
    std::uint64_t version_ = 10;
    std::uint64_t copy_version_ = 10;
    std::uint64_t era_ = 1;
    server server_;
};

/// A proxy in front of one address. It can make the connections that are open
/// go silent for good, while new ones work.
class silencing_proxy
{
public:
    explicit silencing_proxy(std::uint16_t target)
        : target_(target),
          server_([this](stream& connection) { relay(connection); })
    {
    }

    std::string address() const { return server_.address(); }

    /// Nothing passes any more on the connections that are open now.
    /// @return how many there are
    int silence()
    {
        ++silenced_;
        return open_;
    }

private:
    void relay(stream& near)
    {
        const int opened_at = silenced_;
        stream far;
        if (!far.connect(target_, 1))
            return;
        ++open_;
        pollfd entries[2] = {{near.fd(), POLLIN, 0}, {far.fd(), POLLIN, 0}};
        for (;;) {
            ::poll(entries, 2, 20);
            if (silenced_ != opened_at) {
                // Until the side that opened it gives it up.
                --open_;
                while (!has_closed(near))
                    sleep_s(0.05);
                return;
            }
            if (!pass(entries[0], far) || !pass(entries[1], near))
                break;
        }
        --open_;
    }

    static bool pass(const pollfd& from, stream& to)
    {
        if (from.revents == 0)
            return true;
        char bytes[16384];
        const auto size = ::recv(from.fd, bytes, sizeof bytes, 0);
        return size > 0 &&
               to.send(std::string(bytes, static_cast<std::size_t>(size)));
    }

    static bool has_closed(const stream& side)
    {
        tcp_info info{};
        socklen_t size = sizeof info;
        getsockopt(side.fd(), IPPROTO_TCP, TCP_INFO, &info, &size);
        return info.tcpi_state != TCP_ESTABLISHED;
    }

    std::uint16_t target_;
    std::atomic<int> silenced_ = 0;
    std::atomic<int> open_ = 0;
    server server_;
};

/// What an endpoint does with a request that it runs. The function sends the
/// answer.
using work_function = std::function<void(const http_message&, stream&)>;

inline std::string seal_of(const std::string& id)
{
    return "seal." + id;
}

/// Headers of an endpoint's answer.
inline header_list answer_headers(const std::string& id)
{
    return {
        {"X-Attempt-Id", id},
        {"X-Response-Seal", seal_of(id)},
        {"X-Server-Load", "1,0,72"}};
}

/// An application endpoint: runs requests and sends heartbeats to the node
/// beside it.
class endpoint
{
public:
    endpoint(
        std::string service, std::string zone, work_function work,
        std::string id = {})
        : service_(std::move(service)), zone_(std::move(zone)),
          id_(id.empty() ? "i-" + std::to_string(std::random_device{}()) : id),
          work_(std::move(work)),
          server_([this](stream& connection) { serve(connection); })
    {
    }

    std::string address() const { return server_.address(); }
    const std::string& id() const { return id_; }
    const std::string& service() const { return service_; }
    const std::string& zone() const { return zone_; }

    /// Starts the heartbeats to the address of a node.
    void start_heartbeats(std::uint16_t port, double period_s)
    {
        std::thread([this, port, period_s] {
            while (!is_silent_) {
                if (!is_crashed_)
                    send_heartbeat(port, ++sequence_, "ready");
                sleep_s(period_s);
            }
        }).detach();
    }

    /// Crashes. It is back after some seconds, as a new incarnation with the
    /// same id.
    void crash(double down_s)
    {
        is_crashed_ = true;
        server_.crash(down_s, [this] {
            born_ = unix_time_ms();
            sequence_ = 0;
            is_crashed_ = false;
        });
    }

    /// Ends the heartbeats.
    /// @return the count of one that is under way and arrives late
    int stop_heartbeats()
    {
        is_silent_ = true;
        return ++sequence_;
    }

    /// Says that it leaves, without having said that it drains.
    bool deregister(std::uint16_t port)
    {
        return call(
            port, "/instances/" + id_ + "/deregister",
            json::object{{"born", born_.load()}});
    }

    bool
    send_heartbeat(std::uint16_t port, int sequence, const std::string& state)
    {
        const json::object body{
            {"Service", service_}, {"Addr", address()}, {"Zone", zone_},
            {"Version", "v1"},     {"Slots", 72},       {"State", state},
            {"WarmupLeftMs", 0},   {"Seq", sequence},   {"born", born_.load()}};
        return call(port, "/instances/" + id_ + "/heartbeat", body);
    }

private:
    /// @return whether the node has acknowledged the call
    static bool
    call(std::uint16_t port, const std::string& path, const json::object& body)
    {
        stream connection;
        if (!connection.connect(port, 1))
            return false;
        connection.send(format_message(
            "POST " + path + " HTTP/1.1",
            {{"Host", "node"}, {"Content-Type", "application/json"}},
            json::serialize(body)));
        const auto answer = read_message(connection, now_s() + 1);
        return answer && answer->status() / 100 == 2;
    }

    void serve(stream& connection)
    {
        for (;;) {
            const auto request = read_message(connection, now_s() + 30);
            if (!request)
                return;
            const auto id = request->header("x-attempt-id");
            if (request->target() == "/healthz") {
                connection.send(format_message(
                    is_silent_ ? "HTTP/1.1 503 Leaving" : "HTTP/1.1 200 OK",
                    {{"X-Instance-Id", id_}, {"X-Server-Load", "0,0,72"}}, ""));
                continue;
            }
            const auto expected = request->header("x-expect-instance");
            if (!expected.empty() && expected != id_) {
                connection.send(format_message(
                    "HTTP/1.1 421 Misdirected", {{"X-Attempt-Id", id}}, ""));
                continue;
            }
            work_(*request, connection);
        }
    }

    std::string service_;
    std::string zone_;
    std::string id_;
    std::atomic<std::int64_t> born_ = unix_time_ms();
    work_function work_;
    std::atomic<int> sequence_ = 0;
    std::atomic<bool> is_crashed_ = false;
    /// Set when the endpoint leaves.
    std::atomic<bool> is_silent_ = false;
    server server_;
};

/// A node as a process, with the settings of the deploy file's template.
class node
{
public:
    struct settings
    {
        std::string name;
        std::string zone;
        std::string service;
        std::string backend;
        std::string store;
        double retry_slack = 50;
    };

    node(settings chosen, const std::string& folder)
        : settings_(std::move(chosen)), callers_(free_port()),
          heartbeats_(free_port()), ready_(free_port()), folder_(folder),
          file_(folder + "/" + settings_.name + ".json")
    {
        std::ofstream(file_)
            << "{\n  \"name\": \"" << settings_.name
            << "\",\n  \"availability_zone\": \"" << settings_.zone
            << "\",\n  \"service\": \"" << settings_.service
            << "\",\n  \"backend\": \"" << settings_.backend
            << "\",\n  \"store\": \"" << settings_.store
            << "\",\n  \"callers\": \"127.0.0.1:" << callers_
            << "\",\n  \"ready\": \"127.0.0.1:" << ready_
            << "\",\n  \"heartbeats\": \"127.0.0.1:" << heartbeats_
            << "\",\n  \"peers\": \"127.0.0.1:" << free_port()
            << "\",\n  \"metrics\": \"127.0.0.1:" << free_port()
            << "\",\n  \"revocation_bound_ms\": 5000,\n"
               "  \"retry_ratio\": 0.2,\n  \"retry_slack\": "
            << settings_.retry_slack
            << ",\n  \"retry_window_s\": 10,\n  \"stop_limit_s\": 6,\n"
               "  \"heartbeat_period_ms\": 1500,\n}\n";
    }
    ~node() { end(); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    const std::string& name() const { return settings_.name; }
    std::uint16_t callers() const { return callers_; }
    std::uint16_t heartbeats() const { return heartbeats_; }

    void start()
    {
        const auto log = folder_ + "/" + settings_.name + "." +
                         std::to_string(++starts_) + ".log";
        pid_ = ::fork();
        if (pid_ != 0) {
            record().line(
                "node %s started, process %d", settings_.name.c_str(), pid_);
            return;
        }
        // Ends with the script, whatever ends that.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        for (int fd = 3; fd < 256; ++fd)
            ::close(fd);
        const char* program = "target/bin/fulmard";
        ::execl(
            program, program, "--mesh", file_.c_str(),
            static_cast<char*>(nullptr));
        std::_Exit(127);
    }

    void signal(int number)
    {
        if (pid_ > 0)
            ::kill(pid_, number);
        record().line("node %s gets signal %d", settings_.name.c_str(), number);
    }

    /// Waits for the end of the process.
    bool wait_for_end(double timeout)
    {
        const double until = now_s() + timeout;
        while (now_s() < until) {
            int status = 0;
            if (::waitpid(pid_, &status, WNOHANG) == pid_) {
                record().line(
                    "node %s ended, status %d", settings_.name.c_str(), status);
                pid_ = -1;
                return true;
            }
            sleep_s(0.01);
        }
        return false;
    }

    void end()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

    /// Returns the answer to the platform's question.
    bool is_ready() const
    {
        stream connection;
        if (!connection.connect(ready_, 1))
            return false;
        connection.send("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n");
        const auto answer = read_message(connection, now_s() + 1);
        return answer && answer->status() == 200;
    }

    bool wait_until_ready(double timeout) const
    {
        const double until = now_s() + timeout;
        while (now_s() < until) {
            if (is_ready())
                return true;
            sleep_s(0.05);
        }
        return false;
    }

    std::string log() const
    {
        std::string text;
        for (int i = 1; i <= starts_; ++i) {
            std::ifstream file(
                folder_ + "/" + settings_.name + "." + std::to_string(i) +
                ".log");
            std::ostringstream all;
            all << file.rdbuf();
            text += all.str();
        }
        return text;
    }

private:
    settings settings_;
    std::uint16_t callers_;
    std::uint16_t heartbeats_;
    std::uint16_t ready_;
    std::string folder_;
    std::string file_;
    pid_t pid_ = -1;
    int starts_ = 0;
};

inline std::string new_id()
{
    static std::atomic<std::uint64_t> next{
        std::uint64_t{std::random_device{}()} << 24};
    char text[32];
    std::snprintf(
        text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
    return text;
}

/// Returns a client's GET request.
/// @param key the client's key; empty for none
inline std::string client_request(
    const std::string& target, const std::string& id, int deadline_ms,
    const std::string& key = {})
{
    std::string text = "GET ";
    text += target;
    text += " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: ";
    text += id;
    text += "\r\nX-Deadline-Ms: ";
    text += std::to_string(deadline_ms);
    if (!key.empty()) {
        text += "\r\nAuthorization: Bearer ";
        text += key;
    }
    return text + "\r\n\r\n";
}

/// Whether the script plays the disruption.
inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Ends the script without waiting for its threads.
[[noreturn]] inline void finish(int code)
{
    record().flush();
    std::fflush(stdout);
    std::_Exit(code);
}

} // namespace review
