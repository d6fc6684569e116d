#include "scenario.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>
#include <random>

namespace acaciadeal {

namespace {

using nlohmann::json;

RateStep parseStep(const json &value)
{
    return {.at = milliseconds(value.value("at_ms", std::int64_t(0))),
            .perSecond = value.at("per_second").get<double>(),
            .targetWeights = value.value("target_weights", std::vector<double>())};
}

LoadClass parseClass(const json &value)
{
    LoadClass result{.name = value.at("name").get<std::string>(),
                     .service = value.at("service").get<std::string>(),
                     .nonRepeatableShare = value.value("non_repeatable_share", 0.0),
                     .timeout = milliseconds(value.value("timeout_ms", std::int64_t(5'000))),
                     .bodyBytes = value.value("body_bytes", std::size_t(256))};
    for (const auto &step : value.at("rates")) {
        result.rates.push_back(parseStep(step));
    }
    return result;
}

bool isValid(const RateStep &step, std::size_t targets)
{
    const auto &weights = step.targetWeights;
    const bool weightsValid =
        weights.empty()
        || (weights.size() == targets
            && std::all_of(weights.begin(), weights.end(), [](double it) { return it >= 0; })
            && std::accumulate(weights.begin(), weights.end(), 0.0) > 0);
    return step.at >= milliseconds(0) && step.perSecond >= 0 && weightsValid;
}

bool isValid(const LoadClass &loadClass, std::size_t targets)
{
    const auto &rates = loadClass.rates;
    return loadClass.nonRepeatableShare >= 0 && loadClass.nonRepeatableShare <= 1
           && loadClass.timeout > milliseconds(0) && !rates.empty()
           && std::all_of(rates.begin(), rates.end(),
                          [&](const RateStep &it) { return isValid(it, targets); })
           && std::is_sorted(rates.begin(), rates.end(),
                             [](const RateStep &a, const RateStep &b) { return a.at < b.at; });
}

// Replaces the distributions of the standard library, whose results differ between implementations;
// schedules must be the same everywhere.
class PortableRandom
{
public:
    explicit PortableRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Returns a number in [0, 1).
    double uniform()
    {
        return std::ldexp(static_cast<double>(m_engine() >> 11U), -53);
    }

    /// Returns the index of one of @p n equally likely choices.
    std::size_t choose(std::size_t n)
    {
        return static_cast<std::size_t>(uniform() * static_cast<double>(n));
    }

    /// Returns an index with a probability proportional to its weight.
    std::size_t choose(const std::vector<double> &weights)
    {
        double remaining = uniform() * std::accumulate(weights.begin(), weights.end(), 0.0);
        std::size_t last = 0;
        for (std::size_t it = 0; it < weights.size(); ++it) {
            if (weights[it] > 0) {
                last = it;
                if (remaining < weights[it]) {
                    break;
                }
                remaining -= weights[it];
            }
        }
        return last;
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace

Result<Scenario> parseScenario(const std::string &text)
{
    Scenario result;
    try {
        const auto root = json::parse(text, nullptr, true, true);
        for (const auto &target : root.at("targets")) {
            auto endpoint = parseEndpoint(target.get<std::string>());
            if (!endpoint) {
                return tl::unexpected<Error>(endpoint.error());
            }
            result.targets.push_back(*endpoint);
        }
        result.tenants = root.at("tenants").get<std::vector<std::string>>();
        result.duration = milliseconds(root.at("duration_ms").get<std::int64_t>());
        result.seed = root.at("seed").get<std::uint64_t>();
        for (const auto &value : root.at("classes")) {
            result.classes.push_back(parseClass(value));
        }
    } catch (const json::parse_error &ex) {
        return failure(ResultCode::SyntaxError, ex.what());
    } catch (const json::out_of_range &ex) {
        return failure(ResultCode::MissingSetting, ex.what());
    } catch (const json::exception &ex) {
        return failure(ResultCode::WrongType, ex.what());
    }
    if (result.targets.empty() || result.tenants.empty() || result.classes.empty()
        || result.duration <= milliseconds(0)) {
        return failure(
            ResultCode::OutOfRange,
            "targets, tenants and classes must not be empty, and duration_ms must be positive");
    }
    for (const auto &loadClass : result.classes) {
        if (!isValid(loadClass, result.targets.size())) {
            return failure(ResultCode::OutOfRange,
                           "invalid share, timeout, rates or target_weights in class",
                           loadClass.name);
        }
    }
    return result;
}

std::vector<PlannedRequest> planRequests(const Scenario &scenario)
{
    std::vector<PlannedRequest> result;
    PortableRandom random(scenario.seed);
    for (std::size_t n = 0; n < scenario.classes.size(); ++n) {
        const auto &loadClass = scenario.classes[n];
        for (std::size_t step = 0; step < loadClass.rates.size(); ++step) {
            const auto &rate = loadClass.rates[step];
            const auto next = step + 1 < loadClass.rates.size() ? loadClass.rates[step + 1].at
                                                                : scenario.duration;
            const double end = static_cast<double>(std::min(next, scenario.duration).count()) * 1e3;
            double at = static_cast<double>(rate.at.count()) * 1e3;
            while (rate.perSecond > 0) {
                at += -std::log1p(-random.uniform()) * 1e6 / rate.perSecond;
                if (at >= end) {
                    break;
                }
                PlannedRequest request{
                    .at = std::chrono::microseconds(static_cast<std::int64_t>(at)), .loadClass = n};
                request.target = rate.targetWeights.empty() ? random.choose(scenario.targets.size())
                                                            : random.choose(rate.targetWeights);
                request.tenant = random.choose(scenario.tenants.size());
                request.repeatable = random.uniform() >= loadClass.nonRepeatableShare;
                result.push_back(request);
            }
        }
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    return result;
}

} // namespace acaciadeal
