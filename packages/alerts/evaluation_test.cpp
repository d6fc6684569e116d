#include "alerts/evaluation.h"

#include <doctest/doctest.h>

using namespace acaciadeal;
using std::chrono::seconds;

namespace {

const DaemonId self{"d1"};
const AlertMembership onlyMember{.self = self, .liveMembers = {self}};

AlertRule makeRule(std::string metric, Comparison comparison, double threshold)
{
    return {
        .name = "r", .metric = std::move(metric), .comparison = comparison, .threshold = threshold};
}

/// Evaluates one rule repeatedly; each step advances the time by one second.
struct RuleSimulation
{
    explicit RuleSimulation(AlertRule alertRule)
        : rules{std::move(alertRule)}
    {
    }

    const AlertEvaluation &step(const std::vector<MetricSample> &samples,
                                const AlertMembership &membership = onlyMember)
    {
        now += seconds(1);
        last = evaluateAlerts(rules, samples, membership, now, std::move(last.state));
        return last;
    }

    std::vector<AlertRule> rules;
    TimePoint now{};
    AlertEvaluation last;
};

std::vector<MetricSample> oneSample(const std::string &name, double value,
                                    const MetricLabels &labels = {})
{
    return {{name, labels, value}};
}

} // namespace

// Guards against a comparison that never fires or fires on the wrong side of the threshold.
TEST_CASE("each comparison fires exactly where it holds")
{
    struct Expectation
    {
        Comparison comparison;
        bool below;
        bool equal;
        bool above;
    };
    for (const auto &e : {Expectation{Comparison::Greater, false, false, true},
                          Expectation{Comparison::GreaterOrEqual, false, true, true},
                          Expectation{Comparison::Less, true, false, false},
                          Expectation{Comparison::LessOrEqual, true, true, false},
                          Expectation{Comparison::Equal, false, true, false},
                          Expectation{Comparison::NotEqual, true, false, true}}) {
        CAPTURE(comparisonText(e.comparison));
        const AlertRule rule = makeRule("queue_length", e.comparison, 5);
        CHECK(RuleSimulation(rule).step(oneSample("queue_length", 4)).fired.size()
              == (e.below ? 1 : 0));
        CHECK(RuleSimulation(rule).step(oneSample("queue_length", 5)).fired.size()
              == (e.equal ? 1 : 0));
        CHECK(RuleSimulation(rule).step(oneSample("queue_length", 6)).fired.size()
              == (e.above ? 1 : 0));
    }
}

// Guards against an alert on a short peak, and a missing alert on a long one.
TEST_CASE("an alert fires once its condition has held for the whole duration")
{
    AlertRule rule = makeRule("queue_length", Comparison::Greater, 5);
    rule.holdFor = seconds(2);
    RuleSimulation simulation(rule);
    CHECK(simulation.step(oneSample("queue_length", 9)).fired.empty());
    CHECK(simulation.step(oneSample("queue_length", 9)).fired.empty());
    CHECK(simulation.step(oneSample("queue_length", 1)).fired.empty());
    CHECK(simulation.step(oneSample("queue_length", 9)).fired.empty());
    CHECK(simulation.step(oneSample("queue_length", 9)).fired.empty());
    CHECK(simulation.step(oneSample("queue_length", 9)).fired.size() == 1);
    CHECK(simulation.step(oneSample("queue_length", 9)).fired.empty());
    CHECK(simulation.last.active.size() == 1);
    CHECK(simulation.step(oneSample("queue_length", 1)).resolved.size() == 1);
    CHECK(simulation.last.active.empty());
    CHECK(simulation.step(oneSample("queue_length", 1)).resolved.empty());
}

// Guards against an alert being resolved because its metric is no longer exported.
TEST_CASE("a missing series is reported once and its alert keeps firing")
{
    RuleSimulation simulation(makeRule("queue_length", Comparison::Greater, 5));
    simulation.step(oneSample("queue_length", 9));
    CHECK(simulation.step({}).missing.size() == 1);
    CHECK(simulation.last.resolved.empty());
    CHECK(simulation.last.active.size() == 1);
    CHECK(simulation.step({}).missing.empty());
    CHECK(simulation.step(oneSample("queue_length", 9)).fired.empty());
    CHECK(simulation.step(oneSample("queue_length", 1)).resolved.size() == 1);
    CHECK(simulation.step({}).missing.size() == 1);
    CHECK(simulation.last.rulesWithoutSeries.empty());
    RuleSimulation simulationWithoutSeries(makeRule("queue_length", Comparison::Greater, 5));
    CHECK(simulationWithoutSeries.step({}).rulesWithoutSeries == std::vector<std::string>{"r"});
}

TEST_CASE("a rule on a counter rate fires and handles a counter reset")
{
    AlertRule rule = makeRule("requests_refused_total", Comparison::Greater, 5);
    rule.window = seconds(10);
    RuleSimulation simulation(rule);
    CHECK(simulation.step(oneSample("requests_refused_total", 1000)).fired.empty());
    CHECK(simulation.step(oneSample("requests_refused_total", 1004)).fired.empty());
    CHECK(simulation.step(oneSample("requests_refused_total", 1020)).fired.size() == 1);
    CHECK(simulation.last.fired[0].value == 10);
    // The counter was reset: 6 more events, not a negative rate.
    CHECK(simulation.step(oneSample("requests_refused_total", 6)).active.size() == 1);
    CHECK(simulation.last.active[0].value == doctest::Approx(26.0 / 3));
    for (int n = 0; n < 20; ++n) {
        simulation.step(oneSample("requests_refused_total", 6));
    }
    CHECK(simulation.last.active.empty());
    CHECK(simulation.last.state.history.begin()->second.size() <= 12);
}

