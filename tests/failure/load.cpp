#include "failure/load.h"

#include "base/resultcode.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciadeal::failure_tests {

using nlohmann::json;

namespace {

constexpr unsigned statusOk = 200;

} // namespace

json requestBody(const Cluster &cluster, const std::string &id, bool repeatable,
                 const std::string &requestClass, const std::string &body, milliseconds timeout)
{
    return {{"id", id},
            {"tenant", "wire"},
            {"class", requestClass},
            {"service", cluster.hosts().back().service.value},
            {"repeatable", repeatable},
            {"timeout_ms", timeout.count()},
            {"body", body}};
}

bool isNotRunAnswer(const Answer &answer)
{
    switch (static_cast<ResultCode>(answer.code())) {
    case ResultCode::MalformedRequest:
    case ResultCode::RequestTooLarge:
    case ResultCode::Overloaded:
    case ResultCode::DeadlineExpired:
    case ResultCode::NoInstance:
    case ResultCode::ShuttingDown:
    case ResultCode::RecordUnavailable:
    case ResultCode::NotHandedOver:
    case ResultCode::RequestIdReused:
    case ResultCode::PlatformUnavailable:
        return true;
    default:
        return false;
    }
}

Violations mismatchedAnswers(const std::vector<RequestResult> &results)
{
    Violations violations;
    for (const RequestResult &result : results) {
        if (result.answer.status != statusOk) {
            continue;
        }
        const json answer = result.answer.json();
        if (!answer.is_object() || answer.value("echo", "") != result.body) {
            violations.push_back("G5: " + result.id + " received " + result.answer.body);
        }
    }
    return violations;
}

Violations refusedButExecuted(const std::vector<RequestResult> &results, const Records &records)
{
    const auto counts = executionCounts(records);
    Violations violations;
    for (const RequestResult &result : results) {
        if (result.attempts > 0 && result.allAttemptsNotRun && counts.contains(result.id)) {
            violations.push_back("G6: " + result.id
                                 + " was refused as not run and executed: " + result.answer.body);
        }
    }
    return violations;
}

RequestLoad::RequestLoad(Cluster &cluster, LoadOptions options)
    : m_cluster(cluster)
    , m_options(std::move(options))
{
    for (const auto &daemon : cluster.daemons()) {
        const auto &selectedDaemons = m_options.daemons;
        if (selectedDaemons.empty()
            || std::find(selectedDaemons.begin(), selectedDaemons.end(), daemon->name)
                   != selectedDaemons.end()) {
            m_endpoints.push_back(daemon->endpoint());
        }
    }
    for (int n = 0; n < m_options.threads; ++n) {
        m_threads.emplace_back([this, n] { run(n); });
    }
}

RequestLoad::~RequestLoad()
{
    stop();
}

int RequestLoad::answered() const
{
    return m_answered;
}

void RequestLoad::stop()
{
    m_stopping = true;
    join();
}

void RequestLoad::join()
{
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

const std::vector<RequestResult> &RequestLoad::results() const
{
    return m_results;
}

void RequestLoad::run(int thread)
{
    for (int number = 0; !m_stopping; ++number) {
        if (m_options.requestsPerThread > 0 && number >= m_options.requestsPerThread) {
            return;
        }
        RequestResult result = sendUntilAnswered(thread, number);
        m_answered += result.answer.status != 0 ? 1 : 0;
        const std::lock_guard lock(m_mutex);
        m_results.push_back(std::move(result));
    }
}

RequestResult RequestLoad::sendUntilAnswered(int thread, int number)
{
    RequestResult result;
    result.id = m_options.prefix + "-" + std::to_string(thread) + "-" + std::to_string(number);
    result.body = "body of " + result.id;
    const std::string body =
        requestBody(m_cluster, result.id, m_options.repeatable, m_options.requestClass, result.body,
                    m_options.requestTimeout)
            .dump();
    // Enough attempts to bridge a moment in which no daemon accepts connections during a
    // replacement.
    constexpr int maxAttempts = 100;
    constexpr auto retryDelay = std::chrono::milliseconds(20);
    while (result.attempts < maxAttempts && result.answer.status == 0) {
        const auto index = static_cast<std::size_t>(thread) + static_cast<std::size_t>(number)
                           + static_cast<std::size_t>(result.attempts);
        result.answer =
            m_cluster.caller().call(m_endpoints[index % m_endpoints.size()],
                                    {.method = "POST", .target = "/v1/requests", .body = body},
                                    m_options.requestTimeout + std::chrono::seconds(5));
        ++result.attempts;
        if (result.answer.status == 0) {
            result.allAttemptsNotRun = result.allAttemptsNotRun && !result.answer.handedOver;
            result.lostConnections += result.answer.handedOver ? 1 : 0;
            std::this_thread::sleep_for(retryDelay);
        } else {
            result.allAttemptsNotRun = result.allAttemptsNotRun && isNotRunAnswer(result.answer);
        }
    }
    return result;
}

} // namespace acaciadeal::failure_tests
