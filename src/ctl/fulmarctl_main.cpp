#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/core/field_reader.hpp>
#include <fulmarjunction/core/version.hpp>
#include <fulmarjunction/ctl/commands.hpp>
#include <fulmarjunction/http/http.hpp>
#include <fulmarjunction/platform/http_platform.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <popt.h>
#include <sodium.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>

namespace fj = fulmarjunction;
namespace asio = boost::asio;

namespace {

// Options as popt stores them.
struct raw_options
{
    const char* platform = nullptr;
    const char* pepper_file = "";
    const char* operator_name = nullptr;
    const char* change_id = nullptr;
    const char* nodes = "";
    const char* node = "";
    int json = 0;
    int help = 0;
    int version = 0;
    int timeout_ms = 2000;
    int limit = 20;
    int wait_s = 0;
};

struct command_line
{
    raw_options raw;
    std::vector<std::string> words;
};

int to_int(fj::exit_status status)
{
    return static_cast<int>(status);
}

[[noreturn]] void exit_usage(std::string_view text)
{
    fmt::print(stderr, "{}\n", text);
    std::exit(to_int(fj::exit_status::usage));
}

command_line read_command_line(int argc, char** argv)
{
    command_line line;
    auto& raw = line.raw;
    const poptOption options[] = {
        {"platform", 0, POPT_ARG_STRING, &raw.platform, 0, {}, {}},
        {"pepper-file", 0, POPT_ARG_STRING, &raw.pepper_file, 0, {}, {}},
        {"operator", 0, POPT_ARG_STRING, &raw.operator_name, 0, {}, {}},
        {"change-id", 0, POPT_ARG_STRING, &raw.change_id, 0, {}, {}},
        {"nodes", 0, POPT_ARG_STRING, &raw.nodes, 0, {}, {}},
        {"node", 0, POPT_ARG_STRING, &raw.node, 0, {}, {}},
        {"json", 0, POPT_ARG_NONE, &raw.json, 0, {}, {}},
        {"help", 'h', POPT_ARG_NONE, &raw.help, 0, {}, {}},
        {"version", 'V', POPT_ARG_NONE, &raw.version, 0, {}, {}},
        {"timeout-ms", 0, POPT_ARG_INT, &raw.timeout_ms, 0, {}, {}},
        {"limit", 0, POPT_ARG_INT, &raw.limit, 0, {}, {}},
        {"wait", 0, POPT_ARG_INT, &raw.wait_s, 0, {}, {}},
        POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(
            "fulmarctl", argc, const_cast<const char**>(argv), options, 0),
        &poptFreeContext);
    const int parse_status = poptGetNextOpt(context.get());
    if (parse_status < -1)
        exit_usage(fmt::format(
            "{}: {}", poptBadOption(context.get(), 0),
            poptStrerror(parse_status)));
    while (const char* word = poptGetArg(context.get()))
        line.words.emplace_back(word);
    return line;
}

std::string usage_of(const fj::command_definition& command)
{
    std::string text = command.name;
    for (const auto& argument : command.arguments)
        text += " " + argument;
    return text;
}

void print_options()
{
    fmt::print(
        "\nOptions:\n"
        "  --platform IP:PORT    address of the platform's table service\n"
        "  --pepper-file FILE    secret for hashing keys (keys give)\n"
        "  --operator NAME       who makes the change (default: $USER)\n"
        "  --change-id ID        id of the change; a retried command with\n"
        "                        the same id is applied only once\n"
        "  --nodes IP:PORT,...   operators' listeners (status, keys withdraw)\n"
        "  --node IP:PORT        operators' listener (drain)\n"
        "  --limit N             changes to show (audit, default 20)\n"
        "  --wait SECONDS        wait for all nodes (keys withdraw)\n"
        "  --timeout-ms MS       time limit of one call (default 2000)\n"
        "  --json                print one JSON document\n"
        "  --version             print the version and the id of the sources\n"
        "\nExit status: 0 done, 1 failed, 2 usage error, 3 conflict with "
        "another\noperator, 4 outcome unknown, 5 not confirmed by all "
        "nodes.\n");
}

int print_help(const std::vector<std::string>& words)
{
    const auto* command = fj::find_command(words);
    if (command != nullptr) {
        fmt::print(
            "Usage: fulmarctl [OPTION...] {}\n\n{}\n", usage_of(*command),
            command->help);
    } else {
        fmt::print("Usage: fulmarctl [OPTION...] COMMAND\n\nCommands:\n");
        for (const auto& definition : fj::command_definitions())
            fmt::print("  {:<30} {}\n", usage_of(definition), definition.help);
    }
    print_options();
    return 0;
}

std::string random_id()
{
    if (sodium_init() < 0)
        exit_usage("libsodium cannot be initialized");
    std::array<unsigned char, 8> bytes{};
    std::array<char, 2 * bytes.size() + 1> digits{};
    randombytes_buf(bytes.data(), bytes.size());
    sodium_bin2hex(digits.data(), digits.size(), bytes.data(), bytes.size());
    return digits.data();
}

std::vector<std::string> split_addresses(std::string_view text)
{
    std::vector<std::string> addresses;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        addresses.emplace_back(text.substr(0, comma));
        if (!fj::parse_address(addresses.back()))
            exit_usage("--nodes: not an address: " + addresses.back());
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return addresses;
}

std::string operator_name(const raw_options& raw)
{
    const char* user = std::getenv("USER");
    const char* name = raw.operator_name != nullptr ? raw.operator_name : user;
    if (name == nullptr)
        return {};
    if (!fj::is_identifier(name))
        exit_usage("--operator: a name of letters, digits and . _ -");
    return name;
}

fj::ctl_options check_options(const raw_options& raw)
{
    constexpr int max_limit = 10'000;
    constexpr int max_wait_s = 3600;
    constexpr int max_timeout_ms = 600'000;
    if (raw.limit < 1 || raw.limit > max_limit)
        exit_usage("--limit: 1 to 10000");
    if (raw.wait_s < 0 || raw.wait_s > max_wait_s)
        exit_usage("--wait: 0 to 3600 seconds");
    if (raw.timeout_ms < 1 || raw.timeout_ms > max_timeout_ms)
        exit_usage("--timeout-ms: 1 to 600000");
    fj::ctl_options options;
    options.pepper_file = raw.pepper_file;
    options.operator_name = operator_name(raw);
    options.change_id = raw.change_id != nullptr ? raw.change_id : random_id();
    if (!fj::is_identifier(options.change_id))
        exit_usage("--change-id: an id of letters, digits and . _ -");
    options.nodes = split_addresses(raw.nodes);
    options.node = raw.node;
    options.limit = static_cast<std::size_t>(raw.limit);
    options.wait = fj::seconds(raw.wait_s);
    return options;
}

fj::result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return fj::fail(
            fj::errc::not_found, "read file", {}, path + ": cannot be opened");
    return std::string(
        std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

fj::result<boost::json::value> parse_node_answer(
    const std::string& address, int status, const std::string& text)
{
    constexpr int first_failure = 300;
    boost::system::error_code failure;
    auto document = boost::json::parse(text, failure);
    if (status >= first_failure)
        return fj::fail(
            fj::errc::unavailable, "query node", address,
            fmt::format("status {}", status));
    // An answer without a JSON body is valid for `drain`.
    if (failure)
        return boost::json::value(nullptr);
    return document;
}

fj::awaitable<fj::result<boost::json::value>> query_node(
    asio::any_io_executor executor, fj::milliseconds timeout,
    std::string address, std::string method, std::string target)
{
    constexpr std::size_t max_size = 1024 * 1024;
    const auto endpoint = fj::parse_address(address);
    if (!endpoint)
        co_return fj::fail(
            fj::errc::invalid_argument, "query node", address,
            "not an address");
    fj::http_client client(executor, *endpoint, {}, timeout);
    fj::streamed_request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.headers.push_back({"host", address});
    request.content_length = 0;
    request.body = fj::empty_body();
    const auto deadline = fj::clock::now() + timeout;
    auto answer = co_await client.send(
        std::move(request), deadline, nullptr, deadline + timeout);
    if (!answer)
        co_return answer.error();
    const auto body =
        co_await fj::read_body(std::move(answer.value().body), max_size);
    if (!body)
        co_return body.error();
    co_return parse_node_answer(address, answer.value().status, body.value());
}

fj::table_service make_table(
    asio::io_context& io, const raw_options& raw,
    const fj::platform_hooks& hooks, bool needed)
{
    const auto platform =
        fj::parse_address(raw.platform == nullptr ? "" : raw.platform);
    if (!platform && !needed)
        return {};
    if (!platform)
        exit_usage("--platform: an address such as 127.0.0.1:9000");
    const fj::milliseconds timeout(raw.timeout_ms);
    fj::platform_policy policy;
    policy.attempt_timeout = timeout;
    return fj::make_bounded_table_service(
        fj::make_http_table_service(io.get_executor(), *platform, timeout),
        policy, hooks);
}

fj::ctl_environment
make_environment(asio::io_context& io, const raw_options& raw, bool needs_table)
{
    const fj::milliseconds timeout(raw.timeout_ms);
    fj::ctl_environment environment;
    environment.options = check_options(raw);
    environment.hooks = fj::make_platform_hooks();
    environment.table = make_table(io, raw, environment.hooks, needs_table);
    environment.wall_time_ms = [] {
        return std::chrono::duration_cast<fj::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    };
    environment.read_file = read_file;
    environment.query_node =
        [&io,
         timeout](std::string address, std::string method, std::string target) {
            return query_node(
                io.get_executor(), timeout, std::move(address),
                std::move(method), std::move(target));
        };
    return environment;
}

void print_output(const fj::command_output& output, bool json)
{
    const bool ok = output.status == fj::exit_status::ok ||
                    output.status == fj::exit_status::not_confirmed;
    if (json) {
        fmt::print("{}\n", boost::json::serialize(output.document));
        return;
    }
    for (const auto& line : output.lines)
        fmt::print(ok ? stdout : stderr, "{}\n", line);
}

fj::awaitable<void>
run(fj::ctl_environment& environment, std::vector<std::string> words,
    fj::command_output& output)
{
    output = co_await fj::run_command(environment, std::move(words));
}

} // namespace

int main(int argc, char** argv)
{
    const auto line = read_command_line(argc, argv);
    if (line.raw.help != 0)
        return print_help(line.words);
    if (line.raw.version != 0) {
        fmt::print(
            "fulmarctl {}, source {}\n", fj::program_version(),
            fj::source_id());
        return to_int(fj::exit_status::ok);
    }
    const auto* command = fj::find_command(line.words);
    if (command == nullptr)
        exit_usage("unknown command; see fulmarctl --help");
    asio::io_context io(1);
    auto environment = make_environment(
        io, line.raw, command->access != fj::command_access::none);
    fj::command_output output;
    output.status = fj::exit_status::failed;
    asio::co_spawn(
        io, run(environment, line.words, output),
        [&io](const std::exception_ptr& thrown) {
            // Kept-alive connections would keep the event loop running.
            io.stop();
            if (thrown)
                std::rethrow_exception(thrown);
        });
    io.run();
    print_output(output, line.raw.json != 0);
    return to_int(output.status);
}
