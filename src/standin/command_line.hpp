/// @file
/// Command line parsing of the stand-ins with popt.
#pragma once

#include <fulmarjunction/core/address.hpp>

#include <fmt/format.h>
#include <popt.h>

#include <cstdlib>
#include <memory>
#include <optional>
#include <string>

namespace fulmarjunction::detail {

/// Exit code after an invalid command line.
constexpr int usage_exit_code = 2;

/// Parses all options. Prints a message and exits if one is invalid.
inline void parse_options(int argc, char** argv, const poptOption* options)
{
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(
            nullptr, argc, const_cast<const char**>(argv), options, 0),
        &poptFreeContext);
    const int status = poptGetNextOpt(context.get());
    if (status < -1) {
        fmt::print(
            stderr, "{}: {}\n", poptBadOption(context.get(), 0),
            poptStrerror(status));
        std::exit(usage_exit_code);
    }
    if (const char* argument = poptGetArg(context.get())) {
        fmt::print(stderr, "{}: unexpected argument\n", argument);
        std::exit(usage_exit_code);
    }
}

/// Parses the address given by an option. Prints a message and exits if it is
/// invalid.
inline boost::asio::ip::tcp::endpoint
parse_address_option(const char* name, const char* text)
{
    const auto address = parse_address(text == nullptr ? "" : text);
    if (!address) {
        fmt::print(
            stderr, "--{}: \"{}\" is not an address such as 127.0.0.1:0\n",
            name, text == nullptr ? "" : text);
        std::exit(usage_exit_code);
    }
    return *address;
}

} // namespace fulmarjunction::detail
