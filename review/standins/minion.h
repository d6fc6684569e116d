#ifndef ACACIADEAL_REVIEW_MINION_H
#define ACACIADEAL_REVIEW_MINION_H

#include "../../tests/standins/faultyserver.h"
#include "base/time.h"
#include "record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace acaciadeal {
class EventLoop;
}

namespace acaciadeal::review {

/// One run of a task, as the server that ran it saw it.
struct RunRecord
{
    std::string task;
    std::uint64_t run = 0;
    std::string server;
    std::int64_t startedMs = 0;
    /// -1 while the run goes on.
    std::int64_t endedMs = -1;
    /// "done", "failed", "stopped" or "lapsed".
    std::string outcome;
    /// When the end was taken note of; -1 if it was not, or if the lease lapsed before.
    std::int64_t notedMs = -1;
    bool lapsedAfterEnd = false;
};

struct TaskSize
{
    int milliCores = 0;
    int memoryMb = 0;
    milliseconds runTime{0};
    /// Whether each run ends as failed.
    bool fails = false;
};

struct MinionOptions
{
    std::string id;
    std::string zone;
    int milliCores = 16000;
    int memoryMb = 64000;
};

/// Stand-in for a server that runs tasks, as the users' pages describe it: fencing tokens, a lease
/// on the server's own clock, numbered ends that are returned until they are taken note of, 500 in
/// an answer, and at most 64 connections. Used only on the loop's single thread.
class Minion
{
public:
    /// Returns size and run time of a task by its name.
    using SizeOf = std::function<TaskSize(const std::string &task)>;

    /// Throws std::runtime_error if no port can be opened.
    Minion(EventLoop &loop, Record &record, std::vector<RunRecord> &runs, SizeOf sizeOf,
           MinionOptions options);

    const std::string &id() const;
    /// Returns the server's entry in the store.
    nlohmann::json entry() const;
    int usedMilliCores() const;
    /// Returns how many connections were closed because the server had 64 open.
    std::size_t refusedConnections() const;

private:
    struct Run
    {
        std::uint64_t run = 0;
        std::size_t record = 0;
        TaskSize size;
        TimePoint endsAt;
    };
    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string outcome;
        std::size_t record = 0;
    };
    using Reply = std::function<void(HttpResponse)>;

    void serve(const HttpRequest &request, const Reply &reply);
    void hold(const nlohmann::json &call, TimePoint until, const Reply &reply);
    HttpResponse start(const nlohmann::json &call);
    HttpResponse stop(const nlohmann::json &call);
    void extendLease(const nlohmann::json &call);
    void end(const std::string &task, const std::string &outcome);
    void tick();
    std::int64_t clockMs() const;
    HttpResponse answer(nlohmann::json body, unsigned status = 200) const;

    EventLoop &m_loop;
    Record &m_record;
    std::vector<RunRecord> &m_runs;
    SizeOf m_sizeOf;
    MinionOptions m_options;
    std::unique_ptr<standins::FaultyServer> m_server;
    TimePoint m_bornAt;
    std::int64_t m_bornMs = 0;
    std::uint64_t m_fencingToken = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::uint64_t m_lastNumber = 0;
    std::map<std::string, Run> m_active;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::vector<End> m_ends;
};

} // namespace acaciadeal::review

#endif
