#include <fulmarjunction/unique/idempotency_key.hpp>

#include <cstdlib>

namespace fj = fulmarjunction;

/// Checks that an accepted key has exactly one text: the one it was parsed
/// from.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static const auto secret = fj::derive_key_secret("fuzz");
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    if (const auto key = fj::parse_key(text, secret)) {
        if (format_key(key.value(), secret).value() != text)
            std::abort();
    }
    return 0;
}
