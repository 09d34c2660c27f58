#include <fulmarjunction/core/address.hpp>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <charconv>
#include <cstdint>

namespace fulmarjunction {

namespace {

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, port);
    if (failure != std::errc() || stop != end)
        return std::nullopt;
    return port;
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint>
parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const auto port = parse_port(text.substr(colon + 1));
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(std::string(host), failure);
    if (failure || !port || ip.is_v6() != bracketed)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, *port);
}

std::string format_address(const boost::asio::ip::tcp::endpoint& address)
{
    const auto host = address.address().to_string();
    if (address.address().is_v6())
        return fmt::format("[{}]:{}", host, address.port());
    return fmt::format("{}:{}", host, address.port());
}

} // namespace fulmarjunction
