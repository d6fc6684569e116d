#ifndef ACACIADEAL_FAILURE_LOAD_H
#define ACACIADEAL_FAILURE_LOAD_H

#include "failure/cluster.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace acaciadeal::failure_tests {

struct LoadOptions
{
    /// Start of every request id; unique in a test.
    std::string prefix;
    bool repeatable = true;
    std::string requestClass = "normal";
    int threads = 4;
    milliseconds requestTimeout{5'000};
    /// Requests of each thread; 0 goes on until stop().
    int requestsPerThread = 0;
    /// Daemons that are called in turn; empty means all.
    std::vector<std::string> daemons;
};

/// What one caller experienced with one request id.
struct RequestResult
{
    std::string id;
    std::string body;
    /// Last answer.
    Answer answer;
    /// Every attempt so far said that the request was not run.
    bool allAttemptsNotRun = true;
    int attempts = 0;
    /// Connections that ended without an answer after a byte had been sent.
    int lostConnections = 0;
};

/// Callers that send requests in the background. A caller whose connection fails tries the next
/// daemon under the same id; any answer is final for the id.
class RequestLoad
{
public:
    RequestLoad(Cluster &cluster, LoadOptions options);
    ~RequestLoad();
    RequestLoad(const RequestLoad &) = delete;
    RequestLoad &operator=(const RequestLoad &) = delete;

    /// Number of answered requests so far. Thread-safe.
    int answered() const;
    /// Lets each caller end its current request and joins the threads.
    void stop();
    /// Joins the threads after requestsPerThread requests each.
    void join();
    /// Precondition: stop() or join() returned.
    const std::vector<RequestResult> &results() const;

private:
    void run(int thread);
    RequestResult sendUntilAnswered(int thread, int number);

    Cluster &m_cluster;
    LoadOptions m_options;
    std::vector<std::string> m_endpoints;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_answered{0};
    std::mutex m_mutex;
    std::vector<RequestResult> m_results;
    std::vector<std::thread> m_threads;
};

/// Builds the JSON body of POST /v1/requests for the service of the deployment.
nlohmann::json requestBody(const Cluster &cluster, const std::string &id, bool repeatable,
                           const std::string &requestClass, const std::string &body,
                           milliseconds timeout = milliseconds(5'000));

/// Whether the answer says that the request was not run.
bool isNotRunAnswer(const Answer &answer);

/// G5: answers with status 200 that are not the whole answer to their own request.
Violations mismatchedAnswers(const std::vector<RequestResult> &results);

/// G6: requests that every attempt refused as not run and that an instance executed.
Violations refusedButExecuted(const std::vector<RequestResult> &results, const Records &records);

} // namespace acaciadeal::failure_tests

#endif
