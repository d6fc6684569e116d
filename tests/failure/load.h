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
    /// Prefix of every request id; must be unique within a test.
    std::string prefix;
    bool repeatable = true;
    std::string requestClass = "normal";
    int threads = 4;
    milliseconds requestTimeout{5'000};
    /// Number of requests per thread; 0 means until stop().
    int requestsPerThread = 0;
    /// Names of the daemons that are called in turn; empty means all.
    std::vector<std::string> daemons;
};

/// Outcome of one request, including all its attempts.
struct RequestResult
{
    std::string id;
    std::string body;
    /// Last answer.
    Answer answer;
    /// Whether every attempt showed that the request was not run: by its answer, or because nothing
    /// was sent.
    bool allAttemptsNotRun = true;
    int attempts = 0;
    /// Number of connections that ended without an answer after part of the request had been sent.
    int lostConnections = 0;
};

/// Background threads that send requests. After a failed connection, a thread retries the request
/// with the same id at the next daemon, until it gets any answer or has made 100 attempts.
class RequestLoad
{
public:
    RequestLoad(Cluster &cluster, LoadOptions options);
    ~RequestLoad();
    RequestLoad(const RequestLoad &) = delete;
    RequestLoad &operator=(const RequestLoad &) = delete;

    /// Returns the number of requests answered so far. Thread-safe.
    int answered() const;
    /// Lets each thread complete its current request, and joins the threads.
    void stop();
    /// Joins the threads after each has sent requestsPerThread requests.
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

/// Returns whether the answer's result code means that the request was not run.
bool isNotRunAnswer(const Answer &answer);

/// G5: returns answers with status 200 that are not the complete answer to their own request.
Violations mismatchedAnswers(const std::vector<RequestResult> &results);

/// G6: returns requests that an instance executed although every attempt was refused as not run.
Violations refusedButExecuted(const std::vector<RequestResult> &results, const Records &records);

} // namespace acaciadeal::failure_tests

#endif
