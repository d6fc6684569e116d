#include "base/event.h"
#include "base/resultcode.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace acaciadeal;

namespace {

std::vector<std::string> tableRows(const std::string &file)
{
    std::ifstream in(std::string(ACACIADEAL_DOCS_DIR) + "/" + file);
    REQUIRE(in.good());
    std::vector<std::string> rows;
    for (std::string line; std::getline(in, line);) {
        if (line.size() > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9') {
            rows.push_back(line);
        }
    }
    return rows;
}

} // namespace

// Guards against a code that operators cannot look up, and a documented code that no longer exists.
TEST_CASE("docs/result-codes.md lists exactly the codes of the program")
{
    std::vector<std::string> expected;
    for (const ResultCodeInfo &info : resultCodes()) {
        std::ostringstream row;
        row << "| " << static_cast<int>(info.code) << " | " << info.name << " | " << info.meaning
            << " |";
        expected.push_back(row.str());
    }
    CHECK(tableRows("result-codes.md") == expected);
}

// Guards against one number being used for two meanings.
TEST_CASE("result codes and events are in strictly ascending order")
{
    const auto codes = resultCodes();
    CHECK(std::is_sorted(codes.begin(), codes.end(),
                         [](const auto &a, const auto &b) { return a.code <= b.code; }));
    const auto events = eventCatalogue();
    CHECK(std::is_sorted(events.begin(), events.end(),
                         [](const auto &a, const auto &b) { return a.id <= b.id; }));
}

TEST_CASE("docs/log-events.md lists exactly the events of the program")
{
    std::vector<std::string> expected;
    for (const EventInfo &info : eventCatalogue()) {
        std::ostringstream row;
        row << "| " << static_cast<int>(info.id) << " | " << severityName(info.severity) << " | "
            << info.name << " | " << info.meaning << " |";
        expected.push_back(row.str());
    }
    CHECK(tableRows("log-events.md") == expected);
}
