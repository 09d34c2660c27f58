// Parses arbitrary bytes as a hello. Whatever parses must serialize to the
// same bytes.
#include <peer/handshake.hpp>

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, size_t size)
{
    namespace detail = fulmarjunction::detail;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto total_size = detail::hello_size(bytes);
    const auto hello = detail::parse_hello(bytes);
    if (hello && (!total_size || detail::format_hello(*hello) != bytes))
        std::abort();
    return 0;
}
