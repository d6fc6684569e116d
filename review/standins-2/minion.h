#ifndef ACACIADEAL_REVIEW_MINION_H
#define ACACIADEAL_REVIEW_MINION_H

#include "http.h"
#include "record.h"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

struct MinionOptions
{
    std::string id;
    std::string service;
    std::string zone;
    int milliCores = 16000;
    int memoryMb = 64000;
    /// Longest lease that the minion grants.
    milliseconds maxHold{10000};
    /// Time that a stop takes.
    milliseconds stopTime{50};
    /// Reading of its clock at the start of the program; a later life begins at 0.
    milliseconds clockAtStart{480000};
};

/// A minion, as the protocol describes it. A task's spec is JSON: `cpu` in thousandths of a core,
/// and `work_ms` or `lasting`. Each change of its state is written to the record. Thread-safe.
class Minion
{
public:
    Minion(Record &record, const MinionOptions &options);

    const MinionOptions &options() const;
    /// Returns the minion's entry in the store.
    nlohmann::json entry();
    /// The minion loses power: all that it runs ends, and its connections go silent.
    void losePower();
    /// The minion has power again and starts under the id that it had.
    void restart();
    /// Whether the minion is cut off: it runs on, and what comes to it or leaves it is lost.
    void setCut(bool cut);
    bool hasPower();
    /// Returns when the minion lost power last; unset if it has power.
    std::optional<TimePoint> powerlessSince();

private:
    struct Run
    {
        std::uint64_t run = 0;
        TimePoint startedAt;
        milliseconds work{0};
        bool lasting = false;
    };
    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        bool lapsedSince = false;
    };

    Reply serve(const Request &request, std::uint64_t life);
    Reply hold(const nlohmann::json &call, std::uint64_t life, std::unique_lock<std::mutex> &lock);
    Response start(const nlohmann::json &call);
    Response stop(const nlohmann::json &call);
    Response answer(nlohmann::json body, int status = 200);
    Response conflict(const std::string &reason);
    void extendLease(const nlohmann::json &call);
    void endRun(const std::string &task, const std::string &how);
    void tick();
    std::int64_t clockMs() const;
    std::string name() const;

    Record &m_record;
    MinionOptions m_options;
    std::optional<Server> m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_power = true;
    TimePoint m_powerLostAt;
    bool m_cut = false;
    /// Number of the minion's life; connections of earlier lives are reset.
    std::uint64_t m_life = 1;
    TimePoint m_clockBase;
    std::int64_t m_bornMs = 0;
    std::uint64_t m_fencingToken = 0;
    std::int64_t m_leaseEndMs = 0;
    std::map<std::string, Run> m_active;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::vector<End> m_ends;
    std::uint64_t m_endCount = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace review

#endif