// Guards against missing the first events of a counter, which is exported only from then on.
TEST_CASE("a new counter is assumed to have been zero before")
{
    AlertRule rule = makeRule("task_evictions_total", Comparison::Greater, 0);
    rule.window = seconds(10);
    RuleSimulation simulation(rule);
    simulation.step({});
    CHECK(simulation.step(oneSample("task_evictions_total", 1)).fired.size() == 1);
}

TEST_CASE("a rule on a quantile fires on the requests within its window")
{
    AlertRule rule = makeRule("request_seconds", Comparison::Greater, 0.5);
    rule.quantile = 0.9;
    rule.window = seconds(10);
    rule.labels = {{"class", "urgent"}};
    RuleSimulation simulation(rule);
    const auto buckets = [](double fast, double all) {
        return std::vector<MetricSample>{
            {"request_seconds_bucket", {{"class", "urgent"}, {"le", "0.1"}}, fast},
            {"request_seconds_bucket", {{"class", "urgent"}, {"le", "1"}}, all},
            {"request_seconds_bucket", {{"class", "urgent"}, {"le", "inf"}}, all},
            {"request_seconds_bucket", {{"class", "batch"}, {"le", "inf"}}, 1e6}};
    };
    CHECK(simulation.step(buckets(1000, 1000)).fired.empty());
    CHECK(simulation.step(buckets(1095, 1100)).fired.empty());
    REQUIRE(simulation.step(buckets(1095, 1150)).fired.size() == 1);
    CHECK(simulation.last.fired[0].value == 1);
    CHECK(simulation.last.fired[0].labels == MetricLabels{{"class", "urgent"}, {"daemon", "d1"}});
}

TEST_CASE("labels select series and each series has its own alert")
{
    AlertRule rule = makeRule("queue_length", Comparison::Greater, 5);
    rule.labels = {{"class", "urgent"}};
    RuleSimulation simulation(rule);
    const auto &result =
        simulation.step({{"queue_length", {{"class", "urgent"}, {"shard", "a"}}, 9},
                         {"queue_length", {{"class", "urgent"}, {"shard", "b"}}, 9},
                         {"queue_length", {{"class", "batch"}, {"shard", "a"}}, 9}});
    CHECK(result.fired.size() == 2);
    CHECK(result.fired[0].labels
          == MetricLabels{{"class", "urgent"}, {"daemon", "d1"}, {"shard", "a"}});
}

// Guards against a fault of a failure domain being reported once per daemon, or not at all.
TEST_CASE("exactly one member reports an alert that fires on all members")
{
    const std::vector<DaemonId> members{{"d1"}, {"d2"}, {"d3"}};
    const DaemonId expectedReporter = selectReporter("r", members);
    int firedAlerts = 0;
    for (const DaemonId &member : members) {
        RuleSimulation simulation(makeRule("platform_reachable", Comparison::Equal, 0));
        simulation.step(oneSample("platform_reachable", 0),
                        {.self = member, .liveMembers = members});
        CHECK(simulation.last.fired.size() == (member == expectedReporter ? 1 : 0));
        CHECK(simulation.last.active.size() == 1);
        firedAlerts += static_cast<int>(simulation.last.fired.size());
        if (!simulation.last.fired.empty()) {
            CHECK(simulation.last.fired[0].labels.empty());
        }
    }
    CHECK(firedAlerts == 1);
    // Each daemon reports its own metrics.
    for (const DaemonId &member : members) {
        RuleSimulation simulation(makeRule("settings_age_seconds", Comparison::Greater, 60));
        simulation.step(oneSample("settings_age_seconds", 61),
                        {.self = member, .liveMembers = members});
        REQUIRE(simulation.last.fired.size() == 1);
        CHECK(simulation.last.fired[0].labels == MetricLabels{{"daemon", member.value}});
    }
}

// Guards against an alert that is lost with the daemon that should have reported it.
TEST_CASE("another member reports a firing alert when the reporter is lost")
{
    const std::vector<DaemonId> members{{"d1"}, {"d2"}};
    const DaemonId expectedReporter = selectReporter("r", members);
    const DaemonId other = expectedReporter == members[0] ? members[1] : members[0];
    RuleSimulation simulation(makeRule("platform_reachable", Comparison::Equal, 0));
    const auto sample = oneSample("platform_reachable", 0);
    CHECK(simulation.step(sample, {.self = other, .liveMembers = members}).fired.empty());
    CHECK(simulation.step(sample, {.self = other, .liveMembers = {other}}).fired.size() == 1);
    CHECK(simulation.step(sample, {.self = other, .liveMembers = {other}}).fired.empty());
}

// Guards against all rules being reported by the same daemon.
TEST_CASE("reporting of different rules is spread over the members")
{
    const std::vector<DaemonId> members{{"entry-1"}, {"entry-2"}, {"entry-3"}};
    std::map<DaemonId, int> rules;
    for (int n = 0; n < 300; ++n) {
        ++rules[selectReporter("rule-" + std::to_string(n), members)];
    }
    for (const DaemonId &member : members) {
        CHECK(rules[member] > 60);
    }
}

TEST_CASE("removing a rule resolves its alert and deletes its state")
{
    RuleSimulation simulation(makeRule("queue_length", Comparison::Greater, 5));
    simulation.step(oneSample("queue_length", 9));
    simulation.rules.clear();
    CHECK(simulation.step(oneSample("queue_length", 9)).resolved.size() == 1);
    CHECK(simulation.last.state.series.empty());
}
