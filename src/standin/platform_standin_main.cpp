#include "command_line.hpp"

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/standin/platform_standin.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace fj = fulmarjunction;

int main(int argc, char** argv)
{
    const char* listen = "127.0.0.1:0";
    const poptOption options[] = {
        {"listen", 'l', POPT_ARG_STRING, &listen, 0, "address to listen on",
         "IP:PORT"},
        POPT_AUTOHELP POPT_TABLEEND};
    fj::detail::parse_options(argc, argv, options);
    const auto listen_address =
        fj::detail::parse_address_option("listen", listen);

    boost::asio::io_context io(1);
    fj::platform_standin standin(io.get_executor());
    const auto address = standin.listen(listen_address);
    if (!address) {
        fj::log(
            fj::log_level::error, "listen_failed",
            {{"error", to_string(address.error())}});
        return 1;
    }
    fj::log(
        fj::log_level::info, "listening",
        {{"role", "platform"},
         {"address", fj::format_address(address.value())}});
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) {
        standin.close();
        io.stop();
    });
    io.run();
    return 0;
}
