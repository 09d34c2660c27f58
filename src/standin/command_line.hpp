/// @file
/// Command lines of the stand-ins, read with popt.
#pragma once

#include <fulmarjunction/core/address.hpp>

#include <fmt/format.h>
#include <popt.h>

#include <cstdlib>
#include <memory>
#include <optional>
#include <string>

namespace fulmarjunction::detail {

/// Exit status of a wrong command line.
constexpr int usage_status = 2;

/// Reads all options; prints the reason and exits on a wrong one.
inline void read_options(int argc, char** argv, const poptOption* options)
{
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(
            nullptr, argc, const_cast<const char**>(argv), options, 0),
        &poptFreeContext);
    const int ended = poptGetNextOpt(context.get());
    if (ended < -1) {
        fmt::print(
            stderr, "{}: {}\n", poptBadOption(context.get(), 0),
            poptStrerror(ended));
        std::exit(usage_status);
    }
    if (const char* rest = poptGetArg(context.get())) {
        fmt::print(stderr, "{}: unexpected argument\n", rest);
        std::exit(usage_status);
    }
}

/// Returns the address of an option; prints the reason and exits otherwise.
inline boost::asio::ip::tcp::endpoint
address_option(const char* name, const char* text)
{
    const auto address = parse_address(text == nullptr ? "" : text);
    if (!address) {
        fmt::print(
            stderr, "--{}: \"{}\" is not an address such as 127.0.0.1:0\n",
            name, text == nullptr ? "" : text);
        std::exit(usage_status);
    }
    return *address;
}

} // namespace fulmarjunction::detail
