#include <fulmarjunction/routes/service_map.hpp>

#include <catch2/catch.hpp>
#include <sodium.h>

#include <map>

namespace fj = fulmarjunction;

namespace {

fj::route make_route(std::string name, std::string prefix, std::string service)
{
    fj::route made;
    made.name = std::move(name);
    made.host = "Shop.Example";
    made.prefix = std::move(prefix);
    made.targets = {{std::move(service), 1}};
    return made;
}

fj::service_map make_map()
{
    REQUIRE(sodium_init() >= 0);
    fj::service_document document;
    document.version = 7;
    document.routes = {
        make_route("all", "/a/", "one"), make_route("deep", "/a/b/", "two")};
    fj::account_entry entry;
    entry.plan.name = "north";
    entry.keys = {"first-key", "second-key"};
    document.accounts = {entry};
    return fj::service_map(std::move(document));
}

} // namespace

TEST_CASE("the longest prefix of the host wins")
{
    const auto map = make_map();
    CHECK(map.find_route("shop.example", "/a/x")->name == "all");
    CHECK(map.find_route("shop.example", "/a/b/x?q=/a/")->name == "deep");
    CHECK(map.find_route("SHOP.example:80", "/a/b/")->name == "deep");
}

TEST_CASE("a path that matches no prefix has no route")
{
    const auto map = make_map();
    CHECK(map.find_route("shop.example", "/a") == nullptr);
    CHECK(map.find_route("shop.example", "/c?/a/") == nullptr);
    CHECK(map.find_route("other.example", "/a/x") == nullptr);
}

TEST_CASE("an account is found by each of its keys and by nothing else")
{
    const auto map = make_map();
    REQUIRE(map.find_account("second-key") != nullptr);
    CHECK(map.find_account("second-key")->name == "north");
    CHECK(map.find_account("first-key") == map.find_account("second-key"));
    CHECK(map.find_account("first-ke") == nullptr);
    CHECK(map.find_account("") == nullptr);
}

TEST_CASE("a split follows its weights in every hundred requests")
{
    auto split = make_route("split", "/s/", "a");
    split.targets = {{"a", 90}, {"b", 10}};
    fj::split_chooser splits;
    for (int round = 0; round < 5; ++round) {
        std::map<std::string, int> counts;
        for (int i = 0; i < 100; ++i)
            ++counts[splits.choose(split)];
        CHECK(counts["a"] == 90);
        CHECK(counts["b"] == 10);
    }
    split.targets = {{"a", 0}, {"b", 1}};
    CHECK(splits.choose(split) == "b");
}

TEST_CASE("the priority of the account takes precedence over the route's")
{
    CHECK(fj::rank_of(0, 2) < fj::rank_of(1, 0));
    CHECK(fj::rank_of(1, 0) < fj::rank_of(1, 2));
    CHECK(fj::rank_of(std::nullopt, 0) < fj::rank_of(std::nullopt, 2));
    CHECK(fj::rank_of(std::nullopt, 1) == fj::rank_of(1, 1));
}
