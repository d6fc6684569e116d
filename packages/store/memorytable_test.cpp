#include "kernel/pluginregistry.h"
#include "store/memorytable.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

TEST_CASE("a transaction with a failed check writes nothing")
{
    MemoryTable table;
    const auto first = commit(table, {.checks = {{"a", 0}}, .puts = {{"a", "1"}}});
    REQUIRE(first);
    const auto second =
        commit(table, {.checks = {{"b", 0}, {"a", 0}}, .puts = {{"b", "2"}, {"a", "2"}}});
    REQUIRE_FALSE(second);
    CHECK(second.error().code == ResultCode::CheckFailed);
    CHECK(second.error().where == "a");
    CHECK(read(table, {.keys = {"b"}}).empty());
    CHECK(read(table, {.keys = {"a"}}).at(0).value == "1");
}

// Guards against a recreated row having a version that a reader of the deleted row still holds.
TEST_CASE("a row that is recreated after a deletion has a higher version")
{
    MemoryTable table;
    const auto first = commit(table, {.puts = {{"a", "1"}}});
    REQUIRE(commit(table, {.deletes = {"a"}}));
    const auto second = commit(table, {.checks = {{"a", 0}}, .puts = {{"a", "2"}}});
    REQUIRE(second);
    CHECK(second->at("a") > first->at("a"));
}

TEST_CASE("a prefix read with a limit continues after the last key returned")
{
    MemoryTable table;
    REQUIRE(commit(table, {.puts = {{"log/1", ""}, {"log/2", ""}, {"log/3", ""}, {"m/1", ""}}}));
    const auto page = read(table, {.prefix = "log/", .limit = 2});
    REQUIRE(page.size() == 2);
    const auto rest = read(table, {.prefix = "log/", .after = page.back().key});
    REQUIRE(rest.size() == 1);
    CHECK(rest.at(0).key == "log/3");
}

// Guards against the linker dropping a plug-in that no code refers to.
TEST_CASE("both platform plug-ins are registered")
{
    const auto names = PluginRegistry<PlatformPlugin>::instance().names();
    CHECK(names == std::vector<std::string>{"http", "memory"});
}
