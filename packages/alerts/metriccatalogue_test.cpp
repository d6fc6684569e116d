#include "alerts/import.h"
#include "alerts/metriccatalogue.h"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>

using namespace acaciadeal;

namespace {

/// Returns the table rows of docs/alerts.md between a heading and the next one.
std::vector<std::string> rowsUnder(const std::string &heading)
{
    std::ifstream in(std::string(ACACIADEAL_DOCS_DIR) + "/alerts.md");
    REQUIRE(in.good());
    std::vector<std::string> rows;
    bool inside = false;
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("## ")) {
            inside = line == "## " + heading;
        } else if (inside && line.starts_with("| `")) {
            rows.push_back(line);
        }
    }
    return rows;
}

void addRows(std::vector<std::string> &rows, const std::string &kind,
             const std::vector<OldName> &names)
{
    for (const OldName &name : names) {
        rows.push_back("| `" + std::string(name.oldName) + "` | " + kind + " | `"
                       + std::string(name.newName) + "` |");
    }
}

} // namespace

// Guards against a metric that is not documented, and a documented one that no longer exists.
TEST_CASE("docs/alerts.md lists exactly the metrics of the catalogue")
{
    std::vector<std::string> expected;
    for (const MetricInfo &metric : metricCatalogue()) {
        std::ostringstream row;
        row << "| `" << metric.name << "` | " << metricKindName(metric.kind) << " | "
            << metric.labels << " | " << metricScopeName(metric.scope) << " | "
            << metric.description << " |";
        expected.push_back(row.str());
    }
    CHECK(rowsUnder("Exported metrics") == expected);
}

// Guards against an old name that the import accepts but docs/alerts.md does not list.
TEST_CASE("docs/alerts.md lists exactly the old names that the import accepts")
{
    std::vector<std::string> expected;
    for (const MetricAlias &alias : metricAliases()) {
        std::ostringstream row;
        row << "| `" << alias.oldName << "` | `" << alias.newName << "` | " << alias.factor << " |";
        expected.push_back(row.str());
    }
    CHECK(rowsUnder("Old metric names") == expected);
    expected.clear();
    addRows(expected, "field", oldFieldNames());
    addRows(expected, "comparison", oldComparisons());
    addRows(expected, "severity", oldSeverities());
    CHECK(rowsUnder("Other old names") == expected);
}

// Guards against an alias of a metric that does not exist, or one that hides a metric of its name.
TEST_CASE("every alias maps a name that is not exported to an exported one")
{
    std::set<std::string_view> names;
    for (const MetricAlias &alias : metricAliases()) {
        CAPTURE(alias.oldName);
        CHECK(names.insert(alias.oldName).second);
        CHECK(findMetric(std::string(alias.oldName)) == nullptr);
        CHECK(findMetric(std::string(alias.newName)) != nullptr);
    }
}

// Guards against an exported series that alert rules cannot refer to.
TEST_CASE("samples that are not in the catalogue are found")
{
    CHECK(uncataloguedSamples({{"request_seconds_bucket", {{"class", "urgent"}, {"le", "1"}}, 1},
                               {"members", {{"failure_domain", "a"}}, 1}})
              .empty());
    CHECK(uncataloguedSamples({{"surprise", {}, 1}, {"members", {{"le", "1"}}, 1}})
          == std::vector<std::string>{"surprise", "members{le}"});
}
