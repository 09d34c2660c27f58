// Parses arbitrary bytes as a hello; what parses must survive a round trip.
#include <peer/handshake.hpp>

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, size_t size)
{
    namespace detail = fulmarjunction::detail;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto whole = detail::hello_size(bytes);
    const auto hello = detail::parse_hello(bytes);
    if (hello && (!whole || detail::format_hello(*hello) != bytes))
        std::abort();
    return 0;
}
