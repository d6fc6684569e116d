#include "kernel/pluginregistry.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

struct Comparator
{
    static constexpr std::string_view settingName = "comparator";
    bool (*less)(int, int);
};

const PluginRegistration<Comparator> ascending{"ascending", {[](int a, int b) {
                                                   return a < b;
                                               }}};

} // namespace

TEST_CASE("a registered plug-in is found by name")
{
    const auto plugin = PluginRegistry<Comparator>::instance().find("ascending");
    REQUIRE(plugin.has_value());
    CHECK(plugin->less(1, 2));
}

// Guards against a misspelled plug-in name silently selecting a default.
TEST_CASE("an unknown plug-in is an error that names the setting")
{
    const auto plugin = PluginRegistry<Comparator>::instance().find("descending");
    REQUIRE_FALSE(plugin.has_value());
    CHECK(plugin.error().code == ResultCode::UnknownPlugin);
    CHECK(plugin.error().where == "comparator");
}
