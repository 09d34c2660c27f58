// Tests that programs name the sources that they were built from.

#include <fulmarjunction/fixture/child_process.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace fj = fulmarjunction;
namespace fixture = fulmarjunction::fixture;

namespace {

const std::string programs = FULMAR_BIN_DIRECTORY;
const std::string repository = FULMAR_SOURCE_DIRECTORY;

/// A directory that is removed at the end of the test.
class temporary_directory
{
public:
    temporary_directory()
        : path_(
              std::filesystem::temp_directory_path() /
              fmt::format("fulmar-version-{}", getpid()))
    {
        std::filesystem::create_directories(path_);
    }
    ~temporary_directory() { std::filesystem::remove_all(path_); }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    std::string file(const std::string& name) const
    {
        return (path_ / name).string();
    }

private:
    std::filesystem::path path_;
};

/// Returns the id of the sources in this tree.
std::string current_source_id(const temporary_directory& directory)
{
    const auto printed = fixture::run_process(
        repository + "/support/source-id", {}, directory.file("id.log"));
    REQUIRE(printed.code == 0);
    return printed.output.substr(0, printed.output.find('\n'));
}

} // namespace

// Guards against a report of a fault that can't tell which code has failed.
TEST_CASE("the programs print the sources that they were built from")
{
    const temporary_directory directory;
    const auto id = current_source_id(directory);
    for (const std::string name : {"fulmard", "fulmarctl"}) {
        const auto printed = fixture::run_process(
            fmt::format("{}/{}", programs, name), {"--version"},
            directory.file(name + ".log"));
        CHECK(printed.code == 0);
        CHECK(printed.output == fmt::format("{} 0.1.0, source {}\n", name, id));
    }
}

// Guards against the same in a report that consists of logs only.
TEST_CASE("the first line of a node's log names its sources")
{
    const temporary_directory directory;
    const auto settings = directory.file("node.json");
    // Nothing listens at these addresses.
    std::ofstream(settings) << R"({"name": "n1", "availability_zone": "z",
"service": "notes", "backend": "127.0.0.1:1", "store": "127.0.0.1:1",
"callers": "127.0.0.1:0", "ready": "127.0.0.1:0", "heartbeats": "127.0.0.1:0",
"peers": "127.0.0.1:0", "metrics": "127.0.0.1:0"})";
    fixture::child_process node(
        programs + "/fulmard", {"--mesh", settings},
        directory.file("node.log"));
    REQUIRE(node.wait_for_log("source="));
    const auto log = node.log();
    const auto first = log.substr(0, log.find('\n'));
    CHECK(first.find("event=starting version=0.1.0") != std::string::npos);
    CHECK(
        first.find("source=" + current_source_id(directory)) !=
        std::string::npos);
}
