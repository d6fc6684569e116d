#include "alerts/alertrule.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

namespace {

Error errorOf(const std::string &text)
{
    const auto rule = parseAlertRule(text);
    REQUIRE_FALSE(rule.has_value());
    return rule.error();
}

} // namespace

TEST_CASE("a rule is unchanged by encoding and parsing")
{
    const auto rule = parseAlertRule(
        R"({"name":"slow-urgent","metric":"request_seconds","labels":{"class":"urgent"},
            "quantile":0.99,"over":"60s","comparison":">=","threshold":0.25,"for":"90s",
            "severity":"critical" /* a comment */})");
    REQUIRE_MESSAGE(rule.has_value(), rule.error().message);
    CHECK(rule->window == std::chrono::minutes(1));
    CHECK(rule->holdFor == std::chrono::seconds(90));
    CHECK(parseAlertRule(encodeAlertRule(*rule)).value() == *rule);
}

// Guards against accepting a rule that can never fire.
TEST_CASE("a rule that cannot fire is rejected with the name of the faulty field")
{
    const std::string tail = R"("comparison":">","threshold":1,"severity":"info"})";
    CHECK(errorOf(R"({"name":"r","metric":"queue_lenght",)" + tail).code
          == ResultCode::UnknownMetric);
    CHECK(errorOf(R"({"name":"r","metric":"queue_length","labels":{"tenant":"x"},)" + tail).where
          == "labels/tenant");
    CHECK(errorOf(R"({"name":"r","metric":"queue_length","over":"1m",)" + tail).where == "over");
    CHECK(errorOf(R"({"name":"r","metric":"request_seconds",)" + tail).where == "quantile");
    CHECK(errorOf(R"({"name":"r","metric":"request_seconds","quantile":0.9,)" + tail).where
          == "over");
    CHECK(errorOf(R"({"name":"r","metric":"members","for":"5 minutes",)" + tail).where == "for");
    CHECK(errorOf(R"({"name":"a/b","metric":"members",)" + tail).where == "name");
    CHECK(errorOf(R"({"name":"r","metric":"members","treshold":1,)" + tail).where == "treshold");
    CHECK(errorOf(R"({"name":"r","metric":"members","comparison":"=>","threshold":1})").where
          == "comparison");
    CHECK(errorOf(R"({"name":"r","metric":"members","comparison":">","severity":"info"})").where
          == "threshold");
}

TEST_CASE("a rule file has one rule per line and every error has its line number")
{
    const std::string good =
        R"({"name":"r","metric":"members","comparison":"<","threshold":3,"severity":"info"})";
    const auto file = parseAlertRules("// head\n\n" + good + "\n" + good + "\n{\"name\":}\n[]");
    CHECK(file.rules.size() == 1);
    REQUIRE(file.errors.size() == 3);
    CHECK(file.errors[0].where == "line 4: name");
    CHECK(file.errors[1].code == ResultCode::SyntaxError);
    CHECK(file.errors[1].where.starts_with("line 5"));
    CHECK(file.errors[2].where == "line 6");
}

TEST_CASE("durations are unchanged by formatting and parsing")
{
    for (const std::string text : {"500ms", "30s", "5m", "2h", "1d", "0s"}) {
        REQUIRE(parseDurationText(text).has_value());
        CHECK(durationText(*parseDurationText(text)) == text);
    }
    CHECK_FALSE(parseDurationText("5").has_value());
    CHECK_FALSE(parseDurationText("-5s").has_value());
    CHECK_FALSE(parseDurationText("31d").has_value());
    CHECK_FALSE(parseDurationText("99999999999999999999s").has_value());
}
