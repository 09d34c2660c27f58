#include <fulmarjunction/rates/borrow_messages.hpp>
#include <fulmarjunction/rates/share_ledger.hpp>

#include <boost/json/parse.hpp>

#include <cstdlib>

namespace fj = fulmarjunction;

/// Checks that serializing and parsing an accepted message returns an equal
/// message.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    if (const auto request = fj::parse_borrow_request(text)) {
        const auto reparsed =
            fj::parse_borrow_request(to_text(request.value()));
        if (!reparsed || !(reparsed.value() == request.value()))
            std::abort();
    }
    if (const auto answer = fj::parse_borrow_answer(text)) {
        const auto reparsed = fj::parse_borrow_answer(to_text(answer.value()));
        if (!reparsed || !(reparsed.value() == answer.value()))
            std::abort();
    }
    boost::json::error_code error;
    const auto document = boost::json::parse(text, error);
    if (error)
        return 0;
    if (const auto ledger = fj::parse_share_ledger(document)) {
        const auto reparsed = fj::parse_share_ledger(to_json(ledger.value()));
        if (!reparsed || !(reparsed.value() == ledger.value()))
            std::abort();
    }
    return 0;
}
