#include <fulmarjunction/core/run_context.hpp>

#include <fulmarjunction/core/log.hpp>

#include <exception>

namespace fulmarjunction {

void run_context(boost::asio::io_context& context)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception& failure) {
            log(log_level::error, "handler_failed", {{"what", failure.what()}});
        }
    }
}

} // namespace fulmarjunction
