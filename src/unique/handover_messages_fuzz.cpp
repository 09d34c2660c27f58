#include <fulmarjunction/unique/handover_messages.hpp>

#include <boost/json/parse.hpp>

#include <cstdlib>

namespace fj = fulmarjunction;

/// Checks that every accepted piece is unchanged by a round trip through
/// serialization and parsing.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    if (const auto piece = fj::parse_handover_piece(text)) {
        const auto written = to_text(piece.value());
        if (written.size() > fj::max_handover_piece_bytes)
            return 0;
        const auto reparsed = fj::parse_handover_piece(written);
        if (!reparsed || to_text(reparsed.value()) != written)
            std::abort();
    }
    static_cast<void>(fj::parse_handover_receipt(text));
    boost::json::error_code problem;
    const auto document = boost::json::parse(text, problem);
    if (!problem)
        static_cast<void>(fj::parse_handover_row(document));
    return 0;
}
