// Guards against crashes on arbitrary settings files and against errors
// without a description.
#include <fulmarjunction/settings/settings.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto parsed = fulmarjunction::parse_settings(text, "file");
    if (!parsed && parsed.error().detail.empty())
        std::abort();
    return 0;
}
