/// @file
/// fulmard: the daemon beside each backend server instance.

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/log_output.hpp>
#include <fulmarjunction/core/run_context.hpp>
#include <fulmarjunction/core/version.hpp>
#include <fulmarjunction/daemon/node.hpp>
#include <fulmarjunction/mesh/mesh_node.hpp>
#include <fulmarjunction/settings/settings.hpp>

#include <platform/adapter.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <popt.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

namespace fj = fulmarjunction;

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

struct command_line
{
    std::string settings_file;
    /// Whether the node takes its configuration from a shared store.
    bool is_mesh = false;
    bool check_only = false;
    bool print_reference = false;
    bool print_version = false;
};

/// Returns the parsed command line and `exit_ok`, or an exit code for a usage
/// error.
std::pair<command_line, int> read_command_line(int argc, const char** argv)
{
    char* settings_file = nullptr;
    char* checked_file = nullptr;
    char* mesh_file = nullptr;
    int reference = 0;
    int version = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &settings_file, 0,
         "run with the settings in FILE", "FILE"},
        {"mesh", 'm', POPT_ARG_STRING, &mesh_file, 0,
         "run with the settings in FILE, and take the configuration from the "
         "store that they name",
         "FILE"},
        {"check-settings", 'c', POPT_ARG_STRING, &checked_file, 0,
         "check FILE and exit, with exit code 2 if it is not valid", "FILE"},
        {"settings-reference", 0, POPT_ARG_NONE, &reference, 0,
         "print every setting with its unit, range and default", nullptr},
        {"version", 'V', POPT_ARG_NONE, &version, 0,
         "print the version and the id of the sources", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("fulmard", argc, argv, options, 0), poptFreeContext);
    const int parse_status = poptGetNextOpt(context.get());
    command_line parsed;
    if (parse_status < -1 || poptPeekArg(context.get()) != nullptr) {
        fmt::print(
            stderr, "fulmard: {}: {}\n",
            poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
            parse_status < -1 ? poptStrerror(parse_status)
                              : "unknown argument");
        return {parsed, exit_bad_settings};
    }
    parsed.print_reference = reference != 0;
    parsed.print_version = version != 0;
    parsed.check_only = checked_file != nullptr;
    if (parsed.check_only)
        parsed.settings_file = checked_file;
    else if (settings_file != nullptr)
        parsed.settings_file = settings_file;
    else if (mesh_file != nullptr)
        parsed.settings_file = mesh_file;
    parsed.is_mesh = mesh_file != nullptr;
    const bool is_run = !parsed.print_reference && !parsed.print_version;
    if (parsed.settings_file.empty() && is_run) {
        fmt::print(stderr, "fulmard: --settings FILE is required\n");
        return {parsed, exit_bad_settings};
    }
    return {parsed, exit_ok};
}

/// Runs a node until it has stopped.
/// @param Node has `start` and `stop`
/// @param reload is called on SIGHUP
template <class Node>
int run_node(
    boost::asio::io_context& context, Node& node,
    const std::function<void()>& reload)
{
    if (const auto started = node.start(); !started) {
        fj::log(
            fj::log_level::error, "start_failed",
            {{"error", to_string(started.error())}});
        return exit_failed;
    }
    bool is_stopping = false;
    bool is_forced = false;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    std::function<void()> wait_for_signal = [&] {
        signals.async_wait(
            [&](const boost::system::error_code& ec, int number) {
                if (ec)
                    return;
                if (number == SIGHUP) {
                    reload();
                    wait_for_signal();
                    return;
                }
                if (std::exchange(is_stopping, true)) {
                    fj::log(fj::log_level::warning, "stop_forced");
                    is_forced = true;
                    context.stop();
                    return;
                }
                node.stop([&] { context.stop(); });
                wait_for_signal();
            });
    };
    wait_for_signal();
    fj::run_context(context);
    return is_forced ? exit_failed : exit_ok;
}

/// Logs which code runs.
void log_version()
{
    fj::log(
        fj::log_level::info, "starting",
        {{"version", fj::program_version()}, {"source", fj::source_id()}});
}

int run(fj::node_settings settings)
{
    boost::asio::io_context context(1);
    fj::set_log_level(settings.log.level);
    log_version();
    fj::node node(context, std::move(settings));
    return run_node(context, node, [] {
        fj::log(
            fj::log_level::info, "reload_ignored",
            {{"reason", "settings are read at startup only"}});
    });
}

void reload_mesh(fj::mesh_node& node, const std::string& settings_file)
{
    const auto settings = fj::load_mesh_settings(settings_file);
    if (settings) {
        node.reload(settings.value());
    } else {
        fj::log(
            fj::log_level::error, "reload_refused",
            {{"error", to_string(settings.error())}});
    }
}

int run_mesh(const std::string& settings_file)
{
    auto settings = fj::load_mesh_settings(settings_file);
    if (!settings) {
        fmt::print(stderr, "fulmard: {}\n", to_string(settings.error()));
        return exit_bad_settings;
    }
    fj::log_output output(STDOUT_FILENO);
    fj::set_log_sink([&output](std::string_view line) { output.add(line); });
    fj::set_log_budget(settings.value().log_lines);
    log_version();
    boost::asio::io_context context(1);
    auto adapter =
        fj::adapter::make_adapter(context.get_executor(), settings.value());
    fj::mesh_node node(
        context, std::move(settings.value()), std::move(adapter));
    node.on_tick = [&output] { output.flush(); };
    const auto code =
        run_node(context, node, [&] { reload_mesh(node, settings_file); });
    output.flush();
    fj::set_log_sink(nullptr);
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    const auto [parsed, code] =
        read_command_line(argc, const_cast<const char**>(argv));
    if (code != exit_ok)
        return code;
    if (parsed.print_version) {
        fmt::print(
            "fulmard {}, source {}\n", fj::program_version(), fj::source_id());
        return exit_ok;
    }
    if (parsed.print_reference) {
        fmt::print("{}", fj::settings_reference());
        return exit_ok;
    }
    // A write to a connection that the peer has closed must not terminate the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    if (parsed.is_mesh)
        return run_mesh(parsed.settings_file);
    auto settings = fj::load_settings(parsed.settings_file);
    if (!settings) {
        fmt::print(stderr, "fulmard: {}\n", settings.error().detail);
        return exit_bad_settings;
    }
    if (parsed.check_only) {
        fmt::print("{}: ok\n", parsed.settings_file);
        return exit_ok;
    }
    return run(std::move(settings.value()));
}
