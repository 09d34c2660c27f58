#include "command_line.hpp"

#include <fulmarjunction/core/field_reader.hpp>
#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/standin/backend_standin.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <exception>

namespace fj = fulmarjunction;

namespace {

constexpr fj::milliseconds drain_limit(30'000);

fj::backend_standin_options parse_command_line(int argc, char** argv)
{
    const char* service = "";
    const char* node = nullptr;
    const char* listen = "127.0.0.1:0";
    int slots = 60;
    int start_ms = 0;
    const poptOption options[] = {
        {"service", 's', POPT_ARG_STRING, &service, 0, "service name", "NAME"},
        {"node", 'n', POPT_ARG_STRING, &node, 0,
         "egress address of the node on the same instance", "IP:PORT"},
        {"listen", 'l', POPT_ARG_STRING, &listen, 0, "address to listen on",
         "IP:PORT"},
        {"slots", 0, POPT_ARG_INT, &slots, 0,
         "maximum number of concurrent requests", "N"},
        {"start-ms", 0, POPT_ARG_INT, &start_ms, 0,
         "duration of the cold start, during which requests are refused", "MS"},
        POPT_AUTOHELP POPT_TABLEEND};
    fj::detail::parse_options(argc, argv, options);
    if (!fj::is_identifier(service) || slots < 1 || start_ms < 0) {
        fmt::print(
            stderr, "--service must be a name, --slots at least 1 and "
                    "--start-ms at least 0\n");
        std::exit(fj::detail::usage_exit_code);
    }
    fj::backend_standin_options parsed;
    parsed.service = service;
    parsed.node = fj::detail::parse_address_option("node", node);
    parsed.listen = fj::detail::parse_address_option("listen", listen);
    parsed.slots = static_cast<std::size_t>(slots);
    parsed.start_delay = fj::milliseconds(start_ms);
    return parsed;
}

fj::awaitable<void>
stop(boost::asio::io_context& io, fj::backend_standin& standin)
{
    fj::log(fj::log_level::info, "draining");
    const auto drained = co_await standin.drain(drain_limit);
    fj::log(
        drained ? fj::log_level::info : fj::log_level::warning, "stopped",
        {{"drained", drained.has_value()}});
    standin.close();
    io.stop();
}

} // namespace

int main(int argc, char** argv)
{
    boost::asio::io_context io(1);
    fj::backend_standin standin(
        io.get_executor(), parse_command_line(argc, argv));
    const auto address = standin.start();
    if (!address) {
        fj::log(
            fj::log_level::error, "listen_failed",
            {{"error", to_string(address.error())}});
        return 1;
    }
    fj::log(
        fj::log_level::info, "listening",
        {{"role", "backend"},
         {"address", fj::format_address(address.value())}});
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code failure, int) {
        if (failure)
            return;
        boost::asio::co_spawn(
            io, stop(io, standin), [](const std::exception_ptr& thrown) {
                if (thrown)
                    std::rethrow_exception(thrown);
            });
    });
    io.run();
    return 0;
}
