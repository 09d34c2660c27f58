// Guards against crashes on arbitrary documents and paths, and against lists
// that change in a round trip through JSON.
#include <fulmarjunction/catalog/catalog.hpp>

#include <boost/json/parse.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>

namespace {

namespace fj = fulmarjunction;

template <class Parse>
void check_round_trip(Parse parse, const boost::json::value& document)
{
    const auto parsed = parse(document);
    if (!parsed)
        return;
    const auto serialized = fj::to_json(parsed.value());
    const auto reparsed = parse(serialized);
    if (!reparsed || fj::to_json(reparsed.value()) != serialized)
        std::abort();
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    boost::system::error_code failure;
    const auto document = boost::json::parse(text, failure);
    if (failure) {
        fj::catalog catalog;
        if (!catalog.apply(
                "catalog/plans",
                boost::json::parse(
                    R"({"plans":[],"endpoints":[{"name":"a","service":"b",)"
                    R"("method":"GET","path":"/"}]})"),
                false))
            std::abort();
        static_cast<void>(catalog.find_endpoint("GET", text));
        return 0;
    }
    check_round_trip(fj::parse_plan_list, document);
    check_round_trip(fj::parse_account_list, document);
    check_round_trip(fj::parse_key_record, document);
    return 0;
}
