// Checks and parses arbitrary bytes as a request and as a response, with the
// body that follows.
#include <http/message_parser.hpp>

#include <array>
#include <cstdlib>

namespace detail = fulmarjunction::detail;

namespace {

void parse(std::string_view bytes, detail::message_kind kind)
{
    constexpr std::size_t limit = 4096;
    const auto check = detail::check_head(bytes, limit, kind);
    if (check.verdict != detail::head_verdict::acceptable)
        return;
    if (check.size > bytes.size() || check.size > limit)
        std::abort();
    detail::message_parser parser(kind);
    if (!parser.parse_head(bytes.substr(0, check.size)))
        return;
    bytes.remove_prefix(check.size);
    std::array<char, 64> output{};
    while (!parser.is_done()) {
        const auto parsed =
            parser.parse_body(bytes, boost::asio::buffer(output));
        if (parsed.consumed > bytes.size() || parsed.produced > output.size())
            std::abort();
        bytes.remove_prefix(parsed.consumed);
        if (parsed.malformed || (parsed.consumed == 0 && parsed.produced == 0))
            return;
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    parse(bytes, detail::message_kind::request);
    parse(bytes, detail::message_kind::response);
    return 0;
}
