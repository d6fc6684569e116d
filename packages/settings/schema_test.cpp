#include "settings/schema.h"
#include "settings/settingstree.h"

#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

using namespace acaciadeal;

namespace {

ResultCode codeOf(const std::string &path, const std::string &value)
{
    const auto checked = checkSetting(path, value);
    return checked ? ResultCode::Ok : checked.error().code;
}

std::string examplePath(std::string_view pattern)
{
    std::string path(pattern);
    for (const auto &[from, to] : {std::pair<std::string, std::string>{"<team>", "crew"},
                                   {"<rule>", "rule"},
                                   {"{urgent|normal|batch}", "urgent"}}) {
        if (const auto at = path.find(from); at != std::string::npos) {
            path.replace(at, from.size(), to);
        }
    }
    return path;
}

std::string readFile(const std::string &name)
{
    std::ifstream in(std::string(ACACIADEAL_SOURCE_DIR) + "/" + name);
    REQUIRE(in.good());
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

// Guards against a setting that is not documented, and a documented one that no longer exists.
TEST_CASE("docs/settings.md lists exactly the settings of the schema")
{
    std::vector<std::string> expected;
    for (const SettingSchema &schema : settingsSchema()) {
        std::string pattern(schema.pattern);
        for (std::size_t at = 0; (at = pattern.find('|', at)) != std::string::npos; at += 2) {
            pattern.insert(at, "\\");
        }
        std::ostringstream row;
        row << "| `" << pattern << "` | " << settingTypeName(schema.type) << " | "
            << rangeText(schema) << " | `" << schema.defaultValue << "` | " << schema.description
            << " |";
        expected.push_back(row.str());
    }
    std::vector<std::string> documented;
    std::istringstream in(readFile("docs/settings.md"));
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("| `/")) {
            documented.push_back(line);
        }
    }
    CHECK(documented == expected);
}

TEST_CASE("every default is a valid value of its own path")
{
    for (const SettingSchema &schema : settingsSchema()) {
        CAPTURE(schema.pattern);
        CHECK(codeOf(examplePath(schema.pattern), std::string(schema.defaultValue))
              == ResultCode::Ok);
    }
}

// Guards against an unusable value being stored in the settings tree.
TEST_CASE("values are validated for type, range, size and keys")
{
    CHECK(codeOf("/system/drain_rate", "20 // per second") == ResultCode::Ok);
    CHECK(codeOf("/system/drain_rate", "0") == ResultCode::OutOfRange);
    CHECK(codeOf("/system/drain_rate", "2.5") == ResultCode::WrongType);
    CHECK(codeOf("/system/drain_rate", "18446744073709551615") == ResultCode::OutOfRange);
    CHECK(codeOf("/system/drain_rate/", "20") == ResultCode::UnknownSetting);
    CHECK(codeOf("/system/drain_rat", "20") == ResultCode::UnknownSetting);
    CHECK(codeOf("/system/admission/slow/max_queued", "1") == ResultCode::UnknownSetting);
    CHECK(codeOf("/system/pressure_order", R"(["evict_batch","evict_batch"])")
          == ResultCode::OutOfRange);
    CHECK(codeOf("/system/pressure_order", R"(["shed_urgent_requests"])")
          == ResultCode::OutOfRange);
    CHECK(codeOf("/teams/crew/quota", R"({"milli_cores":1,"milli_cores":2})")
          == ResultCode::DuplicateKey);
    CHECK(codeOf("/teams/crew/quota", R"({"cores":1})") == ResultCode::UnknownSetting);
    CHECK(codeOf("/teams/crew/quota", R"({"memory_mib":-1})") == ResultCode::OutOfRange);
    CHECK(codeOf("/teams/../quota", "{}") == ResultCode::UnknownSetting);
    CHECK(codeOf("/alerts/r", R"({"x":")" + std::string(maxSettingBytes, 'a') + "\"}")
          == ResultCode::ValueTooLarge);
}

TEST_CASE("the example settings trees have valid values")
{
    for (const std::string name : {"merrimack", "cooperative"}) {
        const auto tree = nlohmann::json::parse(readFile("settings/trees/" + name + ".json"),
                                                nullptr, true, true);
        CHECK(tree.contains("/system/pressure_order"));
        for (const auto &item : tree.items()) {
            CAPTURE(item.key());
            CHECK(codeOf(item.key(), item.value().dump()) == ResultCode::Ok);
        }
    }
}
