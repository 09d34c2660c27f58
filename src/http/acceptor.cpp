#include <http/acceptor.hpp>

namespace fulmarjunction::detail {

using boost::asio::ip::tcp;

result<tcp::endpoint> open_acceptor(
    tcp::acceptor& acceptor, const tcp::endpoint& address,
    const std::string& step)
{
    boost::system::error_code failure;
    const auto failed = [&] {
        return fail(
            errc::unavailable, step, address.address().to_string(),
            failure.message());
    };
    acceptor.open(address.protocol(), failure);
    if (failure)
        return failed();
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    acceptor.bind(address, failure);
    if (failure)
        return failed();
    acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
    if (failure)
        return failed();
    return acceptor.local_endpoint();
}

} // namespace fulmarjunction::detail
