#include "alerts/import.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

// Guards against a line of the old rule list being dropped silently.
TEST_CASE("every line of the old rule list has an outcome")
{
    const std::string text =
        "// old list\n"
        R"({"name":"few-members","metric":"members","comparison":"<","threshold":3,"for":"30s","severity":"critical"})"
        "\n"
        R"({"alert":"Slow queue","series":"queue_oldest_ms","tags":{"class":"urgent"},"op":"gt","value":3500,"duration":60,"level":"page"},)"
        "\n\n"
        R"({"alert":"x","series":"disk_free","op":"lt","value":1,"level":"warn"})"
        "\n"
        R"({"alert":"x","series":"store_up","op":"eq","value":0,"level":"warn","runbook":"y"})"
        "\n"
        R"({"alert":"few-members","series":"peers_alive","op":"lt","value":2,"level":"warn"})"
        "\n"
        R"({"alert":"broken")"
        "\n"
        R"({"alert":"a","op":"gt","operator":"lt"})"
        "\n"
        R"({"alert":"p","series":"request_latency_ms","percentile":99,"window":60,"op":"gt","value":250,"level":"crit"})";
    const auto lines = importAlertRules(text);
    REQUIRE(lines.size() == 10);
    for (std::size_t n = 0; n < lines.size(); ++n) {
        CHECK(lines[n].number == n + 1);
        const bool accepted = lines[n].outcome == ImportOutcome::Unchanged
                              || lines[n].outcome == ImportOutcome::Changed;
        CHECK(lines[n].rule.has_value() == accepted);
        CHECK((lines[n].outcome == ImportOutcome::Refused)
              == (lines[n].error.code != ResultCode::Ok));
    }
    CHECK(lines[0].outcome == ImportOutcome::BlankOrComment);
    CHECK(lines[1].outcome == ImportOutcome::Unchanged);
    CHECK(lines[1].changes.empty());
    CHECK(lines[2].outcome == ImportOutcome::Changed);
    CHECK(lines[3].outcome == ImportOutcome::BlankOrComment);
    CHECK(lines[4].error.code == ResultCode::UnknownMetric);
    CHECK(lines[5].error.where == "runbook");
    CHECK(lines[6].error.message.find("line 2") != std::string::npos);
    CHECK(lines[7].error.code == ResultCode::SyntaxError);
    CHECK(lines[8].error.code == ResultCode::MalformedRule);
    CHECK(lines[9].outcome == ImportOutcome::Changed);
    CHECK(lines[9].rule->quantile == 0.99);
    CHECK(lines[9].rule->threshold == doctest::Approx(0.25));
}

// Guards against a converted rule that fires at a different value than the old one.
TEST_CASE("a changed line keeps its meaning and lists each change")
{
    const auto lines = importAlertRules(
        R"({"alert":"Slow queue","series":"queue_oldest_ms","tags":{"class":"urgent"},"op":"gt","value":3500,"duration":60,"level":"page"})");
    REQUIRE(lines.size() == 1);
    REQUIRE(lines[0].rule.has_value());
    CHECK(*lines[0].rule
          == AlertRule{.name = "Slow-queue",
                       .metric = "queue_oldest_seconds",
                       .labels = {{"class", "urgent"}},
                       .comparison = Comparison::Greater,
                       .threshold = 3.5,
                       .holdFor = std::chrono::minutes(1),
                       .severity = AlertSeverity::Critical});
    // Seven fields with old names, and six values in the old format.
    CHECK(lines[0].changes.size() == 13);
}
