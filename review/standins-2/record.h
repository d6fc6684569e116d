#ifndef ACACIADEAL_REVIEW_RECORD_H
#define ACACIADEAL_REVIEW_RECORD_H

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

/// What clients, minions and the platform have seen, written to a file line by line, and the rules
/// that are checked on it. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &file);

    void note(const std::string &text);
    /// A minion has begun a run on an order.
    void onStart(const std::string &minion, const std::string &task, std::uint64_t run);
    /// A run has ended, or was lost with its minion (@p how is "power").
    void onEnd(const std::string &minion, const std::string &task, std::uint64_t run,
               const std::string &how);
    /// `last_seen` has reached the end of a run, and the minion's lease has not lapsed since.
    void onNoted(const std::string &task, std::uint64_t run, const std::string &how);

    bool isBroken();
    int starts();

private:
    struct TaskRecord
    {
        std::map<std::uint64_t, std::string> active;
        bool doneNoted = false;
        std::set<std::uint64_t> done;
        /// Done runs after whose ends the task was started again.
        std::set<std::uint64_t> startedAfter;
    };

    void write(const std::string &text);

    std::mutex m_mutex;
    std::ofstream m_file;
    std::map<std::string, TaskRecord> m_tasks;
    std::vector<std::string> m_broken;
    int m_starts = 0;
};

} // namespace review

#endif
