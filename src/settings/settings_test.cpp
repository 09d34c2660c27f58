#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/settings/settings.hpp>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

namespace fj = fulmarjunction;

namespace {

const char* const settings_text = R"({
  // Identity of the instance.
  "name": "calendar-1", "region": "gujarat",
  "availability_zone": "anand",
  "callers": {"listen": "0.0.0.0:0"},
  "egress": {"listen": "127.0.0.1:0"},
  "peers": {
    "listen": "127.0.0.1:7000",
    "secret_file": "/run/peer-secret", "seeds": ["10.0.0.1:7000"]
  },
  "operators": {"listen": "[::1]:0"},
  "platform": {"address": "10.0.0.2:9000"},
  "keys": {"pepper_file": "/run/pepper"},
  "rates": {"lease_s": 30},
})";

// Returns the error for the settings with one fragment replaced.
std::string error_with(std::string_view from, std::string_view to)
{
    std::string text = settings_text;
    text.replace(text.find(from), from.size(), to);
    const auto parsed = fj::parse_settings(text, "node.json");
    return parsed ? "" : parsed.error().detail;
}

} // namespace

TEST_CASE("absent settings take their defaults", "[settings]")
{
    const auto settings =
        fj::parse_settings(settings_text, "node.json").value();
    CHECK(settings.name == "calendar-1");
    CHECK(settings.rates.lease == fj::seconds(30));
    CHECK(settings.rates.loan == fj::milliseconds(300));
    CHECK(settings.admission.max_wait == fj::milliseconds(500));
    CHECK(settings.unique.kept_answer_bytes == 65536);
    CHECK(settings.freshness.limit == fj::milliseconds(4000));
    CHECK(settings.peers.seeds.size() == 1);
    CHECK_FALSE(settings.callers.tls);
    CHECK_FALSE(settings.peers.advertise);
}

TEST_CASE(
    "an error names the file, the line, the field and the range", "[settings]")
{
    struct invalid_case
    {
        std::string from;
        std::string to;
        std::string error_prefix;
    };
    const invalid_case cases[] = {
        {"\"lease_s\": 30", "\"lease_s\": 9",
         "node.json:14: rates.lease_s: 9 is not allowed (allowed: a whole "
         "number from 10 to 86400)"},
        {"\"lease_s\": 30", "\"lease_s\": 30.5",
         "node.json:14: rates.lease_s: 30.5 is not"},
        {"\"lease_s\": 30", "\"lease_s\": \"30\"",
         "node.json:14: rates.lease_s: \"30\" is not"},
        {"lease_s", "lease", "node.json:14: rates.lease: unknown field"},
        {"\"rates\"", "\"rate\"", "node.json:14: rate: unknown field"},
        {"{\"lease_s\": 30}", "3", "node.json:14: rates: 3 is not allowed "},
        {"\"name\": \"calendar-1\", ", "", "node.json: name: missing"},
        {"calendar-1", "a b", "node.json:3: name: \"a b\" is not"},
        {"\"127.0.0.1:0\"", "\"10.0.0.9:0\"",
         "node.json:6: egress.listen: \"10.0.0.9:0\" is not"},
        {"0.0.0.0:0", "localhost:80", "node.json:5: callers.listen: "},
        {"10.0.0.2:9000", "10.0.0.2:0", "node.json:12: platform.address: "},
        {"10.0.0.1:7000", "10.0.0.1", "node.json:9: peers.seeds: "},
        {"127.0.0.1:7000", "0.0.0.0:7000",
         "node.json:8: peers.listen: \"0.0.0.0:7000\" is not"},
        {"\"rates\": {\"lease_s\": 30}",
         "\"retries\": {\"extra_attempts\": 17}",
         "node.json:14: retries.extra_attempts: 17"},
        {"\"rates\": {\"lease_s\": 30}", "\"poll_interval_ms\": 5000",
         "node.json:14: poll_interval_ms: 5000 is not allowed (allowed: less"},
        {"\"rates\": {\"lease_s\": 30}", "\"admission\": {\"min_limit\": 9}",
         "node.json: admission.start_limit: its default is not"},
        {"{\"listen\": \"0.0.0.0:0\"}",
         "{\"listen\": \"0.0.0.0:0\", \"tls\": {\"key\": \"k\"}}",
         "node.json:5: callers.tls: "},
        {"\"rates\": {\"lease_s\": 30}", "\"log\": {\"level\": \"loud\"}",
         "node.json:14: log.level: \"loud\" is not allowed (allowed: debug, "},
        {"\"rates\"", "\"name\": \"b\", \"rates\"",
         "node.json:14: name: occurs twice"},
        {"\"keys\": {", "\"keys\": {{", "node.json:13: not JSON: "},
        {"\"rates\": {\"lease_s\": 30},\n}", "", "node.json:14: not JSON: "},
    };
    for (const auto& invalid : cases) {
        INFO(invalid.from << " -> " << invalid.to);
        const auto detail = error_with(invalid.from, invalid.to);
        CHECK(
            detail.substr(0, invalid.error_prefix.size()) ==
            invalid.error_prefix);
        CHECK(detail.find('\n') == std::string::npos);
    }
    CHECK_FALSE(fj::parse_settings("[]", "node.json"));
    CHECK_FALSE(fj::parse_settings("", "node.json"));
    CHECK_FALSE(fj::parse_settings("{} {}", "node.json"));
    CHECK_FALSE(fj::load_settings("/nonexistent/node.json"));
}

TEST_CASE("an error for a short secret does not show it", "[settings]")
{
    const std::string path = "settings_test.secret";
    std::ofstream(path) << "too short\n";
    const auto refused = fj::load_secret(path);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().detail.find("too short") == std::string::npos);
    std::ofstream(path) << "0123456789abcdef\n";
    CHECK(fj::load_secret(path).value() == "0123456789abcdef");
    std::remove(path.c_str());
}

TEST_CASE("addresses round-trip through text", "[settings]")
{
    for (const char* text : {"127.0.0.1:80", "[::1]:0", "0.0.0.0:65535"})
        CHECK(fj::format_address(fj::parse_address(text).value()) == text);
    for (const char* text :
         {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536", "1.2.3.4:-1", "::1:80",
          "[1.2.3.4]:80", "a:1"})
        CHECK_FALSE(fj::parse_address(text));
}

TEST_CASE("docs/settings.md matches the generated reference", "[settings]")
{
    std::ifstream file(std::string(FULMAR_SOURCE_DIR) + "/docs/settings.md");
    std::stringstream page;
    page << file.rdbuf();
    CHECK(page.str() == fj::settings_reference());
}
