#include <fulmarjunction/suspects/suspect_reports.hpp>

#include <fulmarjunction/core/object_reader.hpp>

#include <boost/json.hpp>

namespace fulmarjunction {

namespace {

constexpr std::size_t max_crashes = 16;
constexpr std::size_t max_name_bytes = 128;
constexpr std::int64_t max_remaining_ms = 3'600'000;

result<suspect_crash> parse_crash(const boost::json::value& document)
{
    object_reader fields(document, "parse suspect crash");
    suspect_crash crash;
    crash.instance = fields.text("instance", max_name_bytes, 1);
    crash.number = fields.number("number");
    crash.remaining =
        milliseconds(fields.signed_number("remaining_ms", max_remaining_ms));
    crash.cleared = fields.boolean("cleared");
    BOOST_OUTCOME_TRY(fields.finish());
    return crash;
}

result<suspect_report> parse_report(const boost::json::value& document)
{
    object_reader fields(document, "parse suspect report");
    suspect_report report;
    report.print = fields.number("print");
    for (const auto& item : fields.array("crashes", max_crashes)) {
        BOOST_OUTCOME_TRY(auto crash, parse_crash(item));
        report.crashes.push_back(std::move(crash));
    }
    BOOST_OUTCOME_TRY(fields.finish());
    return report;
}

} // namespace

boost::json::value to_json(const std::vector<suspect_report>& reports)
{
    boost::json::array list;
    for (const auto& report : reports) {
        boost::json::array crashes;
        for (const auto& crash : report.crashes) {
            crashes.push_back(boost::json::object{
                {"instance", crash.instance},
                {"number", crash.number},
                {"remaining_ms", to_milliseconds(crash.remaining)},
                {"cleared", crash.cleared}});
        }
        list.push_back(boost::json::object{
            {"print", report.print}, {"crashes", std::move(crashes)}});
    }
    return list;
}

result<std::vector<suspect_report>>
parse_suspect_reports(const boost::json::value& section)
{
    const auto* list = section.if_array();
    if (list == nullptr || list->size() > max_suspect_reports)
        return fail(errc::malformed, "parse suspect reports");
    std::vector<suspect_report> reports;
    for (const auto& item : *list) {
        BOOST_OUTCOME_TRY(auto report, parse_report(item));
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace fulmarjunction
