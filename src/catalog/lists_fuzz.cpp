// Guards against crashes on any list, and against lists that do not survive
// their JSON form.
#include <fulmarjunction/catalog/catalog.hpp>

#include <boost/json/parse.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>

namespace {

namespace fj = fulmarjunction;

template <class Parse>
void check(Parse parse, const boost::json::value& document)
{
    const auto parsed = parse(document);
    if (!parsed)
        return;
    const auto written = fj::to_json(parsed.value());
    const auto again = parse(written);
    if (!again || fj::to_json(again.value()) != written)
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
    check(fj::parse_plan_list, document);
    check(fj::parse_account_list, document);
    check(fj::parse_key_record, document);
    return 0;
}
